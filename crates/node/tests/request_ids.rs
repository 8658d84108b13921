//! Request ids during an upgrade: the two processes count as one node, so an id is in use if it is in use in either.

mod common;
use common::{exchange_lines, send_signal, wait_until, LineStream, Rig};
use rstest::rstest;
use std::net::Shutdown;
use std::process::Child;
use std::sync::Barrier;

/// Logged by a process for a first line with an id that is in use.
const CONFLICT_LOG: &str = "request id claimed twice";

/// The process that holds the request whose id is sent again.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Holder {
    Older,
    Newer,
}

/// What the request is doing when its id is sent again.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RequestState {
    /// Its first line was sent, and its server has not answered.
    AttemptInFlight,
    Established,
    /// Its connection was open before the node started, and its server has not answered.
    Restoring,
}

struct OpenRequest {
    client: LineStream,
    /// The first line, with its terminator.
    line: String,
    server: LineStream,
}

/// What happened to a first line.
enum Outcome {
    /// It was sent to a server.
    Sent(LineStream),
    /// The node answered it.
    Answered(String),
}

fn start_successor(rig: &mut Rig) {
    rig.start_successor();
    rig.accept_watch();
    rig.wait_until_ready();
    rig.wait_for_log_count("node budgets divided, processes: 2", 2);
}

/// Stops a process, so that the other one accepts the clients that connect from now on.
fn stop(process: &Child) {
    send_signal(process, "-STOP");
    let path = format!("/proc/{}/stat", process.id());
    wait_until("the process is stopped", || {
        let stat = std::fs::read_to_string(&path).unwrap();
        let (_, fields) = stat.rsplit_once(") ").unwrap();
        fields.starts_with('T').then_some(())
    });
}

fn stop_holder(rig: &mut Rig, holder: Holder) {
    match holder {
        Holder::Older => stop(rig.oldest_process()),
        Holder::Newer => rig.pause(),
    }
}

fn resume_holder(rig: &mut Rig, holder: Holder) {
    match holder {
        Holder::Older => send_signal(rig.oldest_process(), "-CONT"),
        Holder::Newer => rig.resume(),
    }
}

fn open_request(rig: &mut Rig, state: RequestState) -> OpenRequest {
    let fields = match state {
        RequestState::Restoring => "d=30000,g=a,at=s-0",
        RequestState::AttemptInFlight | RequestState::Established => "d=30000,g=a",
    };
    let (mut client, line) = rig.send_request(fields);
    let (_, mut server) = rig.accept_attempt();
    server.receive();
    if state == RequestState::Established {
        server.send("UP r1\r\n");
        assert_eq!(client.receive(), "UP r1");
    }
    OpenRequest {
        client,
        line: format!("{line}\r\n"),
        server,
    }
}

/// Starts a node with a successor and opens a request at the holder.
fn start_upgrade_with_request(holder: Holder, state: RequestState) -> (Rig, OpenRequest) {
    let mut rig = Rig::start_with_inherited_listener(1);
    if holder == Holder::Older {
        let request = open_request(&mut rig, state);
        start_successor(&mut rig);
        return (rig, request);
    }
    start_successor(&mut rig);
    stop(rig.oldest_process());
    let request = open_request(&mut rig, state);
    send_signal(rig.oldest_process(), "-CONT");
    (rig, request)
}

fn accept_at_once(rig: &Rig) -> Option<LineStream> {
    let mut servers = rig.servers.iter().flatten();
    let (stream, _) = servers.find_map(|server| server.accept().ok())?;
    Some(LineStream::new(stream))
}

fn outcome(rig: &Rig, client: &mut LineStream) -> Outcome {
    wait_until("an attempt or an answer", || {
        if let Some(server) = accept_at_once(rig) {
            return Some(Outcome::Sent(server));
        }
        (!client.is_quiet()).then(|| Outcome::Answered(client.receive()))
    })
}

/// Sends the line on a new connection, and waits until it has met the claim of its id or was sent to a server.
fn send_until_conflict(rig: &Rig, line: &str) -> LineStream {
    let conflicts = || rig.log().matches(CONFLICT_LOG).count();
    let conflicts_before = conflicts();
    let mut client = rig.connect_client();
    client.send(line);
    wait_until("the line has met the claim", || {
        assert!(
            accept_at_once(rig).is_none(),
            "the id of an open request was served"
        );
        (conflicts() > conflicts_before).then_some(())
    });
    client
}

