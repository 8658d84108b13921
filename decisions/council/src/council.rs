//! One node's part in the council: drives the raft node, takes what others say, and hands out slices while it leads.
//!
//! Founding. A node that knows no council and has the lowest name of all that live asks the others; once a majority of
//! all expected nodes has answered that they know none either, it founds one with all expected nodes as voters. Two
//! foundings can't both act: each would need a majority of the expected nodes, and a life takes part in one council only,
//! the one with the greater stamp. What can't be told apart from a first start is a majority that restarted from
//! nothing while the rest is cut off; `docs/design/council.md` says what that costs.

use crate::entry::{Entry, Grant};
use crate::lease::{part_of, Ask, Clocks, Holder, Terms};
use crate::member::{Founding, Member, Stamp};
use crate::state::State;
use crate::store::Store;
use crate::voters::{self, Change, Parts};
use lupincrank::Time;
use protobuf::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType, EntryType, Message as RaftMessage, MessageType, Snapshot};
use raft::{Config, ProgressState, RawNode, SnapshotStatus, StateRole, Storage};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

/// `Council::tick` is called this often.
pub const TICK: Duration = Duration::from_millis(100);
/// Ticks without a leader before a voter asks for votes (up to twice that, drawn anew each time), and between a
/// leader's heartbeats.
const ELECTION: usize = 10;
const HEARTBEAT: usize = 2;
/// Requests are granted together, one entry in so many ticks.
const BATCH: u64 = 2;
/// A founder asks, and tells of its founding, this often.
const SEEK: Duration = Duration::from_millis(500);
/// An answer to that counts for so long.
const FRESH: Duration = Duration::from_secs(2);
/// A member that a snapshot was sent to and that has said nothing gets it again after so many ticks: messages get lost, and raft waits
/// for its answer for ever.
const SNAPSHOT_AGAIN: u64 = 10;
/// A learner gets a vote once it has all but so many entries.
const CAUGHT_UP: u64 = 64;
/// Whose turn it is for what a whole leaves over changes this often.
const TURN: Duration = Duration::from_secs(5);
/// A snapshot is taken each so many entries, and so many older ones stay for those that are a little behind.
const SNAPSHOT: u64 = 512;
const BEHIND: u64 = 128;
/// Entries told by `fleet log`.
const TOLD: usize = 200;
/// The longest part of the log in one message, and messages on the way to one member.
const MOST_BYTES: u64 = 64 << 10;
const MOST_MESSAGES: usize = 64;

/// What a node is told of its part.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// The spans of leases.
    pub terms: Terms,
    /// The names of all nodes that are expected.
    pub expect: BTreeSet<String>,
    /// The whole of the cold budget that is handed out, without the floors.
    pub whole: u32,
    /// What this node may use without a lease.
    pub floor: u32,
    /// A node this young founds nothing: it hears of an older council first.
    pub settle: Duration,
    /// A member that has not lived for this long is taken out.
    pub bury: Duration,
}

/// What nodes say to each other of the council.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Said {
    /// Do you know a council?
    Seek,
    /// The greatest that the sender knows, if any.
    Known(Option<Stamp>),
    /// A council begins.
    Found(Founding),
    /// Of the log.
    Raft(Stamp, Vec<u8>),
    /// A slice is asked for.
    Ask(Stamp, Ask),
    /// It is granted: the number of the request, and the slice.
    Granted(Stamp, u64, u32),
    /// The sender ends in good order.
    Leaves(Stamp),
}

/// What a person who reads the log should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// This node founds a council.
    Founds(Stamp),
    /// This node takes part in a council.
    Joins(Stamp),
    /// Another leader, or none.
    Leads(Option<u64>),
    /// The leader changes who takes part.
    Changes(Change),
    /// What this node may use has changed.
    Slice(u32),
    /// Its lease has run out.
    LeaseOver,
    /// The log broke its own rules: this life takes no part any more.
    Broke,
}

