//! Checks the encoding on the wire and on disk, and the keys of the printed status. The files under `fixtures/` were
//! written by revision c925b3d, which used other type names. Each must decode to the expected value and encode to the
//! same bytes.

use lupincrank_budgets::demand::BudgetUsage;
use lupincrank_control::durable::DurableState;
use lupincrank_control::entry::{Entry, Grant, GrantId};
use lupincrank_control::lease::{LeaseRequest, LeaseTerms};
use lupincrank_control::member::{Bootstrap, ClusterId, Member};
use lupincrank_control::message::{Action, ControlMessage};
use lupincrank_control::state::{ActiveLease, ClusterState};
use lupincrank_control::status::{Participant, RejectedMessages, Status};
use lupincrank_control::{ControlConfig, ControlError, ControlNode};
use lupincrank_placement::Timestamp;
use rstest::rstest;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::path::Path;
use std::time::Duration;

const CLUSTER_ID: ClusterId = ClusterId {
    epoch: 3,
    bootstrap_id: 0x1234_5678_9abc_def0,
};
/// The id of the incarnation that wrote the stored log.
const STORED_MEMBER_ID: u64 = 0x2a;

fn fixture(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name);
    std::fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn assert_same_bytes<T: Serialize + DeserializeOwned + PartialEq + Debug>(
    name: &str,
    expected: &T,
) {
    let bytes = fixture(&format!("{name}.postcard"));
    let read: T = postcard::from_bytes(&bytes).expect("the fixture can be read");
    assert_eq!(read, *expected);
    assert_eq!(
        postcard::to_stdvec(expected).expect("the value can be written"),
        bytes
    );
}

fn member(id: u64, name: &str, zone: &str) -> Member {
    Member {
        id,
        name: name.into(),
        zone: zone.into(),
        region: "north".into(),
        build: "0.1.0".into(),
    }
}

fn members() -> Vec<Member> {
    vec![member(11, "n1", "z1"), member(300, "n2", "z2")]
}

fn bootstrap() -> Bootstrap {
    Bootstrap {
        cluster_id: CLUSTER_ID,
        voters: vec![11, 300, 301],
        members: members(),
        capacity: 640,
    }
}

fn lease_request() -> LeaseRequest {
    LeaseRequest {
        request_number: 70_000,
        in_use: 17,
        demand: 400,
    }
}

#[rstest]
#[case::cluster_query("cluster-query", ControlMessage::ClusterQuery)]
#[case::no_known_cluster("known-cluster-none", ControlMessage::KnownCluster(None))]
#[case::known_cluster("known-cluster", ControlMessage::KnownCluster(Some(CLUSTER_ID)))]
#[case::bootstrap("bootstrap", ControlMessage::Bootstrap(bootstrap()))]
#[case::raft("raft", ControlMessage::Raft(CLUSTER_ID, vec![8, 3, 16, 11, 255]))]
#[case::lease_request(
    "lease-request",
    ControlMessage::LeaseRequest(CLUSTER_ID, lease_request())
)]
#[case::lease_granted("lease-granted", ControlMessage::LeaseGranted { cluster_id: CLUSTER_ID, request_number: 70_000, limit: 25 })]
#[case::leaving("leaving", ControlMessage::Leaving(CLUSTER_ID))]
#[case::removed("removed", ControlMessage::Removed(CLUSTER_ID))]
#[case::capacity("capacity", ControlMessage::Capacity(CLUSTER_ID, 500))]
fn messages_keep_their_bytes(#[case] name: &str, #[case] message: ControlMessage) {
    assert_same_bytes(&format!("message-{name}"), &message);
}

fn grants() -> Vec<Grant> {
    vec![
        Grant {
            holder: 11,
            request_number: 70_000,
            in_use: 17,
            limit: 25,
        },
        Grant {
            holder: 300,
            request_number: 5,
            in_use: 0,
            limit: 200,
        },
    ]
}

#[rstest]
#[case::leases_granted("leases-granted", Entry::LeasesGranted(grants()))]
#[case::leases_expired(
    "leases-expired",
    Entry::LeasesExpired(vec![GrantId { holder: 11, request_number: 69_999 }, GrantId { holder: 300, request_number: 4 }])
)]
#[case::capacity_changed("capacity-changed", Entry::CapacityChanged(500))]
fn log_entries_keep_their_bytes(#[case] name: &str, #[case] entry: Entry) {
    assert_same_bytes(&format!("entry-{name}"), &entry);
}

#[test]
fn members_and_cluster_ids_keep_their_bytes() {
    assert_same_bytes("member", &member(11, "n1", "z1"));
    assert_same_bytes("cluster-id", &CLUSTER_ID);
}

#[test]
fn snapshots_keep_their_bytes() {
    let granted = ActiveLease {
        request_number: 70_000,
        limit: 25,
        in_use: 17,
    };
    let unused = ActiveLease {
        request_number: 5,
        limit: 200,
        in_use: 0,
    };
    let state = ClusterState {
        cluster_id: CLUSTER_ID,
        applied_entries: 130,
        members: members()
            .into_iter()
            .map(|member| (member.id, member))
            .collect(),
        capacity: 640,
        leases: BTreeMap::from([(11, granted), (300, unused)]),
        grant_count: 128,
    };
    assert_same_bytes("cluster-state", &state);
}

