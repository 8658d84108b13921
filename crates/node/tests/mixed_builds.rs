//! The handoff between two builds of the node: the tested one and the one that `LUPINCRANK_OTHER_BUILD` names. Where the
//! variable names none, both processes run the tested build. Nothing here depends on what a build logs.

mod common;
use common::{admin_call_at, exchange_lines, Build, LineStream, Rig};
use rstest::rstest;
use std::time::Instant;

/// Connections that stand while one process hands over to the other.
const CONNECTION_COUNT: usize = 50;
/// Connections that are opened after the handoff.
const NEW_CONNECTION_COUNT: usize = 10;
/// The server that is drained before any connection is opened, and its number at the rig.
const DRAINED_SERVER: usize = 0;

/// A connection through the node.
struct StandingConnection {
    client: LineStream,
    server_index: usize,
    server: LineStream,
}

/// Opens a connection of a group of its own.
fn connect(rig: &mut Rig, index: usize) -> StandingConnection {
    let (client, server_index, server) = rig.establish_in_group(&format!("group-{index}"));
    StandingConnection {
        client,
        server_index,
        server,
    }
}

fn connect_many(rig: &mut Rig, count: usize) -> Vec<StandingConnection> {
    (0..count).map(|index| connect(rig, index)).collect()
}

/// Starts a second process of this build and waits until it can serve.
fn start_successor(rig: &mut Rig, build: Build) {
    rig.start_successor_build(build);
    rig.accept_watch();
    rig.wait_until_ready();
}

#[rstest]
#[case::to_the_tested_build(Build::Other, Build::This)]
#[case::from_the_tested_build(Build::This, Build::Other)]
fn no_connection_is_lost_between_builds(#[case] older: Build, #[case] newer: Build) {
    let mut rig = Rig::start_build_with_inherited_listener(older, 3);
    assert_eq!(rig.admin_call("set-down s-0\r\n"), "done");
    let mut connections = connect_many(&mut rig, CONNECTION_COUNT);
    for connection in &mut connections {
        assert_ne!(connection.server_index, DRAINED_SERVER);
        // A line without an answer and half a line of the server go over too.
        connection.client.send("question\r\n");
        assert_eq!(connection.server.receive(), "question");
        connection.server.send("first\r\nans");
        assert_eq!(connection.client.receive(), "first");
    }
    // A client whose first line is incomplete.
    let mut unidentified = rig.connect_client();
    unidentified.send("PI");

    start_successor(&mut rig, newer);
    let started_at = Instant::now();
    rig.terminate_predecessor();
    let duration = started_at.elapsed();

    for connection in &mut connections {
        connection.server.send("wer\r\n");
        assert_eq!(connection.client.receive(), "answer");
        exchange_lines(&mut connection.client, &mut connection.server);
    }
    unidentified.send("NG\r\n");
    assert_eq!(unidentified.receive(), "PONG");
    let new_connections = connect_many(&mut rig, NEW_CONNECTION_COUNT);
    for connection in &new_connections {
        assert_ne!(connection.server_index, DRAINED_SERVER);
    }
    println!("{CONNECTION_COUNT} connections, none lost; {older:?} to {newer:?} in {duration:?}");

    // The newer process knows of all of them: it moves them when it shuts down itself.
    rig.signal("-TERM");
    for mut connection in connections.into_iter().chain(new_connections) {
        assert_eq!(connection.client.receive(), "MOVE");
    }
}

/// Which process is told to drain a server while both run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Told {
    Older,
    Newer,
}

#[rstest]
#[case::to_the_tested_build(Build::Other, Build::This)]
#[case::from_the_tested_build(Build::This, Build::Other)]
fn a_drain_reaches_the_process_of_the_other_build(
    #[case] older: Build,
    #[case] newer: Build,
    #[values(Told::Older, Told::Newer)] told: Told,
) {
    let mut rig = Rig::start_build_with_inherited_listener(older, 2);
    let older_address = rig.admin_address();
    let mut connections = connect_many(&mut rig, 6);
    let drained = connections[0].server_index;
    start_successor(&mut rig, newer);
    let address = match told {
        Told::Older => older_address,
        Told::Newer => rig.admin_address(),
    };
    let call = format!("set-down s-{drained}\r\n");
    assert_eq!(admin_call_at(address, &call), "done");
    // The older process holds the connections and sends those of the drained server away.
    for connection in &mut connections {
        if connection.server_index == drained {
            assert_eq!(connection.client.receive(), "MOVE");
        }
    }
    connections.retain(|connection| connection.server_index != drained);
    assert!(!connections.is_empty(), "some are left to hand over");
    rig.terminate_predecessor();
    for connection in &mut connections {
        exchange_lines(&mut connection.client, &mut connection.server);
    }
    for connection in connect_many(&mut rig, NEW_CONNECTION_COUNT) {
        assert_ne!(connection.server_index, drained);
    }
}