fn is_turned_away(answer: &str) -> bool {
    answer == "ERR" || answer.starts_with("BUSY")
}

/// A bad client that sent the id of another client's open request to the other process of an upgrade was served, and the
/// sound client was sent `MOVE`.
#[rstest]
fn an_open_request_id_is_turned_away_during_an_upgrade(
    #[values(Holder::Older, Holder::Newer)] holder: Holder,
    #[values(
        RequestState::AttemptInFlight,
        RequestState::Established,
        RequestState::Restoring
    )]
    state: RequestState,
) {
    let (mut rig, mut request) = start_upgrade_with_request(holder, state);
    stop_holder(&mut rig, holder);
    let mut bad_client = send_until_conflict(&rig, &request.line);
    resume_holder(&mut rig, holder);
    let answer = bad_client.receive();
    assert!(is_turned_away(&answer), "{answer}");
    assert!(rig.has_no_attempt(), "one attempt at a time");
    if state != RequestState::Established {
        request.server.send("UP r1\r\n");
        assert_eq!(request.client.receive(), "UP r1");
    }
    exchange_lines(&mut request.client, &mut request.server);
    rig.terminate_predecessor();
    exchange_lines(&mut request.client, &mut request.server);
    assert_eq!(rig.query(&request.line), "ERR");
    assert!(rig.has_no_attempt());
}

/// The same id was served in both processes if it came to both in the same moment.
#[test]
fn of_two_requests_with_one_id_in_the_same_moment_one_is_sent() {
    let mut rig = Rig::start_with_inherited_listener(1);
    start_successor(&mut rig);
    let mut established = Vec::new();
    for round in 0..60 {
        let line = format!("OPEN {round:016x} 7f3a9c21e0b4d655 c=chat,d=30000,g=a\r\n");
        let clients = [rig.connect_client(), rig.connect_client()];
        let barrier = Barrier::new(clients.len());
        let mut clients = std::thread::scope(|scope| {
            clients
                .map(|mut client| {
                    scope.spawn(|| {
                        barrier.wait();
                        client.send(&line);
                        client
                    })
                })
                .map(|thread| thread.join().unwrap())
        });
        let (_, mut server) = rig.accept_attempt();
        server.receive();
        let loser = wait_until("one is turned away", || {
            clients.iter_mut().position(|client| !client.is_quiet())
        });
        assert!(is_turned_away(&clients[loser].receive()));
        assert!(rig.has_no_attempt(), "round {round}: both were sent");
        server.send("UP r1\r\n");
        let winner = &mut clients[1 - loser];
        assert_eq!(winner.receive(), "UP r1");
        exchange_lines(winner, &mut server);
        // Closing the connection here would count as the server's failure.
        established.push((clients, server));
    }
}

/// A client that closes its connection and opens its id again at once must be served, even if it comes to the process
/// that does not hold the former connection, and that one has not read the close yet.
#[test]
fn a_client_that_is_back_with_its_id_is_served_by_either_process() {
    let mut rig = Rig::start_with_inherited_listener(1);
    let mut request = open_request(&mut rig, RequestState::Established);
    start_successor(&mut rig);
    for round in 0..120 {
        // A process that another test is starting may hold a copy of the socket, so dropping it may not close it.
        request.client.stream.shutdown(Shutdown::Both).unwrap();
        let mut client = rig.connect_client();
        client.send(&request.line);
        let mut server = match outcome(&rig, &mut client) {
            Outcome::Sent(server) => server,
            Outcome::Answered(answer) => panic!("round {round}: answered {answer}"),
        };
        server.receive();
        server.send("UP r1\r\n");
        assert_eq!(client.receive(), "UP r1");
        request = OpenRequest {
            client,
            line: request.line,
            server,
        };
    }
}

/// The ids of a killed process are free as soon as its clients have seen their connections end.
#[rstest]
fn clients_of_a_killed_process_are_served_with_their_ids(
    #[values(Holder::Older, Holder::Newer)] holder: Holder,
) {
    let mut rig = Rig::start_with_inherited_listener(1);
    if holder == Holder::Newer {
        start_successor(&mut rig);
        stop(rig.oldest_process());
    }
    let mut requests = [(); 8].map(|()| open_request(&mut rig, RequestState::Established));
    match holder {
        Holder::Older => {
            start_successor(&mut rig);
            send_signal(rig.oldest_process(), "-KILL");
        }
        Holder::Newer => {
            send_signal(rig.oldest_process(), "-CONT");
            rig.signal("-KILL");
        }
    }
    let mut served = Vec::new();
    for request in &mut requests {
        let end = request.client.receive();
        assert!(end.is_empty() || end == "RST", "{end}");
        let mut client = rig.connect_client();
        client.send(&request.line);
        match outcome(&rig, &mut client) {
            Outcome::Sent(server) => served.push((client, server)),
            Outcome::Answered(answer) => panic!("answered {answer}"),
        }
    }
}

