//! One node's part in the council: drives the raft node, takes what others say, and hands out slices while it leads.
//!
//! Founding. A node that knows no council and has the lowest name of all that live asks the others; once a majority of
//! all expected nodes has answered that they know none either, it founds one with all expected nodes as voters. Two
//! foundings can't both act: each would need a majority of the expected nodes, and an incarnation takes part in one council only,
//! the one with the greater stamp. What can't be told apart from a first start is a majority that restarted from
//! nothing while the rest is cut off; `docs/design/council.md` says what that costs.

use crate::durable::DurableState;
use crate::entry::Entry;
use crate::error::ControlError;
use crate::leader::{Leader, View};
use crate::lease::{LeaseHolder, LeaseTerms, UsageLimit};
use crate::log::Log;
use crate::member::{Bootstrap, ClusterId, Member};
use crate::message::{Action, ControlMessage, LogEvent};
use crate::state::ClusterState;
use crate::status::{LogLine, Participant, RejectedMessages, Status};
use crate::store::Store;
use lupincrank_budgets::demand::{BudgetUsage, DemandEstimator};
use lupincrank_placement::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

/// `Council::tick` is called this often.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// A founder asks, and tells of its founding, this often.
const SEEK: Duration = Duration::from_millis(500);
/// An answer to that counts for so long.
const FRESH: Duration = Duration::from_secs(2);

/// A node that ends says so again after so many ticks, until it is let go.
const LEAVES_AGAIN: u64 = 3;

/// What a node is told of its part.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// The spans of leases.
    pub lease_terms: LeaseTerms,
    /// The names of all nodes that are expected.
    pub expected_nodes: BTreeSet<String>,
    /// The capacity of the cold budget that is handed out, without the floors.
    pub capacity: u32,
    /// What this node may use without a lease.
    pub floor: u32,
    /// A node this young founds nothing: it hears of an older council first.
    pub bootstrap_grace: Duration,
    /// A member that has not lived for this long is taken out.
    pub member_removal_delay: Duration,
}

/// One node's part.
pub struct ControlNode {
    me: Member,
    tuning: ControlConfig,
    began: Timestamp,
    log: Option<Log>,
    /// Its log broke: this incarnation must not vote again.
    out: bool,
    holder: LeaseHolder,
    limit: u32,
    /// Answers to what a founder asked: when they came, and whether a council is known.
    answers: BTreeMap<u64, (Timestamp, bool)>,
    founding: Option<Bootstrap>,
    sought: Option<Timestamp>,
    alive: BTreeMap<u64, Member>,
    leader: Leader,
    refused: RejectedMessages,
    ticks: u64,
    actions: Vec<Action>,
    /// What was used since the last request, and what is needed by that.
    seen: BudgetUsage,
    need: DemandEstimator,
    /// Whether what has to survive is written to a disk.
    keeps: bool,
    /// This node ends.
    leaving: bool,
    /// It was told that it takes part no more.
    gone: bool,
}

impl ControlNode {
    /// Knows no council yet.
    ///
    /// `kept` is what a folder holds of this identity, where one is configured; an error says that it can't be gone on
    /// with: it contradicts itself.
    pub fn new(
        now: Timestamp,
        me: Member,
        tuning: ControlConfig,
        kept: Option<&DurableState>,
    ) -> Result<ControlNode, ControlError> {
        let starts = kept.map_or(0, |kept| kept.start_count);
        let holder = LeaseHolder::new(&tuning.lease_terms, now, tuning.floor, starts);
        let mut council = ControlNode {
            limit: 0,
            me,
            tuning,
            began: now,
            log: None,
            out: false,
            holder,
            answers: BTreeMap::new(),
            founding: None,
            sought: None,
            alive: BTreeMap::new(),
            leader: Leader::default(),
            refused: RejectedMessages::default(),
            ticks: 0,
            actions: Vec::new(),
            seen: BudgetUsage::default(),
            need: DemandEstimator::default(),
            keeps: kept.is_some(),
            leaving: false,
            gone: false,
        };
        if let Some((stamp, kept)) = kept.and_then(|kept| Some((kept.cluster_id?, kept))) {
            // Raft panics where its log contradicts itself.
            let resumed = catch_unwind(AssertUnwindSafe(|| council.resume(stamp, kept)));
            resumed
                .unwrap_or(None)
                .ok_or(ControlError::InconsistentStoredLog)?;
        }
        Ok(council)
    }

