//! Lists, configurations and admin calls at their limits: repeated, at unusual times, and during other faults.

mod common;
use common::{wait_until, EchoServers, LineStream, Rig};
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time after the report of a drain from which a server gets no new requests.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Minimum length of a drain.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(2200);

/// Sends requests of many groups, all of which must be served, and returns the number that each server received.
fn spread(
    rig: &mut Rig,
    servers: &EchoServers,
    server_count: usize,
    requests: usize,
) -> Vec<usize> {
    let before: Vec<usize> = (0..server_count)
        .map(|server| servers.first_line_count(server))
        .collect();
    let mut clients: Vec<LineStream> = (0..requests)
        .map(|number| rig.send_request(&format!("d=3000,g=spread-{number}")).0)
        .collect();
    for client in &mut clients {
        assert_eq!(client.receive(), "UP r1");
    }
    (0..server_count)
        .map(|server| servers.first_line_count(server) - before[server])
        .collect()
}

/// A server that is missing in a complete list, draining or deleted gets no new requests after the grace period.
#[rstest]
#[case::missing("")]
#[case::draining("DRAINING")]
#[case::deleted("DELETED")]
fn a_removed_or_draining_server_gets_no_new_requests(#[case] health: &str) {
    let mut rig = Rig::start(3);
    rig.allow_long_delays();
    let servers = EchoServers::start(&rig);
    if health.is_empty() {
        let list = rig.endpoint_list(&["SERVING", "SERVING"], 2, true);
        rig.write_to_watch(format!("{list}\n").as_bytes(), 1000);
    } else {
        rig.announce_health(2, health, 2);
    }
    std::thread::sleep(DRAIN_GRACE);
    let counts = spread(&mut rig, &servers, 3, 30);
    assert_eq!(counts[2], 0, "{counts:?}");
    assert!(counts[0] > 0 && counts[1] > 0, "{counts:?}");
}

/// The first object of a watch is truncated by the end of the connection: none of it is applied, and the next call
/// requests changes from the previous version.
#[test]
fn a_list_truncated_by_the_end_of_the_watch_is_requested_again() {
    let mut rig = Rig::start(2);
    rig.allow_long_delays();
    let servers = EchoServers::start(&rig);
    let list = rig.endpoint_list(&["SERVING"], 7, true).to_string();
    let half = &list.as_bytes()[..list.len() - 1];
    rig.write_to_watch(half, 50);
    rig.watch = None;
    let (_, request) = rig.accept_discovery_call();
    assert!(request.contains("from=1 "), "{request}");
    let counts = spread(&mut rig, &servers, 2, 20);
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
}

/// Two nodes that reach the same servers at different addresses place each key on the same server.
#[test]
fn nodes_place_keys_alike_wherever_they_reach_the_servers() {
    let mut nodes = [Rig::start(5), Rig::start(5)];
    nodes.iter_mut().for_each(Rig::allow_long_delays);
    for number in 0..20 {
        let chosen = nodes.each_mut().map(|rig| chosen_server(rig, number));
        assert_eq!(chosen[0], chosen[1], "key {number}");
    }
}

/// The server that a node without connections chooses for a key.
fn chosen_server(rig: &mut Rig, number: usize) -> usize {
    let (client, line) = rig.send_request(&format!("d=30000,g=key-{number}"));
    let id = line.split(' ').nth(1).unwrap();
    let (server_index, mut server) = rig.accept_attempt();
    assert!(server.receive().contains(id), "an attempt of another key");
    drop(client);
    rig.wait_for_log_count("client left", number + 1);
    server_index
}

/// All clients of a server that the endpoint list marks as draining receive `MOVE` before its drain may be over.
#[test]
fn the_clients_of_a_draining_server_are_moved_before_it_may_stop() {
    let mut rig = Rig::start(3);
    let mut clients: BTreeMap<usize, Vec<(LineStream, LineStream)>> = BTreeMap::new();
    for number in 0..30 {
        let (client, server_index, server) = rig.establish_in_group(&format!("group-{number}"));
        clients
            .entry(server_index)
            .or_default()
            .push((client, server));
    }
    let draining = *clients
        .iter()
        .max_by_key(|(_, connections)| connections.len())
        .unwrap()
        .0;
    rig.announce_health(draining, "DRAINING", 2);
    let announced_at = Instant::now();
    for (client, _server) in clients.get_mut(&draining).unwrap() {
        assert_eq!(client.receive(), "MOVE");
    }
    assert!(
        announced_at.elapsed() < MIN_DRAIN_TIME,
        "{:?}",
        announced_at.elapsed()
    );
}

/// Successive configurations change the address of discovery: the last one takes effect, and connections stay.
#[test]
fn the_last_of_successive_configurations_takes_effect() {
    let mut rig = Rig::start(1);
    let (mut client, _, mut server) = rig.establish();
    for _ in 0..5 {
        rig.move_discovery();
    }
    rig.accept_watch();
    let announced_at = Instant::now();
    rig.announce_health(0, "DRAINING", 9);
    rig.wait_for_log("seq: 9");
    assert!(announced_at.elapsed() < Duration::from_secs(4));
    if client.is_quiet() {
        common::exchange_lines(&mut client, &mut server);
    }
    assert!(rig.is_running());
}

