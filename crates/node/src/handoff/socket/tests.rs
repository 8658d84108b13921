use super::*;
use crate::discovery::endpoint_list::ListedEndpoint;
use crate::handoff::message::{
    BufferLengths, ClaimQuery, ClaimReport, ConnectionTransfer, EndpointListPart, Heartbeat,
    TransferredConnection, UnidentifiedClientTransfer, PROTOCOL_VERSION,
};
use lupincrank_placement::learned_state::LearnedServer;
use rstest::rstest;
use std::io::{Read, Write};
use std::sync::Arc;
use std::time::Duration;

/// Returns one end of a connection as a [`PeerConnection`], and the other end as a plain socket.
fn connection_pair() -> (PeerConnection, Socket) {
    let (near, far) = Socket::pair(Domain::UNIX, Type::SEQPACKET, None).unwrap();
    let poller = Rc::new(Poller::new().unwrap());
    (PeerConnection::from_accepted(&poller, near).unwrap(), far)
}

/// A heartbeat as builds send it that answer no claim queries, or as those that do.
fn heartbeat(answers_claim_queries: bool) -> HandoffMessage {
    HandoffMessage::Heartbeat(Heartbeat {
        answers_claim_queries,
        shares_endpoint_lists: false,
        ..heartbeat_with_endpoint_lists()
    })
}

/// A heartbeat as builds send it that share their endpoint lists.
fn heartbeat_with_endpoint_lists() -> Heartbeat {
    Heartbeat {
        version: PROTOCOL_VERSION,
        client_count: 50,
        unidentified_count: 3,
        accepts_clients: true,
        answers_claim_queries: true,
        shares_endpoint_lists: true,
    }
}

/// Changes that discovery told at version 43.
fn endpoint_list_part() -> HandoffMessage {
    let drained = ListedEndpoint {
        server: "s-1".into(),
        address: "127.0.0.1:8000".into(),
        zone: Some("a".into()),
        machine_kind: Some("m2".into()),
        cell: Some(3),
        health: "DRAINING".into(),
        weight: Some(0.5),
        started_at_ms: Some(1_700_000_000_000),
    };
    let removed = ListedEndpoint {
        server: "s \"2\"".into(),
        address: "127.0.0.1:8001".into(),
        zone: None,
        machine_kind: None,
        cell: None,
        health: "DELETED".into(),
        weight: None,
        started_at_ms: None,
    };
    HandoffMessage::EndpointList(EndpointListPart {
        generation: 1,
        version: 43,
        previous_version: Some(41),
        confirmed_at: serde_json::from_str("1500000000").unwrap(),
        index: 0,
        count: 1,
        endpoints: vec![Arc::new(drained), Arc::new(removed)],
    })
}

fn learned_state() -> HandoffMessage {
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
    let healthy = LearnedServer {
        server: "s \"2\"".into(),
        started_ago: None,
        concurrency_limit: None,
        overloaded_ago: None,
        ejected_for: None,
        ejection_count: 0,
        consecutive_failures: 0,
        restart_suspected: false,
    };
    HandoffMessage::LearnedState(vec![ejected.into(), healthy.into()])
}

fn connection() -> HandoffMessage {
    let connection = TransferredConnection {
        request: 0x0123_4567_89ab_cdef,
        class: "chat".into(),
        group: Some("5c0f6e1a".into()),
        key: Some("7f3a9c21e0b4d655".into()),
        is_reconnect: true,
        server: "s-1".into(),
        load_us: Some(1_500),
        unanswered_ms: vec![40, 0],
        lengths: BufferLengths {
            to_server: 7,
            to_client: 6,
            partial_line: 4,
        },
    };
    HandoffMessage::Connection(ConnectionTransfer {
        number: 7,
        connection,
    })
}

fn connection_without_options() -> HandoffMessage {
    let connection = TransferredConnection {
        request: 1,
        class: "chat".into(),
        group: None,
        key: None,
        is_reconnect: false,
        server: "s-2".into(),
        load_us: None,
        unanswered_ms: Vec::new(),
        lengths: BufferLengths::default(),
    };
    HandoffMessage::Connection(ConnectionTransfer {
        number: 8,
        connection,
    })
}