    fn resume(&mut self, stamp: ClusterId, kept: &DurableState) -> Option<()> {
        let store = Store::resume(kept).ok()?;
        let data = store.snapshot_data();
        let state = if data.is_empty() {
            ClusterState::default()
        } else {
            postcard::from_bytes(&data).ok()?
        };
        self.log = Some(Log::begin(self.me.id, stamp, store, state, None, true)?);
        self.note(LogEvent::JoinedCluster(stamp));
        Some(())
    }

    /// All writes up to this one are on the disk.
    pub fn on_write_completed(&mut self, now: Timestamp, number: u64) {
        if let Some(log) = &mut self.log {
            log.written(number);
        }
        self.guarded(now, |this| this.pump(now));
    }

    /// The disk is lost: this process takes no part from now on.
    pub fn on_storage_lost(&mut self, now: Timestamp) {
        self.breaks(now);
    }

    /// What is to be carried out since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// What this node may use of the cold budget: connections in any window, and until when.
    pub fn lease_limit(&self, now: Timestamp) -> UsageLimit {
        self.holder.limit(now)
    }

    /// What was used of the cold budget since the last call.
    pub fn record_usage(&mut self, seen: BudgetUsage) {
        let BudgetUsage {
            peak: most,
            was_limited,
        } = self.seen;
        self.seen = BudgetUsage {
            peak: most.max(seen.peak),
            was_limited: was_limited || seen.was_limited,
        };
    }

    /// What it may use without a lease.
    pub fn lease_floor(&self, now: Timestamp) -> u32 {
        self.holder.floor(now)
    }

    /// Its part of the capacity, for what is shared by parts.
    pub fn fleet_share(&self, now: Timestamp) -> Option<f64> {
        let log = self.log.as_ref()?;
        let usage = self.lease_limit(now);
        usage
            .expires_at
            .map(|_| f64::from(usage.limit) / f64::from(log.state.capacity.max(1)))
    }

    /// What all agree on, as far as this node has it.
    pub fn state(&self) -> Option<&ClusterState> {
        self.log.as_ref().map(|log| &log.state)
    }

    /// Whether this node leads.
    pub fn is_leader(&self) -> bool {
        self.log.as_ref().is_some_and(|log| log.leads.is_some())
    }

    /// Whether this node knows a leader.
    pub fn has_leader(&self) -> bool {
        self.log.as_ref().is_some_and(|log| log.leader != 0)
    }

    /// Whether this node votes.
    pub fn is_voter(&self) -> bool {
        self.log
            .as_ref()
            .is_some_and(|log| log.conf().get_voters().contains(&self.me.id))
    }

    /// The members that this node needs to reach: the leader, the voters where it votes, all where it leads or founds.
    pub fn desired_connections(&self) -> BTreeSet<u64> {
        let mut wants = BTreeSet::new();
        match &self.log {
            Some(log) => {
                let voters = log.conf();
                if log.leads.is_some() {
                    wants.extend(self.alive.keys());
                } else if voters.get_voters().contains(&self.me.id) {
                    wants.extend(
                        voters
                            .get_voters()
                            .iter()
                            .filter(|id| self.alive.contains_key(id)),
                    );
                }
                wants.extend(self.alive.contains_key(&log.leader).then_some(log.leader));
                if self.founding.is_some() {
                    wants.extend(self.alive.keys());
                }
            }
            None if self.is_first() => wants.extend(self.alive.keys()),
            None => {}
        }
        wants.remove(&self.me.id);
        wants
    }

