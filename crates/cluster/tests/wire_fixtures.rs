//! Checks that the wire format between nodes is stable. The files under `fixtures` were written by revision c925b3d.
//! Each must decode to the same values, and encode to the same bytes.

use lupincrank_cluster::cluster_tag;
use lupincrank_cluster::frame::{encode_frame, FrameDecoder};
use lupincrank_cluster::membership::{
    Identity, Membership, MembershipConfig, MembershipOutput, SeedNode,
};
use lupincrank_cluster::message::{Handshake, Message, Subject};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

const CLUSTER_NAME: &str = "guj";

fn handshake() -> Message {
    Message::Handshake(Handshake {
        cluster_tag: cluster_tag(CLUSTER_NAME),
        name: "n0".into(),
        incarnation: 0x0123_4567_89ab_cdef,
        started_at_ms: 1_700_000_000_000,
        build: "0.1.0".into(),
    })
}

#[rstest]
#[case::handshake(include_bytes!("fixtures/handshake.frame"), handshake())]
#[case::ping(include_bytes!("fixtures/ping.frame"), Message::Ping)]
#[case::replaced(include_bytes!("fixtures/replaced.frame"), Message::Replaced)]
#[case::control_payload(
    include_bytes!("fixtures/control-payload.frame"),
    Message::Payload(Subject::Control, (0..=255).collect())
)]
fn a_frame_is_read_and_written_as_before(#[case] fixture: &[u8], #[case] message: Message) {
    let mut decoder = FrameDecoder::default();
    decoder.push(fixture);
    assert_eq!(decoder.next_message().unwrap(), Some(message.clone()));
    assert_eq!(decoder.next_message().unwrap(), None);
    assert_eq!(encode_frame(&message).unwrap(), fixture);
}

fn identity(number: u16) -> Identity {
    Identity {
        name: format!("n{number}"),
        incarnation: 100 + u64::from(number),
        started_at_ms: 1_700_000_000_000 + u64::from(number),
        generation: 0,
        address: SocketAddr::from(([127, 0, 0, 1], 7000 + number)),
        zone: "a".into(),
        region: "guj".into(),
        build: "0.1.0".into(),
        settings_hash: 0xDEAD_BEEF,
    }
}

fn identity_with_ipv6_address() -> Identity {
    Identity {
        address: "[2001:db8::1]:7946".parse().unwrap(),
        generation: 300,
        ..identity(1)
    }
}

#[rstest]
#[case::ipv4(include_bytes!("fixtures/identity.postcard"), identity(0))]
#[case::ipv6(include_bytes!("fixtures/identity-v6.postcard"), identity_with_ipv6_address())]
fn an_identity_is_read_and_written_as_before(#[case] fixture: &[u8], #[case] expected: Identity) {
    assert_eq!(postcard::from_bytes::<Identity>(fixture).unwrap(), expected);
    assert_eq!(postcard::to_stdvec(&expected).unwrap(), fixture);
}

/// `lupincrank fleet members` prints identities in this format.
#[test]
fn an_identity_keeps_its_keys_in_json() {
    let expected = r#"{"name":"n0","id":100,"born_ms":1700000000000,"bump":0,"at":"127.0.0.1:7000","zone":"a","region":"guj","build":"0.1.0","settings":3735928559}"#;
    assert_eq!(serde_json::to_string(&identity(0)).unwrap(), expected);
}

fn membership(number: u16) -> Membership {
    let seed_nodes = (0..2)
        .map(|number| SeedNode {
            name: format!("n{number}"),
            address: identity(number).address,
        })
        .collect();
    let config = MembershipConfig {
        cluster_tag: cluster_tag(CLUSTER_NAME),
        expected_node_count: 2,
        random_seed: 7,
        seed_nodes,
    };
    Membership::new(identity(number), config)
}

fn drain(membership: &mut Membership) -> Vec<MembershipOutput> {
    std::iter::from_fn(|| membership.next_output()).collect()
}

#[test]
fn datagrams_of_joining_are_read_and_written_as_before() {
    let announce = include_bytes!("fixtures/announce.datagram");
    let feed = include_bytes!("fixtures/feed.datagram");
    let (mut joining, mut seed) = (membership(0), membership(1));

    joining.on_deadline(Duration::ZERO);
    assert_eq!(
        drain(&mut joining),
        [MembershipOutput::Datagram {
            to: identity(1).address,
            bytes: announce.to_vec()
        }]
    );

    seed.on_datagram(Duration::ZERO, announce);
    assert_eq!(
        drain(&mut seed),
        [
            MembershipOutput::MemberUp(identity(0)),
            MembershipOutput::Datagram {
                to: identity(0).address,
                bytes: feed.to_vec()
            },
        ]
    );

    joining.on_datagram(Duration::ZERO, feed);
    assert_eq!(
        drain(&mut joining),
        [MembershipOutput::MemberUp(identity(1))]
    );
}

#[test]
fn a_datagram_of_leaving_is_read_as_before() {
    let mut remaining = membership(1);
    remaining.on_datagram(Duration::ZERO, include_bytes!("fixtures/announce.datagram"));
    drain(&mut remaining);
    remaining.on_datagram(
        Duration::from_secs(1),
        include_bytes!("fixtures/leave.datagram"),
    );
    assert!(drain(&mut remaining).contains(&MembershipOutput::MemberDown(identity(0))));
    assert_eq!(remaining.live_members().count(), 0);
}