fn unidentified_client() -> HandoffMessage {
    HandoffMessage::UnidentifiedClient(UnidentifiedClientTransfer {
        number: 9,
        remaining_ms: 1_200,
    })
}

/// The fixtures were written by revision c925b3d, those about claims and endpoint lists by the first revision with these
/// messages. They fix the format of the messages, which two processes of
/// different builds exchange during a handoff.
#[rstest]
#[case::heartbeat(heartbeat(false), "", include_bytes!("../fixtures/heartbeat.bin"))]
#[case::admin_drain_changed(HandoffMessage::AdminDrainChanged, "", include_bytes!("../fixtures/admin_drain_changed.bin"))]
#[case::learned_state(learned_state(), "", include_bytes!("../fixtures/learned_state.bin"))]
#[case::connection(connection(), "hello\r\nfirst\nLOAD", include_bytes!("../fixtures/connection.bin"))]
#[case::connection_without_options(
    connection_without_options(),
    "",
    include_bytes!("../fixtures/connection_without_options.bin")
)]
#[case::unidentified_client(
    unidentified_client(),
    "OPEN 00000000000000ff 7f3a9c",
    include_bytes!("../fixtures/unidentified_client.bin")
)]
#[case::heartbeat_with_claim_queries(
    heartbeat(true),
    "",
    include_bytes!("../fixtures/heartbeat_with_claim_queries.bin")
)]
#[case::claim_query(
    HandoffMessage::ClaimQuery(ClaimQuery { number: 10, request: 0x0123_4567_89ab_cdef }),
    "",
    include_bytes!("../fixtures/claim_query.bin")
)]
#[case::claim_report(
    HandoffMessage::ClaimReport(ClaimReport { number: 10, is_in_use: true }),
    "",
    include_bytes!("../fixtures/claim_report.bin")
)]
#[case::heartbeat_with_endpoint_lists(
    HandoffMessage::Heartbeat(heartbeat_with_endpoint_lists()),
    "",
    include_bytes!("../fixtures/heartbeat_with_endpoint_lists.bin")
)]
#[case::endpoint_list(endpoint_list_part(), "", include_bytes!("../fixtures/endpoint_list.bin"))]
#[case::accepted(HandoffMessage::Accepted(7), "", include_bytes!("../fixtures/accepted.bin"))]
#[case::rejected(HandoffMessage::Rejected(8), "", include_bytes!("../fixtures/rejected.bin"))]
fn a_message_is_read_and_written_as_by_earlier_builds(
    #[case] message: HandoffMessage,
    #[case] payload: &str,
    #[case] fixture: &[u8],
) {
    let (near, mut far) = connection_pair();
    let outcome = near.send(&message, payload.as_bytes(), &[]).unwrap();
    assert_eq!(outcome, SendOutcome::Sent);
    let mut packet = vec![0; MAX_PACKET_BYTES];
    let length = far.read(&mut packet).unwrap();
    assert_eq!(&packet[..length], fixture);

    assert_eq!(far.write(fixture).unwrap(), fixture.len());
    let received = near.receive().unwrap().unwrap();
    assert_eq!(received.message, message);
    assert_eq!(received.payload, payload.as_bytes());
    assert!(received.descriptors.is_empty());
}

/// A process that ended with unread messages took the ones that it had sent before with it: connections that it had offered
/// were cut.
#[test]
fn messages_from_a_process_that_ended_with_unread_ones_are_received() {
    let (near, mut far) = connection_pair();
    far.write_all(include_bytes!("../fixtures/accepted.bin"))
        .unwrap();
    far.write_all(include_bytes!("../fixtures/rejected.bin"))
        .unwrap();
    let unread = near
        .send(&HandoffMessage::AdminDrainChanged, &[], &[])
        .unwrap();
    assert_eq!(unread, SendOutcome::Sent);
    drop(far);
    let expected = [HandoffMessage::Accepted(7), HandoffMessage::Rejected(8)];
    for message in expected {
        assert_eq!(near.receive().unwrap().unwrap().message, message);
    }
    let end = near.receive().err().unwrap();
    assert_eq!(end.kind(), io::ErrorKind::UnexpectedEof);
}
