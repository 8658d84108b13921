use super::*;
use lupincrank_reactor::poll;
use polling::Poller;
use rstest::rstest;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

const CLUSTER_TAG: u32 = 7;
const LOCAL_INCARNATION: u64 = 50;
/// The ids of two connections.
const FIRST: ComponentId = 1;
const SECOND: ComponentId = 2;

fn handshake(incarnation: u64) -> Handshake {
    Handshake {
        cluster_tag: CLUSTER_TAG,
        name: format!("node-{incarnation}"),
        incarnation,
        started_at_ms: 1,
        build: "0.1".into(),
    }
}

/// The side that opens a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OpenedBy {
    Local,
    Peer,
}

/// The connections of this node. One listener accepts the sockets of all peers.
struct Fixture {
    poller: Rc<Poller>,
    listener: TcpListener,
    connections: PeerConnections,
}

impl Fixture {
    fn new() -> Fixture {
        let log = Logger::root(slog::Discard, slog::o!());
        let listen_address = SocketAddr::from(([127, 0, 0, 1], 0));
        Fixture {
            poller: Rc::new(Poller::new().unwrap()),
            listener: poll::listen(listen_address).unwrap(),
            connections: PeerConnections::new(handshake(LOCAL_INCARNATION), 3, 1.0, log),
        }
    }

    /// Adds a connection that has not received a handshake yet.
    fn add(&mut self, id: ComponentId, opened_by: OpenedBy, dialed_incarnation: Option<u64>) {
        let address = self.listener.local_addr().unwrap();
        let key = usize::try_from(id).unwrap();
        let connection = match opened_by {
            OpenedBy::Local => ClusterConnection::connect(&self.poller, address, key),
            OpenedBy::Peer => {
                let stream = TcpStream::connect(address).unwrap();
                ClusterConnection::accept(&self.poller, stream, key)
            }
        };
        self.connections
            .add(id, connection.unwrap(), dialed_incarnation)
            .unwrap();
    }
}

#[rstest]
#[case::the_greater_peer_opens(60, OpenedBy::Peer)]
#[case::the_greater_local_node_opens(40, OpenedBy::Local)]
fn of_two_connections_the_one_opened_by_the_greater_incarnation_is_kept(
    #[case] peer: u64,
    #[case] preferred: OpenedBy,
    #[values(true, false)] is_preferred_first: bool,
) {
    let other = match preferred {
        OpenedBy::Local => OpenedBy::Peer,
        OpenedBy::Peer => OpenedBy::Local,
    };
    let mut fixture = Fixture::new();
    let (first, second) = if is_preferred_first {
        (preferred, other)
    } else {
        (other, preferred)
    };
    fixture.add(FIRST, first, None);
    fixture.add(SECOND, second, None);
    let connections = &mut fixture.connections;
    connections.on_handshake(FIRST, handshake(peer)).unwrap();
    let outcome = connections.on_handshake(SECOND, handshake(peer));
    if is_preferred_first {
        assert!(matches!(outcome, Err(PeerError::Duplicate)));
        assert!(connections.take_closed().is_empty());
    } else {
        outcome.unwrap();
        assert_eq!(connections.take_closed(), [FIRST]);
        assert!(!connections.is_open(FIRST));
    }
    assert_eq!(connections.established_count(), 1);
}

#[test]
fn a_handshake_of_another_cluster_is_rejected() {
    let mut fixture = Fixture::new();
    fixture.add(FIRST, OpenedBy::Peer, None);
    let foreign = Handshake {
        cluster_tag: CLUSTER_TAG + 1,
        ..handshake(60)
    };
    let outcome = fixture.connections.on_handshake(FIRST, foreign);
    assert!(matches!(outcome, Err(PeerError::ForeignCluster)));
}

#[rstest]
#[case::this_node_itself(LOCAL_INCARNATION, None)]
#[case::not_the_dialed_one(60, Some(61))]
fn an_unexpected_incarnation_is_rejected(#[case] peer: u64, #[case] dialed: Option<u64>) {
    let mut fixture = Fixture::new();
    fixture.add(FIRST, OpenedBy::Local, dialed);
    let outcome = fixture.connections.on_handshake(FIRST, handshake(peer));
    assert!(matches!(outcome, Err(PeerError::UnexpectedIncarnation)));
}

#[test]
fn a_failed_connection_is_missing_again_only_after_its_backoff() {
    let needed = || BTreeSet::from([60]);
    let mut fixture = Fixture::new();
    assert_eq!(fixture.connections.missing_connections(needed()), [60]);
    fixture.add(FIRST, OpenedBy::Local, Some(60));
    assert!(fixture.connections.missing_connections(needed()).is_empty());
    fixture.connections.close(FIRST, &PeerError::Unneeded);
    assert!(fixture.connections.missing_connections(needed()).is_empty());
    fixture.connections.reset_backoff(60);
    assert_eq!(fixture.connections.missing_connections(needed()), [60]);
}

#[test]
fn closing_all_connections_notifies_each_component() {
    let mut fixture = Fixture::new();
    fixture.add(FIRST, OpenedBy::Local, None);
    fixture.add(SECOND, OpenedBy::Peer, None);
    fixture.connections.close_all();
    assert_eq!(fixture.connections.take_closed(), [FIRST, SECOND]);
    assert!(fixture.connections.take_closed().is_empty());
}