/// What is to be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// To the member with this id.
    Send(u64, Said),
    /// For people.
    Note(Note),
}

/// Messages that changed nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Refused {
    /// Of a council that is fenced off.
    pub fenced: u64,
    /// For another life, from another than who sends it, or not to be read.
    pub strange: u64,
}

/// One line of `fleet log`.
#[derive(Clone, Debug, Serialize)]
pub struct Told {
    /// Its place in the log.
    pub index: u64,
    /// Under which leadership.
    pub term: u64,
    /// What it says.
    pub what: String,
}

/// One life of a node as the council has it.
#[derive(Clone, Debug, Serialize)]
pub struct Part {
    /// Who.
    pub member: Member,
    /// `leader`, `voter` or `learner`.
    pub role: &'static str,
    /// Membership takes it to live.
    pub alive: bool,
    /// What it may have in use of the cold budget.
    pub slice: u32,
}

/// How this node stands.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// This node.
    pub me: Member,
    /// The council it takes part in.
    pub stamp: Option<Stamp>,
    /// Entries that led to the state.
    pub epoch: u64,
    /// The raft term and the last entry that is applied.
    pub term: u64,
    /// See `term`.
    pub index: u64,
    /// The leader's name.
    pub leader: Option<String>,
    /// The whole that is handed out, and what is taken of it.
    pub whole: u32,
    /// See `whole`.
    pub sum: u32,
    /// What this node may use now.
    pub limit: u32,
    /// Its lease is over in so many milliseconds, by its own clock.
    pub lease_ms: Option<u64>,
    /// Messages that changed nothing.
    pub refused: Refused,
    /// All that take part.
    pub parts: Vec<Part>,
}

struct Log {
    stamp: Stamp,
    raw: RawNode<Store>,
    store: Store,
    state: State,
    clocks: Clocks,
    /// Since when this node leads.
    leads: Option<Time>,
    leader: u64,
    applied: u64,
    snapped: u64,
    asks: BTreeMap<u64, Ask>,
}

/// One node's part.
pub struct Council {
    me: Member,
    tuning: Tuning,
    began: Time,
    log: Option<Log>,
    /// Its log broke: this life must not vote again.
    out: bool,
    holder: Holder,
    limit: u32,
    /// Answers to what a founder asked: when they came, and whether a council is known.
    answers: BTreeMap<u64, (Time, bool)>,
    founding: Option<Founding>,
    sought: Option<Time>,
    alive: BTreeMap<u64, Member>,
    dead: BTreeMap<u64, Time>,
    left: BTreeSet<u64>,
    told: VecDeque<Told>,
    refused: Refused,
    ticks: u64,
    actions: Vec<Action>,
}

impl Council {
    /// Knows no council yet.
    pub fn new(now: Time, me: Member, tuning: Tuning) -> Council {
        let holder = Holder::new(&tuning.terms, now, tuning.floor);
        Council {
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
            dead: BTreeMap::new(),
            left: BTreeSet::new(),
            told: VecDeque::new(),
            refused: Refused::default(),
            ticks: 0,
            actions: Vec::new(),
        }
    }

    /// What is to be carried out since the last call.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// What this node may use of the cold budget: connections in any window, and until when.
    pub fn limit(&self, now: Time) -> (u32, Option<Time>) {
        self.holder.limit(now)
    }

    /// What it may use without a lease.
    pub fn floor(&self, now: Time) -> u32 {
        self.holder.floor(now)
    }

    /// Its part of the whole, for what is shared by parts.
    pub fn part(&self, now: Time) -> Option<f64> {
        let log = self.log.as_ref()?;
        let (limit, until) = self.limit(now);
        until.map(|_| f64::from(limit) / f64::from(log.state.whole.max(1)))
    }

    /// What all agree on, as far as this node has it.
    pub fn state(&self) -> Option<&State> {
        self.log.as_ref().map(|log| &log.state)
    }

