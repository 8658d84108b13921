use super::*;
use lupincrank_reactor::Interest;
use rstest::rstest;
use std::io::{Read, Write};
use std::rc::Rc;

/// Both ends of a connection between two processes: this module's and a plain socket.
fn socket_pair() -> (Registered<Socket>, Socket) {
    let (near, far) = Socket::pair(Domain::UNIX, Type::SEQPACKET, None).unwrap();
    let poller = Rc::new(polling::Poller::new().unwrap());
    let near = Registered::new(&poller, near, 1, Interest::READ).unwrap();
    (near, far)
}

fn heartbeat() -> Said {
    Said::Beat(Beat {
        version: VERSION,
        clients: 50,
        strangers: 3,
        open: true,
    })
}

fn learned_state() -> Said {
    let ejected = LearnedServer {
        server: "s-1".into(),
        started_ago: Some(Duration::from_secs(120)),
        concurrency_limit: Some(2.5),
        overloaded_ago: Some(Duration::from_millis(1_500)),
        ejected_for: Some(Duration::from_secs(4)),
        ejection_count: 2,
        consecutive_failures: 3,
        restart_suspected: true,
    };
    let sound = LearnedServer {
        server: "s \"2\"".into(),
        started_ago: None,
        concurrency_limit: None,
        overloaded_ago: None,
        ejected_for: None,
        ejection_count: 0,
        consecutive_failures: 0,
        restart_suspected: false,
    };
    Said::Learnt(vec![ejected.into(), sound.into()])
}

fn connection() -> Said {
    let record = Standing {
        request: 0x0123_4567_89ab_cdef,
        class: "chat".into(),
        group: Some("5c0f6e1a".into()),
        key: Some("7f3a9c21e0b4d655".into()),
        returned: true,
        server: "s-1".into(),
        load_us: Some(1_500),
        unanswered_ms: vec![40, 0],
        lengths: [7, 6, 4],
    };
    Said::Standing(7, record)
}

fn connection_without_options() -> Said {
    let record = Standing {
        request: 1,
        class: "chat".into(),
        group: None,
        key: None,
        returned: false,
        server: "s-2".into(),
        load_us: None,
        unanswered_ms: Vec::new(),
        lengths: [0, 0, 0],
    };
    Said::Standing(8, record)
}

/// The fixtures were written by revision c925b3d; both builds of a handoff must agree on them.
#[rstest]
#[case::heartbeat(heartbeat(), "", include_bytes!("../fixtures/heartbeat.bin"))]
#[case::admin_drain_changed(Said::Out, "", include_bytes!("../fixtures/admin_drain_changed.bin"))]
#[case::learned_state(learned_state(), "", include_bytes!("../fixtures/learned_state.bin"))]
#[case::connection(connection(), "hello\r\nfirst\nLOAD", include_bytes!("../fixtures/connection.bin"))]
#[case::connection_without_options(
    connection_without_options(),
    "",
    include_bytes!("../fixtures/connection_without_options.bin")
)]
#[case::unidentified_client(
    Said::First(9, 1_200),
    "OPEN 00000000000000ff 7f3a9c",
    include_bytes!("../fixtures/unidentified_client.bin")
)]
#[case::accepted(Said::Took(7), "", include_bytes!("../fixtures/accepted.bin"))]
#[case::rejected(Said::Refused(8), "", include_bytes!("../fixtures/rejected.bin"))]
fn a_message_is_read_and_written_as_by_earlier_builds(
    #[case] message: Said,
    #[case] payload: &str,
    #[case] fixture: &[u8],
) {
    let (near, mut far) = socket_pair();
    assert!(send(&near, &message, payload.as_bytes(), &[]).unwrap());
    let mut packet = vec![0; LONGEST];
    let length = far.read(&mut packet).unwrap();
    assert_eq!(&packet[..length], fixture);

    assert_eq!(far.write(fixture).unwrap(), fixture.len());
    let received = receive(&near).unwrap().unwrap();
    assert_eq!(received.said, message);
    assert_eq!(received.bytes, payload.as_bytes());
    assert!(received.fds.is_empty());
}
