//! The group's configuration, and the leader's view of the other members' progress.

use super::RaftLog;
use crate::member::MemberId;
use crate::membership::{GroupConfiguration, MembershipChange};
use raft::eraftpb::{ConfChange, ConfChangeType, ConfState};
use raft::{Progress, ProgressState, SnapshotStatus};

/// A member has caught up once it lags behind by at most this number of entries.
const CAUGHT_UP_ENTRIES: u64 = 64;

impl RaftLog {
    /// The configuration as Raft encodes it, in Raft's order.
    pub(crate) fn raft_configuration(&self) -> ConfState {
        self.raw_node.raft.prs().conf().to_conf_state()
    }

    pub(crate) fn configuration(&self) -> GroupConfiguration {
        let configuration = self.raft_configuration();
        GroupConfiguration {
            voters: configuration.get_voters().iter().copied().collect(),
            learners: configuration.get_learners().iter().copied().collect(),
        }
    }

    fn progress(&self, id: MemberId) -> Option<&Progress> {
        self.raw_node.raft.prs().get(id)
    }

    /// Returns true if the member has nearly all of the log. Only meaningful on the leader.
    pub(crate) fn is_caught_up(&self, id: MemberId) -> bool {
        let last_index = self.raw_node.raft.raft_log.last_index();
        self.progress(id).is_some_and(|progress| {
            progress.matched > 0 && progress.matched + CAUGHT_UP_ENTRIES >= last_index
        })
    }

    /// Returns true if the member has answered this leader recently. Raft messages reveal a failure sooner than
    /// gossip membership.
    pub(crate) fn is_responsive(&self, id: MemberId) -> bool {
        self.progress(id)
            .is_some_and(|progress| progress.recent_active)
    }

    /// Returns true if a configuration change is not applied yet.
    pub(crate) fn has_pending_change(&self) -> bool {
        self.raw_node.raft.has_pending_conf()
    }

    /// Proposes a configuration change. Returns true if Raft accepted the proposal.
    pub(crate) fn propose_change(&mut self, change: &MembershipChange) -> bool {
        self.raw_node
            .propose_conf_change(Vec::new(), raft_change(change))
            .is_ok()
    }

    /// Resends snapshots that were not acknowledged. The snapshot or its acknowledgement may be lost, and Raft would
    /// then wait forever.
    pub(crate) fn resend_snapshots(&mut self) {
        let awaits_snapshot = |id: &MemberId| {
            self.progress(*id)
                .is_some_and(|progress| progress.state == ProgressState::Snapshot)
        };
        let waiting: Vec<MemberId> = self.configuration().all().filter(awaits_snapshot).collect();
        for id in waiting {
            self.raw_node.report_snapshot(id, SnapshotStatus::Failure);
        }
    }
}

fn raft_change(change: &MembershipChange) -> ConfChange {
    let mut proposal = ConfChange::default();
    match change {
        MembershipChange::Remove(id) => {
            proposal.set_node_id(*id);
            proposal.set_change_type(ConfChangeType::RemoveNode);
        }
        MembershipChange::AddLearner(member) => {
            proposal.set_node_id(member.id);
            proposal.set_change_type(ConfChangeType::AddLearnerNode);
            proposal.set_context(postcard::to_stdvec(member).unwrap_or_default().into());
        }
        MembershipChange::Promote(id) => {
            proposal.set_node_id(*id);
            proposal.set_change_type(ConfChangeType::AddNode);
        }
        MembershipChange::Demote(id) => {
            proposal.set_node_id(*id);
            proposal.set_change_type(ConfChangeType::AddLearnerNode);
        }
    }
    proposal
}
