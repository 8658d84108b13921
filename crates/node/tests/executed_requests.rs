//! Requests that must not be executed twice: an id that comes again after its request may have been executed.

mod common;
use common::{exchange_lines, send_signal, wait_until, LineStream, Rig};
use rstest::rstest;
use std::net::Shutdown;

/// Longer than any test.
const LONG_NS: u64 = 60_000_000_000;

/// Where an id comes again that came first to the only process.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Return {
    SameProcess,
    /// The first process stands still.
    Successor,
    /// The first process has ended after SIGTERM.
    AfterUpgrade,
    /// The first process was killed beside its successor.
    AfterKill,
    /// The successor of the successor, whose predecessor has ended as well.
    AfterTwoUpgrades,
}

/// Starts a node with one server whose class has this `Repeat` setting.
fn start(repeat: &str) -> Rig {
    start_with_servers(1, repeat)
}

fn start_with_servers(server_count: usize, repeat: &str) -> Rig {
    let mut rig = Rig::start_with_inherited_listener(server_count);
    rig.allow_long_delays();
    rig.change_settings(|settings| settings["Categories"][0]["Repeat"] = repeat.into());
    rig.wait_for_log_count("configuration reloaded", 2);
    rig
}

fn start_successor(rig: &mut Rig) {
    rig.start_successor();
    rig.accept_watch();
    rig.wait_until_ready();
}

/// Makes the process of this case the one that accepts the next client.
fn move_on(rig: &mut Rig, to: Return) {
    match to {
        Return::SameProcess => {}
        Return::Successor => {
            start_successor(rig);
            rig.wait_for_log_count("node budgets divided, processes: 2", 2);
            pause_oldest(rig);
        }
        Return::AfterUpgrade => rig.hand_over_to_successor(),
        Return::AfterKill => {
            start_successor(rig);
            let oldest = rig.oldest_process();
            send_signal(oldest, "-KILL");
            wait_until("the older process ends", || oldest.try_wait().unwrap());
        }
        Return::AfterTwoUpgrades => {
            rig.hand_over_to_successor();
            rig.hand_over_to_successor();
        }
    }
}

fn pause_oldest(rig: &mut Rig) {
    let oldest = rig.oldest_process();
    send_signal(oldest, "-STOP");
    let path = format!("/proc/{}/stat", oldest.id());
    wait_until("the older process is stopped", || {
        let stat = std::fs::read_to_string(&path).unwrap();
        let (_, fields) = stat.rsplit_once(") ").unwrap();
        fields.starts_with('T').then_some(())
    });
}

/// Opens a request whose server has received the first line and does not answer. Returns the line with its terminator.
fn send_to_silent_server(rig: &mut Rig) -> (LineStream, String, LineStream) {
    let (client, line) = rig.send_request("d=30000,g=a");
    let (_, mut server) = rig.accept_attempt();
    server.receive();
    (client, format!("{line}\r\n"), server)
}

/// Closes the client's connection and waits until the node has closed the one to the server.
fn leave(client: &LineStream, server: &mut LineStream) {
    client.stream.shutdown(Shutdown::Both).unwrap();
    let end = server.receive();
    assert!(end.is_empty() || end == "RST", "{end}");
}

fn assert_turned_away(rig: &Rig, line: &str) {
    assert_eq!(rig.query(line), "ERR");
    assert!(rig.has_no_attempt(), "the request was executed twice");
}

fn assert_served(rig: &Rig, line: &str) {
    let mut client = rig.connect_client();
    client.send(line);
    let (_, mut server) = rig.accept_attempt();
    assert_established(&mut client, &mut server);
}

fn assert_established(client: &mut LineStream, server: &mut LineStream) {
    server.receive();
    server.send("UP r2\r\n");
    assert_eq!(client.receive(), "UP r2");
    exchange_lines(client, server);
}

/// A client sent a first line and left, its request was executed, and the same id was executed once more when it came
/// again, at the same process of the node or at another one.
#[rstest]
fn the_id_of_a_client_that_left_is_turned_away(
    #[values("once", "by_key")] repeat: &str,
    #[values(
        Return::SameProcess,
        Return::Successor,
        Return::AfterUpgrade,
        Return::AfterKill,
        Return::AfterTwoUpgrades
    )]
    returns: Return,
) {
    let mut rig = start(repeat);
    let (client, line, mut server) = send_to_silent_server(&mut rig);
    leave(&client, &mut server);
    move_on(&mut rig, returns);
    assert_turned_away(&rig, &line);
    assert_turned_away(&rig, &line);
    // Another id is served by the same process.
    rig.establish();
}

