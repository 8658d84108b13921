//! Bytes in transit when one side closes a connection, and what the other side receives of them.

mod common;
use common::{reset_connection, wait_until, LineStream, Rig};
use rstest::rstest;
use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};

/// Sends a first line of nearly the maximum length.
fn send_long_request(rig: &mut Rig, wait: u32) -> LineStream {
    let fill = "x".repeat(3800);
    rig.send_request(&format!("d={wait},g=a,x={fill}")).0
}

/// Makes the servers' receive buffers so small that the end of a long line stays in the node's kernel.
fn shrink_receive_buffers(rig: &Rig) {
    for server in rig.servers.iter().flatten() {
        SockRef::from(server).set_recv_buffer_size(1).unwrap();
    }
}

/// Returns all bytes until the connection ends, and whether it ended without a reset.
fn read_to_end(line: &mut LineStream) -> (Vec<u8>, bool) {
    let (mut received, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        match line.stream.read(&mut chunk) {
            Ok(0) => return (received, true),
            Ok(read) => received.extend_from_slice(&chunk[..read]),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => return (received, false),
            Err(error) => panic!("{error}"),
        }
    }
}

/// Accepts a connection on which a part of the line has arrived. The rest is held back, as by a network outage.
fn accept_partly_delivered_attempt(rig: &Rig) -> LineStream {
    let (_, server) = rig.accept_attempt();
    wait_until("a part of the line", || {
        (server.stream.peek(&mut [0; 4096]).unwrap() > 0).then_some(())
    });
    server
}

/// The way in which an attempt ends before its line has arrived.
#[derive(Clone, Copy, PartialEq)]
enum AttemptEnd {
    ClientCloses,
    ClientResets,
    Timeout,
    NodeKilled,
}

/// Bytes in the kernel's buffer must not be delivered once the network recovers, if the attempt has ended: the server
/// may execute the request when its last byte arrives.
#[rstest]
fn undelivered_bytes_are_dropped_when_the_attempt_ends(
    #[values(
        AttemptEnd::ClientCloses,
        AttemptEnd::ClientResets,
        AttemptEnd::Timeout,
        AttemptEnd::NodeKilled
    )]
    attempt_end: AttemptEnd,
) {
    let mut rig = Rig::start(1);
    rig.change_settings(|settings| {
        settings["Limits"]["SendCap"] = 1.into();
    });
    shrink_receive_buffers(&rig);
    let mut client = Some(send_long_request(
        &mut rig,
        if attempt_end == AttemptEnd::Timeout {
            700
        } else {
            20000
        },
    ));
    let mut server = accept_partly_delivered_attempt(&rig);
    match attempt_end {
        AttemptEnd::ClientCloses => drop(client.take()),
        AttemptEnd::ClientResets => reset_connection(client.take().unwrap()),
        AttemptEnd::Timeout => assert!(client.as_mut().unwrap().receive().starts_with("BUSY")),
        AttemptEnd::NodeKilled => {
            rig.signal("-KILL");
            rig.wait_for_exit();
        }
    }
    if client.is_none() {
        rig.wait_for_log("client left");
        // `PING` is answered after earlier decisions have been carried out.
        assert_eq!(rig.query("PING\r\n"), "PONG");
    }
    let (received, is_graceful) = read_to_end(&mut server);
    assert!(
        !received.ends_with(b"\n") && !is_graceful,
        "{} bytes received, without a reset: {is_graceful}",
        received.len()
    );
}

/// The close is graceful whichever side ends the attempt.
#[rstest]
#[case::client_ends(None)]
#[case::error(Some("ERR\r\n"))]
#[case::rejected(Some("BUSY\r\n"))]
#[case::served(Some("BYE\r\n"))]
#[case::time_over(Some(""))]
fn an_attempt_whose_line_has_arrived_is_closed_without_reset(#[case] answer: Option<&str>) {
    let mut rig = Rig::start(1);
    rig.change_settings(|settings| settings["Limits"]["SendCap"] = 1.into());
    let (client, line) = rig.send_request(if answer == Some("") {
        "d=700,g=a"
    } else {
        "d=20000,g=a"
    });
    let (_, mut server) = rig.accept_attempt();
    assert_eq!(server.receive().split(',').next(), line.split(',').next());
    match answer {
        Some(answer) => server.send(answer),
        None => drop(client),
    }
    assert_eq!(read_to_end(&mut server), (Vec::new(), true));
}

/// A restored connection, which existed before the node's start, waits for its server at SIGTERM.
#[test]
fn a_restored_connection_is_answered_at_shutdown() {
    let mut rig = Rig::start(1);
    let (mut client, _) = rig.send_request("d=40000,g=a,at=s-0");
    let (_, mut server) = rig.accept_attempt();
    server.receive();
    rig.signal("-TERM");
    assert_eq!(
        [client.receive(), client.receive()],
        ["ERR", ""],
        "the server may have accepted it"
    );
    drop((client, server));
    assert!(rig.wait_for_exit().success());
}

/// A client sends its line and much more, and closes: none of it reaches a server, and other clients are served.
#[rstest]
fn a_flood_of_a_client_that_closes_is_not_forwarded(#[values("x", "y\r\n")] text: &str) {
    let mut rig = Rig::start(1);
    rig.pause();
    let (mut client, _) = rig.send_request("d=20000,g=a");
    client
        .stream
        .set_write_timeout(Some(std::time::Duration::from_millis(200)))
        .unwrap();
    let _ = client.stream.write_all(text.repeat(300_000).as_bytes());
    drop(client);
    rig.resume();
    let (mut client, line) = rig.send_request("d=20000,g=b");
    let (_, mut server) = rig.accept_attempt();
    let id = line.split(' ').nth(1).unwrap();
    assert!(
        server.receive().contains(id),
        "the first line that a server receives is the next client's"
    );
    server.send("UP r1\r\n");
    assert_eq!(client.receive(), "UP r1");
}