    fn is_first(&self) -> bool {
        self.alive
            .values()
            .all(|member| (&self.me.name, self.me.id) <= (&member.name, member.id))
    }

    /// Time passes; these are the members that live as membership sees it.
    pub fn on_tick(&mut self, now: Timestamp, alive: &BTreeMap<u64, Member>) {
        self.ticks += 1;
        self.alive.clone_from(alive);
        self.alive.insert(self.me.id, self.me.clone());
        if self.out {
            return self.settle(now);
        }
        if self.log.is_none() {
            self.seek(now);
        }
        self.refound(now);
        if let Some(log) = &self.log {
            self.leader.follow(&self.alive, &log.state.members);
        }
        if self.leaving {
            self.hand_over(now);
            if self.ticks.is_multiple_of(LEAVES_AGAIN) {
                self.say_leaving();
            }
        }
        self.guarded(now, |this| {
            if let Some(log) = &mut this.log {
                log.tick();
            }
            this.pump(now);
            this.lead(now);
            this.pump(now);
        });
        self.ask(now);
        self.settle(now);
    }

    /// Something came from the member with this id.
    pub fn on_message(&mut self, now: Timestamp, from: u64, said: ControlMessage) {
        let mine = self.log.as_ref().map(|log| log.stamp);
        if self.out {
            return;
        }
        match said {
            ControlMessage::ClusterQuery => self.send(from, ControlMessage::KnownCluster(mine)),
            ControlMessage::KnownCluster(stamp) => {
                self.answers.insert(from, (now, stamp.is_some()));
            }
            ControlMessage::Bootstrap(founding) if Some(founding.cluster_id) > mine => {
                self.adopt(now, founding);
            }
            ControlMessage::Bootstrap(founding) if Some(founding.cluster_id) < mine => {
                self.send(from, ControlMessage::KnownCluster(mine));
            }
            ControlMessage::Bootstrap(_) => {}
            ControlMessage::Raft(stamp, _)
            | ControlMessage::LeaseRequest(stamp, _)
            | ControlMessage::LeaseGranted(stamp, ..)
            | ControlMessage::Leaving(stamp)
            | ControlMessage::Removed(stamp)
            | ControlMessage::Capacity(stamp, _)
                if Some(stamp) < mine =>
            {
                self.refused.fenced += 1;
                self.send(from, ControlMessage::KnownCluster(mine));
            }
            ControlMessage::Raft(stamp, bytes) => self.of_log(now, from, stamp, &bytes),
            ControlMessage::LeaseRequest(stamp, ask) if Some(stamp) == mine => {
                if let Some(log) = &self.log {
                    self.leader.asked(log, from, ask);
                }
            }
            // Nobody but the leader grants.
            ControlMessage::LeaseGranted(stamp, number, slice)
                if Some(stamp) == mine
                    && self.log.as_ref().is_some_and(|log| log.leader == from) =>
            {
                self.holder
                    .on_grant(&self.tuning.lease_terms, now, number, slice);
            }
            ControlMessage::Leaving(stamp) if Some(stamp) == mine => self.lets_go(now, from, stamp),
            ControlMessage::Capacity(stamp, capacity) if Some(stamp) == mine => {
                self.propose_capacity(now, capacity);
            }
            ControlMessage::Removed(stamp) if Some(stamp) == mine => self.gone = self.leaving,
            ControlMessage::LeaseRequest(..)
            | ControlMessage::LeaseGranted(..)
            | ControlMessage::Leaving(_)
            | ControlMessage::Removed(_)
            | ControlMessage::Capacity(..) => {
                self.refused.invalid += 1;
            }
        }
        self.settle(now);
    }

    /// This node ends in good order: it uses nothing from now on, and says so until it is let go.
    pub fn begin_leaving(&mut self, now: Timestamp) {
        if !std::mem::replace(&mut self.leaving, true) {
            self.holder.retire(now);
            self.hand_over(now);
            self.say_leaving();
            self.settle(now);
        }
    }