/// Starts a node with an established connection that is in flight from the older process to the stopped newer one.
fn start_transfer() -> (Rig, OpenRequest) {
    let mut rig = Rig::start_with_inherited_listener(1);
    let request = open_request(&mut rig, RequestState::Established);
    start_successor(&mut rig);
    rig.pause();
    send_signal(rig.oldest_process(), "-TERM");
    rig.wait_for_log("relay transfer started");
    (rig, request)
}

/// The id of a connection that is in flight between the two processes is in use.
#[test]
fn the_id_of_a_connection_in_flight_is_turned_away() {
    let (mut rig, mut request) = start_transfer();
    let mut bad_client = rig.connect_client();
    bad_client.send(&request.line);
    rig.resume();
    let answer = bad_client.receive();
    assert!(is_turned_away(&answer), "{answer}");
    assert!(rig.has_no_attempt());
    exchange_lines(&mut request.client, &mut request.server);
    rig.wait_for_predecessor_exit();
    exchange_lines(&mut request.client, &mut request.server);
}

/// The newer process must read the close of a connection that it takes over before it turns the client away.
#[test]
fn a_client_that_is_back_while_its_connection_is_in_flight_is_served() {
    let (mut rig, request) = start_transfer();
    let former_address = request.client.stream.local_addr().unwrap();
    request.client.stream.shutdown(Shutdown::Both).unwrap();
    rig.wait_for_client_close(former_address);
    let mut client = rig.connect_client();
    client.send(&request.line);
    rig.resume();
    match outcome(&rig, &mut client) {
        Outcome::Sent(_) => {}
        Outcome::Answered(answer) => panic!("answered {answer}"),
    }
    rig.wait_for_predecessor_exit();
}

/// A process that stands still must not hold up the requests at the other one: those with ids of their own are served,
/// and one whose id it holds has an answer in time.
#[test]
fn a_process_that_stands_still_holds_up_no_request() {
    let mut rig = Rig::start_with_inherited_listener(1);
    let request = open_request(&mut rig, RequestState::Established);
    start_successor(&mut rig);
    stop(rig.oldest_process());
    let mut bad_client = send_until_conflict(&rig, &request.line);
    let others = [(); 30].map(|()| open_request(&mut rig, RequestState::Established));
    assert_eq!(bad_client.receive(), "BUSY");
    assert!(rig.has_no_attempt());
    send_signal(rig.oldest_process(), "-CONT");
    drop(others);
}

/// A client whose connection has ended must be served with its id though the process that held the connection stands
/// still and has not read the close.
#[test]
fn a_client_that_is_back_is_served_while_its_former_process_stands_still() {
    let mut rig = Rig::start_with_inherited_listener(1);
    let request = open_request(&mut rig, RequestState::Established);
    start_successor(&mut rig);
    stop(rig.oldest_process());
    let former_address = request.client.stream.local_addr().unwrap();
    request.client.stream.shutdown(Shutdown::Both).unwrap();
    rig.wait_for_client_close(former_address);
    let mut client = rig.connect_client();
    client.send(&request.line);
    match outcome(&rig, &mut client) {
        Outcome::Sent(_) => {}
        Outcome::Answered(answer) => panic!("answered {answer}"),
    }
}

/// More conflicts than queries that may wait for an answer: each first line is answered all the same.
#[test]
fn a_crowd_with_the_id_of_an_open_request_is_turned_away() {
    let mut rig = Rig::start_with_inherited_listener(1);
    let mut request = open_request(&mut rig, RequestState::Established);
    start_successor(&mut rig);
    for _ in 0..4 {
        let mut crowd: Vec<_> = (0..100).map(|_| rig.connect_client()).collect();
        for client in &mut crowd {
            client.send(&request.line);
        }
        for client in &mut crowd {
            let answer = client.receive();
            assert!(is_turned_away(&answer), "{answer}");
        }
    }
    assert!(rig.has_no_attempt());
    rig.terminate_predecessor();
    exchange_lines(&mut request.client, &mut request.server);
}