    /// Whether this node leads.
    pub fn leads(&self) -> bool {
        self.log.as_ref().is_some_and(|log| log.leads.is_some())
    }

    /// The members that this node needs to reach: the leader, the voters where it votes, all where it leads or founds.
    pub fn wants(&self) -> BTreeSet<u64> {
        let mut wants = BTreeSet::new();
        match &self.log {
            Some(log) => {
                let voters = log.raw.raft.prs().conf().to_conf_state();
                if log.leads.is_some() {
                    wants.extend(self.alive.keys());
                } else if voters.get_voters().contains(&self.me.id) {
                    wants.extend(voters.get_voters().iter().filter(|id| self.alive.contains_key(id)));
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
        self.alive.values().all(|member| (&self.me.name, self.me.id) <= (&member.name, member.id))
    }

    /// Time passes; these are the members that live as membership sees it.
    pub fn tick(&mut self, now: Time, alive: &BTreeMap<u64, Member>) {
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
        self.guarded(now, |this| {
            if let Some(log) = &mut this.log {
                log.raw.tick();
            }
            this.pump(now);
            this.lead(now);
            this.pump(now);
        });
        self.ask(now);
        self.settle(now);
    }

    /// Something came from the member with this id.
    pub fn take(&mut self, now: Time, from: u64, said: Said) {
        let mine = self.log.as_ref().map(|log| log.stamp);
        if self.out {
            return;
        }
        match said {
            Said::Seek => self.send(from, Said::Known(mine)),
            Said::Known(stamp) => {
                self.answers.insert(from, (now, stamp.is_some()));
            }
            Said::Found(founding) if Some(founding.stamp) > mine => self.adopt(now, founding),
            Said::Found(founding) if Some(founding.stamp) < mine => self.send(from, Said::Known(mine)),
            Said::Found(_) => {}
            Said::Raft(stamp, _) | Said::Ask(stamp, _) | Said::Granted(stamp, ..) | Said::Leaves(stamp)
                if Some(stamp) < mine =>
            {
                self.refused.fenced += 1;
                self.send(from, Said::Known(mine));
            }
            Said::Raft(stamp, bytes) => self.of_log(now, from, stamp, &bytes),
            Said::Ask(stamp, ask) if Some(stamp) == mine => {
                if let Some(log) = self.log.as_mut().filter(|log| log.leads.is_some()) {
                    // Only members have a place here: the table stays as small as the fleet.
                    if log.state.members.contains_key(&from) {
                        log.asks.insert(from, ask);
                    }
                }
            }
            // Nobody but the leader grants.
            Said::Granted(stamp, number, slice)
                if Some(stamp) == mine && self.log.as_ref().is_some_and(|log| log.leader == from) =>
            {
                self.holder.granted(&self.tuning.terms, now, number, slice);
            }
            Said::Leaves(stamp) if Some(stamp) == mine => {
                self.left.insert(from);
            }
            Said::Ask(..) | Said::Granted(..) | Said::Leaves(_) => self.refused.strange += 1,
        }
        self.settle(now);
    }

    /// This node ends in good order: another one leads, and nobody waits for it.
    pub fn leave(&mut self, now: Time) {
        self.guarded(now, |this| {
            let me = this.me.id;
            let Some(log) = &mut this.log else { return };
            let voters = log.raw.raft.prs().conf().to_conf_state();
            if log.leads.is_some() {
                let heir = voters.get_voters().iter().find(|id| **id != me && this.alive.contains_key(id));
                if let Some(heir) = heir {
                    log.raw.transfer_leader(*heir);
                }
            }
            let stamp = log.stamp;
            this.pump(now);
            let others: Vec<u64> = voters.get_voters().iter().copied().filter(|id| *id != me).collect();
            others.into_iter().for_each(|id| this.send(id, Said::Leaves(stamp)));
        });
    }

    /// Founds anew with those that live, at a higher epoch that fences off the council whose majority is gone for good.
    pub fn reseed(&mut self, now: Time, drawn: u64) -> Result<Stamp, String> {
        if self.out {
            return Err("this process takes no part any more: start it again".into());
        }
        let leader = self.log.as_ref().map_or(0, |log| log.leader);
        if leader != 0 {
            return Err("the council has a leader: nothing is to be founded anew".into());
        }
        let epoch = self.log.as_ref().map_or(0, |log| log.stamp.epoch) + 1;
        let stamp = Stamp { epoch, founding: drawn };
        let members: Vec<Member> = self.alive.values().cloned().collect();
        let voters = members.iter().map(|member| member.id).collect();
        self.found(now, Founding { stamp, voters, members, whole: self.tuning.whole });
        Ok(stamp)
    }

    /// The latest entries, oldest first.
    pub fn told(&self) -> impl Iterator<Item = &Told> {
        self.told.iter()
    }

    /// How this node stands.
    pub fn status(&self, now: Time) -> Status {
        let (limit, until) = self.limit(now);
        let log = self.log.as_ref();
        let name = |id: u64| {
            let known = log.and_then(|log| log.state.members.get(&id)).or_else(|| self.alive.get(&id));
            known.map(|member| member.name.clone())
        };
        let conf = log.map(|log| log.raw.raft.prs().conf().to_conf_state()).unwrap_or_default();
        let role = |id: &u64| match () {
            () if log.is_some_and(|log| log.leader == *id) => "leader",
            () if conf.get_voters().contains(id) => "voter",
            () => "learner",
        };
        let nobody = |id: u64| {
            let (zone, region, build) = Default::default();
            Member { id, name: "(expected)".into(), zone, region, build }
        };
        let ids = conf.get_voters().iter().chain(conf.get_learners());
        let parts = ids.map(|id| Part {
            member: log.and_then(|log| log.state.members.get(id)).cloned().unwrap_or_else(|| nobody(*id)),
            role: role(id),
            alive: self.alive.contains_key(id),
            slice: log.and_then(|log| log.state.held.get(id)).map_or(0, |held| held.counts()),
        });
        Status {
            me: self.me.clone(),
            stamp: log.map(|log| log.stamp),
            epoch: log.map_or(0, |log| log.state.epoch),
            term: log.map_or(0, |log| log.raw.raft.term),
            index: log.map_or(0, |log| log.applied),
            leader: log.filter(|log| log.leader != 0).and_then(|log| name(log.leader)),
            whole: log.map_or(self.tuning.whole, |log| log.state.whole),
            sum: log.map_or(0, |log| log.state.sum()),
            limit,
            lease_ms: until.map(|until| until.since(now).as_millis() as u64),
            refused: self.refused,
            parts: parts.collect(),
        }
    }

    fn send(&mut self, to: u64, said: Said) {
        self.actions.push(Action::Send(to, said));
    }

    fn note(&mut self, note: Note) {
        self.actions.push(Action::Note(note));
    }

    /// Tells when what may be used has changed.
    fn settle(&mut self, now: Time) {
        let (limit, until) = self.holder.limit(now);
        if std::mem::replace(&mut self.limit, limit) != limit {
            self.note(if until.is_some() { Note::Slice(limit) } else { Note::LeaseOver });
        }
    }

    /// Before there is a council: the first by name asks all others, and founds one if enough know of none.
    fn seek(&mut self, now: Time) {
        self.answers.retain(|_, (at, _)| now.since(*at) < FRESH);
        if !self.is_first() || self.sought.is_some_and(|at| now.since(at) < SEEK) {
            return;
        }
        self.sought = Some(now);
        let others: Vec<u64> = self.alive.keys().copied().filter(|id| *id != self.me.id).collect();
        others.into_iter().for_each(|id| self.send(id, Said::Seek));
        if self.answers.values().any(|(_, known)| *known) || now.since(self.began) < self.tuning.settle {
            return;
        }
        let answered = |member: &&Member| member.id == self.me.id || self.answers.contains_key(&member.id);
        let there: Vec<Member> = self.alive.values().filter(answered).cloned().collect();
        let names: BTreeSet<&str> = there.iter().map(|member| member.name.as_str()).collect();
        let expected = self.tuning.expect.iter().filter(|name| names.contains(name.as_str())).count();
        if expected * 2 <= self.tuning.expect.len() {
            return;
        }
        // One life a name has a vote; ids for those that are missing are made from this life's own.
        let mut members: BTreeMap<&str, &Member> = BTreeMap::new();
        for member in there.iter().filter(|member| self.tuning.expect.contains(&member.name)) {
            members.insert(&member.name, member);
        }
        let missing = self.tuning.expect.len() - members.len();
        let mut voters: Vec<u64> = members.values().map(|member| member.id).collect();
        voters.extend((1..=missing as u64).map(|n| self.me.id.wrapping_add(n).max(1)));
        let members = members.into_values().cloned().collect();
        let stamp = Stamp { epoch: 1, founding: self.me.id };
        self.found(now, Founding { stamp, voters, members, whole: self.tuning.whole });
    }

    fn found(&mut self, now: Time, founding: Founding) {
        self.note(Note::Founds(founding.stamp));
        self.adopt(now, founding.clone());
        self.founding = Some(founding);
        self.sought = None;
    }

    /// A founder tells the others until there is a leader.
    fn refound(&mut self, now: Time) {
        let Some(founding) = self.founding.clone() else { return };
        let same = self.log.as_ref().is_some_and(|log| log.stamp == founding.stamp && log.leader == 0);
        if !same {
            self.founding = None;
        } else if self.sought.is_none_or(|at| now.since(at) >= SEEK) {
            self.sought = Some(now);
            let others: Vec<u64> = self.alive.keys().copied().filter(|id| *id != self.me.id).collect();
            others.into_iter().for_each(|id| self.send(id, Said::Found(founding.clone())));
        }
    }

    /// Takes part in a council that is founded. A life that is no voter of it is let in by its leader.
    fn adopt(&mut self, now: Time, founding: Founding) {
        if !founding.voters.contains(&self.me.id) {
            return;
        }
        let state = State::found(&founding);
        let Ok(data) = postcard::to_stdvec(&state) else { return };
        let Ok(store) = Store::found(&founding.voters, data) else { return };
        self.begin(now, founding.stamp, store, state);
    }

    /// Takes part in the council with this stamp, and in no other any more.
    fn begin(&mut self, now: Time, stamp: Stamp, store: Store, state: State) {
        let applied = store.initial_state().map(|state| state.hard_state.commit).unwrap_or_default();
        let config = Config {
            id: self.me.id,
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            applied,
            max_size_per_msg: MOST_BYTES,
            max_inflight_msgs: MOST_MESSAGES,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        let Ok(raw) = RawNode::new(&config, store.clone(), &quiet) else { return };
        self.holder.drop_all(now);
        self.left.clear();
        let (clocks, asks) = (Clocks::default(), BTreeMap::new());
        let log =
            Log { stamp, raw, store, state, clocks, leads: None, leader: 0, applied, snapped: applied, asks };
        self.log = Some(log);
        self.note(Note::Joins(stamp));
    }

    fn of_log(&mut self, now: Time, from: u64, stamp: Stamp, bytes: &[u8]) {
        let message = RaftMessage::parse_from_bytes(bytes).ok();
        let fits =
            |message: &RaftMessage| message.to == self.me.id && message.from == from && is_remote(message);
        let Some(message) = message.filter(fits) else {
            self.refused.strange += 1;
            return;
        };
        if self.log.as_ref().is_none_or(|log| log.stamp < stamp) {
            // A leader has let this life in: it learns all from a snapshot.
            self.begin(now, stamp, Store::default(), State::default());
        }
        self.guarded(now, |this| {
            let Some(log) = &mut this.log else { return };
            // Guards against a commit beyond the log, which raft takes for its own fault.
            let beyond = message.get_msg_type() == MessageType::MsgHeartbeat
                && message.commit > log.raw.raft.raft_log.last_index();
            if beyond || log.raw.step(message).is_err() {
                this.refused.strange += 1;
            }
            this.pump(now);
        });
    }

    /// The raft crate panics where a message contradicts what it holds. That must not end a node that serves: its log is
    /// thrown away, and this life takes no part any more.
    fn guarded(&mut self, now: Time, work: impl FnOnce(&mut Council)) {
        if catch_unwind(AssertUnwindSafe(|| work(self))).is_err() {
            (self.log, self.out) = (None, true);
            self.holder.drop_all(now);
            self.note(Note::Broke);
        }
    }

    /// Carries out what raft has ready, until nothing is left.
    fn pump(&mut self, now: Time) {
        while let Some(log) = self.log.as_mut().filter(|log| log.raw.has_ready()) {
            let mut ready = log.raw.ready();
            let messages = ready.take_messages();
            if !ready.snapshot().is_empty() {
                let snapshot = ready.snapshot().clone();
                restore(log, &snapshot);
            }
            let committed = ready.take_committed_entries();
            let mut written = log.store.mem.wl().append(ready.entries());
            if let Some(hard) = ready.hs() {
                log.store.mem.wl().set_hardstate(hard.clone());
            }
            let later = ready.take_persisted_messages();
            let mut light = log.raw.advance(ready);
            if let Some(commit) = light.commit_index() {
                log.store.mem.wl().mut_hard_state().set_commit(commit);
            }
            let last = light.take_messages();
            let more = light.take_committed_entries();
            self.post(messages.into_iter().chain(later).chain(last));
            for entry in committed.into_iter().chain(more) {
                written = written.and(self.apply(entry));
            }
            let Some(log) = &mut self.log else { return };
            log.raw.advance_apply();
            log.clocks.follow(now, &log.state);
            if written.is_err() {
                // The log in memory contradicts itself: what stands in it can't be told any more.
                (self.log, self.out) = (None, true);
                self.holder.drop_all(now);
                return self.note(Note::Broke);
            }
            snap(log);
        }
        let Some(log) = &mut self.log else { return };
        let leads = log.raw.raft.state == StateRole::Leader;
        if leads != log.leads.is_some() {
            log.leads = leads.then_some(now);
            log.asks.clear();
        }
        let leader = log.raw.raft.leader_id;
        if std::mem::replace(&mut log.leader, leader) != leader {
            self.note(Note::Leads(Some(leader).filter(|id| *id != 0)));
        }
    }

    fn post(&mut self, messages: impl Iterator<Item = RaftMessage>) {
        let Some(stamp) = self.log.as_ref().map(|log| log.stamp) else { return };
        for message in messages {
            let to = message.to;
            if let Ok(bytes) = message.write_to_bytes() {
                self.send(to, Said::Raft(stamp, bytes));
            }
        }
    }

    fn apply(&mut self, entry: raft::eraftpb::Entry) -> raft::Result<()> {
        let Some(log) = &mut self.log else { return Ok(()) };
        log.applied = entry.index;
        let mut what = None;
        if entry.get_entry_type() == EntryType::EntryConfChange {
            let change = ConfChange::parse_from_bytes(entry.get_data()).map_err(raft::Error::CodecError)?;
            let conf = log.raw.apply_conf_change(&change)?;
            log.store.mem.wl().set_conf_state(conf.clone());
            log.state.epoch += 1;
            let member = postcard::from_bytes::<Member>(change.get_context()).ok();
            let named = member.as_ref().or_else(|| log.state.members.get(&change.node_id));
            let name = named.map_or_else(|| "(expected)".to_string(), |member| member.name.clone());
            what = Some(format!("{:?} {name} {:016x}", change.get_change_type(), change.node_id));
            match change.get_change_type() {
                ConfChangeType::RemoveNode => drop(log.state.members.remove(&change.node_id)),
                _ => drop(member.map(|member| log.state.members.insert(change.node_id, member))),
            }
            // A new life begins with a snapshot and takes none that does not name it.
            if let Ok(data) = postcard::to_stdvec(&log.state) {
                log.store.keep(entry.index, entry.term, conf, data);
            }
        } else if let Ok(read) = postcard::from_bytes::<Entry>(entry.get_data()) {
            // An empty entry is a new leader's; nobody else writes one.
            what = Some(match &read {
                Entry::Grants(grants) => format!("{} grants", grants.len()),
                other => format!("{other:?}"),
            });
            let granted = log.state.apply(read);
            let (stamp, leads) = (log.stamp, log.leads.is_some());
            for grant in granted.into_iter().filter(|_| leads) {
                self.send(grant.holder, Said::Granted(stamp, grant.number, grant.slice));
            }
        }
        if let Some(what) = what {
            self.told.push_back(Told { index: entry.index, term: entry.term, what });
            if self.told.len() > TOLD {
                self.told.pop_front();
            }
        }
        Ok(())
    }

    /// What a leader does each tick: who takes part, and slices.
    fn lead(&mut self, now: Time) {
        let Some(log) = &mut self.log else { return };
        let Some(since) = log.leads else { return };
        let conf = log.raw.raft.prs().conf().to_conf_state();
        let parts = Parts {
            voters: conf.get_voters().iter().copied().collect(),
            learners: conf.get_learners().iter().copied().collect(),
        };
        let alive = &self.alive;
        let all = || parts.voters.iter().chain(&parts.learners);
        self.dead.retain(|id, _| !alive.contains_key(id) && all().any(|there| there == id));
        for id in all().filter(|id| !alive.contains_key(id)) {
            self.dead.entry(*id).or_insert(now);
        }
        if self.ticks.is_multiple_of(SNAPSHOT_AGAIN) {
            let waits = |id: &&u64| {
                let progress = log.raw.raft.prs().get(**id);
                progress.is_some_and(|progress| progress.state == ProgressState::Snapshot)
            };
            let waiting: Vec<u64> = all().filter(waits).copied().collect();
            waiting.into_iter().for_each(|id| log.raw.report_snapshot(id, SnapshotStatus::Failure));
        }
        let last = log.raw.raft.raft_log.last_index();
        let caught = |id: u64| {
            let progress = log.raw.raft.prs().get(id);
            progress.is_some_and(|progress| progress.matched > 0 && progress.matched + CAUGHT_UP >= last)
        };
        let left = &self.left;
        let gone = |id: u64| {
            let dead = self.dead.get(&id);
            dead.is_some_and(|at| left.contains(&id) || now.since(*at) >= self.tuning.bury)
        };
        if !log.raw.raft.has_pending_conf() {
            if let Some(change) = voters::next(self.me.id, &parts, &log.state.members, alive, &gone, &caught)
            {
                if propose_change(&mut log.raw, &change).is_ok() {
                    self.actions.push(Action::Note(Note::Changes(change)));
                }
            }
        }
        // A council that has granted nothing yet can't know what an earlier one granted: that runs out first.
        let terms = &self.tuning.terms;
        if !self.ticks.is_multiple_of(BATCH)
            || (log.state.grants == 0 && now.since(since) < terms.surely_over())
        {
            return;
        }
        let mut entries = Vec::new();
        let over = log.clocks.over(now, terms);
        if !over.is_empty() {
            entries.push(Entry::Over(over));
        }
        if log.state.whole != self.tuning.whole {
            entries.push(Entry::Whole(self.tuning.whole));
        }
        let members = &log.state.members;
        let holders: Vec<u64> = members.keys().copied().filter(|id| alive.contains_key(id)).collect();
        let turn = (now.0 / TURN.as_nanos() as u64) % holders.len().max(1) as u64;
        let grants: Vec<Grant> = std::mem::take(&mut log.asks)
            .into_iter()
            .filter_map(|(holder, ask)| {
                let place = holders.iter().position(|id| *id == holder)?;
                let slice = part_of(log.state.whole, holders.len(), place, turn);
                Some(Grant { holder, number: ask.number, using: ask.using, slice })
            })
            .collect();
        if !grants.is_empty() {
            entries.push(Entry::Grants(grants));
        }
        for entry in entries {
            // A proposal that is dropped is made again: the holder asks anew, and what is over stays so.
            let bytes = postcard::to_stdvec(&entry).unwrap_or_default();
            let _ = log.raw.propose(Vec::new(), bytes);
        }
    }

    /// The holder's part: asks the leader for a slice.
    fn ask(&mut self, now: Time) {
        let Some(log) = &mut self.log else { return };
        let (leader, stamp) = (log.leader, log.stamp);
        if leader == 0 || !self.holder.due(&self.tuning.terms, now) {
            return;
        }
        let ask = self.holder.ask(&self.tuning.terms, now);
        if leader == self.me.id {
            log.asks.insert(leader, ask);
        } else {
            self.send(leader, Said::Ask(stamp, ask));
        }
    }

    /// What the node sends to itself does not go out.
    pub fn deliver_own(&mut self, now: Time) {
        let me = self.me.id;
        let (own, others) = std::mem::take(&mut self.actions)
            .into_iter()
            .partition(|action| matches!(action, Action::Send(to, _) if *to == me));
        self.actions = others;
        let own: Vec<Action> = own;
        for action in own {
            if let Action::Send(_, said) = action {
                self.take(now, me, said);
            }
        }
    }
}

/// Whether such a message comes from another node: the rest are raft's own signals to itself.
fn is_remote(message: &RaftMessage) -> bool {
    !raft::raw_node::is_local_msg(message.get_msg_type())
}

fn propose_change(raw: &mut RawNode<Store>, change: &Change) -> raft::Result<()> {
    let mut proposed = ConfChange::default();
    let (id, kind) = match change {
        Change::Remove(id) => (*id, ConfChangeType::RemoveNode),
        Change::Learn(member) => {
            proposed.set_context(postcard::to_stdvec(member).unwrap_or_default().into());
            (member.id, ConfChangeType::AddLearnerNode)
        }
        Change::Vote(id) => (*id, ConfChangeType::AddNode),
        Change::Unvote(id) => (*id, ConfChangeType::AddLearnerNode),
    };
    proposed.set_node_id(id);
    proposed.set_change_type(kind);
    raw.propose_conf_change(Vec::new(), proposed)
}

fn restore(log: &mut Log, snapshot: &Snapshot) {
    if let Ok(state) = postcard::from_bytes::<State>(snapshot.get_data()) {
        if log.store.restore(snapshot).is_ok() {
            log.state = state;
            log.applied = snapshot.get_metadata().get_index();
            log.snapped = log.applied;
        }
    }
}

/// Takes a snapshot now and then, and lets go of what is older.
fn snap(log: &mut Log) {
    if log.applied < log.snapped + SNAPSHOT {
        return;
    }
    let (Ok(term), Ok(data)) = (log.store.term(log.applied), postcard::to_stdvec(&log.state)) else { return };
    let conf = log.raw.raft.prs().conf().to_conf_state();
    log.store.keep(log.applied, term, conf, data);
    log.snapped = log.applied;
    // What can't be dropped now is dropped with the next one.
    let _ = log.store.mem.wl().compact(log.applied.saturating_sub(BEHIND));
}