    /// Whether this node has said that it leaves, and nobody waits for its vote any more.
    pub fn has_left(&self) -> bool {
        self.leaving && (self.gone || self.log.is_none() || self.alive.len() < 2)
    }

    /// A leader that ends lets a voter lead that stays, as soon as there is one that has all of the log. It must have answered
    /// lately: a hand-over to one that has just died holds all proposals for an election's time.
    fn hand_over(&mut self, now: Timestamp) {
        let Some(log) = self.log.as_ref().filter(|log| log.leads.is_some()) else {
            return;
        };
        let able = |id: &u64| {
            *id != self.me.id
                && self.alive.contains_key(id)
                && !self.leader.is_leaving(*id)
                && log.caught_up(*id)
                && log.hears(*id)
        };
        let Some(heir) = log.parts().voters.into_iter().find(able) else {
            return;
        };
        self.guarded(now, |this| {
            if let Some(log) = &mut this.log {
                log.hand_to(heir);
            }
            this.pump(now);
        });
    }

    fn say_leaving(&mut self) {
        let Some(log) = &self.log else { return };
        let (stamp, voters) = (log.stamp, log.parts().voters);
        let others = voters.into_iter().filter(|id| *id != self.me.id);
        others
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|id| self.send(id, ControlMessage::Leaving(stamp)));
    }

    /// A member ends; once it takes part no more the leader tells it so.
    fn lets_go(&mut self, now: Timestamp, from: u64, stamp: ClusterId) {
        self.leader.leaves(now, from);
        let Some(log) = self.log.as_ref().filter(|log| log.leads.is_some()) else {
            return;
        };
        let parts = log.parts();
        if !parts.voters.contains(&from) && !parts.learners.contains(&from) {
            self.send(from, ControlMessage::Removed(stamp));
        }
    }

    /// Founds anew with those that live, at a higher epoch that fences off the council whose majority is gone for good.
    pub fn recover_quorum(
        &mut self,
        now: Timestamp,
        drawn: u64,
    ) -> Result<ClusterId, ControlError> {
        if self.out {
            return Err(ControlError::Disqualified);
        }
        let leader = self.log.as_ref().map_or(0, |log| log.leader);
        if leader != 0 {
            return Err(ControlError::LeaderPresent);
        }
        let epoch = self.log.as_ref().map_or(0, |log| log.stamp.epoch) + 1;
        let stamp = ClusterId {
            epoch,
            bootstrap_id: drawn,
        };
        let members: Vec<Member> = self.alive.values().cloned().collect();
        let voters = members.iter().map(|member| member.id).collect();
        self.found(
            now,
            Bootstrap {
                cluster_id: stamp,
                voters,
                members,
                capacity: self.tuning.capacity,
            },
        );
        Ok(stamp)
    }

    /// Another capacity, by the log: it holds from the entry on that says so, and slices follow as they are renewed. The epoch
    /// before it.
    pub fn set_capacity(&mut self, now: Timestamp, capacity: u32) -> Result<u64, ControlError> {
        let Some((stamp, leader, epoch)) = self
            .log
            .as_ref()
            .map(|log| (log.stamp, log.leader, log.state.applied_entries))
        else {
            return Err(ControlError::NotJoined);
        };
        match leader {
            0 => return Err(ControlError::NoLeader),
            leader if leader == self.me.id => self.propose_capacity(now, capacity),
            leader => self.send(leader, ControlMessage::Capacity(stamp, capacity)),
        }
        Ok(epoch)
    }

    fn propose_capacity(&mut self, now: Timestamp, capacity: u32) {
        self.guarded(now, |this| {
            if let Some(log) = this.log.as_mut().filter(|log| log.leads.is_some()) {
                log.propose(&Entry::CapacityChanged(capacity));
            }
            this.pump(now);
        });
    }

    /// What would be given out of such a capacity at the next renewal, by name; only the leader knows what all want.
    pub fn preview_capacity(
        &self,
        now: Timestamp,
        capacity: u32,
    ) -> Result<BTreeMap<String, u32>, ControlError> {
        let log = self.log.as_ref().ok_or(ControlError::NotJoined)?;
        if log.leads.is_none() {
            let name = log
                .state
                .members
                .get(&log.leader)
                .map_or("nobody", |member| member.name.as_str());
            return Err(ControlError::NotLeader {
                leader: name.to_string(),
            });
        }
        let (holders, slices) = self.leader.slices(log, now, &self.alive, capacity);
        let name = |id: u64| {
            log.state
                .members
                .get(&id)
                .map_or_else(String::new, |member| member.name.clone())
        };
        Ok(holders.into_iter().map(name).zip(slices).collect())
    }

    /// The latest entries, oldest first.
    pub fn log_lines(&self) -> impl Iterator<Item = &LogLine> {
        self.log.iter().flat_map(Log::log_lines)
    }

    /// How this node stands.
    pub fn status(&self, now: Timestamp) -> Status {
        let UsageLimit {
            limit,
            expires_at: until,
        } = self.lease_limit(now);
        let log = self.log.as_ref();
        let name = |id: u64| {
            let known = log
                .and_then(|log| log.state.members.get(&id))
                .or_else(|| self.alive.get(&id));
            known.map(|member| member.name.clone())
        };
        let conf = log.map(Log::conf).unwrap_or_default();
        let role = |id: &u64| match () {
            () if log.is_some_and(|log| log.leader == *id) => "leader",
            () if conf.get_voters().contains(id) => "voter",
            () => "learner",
        };
        let nobody = |id: u64| {
            let (zone, region, build) = Default::default();
            Member {
                id,
                name: "(expected)".into(),
                zone,
                region,
                build,
            }
        };
        let ids = conf.get_voters().iter().chain(conf.get_learners());
        let parts = ids.map(|id| Participant {
            member: log
                .and_then(|log| log.state.members.get(id))
                .cloned()
                .unwrap_or_else(|| nobody(*id)),
            role: role(id),
            alive: self.alive.contains_key(id),
            lease: log
                .and_then(|log| log.state.leases.get(id))
                .map_or(0, super::state::ActiveLease::charged),
        });
        Status {
            local_member: self.me.clone(),
            cluster_id: log.map(|log| log.stamp),
            epoch: log.map_or(0, |log| log.state.applied_entries),
            term: log.map_or(0, Log::term),
            index: log.map_or(0, |log| log.applied),
            leader: log
                .filter(|log| log.leader != 0)
                .and_then(|log| name(log.leader)),
            capacity: log.map_or(self.tuning.capacity, |log| log.state.capacity),
            granted: log.map_or(0, |log| log.state.total_granted()),
            lease_limit: limit,
            lease_ms: until.map(|until| until.saturating_duration_since(now).as_millis() as u64),
            rejected: self.refused,
            participants: parts.collect(),
        }
    }

    fn send(&mut self, to: u64, said: ControlMessage) {
        self.actions.push(Action::Send { to, message: said });
    }

    fn note(&mut self, note: LogEvent) {
        self.actions.push(Action::Log(note));
    }

    /// Tells when what may be used has changed.
    fn settle(&mut self, now: Timestamp) {
        let UsageLimit {
            limit,
            expires_at: until,
        } = self.holder.limit(now);
        if std::mem::replace(&mut self.limit, limit) != limit {
            self.note(if until.is_some() {
                LogEvent::LeaseLimitChanged(limit)
            } else {
                LogEvent::LeaseExpired
            });
        }
    }

    /// Before there is a council: the first by name asks all others, and founds one if enough know of none.
    fn seek(&mut self, now: Timestamp) {
        self.answers
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < FRESH);
        if !self.is_first()
            || self
                .sought
                .is_some_and(|at| now.saturating_duration_since(at) < SEEK)
        {
            return;
        }
        self.sought = Some(now);
        let others: Vec<u64> = self
            .alive
            .keys()
            .copied()
            .filter(|id| *id != self.me.id)
            .collect();
        others
            .into_iter()
            .for_each(|id| self.send(id, ControlMessage::ClusterQuery));
        if self.answers.values().any(|(_, known)| *known)
            || now.saturating_duration_since(self.began) < self.tuning.bootstrap_grace
        {
            return;
        }
        let answered =
            |member: &&Member| member.id == self.me.id || self.answers.contains_key(&member.id);
        let there: Vec<Member> = self.alive.values().filter(answered).cloned().collect();
        let names: BTreeSet<&str> = there.iter().map(|member| member.name.as_str()).collect();
        let expected = self
            .tuning
            .expected_nodes
            .iter()
            .filter(|name| names.contains(name.as_str()))
            .count();
        if expected * 2 <= self.tuning.expected_nodes.len() {
            return;
        }
        // One incarnation a name has a vote; ids for those that are missing are made from this incarnation's own.
        let mut members: BTreeMap<&str, &Member> = BTreeMap::new();
        for member in there
            .iter()
            .filter(|member| self.tuning.expected_nodes.contains(&member.name))
        {
            members.insert(&member.name, member);
        }
        let missing = self.tuning.expected_nodes.len() - members.len();
        let mut voters: Vec<u64> = members.values().map(|member| member.id).collect();
        voters.extend((1..=missing as u64).map(|n| self.me.id.wrapping_add(n).max(1)));
        let members = members.into_values().cloned().collect();
        let stamp = ClusterId {
            epoch: 1,
            bootstrap_id: self.me.id,
        };
        self.found(
            now,
            Bootstrap {
                cluster_id: stamp,
                voters,
                members,
                capacity: self.tuning.capacity,
            },
        );
    }

    fn found(&mut self, now: Timestamp, founding: Bootstrap) {
        self.note(LogEvent::Bootstrapping(founding.cluster_id));
        self.adopt(now, founding.clone());
        self.founding = Some(founding);
        self.sought = None;
    }

    /// A founder tells the others until there is a leader.
    fn refound(&mut self, now: Timestamp) {
        let Some(founding) = self.founding.clone() else {
            return;
        };
        let same = self
            .log
            .as_ref()
            .is_some_and(|log| log.stamp == founding.cluster_id && log.leader == 0);
        if !same {
            self.founding = None;
        } else if self
            .sought
            .is_none_or(|at| now.saturating_duration_since(at) >= SEEK)
        {
            self.sought = Some(now);
            let others: Vec<u64> = self
                .alive
                .keys()
                .copied()
                .filter(|id| *id != self.me.id)
                .collect();
            others
                .into_iter()
                .for_each(|id| self.send(id, ControlMessage::Bootstrap(founding.clone())));
        }
    }

    /// Takes part in a council that is founded. An incarnation that is no voter of it is let in by its leader.
    fn adopt(&mut self, now: Timestamp, founding: Bootstrap) {
        if !founding.voters.contains(&self.me.id) {
            return;
        }
        let state = ClusterState::bootstrap(&founding);
        let Ok(data) = postcard::to_stdvec(&state) else {
            return;
        };
        let Ok(store) = Store::found(&founding.voters, data) else {
            return;
        };
        self.begin(now, founding.cluster_id, store, state);
    }

    /// Takes part in the council with this stamp, and in no other any more.
    fn begin(&mut self, now: Timestamp, stamp: ClusterId, store: Store, state: ClusterState) {
        let former = self.log.take();
        let Some(mut log) = Log::begin(self.me.id, stamp, store, state, former, self.keeps) else {
            return;
        };
        log.write_beginning(&mut self.actions);
        self.holder.revoke(now);
        self.leader = Leader::default();
        self.log = Some(log);
        self.note(LogEvent::JoinedCluster(stamp));
    }

    fn of_log(&mut self, now: Timestamp, from: u64, stamp: ClusterId, bytes: &[u8]) {
        let Some(message) = Log::read(bytes, self.me.id, from) else {
            self.refused.invalid += 1;
            return;
        };
        if self.log.as_ref().is_none_or(|log| log.stamp < stamp) {
            // A leader has let this incarnation in: it learns all from a snapshot.
            self.begin(now, stamp, Store::default(), ClusterState::default());
        }
        self.guarded(now, |this| {
            if this.log.as_mut().is_some_and(|log| !log.step(message)) {
                this.refused.invalid += 1;
            }
            this.pump(now);
        });
    }

    /// Carries out what the log has ready.
    fn pump(&mut self, now: Timestamp) {
        let Some(log) = &mut self.log else { return };
        let (led, leader) = (log.leads.is_some(), log.leader);
        let pumped = log.pump(now, &mut self.actions);
        if log.leads.is_some() != led {
            self.leader.forget_asks();
        }
        let now_leads = log.leader;
        if now_leads != leader {
            self.note(LogEvent::LeaderChanged(
                Some(now_leads).filter(|id| *id != 0),
            ));
        }
        if pumped.is_err() {
            self.breaks(now);
        }
    }

    /// What stands in the log can't be told any more.
    fn breaks(&mut self, now: Timestamp) {
        (self.log, self.out) = (None, true);
        self.holder.revoke(now);
        self.note(LogEvent::LogInconsistent);
    }

    /// What a leader does each tick.
    fn lead(&mut self, now: Timestamp) {
        let Some(log) = &mut self.log else { return };
        let ControlConfig {
            lease_terms: terms,
            member_removal_delay: removal_after,
            ..
        } = &self.tuning;
        let (me, ticks, alive) = (self.me.id, self.ticks, &self.alive);
        let leaving = self.leaving;
        let view = View {
            me,
            leaving,
            now,
            ticks,
            alive,
            terms,
            removal_after: *removal_after,
        };
        if let Some(change) = self.leader.tick(log, &view) {
            self.note(LogEvent::ChangingMembership(change));
        }
    }

    /// The raft crate panics where a message contradicts what it holds. That must not end a node that serves: its log is
    /// thrown away, and this incarnation takes no part any more.
    fn guarded(&mut self, now: Timestamp, work: impl FnOnce(&mut ControlNode)) {
        if catch_unwind(AssertUnwindSafe(|| work(self))).is_err() {
            self.breaks(now);
        }
    }

    /// The holder's part: asks the leader for a slice.
    fn ask(&mut self, now: Timestamp) {
        let Some(log) = &mut self.log else { return };
        let (leader, stamp) = (log.leader, log.stamp);
        if leader == 0
            || !self
                .holder
                .should_request(&self.tuning.lease_terms, now, self.seen.was_limited)
        {
            return;
        }
        // The floor is used first, and needs no slice.
        let floor = self.holder.floor(now);
        let demand = self
            .need
            .update(std::mem::take(&mut self.seen))
            .saturating_sub(floor);
        let ask = self
            .holder
            .next_request(&self.tuning.lease_terms, now, demand);
        if leader == self.me.id {
            self.leader.asked(log, leader, ask);
        } else {
            self.send(leader, ControlMessage::LeaseRequest(stamp, ask));
        }
    }

    /// What the node sends to itself does not go out.
    pub fn deliver_own_messages(&mut self, now: Timestamp) {
        let me = self.me.id;
        let (own, others) = std::mem::take(&mut self.actions)
            .into_iter()
            .partition(|action| matches!(action, Action::Send { to, .. } if *to == me));
        self.actions = others;
        let own: Vec<Action> = own;
        for action in own {
            if let Action::Send { message: said, .. } = action {
                self.on_message(now, me, said);
            }
        }
    }
}
