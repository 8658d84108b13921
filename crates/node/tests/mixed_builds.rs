//! The handoff between two builds of the node: the tested one and the one that `LUPINCRANK_OTHER_BUILD` names. If the
//! variable is not set, both processes run the tested build. No test here depends on the log of a build.

mod common;
use common::{admin_call_at, exchange_lines, Build, LineStream, Rig};
use rstest::rstest;
use std::time::Instant;

/// Established connections during the handoff.
const CONNECTION_COUNT: usize = 50;
/// Connections that are opened after the handoff.
const NEW_CONNECTION_COUNT: usize = 10;
/// Index of the server that is drained before any connection is opened.
const DRAINED_SERVER: usize = 0;

/// A connection through the node.
struct EstablishedConnection {
    client: LineStream,
    server_index: usize,
    server: LineStream,
}

/// Opens a connection with its own group.
fn connect(rig: &mut Rig, index: usize) -> EstablishedConnection {
    let (client, server_index, server) = rig.establish_in_group(&format!("group-{index}"));
    EstablishedConnection {
        client,
        server_index,
        server,
    }
}

fn connect_many(rig: &mut Rig, count: usize) -> Vec<EstablishedConnection> {
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
        // An unanswered line and half a line of the server are handed over too.
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

    // The newer process holds all of the connections: it moves them at its own shutdown.
    rig.signal("-TERM");
    for mut connection in connections.into_iter().chain(new_connections) {
        assert_eq!(connection.client.receive(), "MOVE");
    }
}

/// The process that receives the drain call while both run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CalledProcess {
    Older,
    Newer,
}

#[rstest]
#[case::to_the_tested_build(Build::Other, Build::This)]
#[case::from_the_tested_build(Build::This, Build::Other)]
fn a_drain_reaches_the_process_of_the_other_build(
    #[case] older: Build,
    #[case] newer: Build,
    #[values(CalledProcess::Older, CalledProcess::Newer)] called: CalledProcess,
) {
    let mut rig = Rig::start_build_with_inherited_listener(older, 2);
    let older_address = rig.admin_address();
    let mut connections = connect_many(&mut rig, 6);
    let drained = connections[0].server_index;
    start_successor(&mut rig, newer);
    let address = match called {
        CalledProcess::Older => older_address,
        CalledProcess::Newer => rig.admin_address(),
    };
    let call = format!("set-down s-{drained}\r\n");
    assert_eq!(admin_call_at(address, &call), "done");
    // The older process holds the connections and moves those of the drained server.
    for connection in &mut connections {
        if connection.server_index == drained {
            assert_eq!(connection.client.receive(), "MOVE");
        }
    }
    connections.retain(|connection| connection.server_index != drained);
    assert!(
        !connections.is_empty(),
        "no connection is left to hand over"
    );
    rig.terminate_predecessor();
    for connection in &mut connections {
        exchange_lines(&mut connection.client, &mut connection.server);
    }
    for connection in connect_many(&mut rig, NEW_CONNECTION_COUNT) {
        assert_ne!(connection.server_index, drained);
    }
}