/// Many SIGHUPs at once right after the start, before the node is ready, must not end the process.
#[test]
fn a_reload_before_the_node_is_ready_ends_nothing() {
    let mut rig = Rig::launch(1, 256);
    rig.wait_for_log("serving");
    for _ in 0..50 {
        rig.signal("-HUP");
    }
    rig.accept_watch();
    wait_until("PONG", || (rig.query("PING\r\n") == "PONG").then_some(()));
    assert!(rig.is_running());
}

/// No change of the endpoint list ends an admin drain; one undrain call ends it, even after two drain calls.
#[test]
fn an_admin_drain_holds_whatever_the_endpoint_list_reports() {
    let mut rig = Rig::start(2);
    rig.allow_long_delays();
    let servers = EchoServers::start(&rig);
    for _ in 0..2 {
        assert_eq!(rig.admin_call("set-down s-0\r\n"), "done");
    }
    std::thread::sleep(DRAIN_GRACE);
    let mut seq = 2;
    for health in ["SERVING", "DRAINING", "SERVING", "DELETED", "SERVING"] {
        rig.announce_health(0, health, seq);
        rig.wait_for_log(&format!("seq: {seq}"));
        seq += 1;
        let counts = spread(&mut rig, &servers, 2, 10);
        assert_eq!(counts[0], 0, "after {health}: {counts:?}");
    }
    let restarted_at = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    rig.announce_start(0, restarted_at.unwrap().as_millis() as u64, seq);
    rig.wait_for_log(&format!("seq: {seq}"));
    let counts = spread(&mut rig, &servers, 2, 10);
    assert_eq!(counts[0], 0, "after a restart: {counts:?}");
    assert_eq!(rig.admin_call("set-up s-0\r\n"), "done");
    let undrained_at = Instant::now();
    let mut number = 0;
    wait_until("the server is used again", || {
        // A server that is warming up may not have capacity for all of them.
        number += 1;
        let (mut client, _) = rig.send_request(&format!("d=1000,g=again-{number}"));
        client.receive();
        (servers.first_line_count(0) > 0).then_some(())
    });
    assert!(undrained_at.elapsed() < Duration::from_secs(5));
}

/// An admin call that arrives in pieces, cut at any byte, is one call.
#[rstest]
fn an_admin_call_may_be_cut_at_any_byte(#[values(1, 3, 7)] chunk_size: usize) {
    let rig = Rig::start(1);
    let mut caller = rig.connect_admin();
    caller.stream.set_nodelay(true).unwrap();
    for chunk in "set-down s-0\r\n".as_bytes().chunks(chunk_size) {
        caller.send(std::str::from_utf8(chunk).unwrap());
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(caller.receive(), "done");
    assert_eq!(caller.receive(), "");
}

/// A second process is ready within 6 s even if discovery is down or hangs, and no new connection is refused meanwhile.
#[rstest]
#[case::down(true)]
#[case::hangs(false)]
fn a_successor_is_ready_in_time_without_discovery(#[case] is_down: bool) {
    let mut rig = Rig::start_with_inherited_listener(2);
    rig.allow_long_delays();
    let _servers = EchoServers::start(&rig);
    let _reserved = is_down.then(|| rig.stop_discovery());
    rig.start_successor();
    let started_at = Instant::now();
    let mut answers = BTreeMap::new();
    let mut clients = Vec::new();
    // A successor that is ready at once is to be met by a client too.
    let mut is_ready = false;
    while !is_ready {
        let (mut client, _) = rig.send_request(&format!("d=2000,g={}", clients.len()));
        let answer = client.try_receive().unwrap_or_default();
        *answers
            .entry(answer.split(' ').next().unwrap().to_string())
            .or_insert(0) += 1;
        clients.push(client);
        std::thread::sleep(Duration::from_millis(20));
        assert!(started_at.elapsed() < Duration::from_secs(7), "not ready");
        is_ready = rig.admin_call("check\r\n") == "done";
    }
    assert!(
        started_at.elapsed() < Duration::from_millis(6500),
        "{:?}",
        started_at.elapsed()
    );
    assert_eq!(answers.keys().collect::<Vec<_>>(), ["UP"], "{answers:?}");
}

/// Connections that arrive during a handoff are all answered.
#[test]
fn no_new_connection_is_refused_during_a_handoff() {
    let mut rig = Rig::start_with_inherited_listener(2);
    rig.allow_long_delays();
    let _servers = EchoServers::start(&rig);
    let address = rig.client_address();
    let clients = std::thread::spawn(move || {
        let mut answers: BTreeMap<String, usize> = BTreeMap::new();
        let started_at = Instant::now();
        let mut established = Vec::new();
        for number in 0u64.. {
            if started_at.elapsed() > Duration::from_secs(4) {
                break;
            }
            let mut client = LineStream::new(std::net::TcpStream::connect(address).unwrap());
            let id = (1u64 << 40) + number;
            let line = format!("OPEN {id:016x} f c=chat,d=2000,g={number}\r\n");
            let sent = client.try_send(&line);
            let answer = sent
                .ok()
                .and_then(|()| client.try_receive())
                .unwrap_or_default();
            *answers
                .entry(answer.split(' ').next().unwrap().to_string())
                .or_default() += 1;
            established.push(client);
            std::thread::sleep(Duration::from_millis(8));
        }
        answers
    });
    rig.hand_over_to_successor();
    let answers = clients.join().unwrap();
    assert_eq!(answers.keys().collect::<Vec<_>>(), ["UP"], "{answers:?}");
}