/// The process that holds the request may stand still or be killed before it has noticed that the client has left.
#[rstest]
fn the_id_of_an_attempt_in_flight_is_turned_away(
    #[values(Return::SameProcess, Return::Successor, Return::AfterKill)] returns: Return,
) {
    let mut rig = start("once");
    let (_client, line, _server) = send_to_silent_server(&mut rig);
    move_on(&mut rig, returns);
    assert_turned_away(&rig, &line);
}

/// How a server ends the attempt that it has received, and what the client is told.
#[rstest]
#[case::error(Some("ERR\r\n"))]
#[case::served(Some("BYE\r\n"))]
#[case::moved(Some("MOVE\r\n"))]
#[case::closed(None)]
fn an_id_that_was_answered_is_turned_away(#[case] answer: Option<&str>) {
    let mut rig = start("once");
    let (mut client, line, mut server) = send_to_silent_server(&mut rig);
    if let Some(answer) = answer {
        server.send(answer);
    }
    server.stream.shutdown(Shutdown::Both).unwrap();
    client.receive();
    assert_turned_away(&rig, &line);
}

/// A connection that was established, and one that was handed over, end like those of requests that were not.
#[rstest]
fn the_id_of_a_connection_that_has_ended_is_turned_away(
    #[values(Return::SameProcess, Return::AfterUpgrade, Return::AfterTwoUpgrades)] returns: Return,
) {
    let mut rig = start("once");
    let (mut client, line, mut server) = send_to_silent_server(&mut rig);
    server.send("UP r1\r\n");
    assert_eq!(client.receive(), "UP r1");
    move_on(&mut rig, returns);
    exchange_lines(&mut client, &mut server);
    assert_turned_away(&rig, &line);
    leave(&client, &mut server);
    assert_turned_away(&rig, &line);
}

/// A connection from before the node's start (`at=`) counts as executed once its server has accepted it.
#[test]
fn the_id_of_a_restored_connection_is_turned_away() {
    let mut rig = start("once");
    let (mut client, line) = rig.send_request("d=30000,g=a,at=s-0");
    let (_, mut server) = rig.accept_attempt();
    server.receive();
    server.send("UP r1\r\n");
    assert_eq!(client.receive(), "UP r1");
    leave(&client, &mut server);
    let line = line.replace(",at=s-0", "");
    assert_turned_away(&rig, &format!("{line}\r\n"));
}

/// A request that is known not to have been executed must be served at once when its id comes again.
#[rstest]
fn the_id_of_a_request_that_was_not_executed_is_served(
    #[values("once", "by_key")] repeat: &str,
    #[values(Return::SameProcess, Return::Successor, Return::AfterUpgrade)] returns: Return,
) {
    // The server that answers `BUSY` is sent nothing for a while.
    let mut rig = start_with_servers(4, repeat);
    rig.change_settings(|settings| settings["Limits"]["SendCap"] = 1.into());
    rig.wait_for_log("max_attempts: 1");
    let (mut client, line, mut server) = send_to_silent_server(&mut rig);
    server.send("BUSY\r\n");
    let answer = client.receive();
    assert!(answer.starts_with("BUSY"), "{answer}");
    move_on(&mut rig, returns);
    assert_served(&rig, &line);
}

/// A client that left before any server was sent its line has not been served.
#[test]
fn the_id_of_a_request_that_was_not_sent_is_served() {
    let mut rig = start("once");
    rig.change_settings(|settings| settings["Limits"]["ConnectTimeoutNs"] = LONG_NS.into());
    rig.wait_for_log_count("configuration reloaded", 3);
    let backlog = rig.fill_backlog(0);
    let (first, line) = rig.send_request("d=30000,g=a");
    rig.wait_for_log("attempt started");
    first.stream.shutdown(Shutdown::Both).unwrap();
    rig.wait_for_log("client left");
    let mut client = rig.connect_client();
    client.send(&format!("{line}\r\n"));
    rig.wait_for_log_count("attempt started", 2);
    assert_established(&mut client, &mut backlog.release());
}

/// Requests that may be repeated are served again, as before.
#[rstest]
fn the_id_of_a_repeatable_request_is_served_again(
    #[values(
        Return::SameProcess,
        Return::Successor,
        Return::AfterUpgrade,
        Return::AfterKill
    )]
    returns: Return,
) {
    let mut rig = start("repeatable");
    let (client, line, mut server) = send_to_silent_server(&mut rig);
    leave(&client, &mut server);
    move_on(&mut rig, returns);
    assert_served(&rig, &line);
}

/// A node that starts alone knows nothing of the processes before it, whatever they have left in the directory.
#[test]
fn an_id_from_before_a_restart_is_served() {
    let mut rig = start("once");
    let (client, line, mut server) = send_to_silent_server(&mut rig);
    leave(&client, &mut server);
    rig.signal("-KILL");
    rig.wait_for_exit();
    rig.start_successor();
    rig.accept_watch();
    rig.wait_until_ready();
    assert_served(&rig, &line);
}
