//! Bootstrapping and joining a control group.
//!
//! A node that has joined no group and has the lowest name of all live members queries the others. Once a majority of
//! all expected nodes, itself included, has answered that it knows of no group either, it forms a group with all
//! expected nodes as voters.
//!
//! Two bootstrapped groups can't both commit: each would need a majority of the expected nodes, and an incarnation
//! participates in only one group, the one with the higher [`ClusterId`]. A majority that restarted without stored
//! state while the other nodes are partitioned can't be distinguished from a first start.

use super::{ControlNode, Participation};
use crate::lease_granter::LeaseGranter;
use crate::member::{Bootstrap, ClusterId, Member, MemberId};
use crate::member_tracker::MemberTracker;
use crate::message::{ControlMessage, LogEvent};
use crate::raft_log::{LogStorage, RaftLog, RaftLogStart};
use crate::state::ClusterState;
use lupincrank_placement::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// The interval at which other nodes are queried for their group, or a new group is announced to them.
const BOOTSTRAP_QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// The time for which an answer is valid.
const BOOTSTRAP_ANSWER_TTL: Duration = Duration::from_secs(2);
/// The epoch of a group that the nodes form without an operator.
const FIRST_EPOCH: u64 = 1;

/// Progress of bootstrapping a group: the answers of other nodes, and the group that this node has formed.
#[derive(Default)]
pub(super) struct BootstrapProgress {
    answers: BTreeMap<MemberId, BootstrapAnswer>,
    /// The group that this node has formed, as long as the group has no leader.
    announced: Option<Bootstrap>,
    /// The time of the last query or announcement.
    last_sent_at: Option<Timestamp>,
}

/// An answer to a query.
struct BootstrapAnswer {
    received_at: Timestamp,
    knows_cluster: bool,
}

impl BootstrapProgress {
    pub(super) fn on_answer(&mut self, now: Timestamp, from: MemberId, known: Option<ClusterId>) {
        let answer = BootstrapAnswer {
            received_at: now,
            knows_cluster: known.is_some(),
        };
        self.answers.insert(from, answer);
    }

    /// Returns true if this node is announcing a group that it has formed.
    pub(super) fn is_announcing(&self) -> bool {
        self.announced.is_some()
    }

    fn drop_expired_answers(&mut self, now: Timestamp) {
        self.answers.retain(|_, answer| {
            now.saturating_duration_since(answer.received_at) < BOOTSTRAP_ANSWER_TTL
        });
    }

    fn is_send_due(&self, now: Timestamp) -> bool {
        self.last_sent_at.is_none_or(|sent_at| {
            now.saturating_duration_since(sent_at) >= BOOTSTRAP_QUERY_INTERVAL
        })
    }

    fn is_cluster_known(&self) -> bool {
        self.answers.values().any(|answer| answer.knows_cluster)
    }
}

impl ControlNode {
    /// Queries the other nodes for their group, and forms a group if a majority is present and none of them knows a
    /// group.
    pub(super) fn advance_bootstrap(&mut self, now: Timestamp) {
        self.bootstrap_progress.drop_expired_answers(now);
        if !self.has_lowest_name() || !self.bootstrap_progress.is_send_due(now) {
            return;
        }
        self.bootstrap_progress.last_sent_at = Some(now);
        self.send_to_others(&ControlMessage::ClusterQuery);
        let uptime = now.saturating_duration_since(self.started_at);
        if self.bootstrap_progress.is_cluster_known() || uptime < self.config.bootstrap_grace {
            return;
        }
        let present = self.present_expected_members();
        if present.len() * 2 > self.config.expected_nodes.len() {
            let bootstrap = self.first_bootstrap(present);
            self.form_cluster(now, bootstrap);
        }
    }

