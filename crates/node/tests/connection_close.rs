//! Closes: what is still under way when one side ends, and what the other side sees of it.

mod common;
use common::{reset_connection, wait_until, LineStream, Rig};
use rstest::rstest;
use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};

/// A first line of nearly the greatest length.
fn long_line(rig: &mut Rig, wait: u32) -> LineStream {
    let fill = "x".repeat(3800);
    rig.send_request(&format!("d={wait},g=a,x={fill}")).0
}

/// Transcribers take so little unread that the end of a long line stays in the node's kernel.
fn narrow(rig: &Rig) {
    for server in rig.servers.iter().flatten() {
        SockRef::from(server).set_recv_buffer_size(1).unwrap();
    }
}

/// All that comes until the connection ends, and whether it ended in good order.
fn rest(line: &mut LineStream) -> (Vec<u8>, bool) {
    let (mut came, mut part) = (Vec::new(), [0; 4096]);
    loop {
        match line.stream.read(&mut part) {
            Ok(0) => return (came, true),
            Ok(read) => came.extend_from_slice(&part[..read]),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => return (came, false),
            Err(error) => panic!("{error}"),
        }
    }
}

/// A connection of which the transcriber's kernel has taken a part of the line. The rest is held back, as by a network that is
/// cut.
fn held_back(rig: &Rig) -> LineStream {
    let (_, server) = rig.accept_attempt();
    wait_until("a part of the line", || {
        (server.stream.peek(&mut [0; 4096]).unwrap() > 0).then_some(())
    });
    server
}

/// How a try ends whose line has not arrived.
#[derive(Clone, Copy, PartialEq)]
enum Ends {
    ClientCloses,
    ClientResets,
    TimeOver,
    NodeKilled,
}

/// What the kernel holds back is not sent on when the network heals, after the try has ended: an attempt counts once its last byte
/// has arrived.
#[rstest]
fn what_is_held_back_is_not_sent_on_after_its_try_has_ended(
    #[values(
        Ends::ClientCloses,
        Ends::ClientResets,
        Ends::TimeOver,
        Ends::NodeKilled
    )]
    how: Ends,
) {
    let mut rig = Rig::start(1);
    rig.change_settings(|settings| {
        settings["Limits"]["SendCap"] = 1.into();
    });
    narrow(&rig);
    let mut client = Some(long_line(
        &mut rig,
        if how == Ends::TimeOver { 700 } else { 20000 },
    ));
    let mut server = held_back(&rig);
    match how {
        Ends::ClientCloses => drop(client.take()),
        Ends::ClientResets => reset_connection(client.take().unwrap()),
        Ends::TimeOver => assert!(client.as_mut().unwrap().receive().starts_with("BUSY")),
        Ends::NodeKilled => {
            rig.signal("-KILL");
            rig.wait_for_exit();
        }
    }
    if client.is_none() {
        rig.wait_for_log("client left");
        // A call is answered after what was decided has been carried out.
        assert_eq!(rig.query("PING\r\n"), "PONG");
    }
    let (came, in_order) = rest(&mut server);
    assert!(
        !came.ends_with(b"\n") && !in_order,
        "{} bytes came, in good order: {in_order}",
        came.len()
    );
}

/// Where all has arrived a try ends in good order, whoever ends it.
#[rstest]
#[case::client_ends(None)]
#[case::error(Some("ERR\r\n"))]
#[case::turned_away(Some("BUSY\r\n"))]
#[case::served(Some("BYE\r\n"))]
#[case::time_over(Some(""))]
fn a_try_whose_line_has_arrived_ends_in_good_order(#[case] says: Option<&str>) {
    let mut rig = Rig::start(1);
    rig.change_settings(|settings| settings["Limits"]["SendCap"] = 1.into());
    let (client, line) = rig.send_request(if says == Some("") {
        "d=700,g=a"
    } else {
        "d=20000,g=a"
    });
    let (_, mut server) = rig.accept_attempt();
    assert_eq!(server.receive().split(',').next(), line.split(',').next());
    match says {
        Some(says) => server.send(says),
        None => drop(client),
    }
    assert_eq!(rest(&mut server), (Vec::new(), true));
}

/// A connection from before the node's life that waits for its transcriber when the node has to end gets its answer.
#[test]
fn a_connection_from_before_gets_its_answer_when_the_node_ends() {
    let mut rig = Rig::start(1);
    let (mut client, _) = rig.send_request("d=40000,g=a,at=s-0");
    let (_, mut server) = rig.accept_attempt();
    server.receive();
    rig.signal("-TERM");
    assert_eq!(
        [client.receive(), client.receive()],
        ["ERR", ""],
        "it may stand by now"
    );
    drop((client, server));
    assert!(rig.wait_for_exit().success());
}

/// A client that sends much and goes, its line among it: nothing of it reaches a transcriber, and others are served.
#[rstest]
fn a_flood_that_ends_is_not_sent_on(#[values("x", "y\r\n")] says: &str) {
    let mut rig = Rig::start(1);
    rig.pause();
    let (mut client, _) = rig.send_request("d=20000,g=a");
    client
        .stream
        .set_write_timeout(Some(std::time::Duration::from_millis(200)))
        .unwrap();
    let _ = client.stream.write_all(says.repeat(300_000).as_bytes());
    drop(client);
    rig.resume();
    let (mut client, line) = rig.send_request("d=20000,g=b");
    let (_, mut server) = rig.accept_attempt();
    let id = line.split(' ').nth(1).unwrap();
    assert!(
        server.receive().contains(id),
        "the first that a transcriber hears is the next client's line"
    );
    server.send("UP r1\r\n");
    assert_eq!(client.receive(), "UP r1");
}