#[test]
fn the_status_keeps_its_json() {
    let status = Status {
        local_member: member(11, "n1", "z1"),
        cluster_id: Some(CLUSTER_ID),
        epoch: 130,
        term: 4,
        index: 140,
        leader: Some("n2".into()),
        capacity: 640,
        granted: 225,
        lease_limit: 26,
        lease_ms: Some(2300),
        rejected: RejectedMessages {
            fenced: 1,
            invalid: 2,
        },
        participants: vec![Participant {
            member: member(300, "n2", "z2"),
            role: "leader",
            alive: true,
            lease: 200,
        }],
    };
    let json = serde_json::to_string_pretty(&status).expect("the status can be written");
    assert_eq!(json.as_bytes(), fixture("status.json"));
}

/// The disk content of the only node of a cluster.
fn stored_log() -> DurableState {
    type Entries = BTreeMap<u64, Vec<u8>>;
    type Stored = (
        u64,
        u32,
        Option<ClusterId>,
        Option<Vec<u8>>,
        Option<Vec<u8>>,
        Entries,
    );
    let (member_id, start_count, cluster_id, snapshot, hard_state, entries): Stored =
        postcard::from_bytes(&fixture("durable-state.postcard")).expect("the fixture can be read");
    DurableState {
        member_id,
        start_count,
        cluster_id,
        snapshot,
        hard_state,
        entries,
    }
}

/// A cluster of one node with a disk.
struct SingleNode {
    control_node: ControlNode,
    disk: DurableState,
    now: Timestamp,
}

const START: Timestamp = Timestamp(1_000_000_000);

fn resume(disk: &DurableState) -> Result<ControlNode, ControlError> {
    let config = ControlConfig {
        lease_terms: LeaseTerms::default(),
        expected_nodes: BTreeSet::from(["n1".to_string()]),
        capacity: 40,
        floor: 1,
        bootstrap_grace: Duration::from_millis(1500),
        member_removal_delay: Duration::from_secs(2),
    };
    let local_member = member(STORED_MEMBER_ID, "n1", "z1");
    ControlNode::new(START, local_member, config, Some(disk))
}

impl SingleNode {
    fn start(disk: DurableState) -> SingleNode {
        SingleNode {
            control_node: resume(&disk).expect("the stored log is consistent"),
            disk,
            now: START,
        }
    }

    fn run(&mut self, ticks: u64) {
        let live_members =
            BTreeMap::from([(STORED_MEMBER_ID, member(STORED_MEMBER_ID, "n1", "z1"))]);
        for _ in 0..ticks {
            self.now = self.now.saturating_add(Duration::from_millis(100));
            self.control_node.record_usage(BudgetUsage {
                peak: 5,
                was_limited: true,
            });
            self.control_node.on_tick(self.now, &live_members);
            self.complete_writes();
        }
    }

    fn complete_writes(&mut self) {
        for _ in 0..6 {
            self.control_node.deliver_own_messages(self.now);
            for action in self.control_node.take_actions() {
                if let Action::Write(write) = action {
                    self.disk.apply(&write);
                    self.control_node
                        .on_write_completed(self.now, write.sequence);
                }
            }
        }
    }

    fn log_descriptions(&self) -> Vec<String> {
        self.control_node
            .log_lines()
            .map(|line| line.description.clone())
            .collect()
    }
}

#[test]
fn a_stored_log_is_resumed_to_the_same_state() {
    let stored = stored_log();
    let mut node = SingleNode::start(DurableState {
        start_count: stored.start_count + 1,
        ..stored
    });
    node.run(25);
    assert!(node.control_node.is_leader());
    let expected: ClusterState =
        postcard::from_bytes(&fixture("durable-state-cluster-state.postcard"))
            .expect("the fixture can be read");
    let state = node.control_node.state().expect("a cluster");
    assert_eq!(state.cluster_id, expected.cluster_id);
    assert_eq!(state.capacity, expected.capacity);
    assert_eq!(state.members, expected.members);
    // Only grants were applied since then.
    let new_grants = state.grant_count - expected.grant_count;
    assert_eq!(state.applied_entries, expected.applied_entries + new_grants);
}

#[rstest]
#[case::an_entry_is_missing(|stored: &mut DurableState| drop(stored.entries.remove(&5)))]
#[case::the_snapshot_is_damaged(|stored: &mut DurableState| stored.snapshot = Some(vec![0xff; 9]))]
#[case::the_vote_is_damaged(|stored: &mut DurableState| stored.hard_state = Some(vec![0xff; 9]))]
fn an_inconsistent_stored_log_is_rejected(#[case] damage: fn(&mut DurableState)) {
    let mut stored = stored_log();
    damage(&mut stored);
    let error = resume(&stored).err().expect("an error");
    assert_eq!(error, ControlError::InconsistentStoredLog);
    assert_eq!(error.to_string(), "the stored log is inconsistent");
}

#[test]
fn descriptions_of_log_entries_keep_their_text() {
    let mut node = SingleNode::start(DurableState {
        member_id: STORED_MEMBER_ID,
        start_count: 1,
        ..DurableState::default()
    });
    node.run(60);
    node.control_node
        .set_capacity(node.now, 30)
        .expect("a leader");
    node.run(30);
    node.control_node.begin_leaving(node.now);
    node.run(60);
    let descriptions = node.log_descriptions();
    assert!(
        descriptions.iter().any(|text| text == "1 grants"),
        "{descriptions:?}"
    );
    assert!(
        descriptions.iter().any(|text| text == "Capacity(30)"),
        "{descriptions:?}"
    );
    let last = descriptions.last().expect("a line");
    assert!(last.starts_with("Over([(42, 4294967"), "{last}");
    assert!(last.ends_with(")])"), "{last}");
}
