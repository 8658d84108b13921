//! One node's participation in the control group.
//!
//! The node is driven by its caller: it receives time, messages and the set of live members, and returns [`Action`]s.
//! Each concern has its own module: `bootstrap` forms a group, `replication` drives the log, `leadership` performs
//! the leader's duties, `lease` requests and accepts the node's own lease, `shutdown` leaves the group, `messages`
//! dispatches received messages, `operator` handles operators' requests, and `status` reports the status.

mod bootstrap;
mod config;
mod leadership;
mod lease;
mod messages;
mod operator;
mod replication;
mod shutdown;
mod status;

pub use config::ControlConfig;

use crate::durable::DurableState;
use crate::error::ControlError;
use crate::lease::LeaseHolder;
use crate::lease_client::LeaseClient;
use crate::lease_granter::LeaseGranter;
use crate::member::{Member, MemberId};
use crate::member_tracker::MemberTracker;
use crate::message::{Action, ControlMessage, LogEvent};
use crate::raft_log::{Durability, RaftLog};
use crate::state::ClusterState;
use crate::status::{LogLine, RejectedMessages};
use bootstrap::BootstrapProgress;
use lupincrank_placement::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The interval at which [`ControlNode::on_tick`] is called.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The number of ticks between two `Leaving` messages of a node that is shutting down.
const LEAVING_REPEAT_TICKS: u64 = 3;

/// The participation of the node in a control group.
enum Participation {
    /// The node has not joined a group yet.
    NotJoined,
    Joined(Box<RaftLog>),
    /// The log was inconsistent or stable storage was lost, so this incarnation must not vote again.
    Disqualified,
}

/// The progress of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShutdownState {
    Running,
    /// The node has announced to the voters that it is leaving.
    Leaving,
    /// The leader has confirmed that the node was removed from the group.
    Removed,
}

/// One node of the control group, without I/O.
pub struct ControlNode {
    local_member: Member,
    config: ControlConfig,
    started_at: Timestamp,
    durability: Durability,
    participation: Participation,
    shutdown_state: ShutdownState,
    bootstrap_progress: BootstrapProgress,
    lease_client: LeaseClient,
    lease_granter: LeaseGranter,
    member_tracker: MemberTracker,
    /// The members that gossip membership reports as live, including the local one.
    live_members: BTreeMap<MemberId, Member>,
    rejected: RejectedMessages,
    tick_count: u64,
    actions: Vec<Action>,
}

impl ControlNode {
    /// Creates a node that has joined no group, or that resumes the incarnation in `stored`. With `stored`, the node
    /// is persistent: it requests writes by [`Action::Write`].
    ///
    /// # Errors
    /// [`ControlError::InconsistentStoredLog`] if the stored log can't be resumed.
    pub fn new(
        now: Timestamp,
        local_member: Member,
        config: ControlConfig,
        stored: Option<&DurableState>,
    ) -> Result<ControlNode, ControlError> {
        let start_count = stored.map_or(0, |stored| stored.start_count);
        let holder = LeaseHolder::new(&config.lease_terms, now, config.floor, start_count);
        let mut node = ControlNode {
            local_member,
            lease_client: LeaseClient::new(config.lease_terms, holder),
            config,
            started_at: now,
            durability: match stored {
                Some(_) => Durability::Persistent,
                None => Durability::Volatile,
            },
            participation: Participation::NotJoined,
            shutdown_state: ShutdownState::Running,
            bootstrap_progress: BootstrapProgress::default(),
            lease_granter: LeaseGranter::default(),
            member_tracker: MemberTracker::default(),
            live_members: BTreeMap::new(),
            rejected: RejectedMessages::default(),
            tick_count: 0,
            actions: Vec::new(),
        };
        if let Some(stored) = stored {
            node.resume(stored)?;
        }
        Ok(node)
    }

    /// Advances time. `live_members` are the other members that gossip membership reports as live.
    pub fn on_tick(&mut self, now: Timestamp, live_members: &BTreeMap<MemberId, Member>) {
        self.tick_count += 1;
        self.live_members.clone_from(live_members);
        self.live_members
            .insert(self.local_member.id, self.local_member.clone());
        if !self.is_disqualified() {
            self.run_tick(now);
        }
        self.report_limit_change(now);
    }