    /// One incarnation for each expected node that has answered, this node included.
    fn present_expected_members(&self) -> Vec<Member> {
        let has_answered = |member: &&Member| {
            member.id == self.local_member.id
                || self.bootstrap_progress.answers.contains_key(&member.id)
        };
        // If several incarnations of one name have answered, only the one with the highest id becomes a voter.
        let by_name: BTreeMap<&str, &Member> = self
            .live_members
            .values()
            .filter(has_answered)
            .filter(|member| self.config.expected_nodes.contains(&member.name))
            .map(|member| (member.name.as_str(), member))
            .collect();
        by_name.into_values().cloned().collect()
    }

    /// The configuration of a first group: all expected nodes are voters. The ids of absent nodes are derived from
    /// this incarnation's id.
    fn first_bootstrap(&self, present: Vec<Member>) -> Bootstrap {
        let absent_count = (self.config.expected_nodes.len() - present.len()) as u64;
        let mut voters: Vec<MemberId> = present.iter().map(|member| member.id).collect();
        for offset in 1..=absent_count {
            voters.push(self.local_member.id.wrapping_add(offset).max(1));
        }
        Bootstrap {
            cluster_id: ClusterId {
                epoch: FIRST_EPOCH,
                bootstrap_id: self.local_member.id,
            },
            voters,
            members: present,
            capacity: self.config.capacity,
        }
    }

    /// Forms a group, which is announced from the next tick on.
    pub(super) fn form_cluster(&mut self, now: Timestamp, bootstrap: Bootstrap) {
        self.log_event(LogEvent::Bootstrapping(bootstrap.cluster_id));
        self.join_bootstrap(now, &bootstrap);
        self.bootstrap_progress.announced = Some(bootstrap);
        self.bootstrap_progress.last_sent_at = None;
    }

    /// Announces the group that this node has formed until the group has a leader.
    pub(super) fn repeat_bootstrap(&mut self, now: Timestamp) {
        let Some(bootstrap) = &self.bootstrap_progress.announced else {
            return;
        };
        let is_leaderless = self
            .log()
            .is_some_and(|log| log.cluster_id() == bootstrap.cluster_id && log.leader().is_none());
        if !is_leaderless {
            self.bootstrap_progress.announced = None;
        } else if self.bootstrap_progress.is_send_due(now) {
            let announcement = ControlMessage::Bootstrap(bootstrap.clone());
            self.bootstrap_progress.last_sent_at = Some(now);
            self.send_to_others(&announcement);
        }
    }

    /// Joins a group that was formed with this node as a voter. Other nodes are added by the leader of the group.
    pub(super) fn join_bootstrap(&mut self, now: Timestamp, bootstrap: &Bootstrap) {
        if !bootstrap.voters.contains(&self.local_member.id) {
            return;
        }
        let state = ClusterState::bootstrap(bootstrap);
        let Ok(data) = postcard::to_stdvec(&state) else {
            return;
        };
        if let Ok(storage) = LogStorage::bootstrap(&bootstrap.voters, data) {
            self.join_cluster(now, bootstrap.cluster_id, storage, state);
        }
    }

    /// Joins this group and stops participating in the previous one, if any.
    pub(super) fn join_cluster(
        &mut self,
        now: Timestamp,
        cluster_id: ClusterId,
        storage: LogStorage,
        state: ClusterState,
    ) {
        let former = match std::mem::replace(&mut self.participation, Participation::NotJoined) {
            Participation::Joined(log) => Some(log),
            Participation::NotJoined | Participation::Disqualified => None,
        };
        let start = RaftLogStart {
            local_id: self.local_member.id,
            cluster_id,
            storage,
            state,
            former,
            durability: self.durability,
        };
        let Ok(mut log) = RaftLog::start(start) else {
            return;
        };
        log.write_join(&mut self.actions);
        self.lease_client.drop_lease(now);
        self.lease_granter = LeaseGranter::default();
        self.member_tracker = MemberTracker::default();
        self.participation = Participation::Joined(Box::new(log));
        self.log_event(LogEvent::JoinedCluster(cluster_id));
    }
}