    fn run_tick(&mut self, now: Timestamp) {
        if self.log().is_none() {
            self.advance_bootstrap(now);
        }
        self.repeat_bootstrap(now);
        self.update_members();
        self.continue_shutdown(now);
        self.tick_log(now);
        self.request_lease(now);
    }

    fn update_members(&mut self) {
        let Participation::Joined(log) = &self.participation else {
            return;
        };
        let members = &log.state().members;
        self.lease_granter.retain_members(members);
        self.member_tracker
            .update_departures(&self.live_members, members);
    }

    /// Returns the actions since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The replicated state as applied at this node; `None` if the node has joined no group.
    pub fn state(&self) -> Option<&ClusterState> {
        self.log().map(RaftLog::state)
    }

    /// Returns true if this node is the leader.
    pub fn is_leader(&self) -> bool {
        self.log().is_some_and(RaftLog::is_leader)
    }

    /// Returns true if this node knows a leader.
    pub fn has_leader(&self) -> bool {
        self.known_leader().is_some()
    }

    /// Returns true if this node is a voter.
    pub fn is_voter(&self) -> bool {
        self.log()
            .is_some_and(|log| log.configuration().voters.contains(&self.local_member.id))
    }

    /// The latest log entries, oldest first.
    pub fn log_lines(&self) -> impl Iterator<Item = &LogLine> {
        self.log().into_iter().flat_map(RaftLog::log_lines)
    }

    /// The members that this node needs a connection to: the leader, and, if this node is a voter, the other voters.
    /// A leader, and a node that bootstraps a group, needs connections to all live members.
    pub fn desired_connections(&self) -> BTreeSet<MemberId> {
        let mut desired = match self.log() {
            Some(log) => self.desired_as_member(log),
            None if self.has_lowest_name() => self.live_members.keys().copied().collect(),
            None => BTreeSet::new(),
        };
        desired.remove(&self.local_member.id);
        desired
    }

    fn desired_as_member(&self, log: &RaftLog) -> BTreeSet<MemberId> {
        if log.is_leader() || self.bootstrap_progress.is_announcing() {
            return self.live_members.keys().copied().collect();
        }
        let mut desired = BTreeSet::new();
        let voters = log.configuration().voters;
        if voters.contains(&self.local_member.id) {
            desired.extend(voters);
        }
        desired.extend(log.leader());
        desired.retain(|id| self.live_members.contains_key(id));
        desired
    }

    /// Handles the messages that this node has sent to itself. Other actions remain queued.
    pub fn deliver_own_messages(&mut self, now: Timestamp) {
        let local_id = self.local_member.id;
        let mut own_messages = Vec::new();
        for action in self.take_actions() {
            match action {
                Action::Send { to, message } if to == local_id => own_messages.push(message),
                other => self.actions.push(other),
            }
        }
        for message in own_messages {
            self.on_message(now, local_id, message);
        }
    }

    fn log(&self) -> Option<&RaftLog> {
        match &self.participation {
            Participation::Joined(log) => Some(log),
            Participation::NotJoined | Participation::Disqualified => None,
        }
    }

    fn log_mut(&mut self) -> Option<&mut RaftLog> {
        match &mut self.participation {
            Participation::Joined(log) => Some(log),
            Participation::NotJoined | Participation::Disqualified => None,
        }
    }

    /// The log, if this node is the leader.
    fn log_if_leader(&self) -> Option<&RaftLog> {
        self.log().filter(|log| log.is_leader())
    }

    fn known_leader(&self) -> Option<MemberId> {
        self.log().and_then(RaftLog::leader)
    }

    fn is_disqualified(&self) -> bool {
        matches!(self.participation, Participation::Disqualified)
    }

    /// Returns true if this node comes first among all live members, ordered by name and id.
    fn has_lowest_name(&self) -> bool {
        let local = (&self.local_member.name, self.local_member.id);
        self.live_members
            .values()
            .all(|member| local <= (&member.name, member.id))
    }

    fn send(&mut self, to: MemberId, message: ControlMessage) {
        self.actions.push(Action::Send { to, message });
    }

    fn send_to_others(&mut self, message: &ControlMessage) {
        let others: Vec<MemberId> = self.live_members.keys().copied().collect();
        for id in others {
            if id != self.local_member.id {
                self.send(id, message.clone());
            }
        }
    }

    fn log_event(&mut self, event: LogEvent) {
        self.actions.push(Action::Log(event));
    }
}
