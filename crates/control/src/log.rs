//! One node's copy of the log, driven through the `raft` crate: what is ready is carried out, what stands is applied.

use crate::durable::{LogWrite, StoredEntry};
use crate::entry::Entry;
use crate::lease::GrantClocks;
use crate::member::{ClusterId, Member};
use crate::message::{Action, ControlMessage};
use crate::state::ClusterState;
use crate::status::LogLine;
use crate::store::Store;
use crate::voters::{Change, Parts};
use lupincrank_placement::Timestamp;
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChange, ConfChangeType, ConfState, EntryType, Message as RaftMessage, MessageType, Snapshot,
};
use raft::{Config, ProgressState, RawNode, SnapshotStatus, StateRole, Storage};
use std::collections::VecDeque;

/// Ticks without a leader before a voter asks for votes (up to twice that, drawn anew each time), and between a
/// leader's heartbeats.
const ELECTION: usize = 10;
const HEARTBEAT: usize = 2;
/// A learner gets a vote once it has all but so many entries.
const CAUGHT_UP: u64 = 64;
/// A snapshot is taken each so many entries, and so many older ones stay for those that are a little behind.
const SNAPSHOT: u64 = 512;
const BEHIND: u64 = 128;
/// Entries told by `fleet log`.
const TOLD: usize = 200;
/// The longest part of the log in one message, and messages on the way to one member.
const MOST_BYTES: u64 = 64 << 10;
const MOST_MESSAGES: usize = 64;

/// See the module.
pub(crate) struct Log {
    pub stamp: ClusterId,
    raw: RawNode<Store>,
    store: Store,
    pub state: ClusterState,
    pub clocks: GrantClocks,
    /// Since when this node leads.
    pub leads: Option<Timestamp>,
    /// Who leads; 0 is nobody.
    pub leader: u64,
    pub applied: u64,
    snapped: u64,
    told: VecDeque<LogLine>,
    /// Whether there is a disk; writes so far, those that are on it, and what waits for one.
    keeps: bool,
    writes: u64,
    on_disk: u64,
    waiting: VecDeque<Step>,
}

/// One step of raft's that was carried out but for what waits for the disk.
struct Step {
    /// The write that it waits for.
    write: u64,
    /// Raft's number of it.
    number: u64,
    /// The last entry of a snapshot that it took over.
    snapshot: Option<u64>,
    messages: Vec<RaftMessage>,
}

/// The log in memory contradicts itself: what stands in it can't be told any more.
#[derive(Debug)]
pub(crate) struct Contradiction;

impl Log {
    /// Takes part in the council with this stamp from what is in the store on. What is told of a former one stays.
    pub fn begin(
        me: u64,
        stamp: ClusterId,
        store: Store,
        state: ClusterState,
        former: Option<Log>,
        keeps: bool,
    ) -> Option<Log> {
        // What stands in the snapshot is applied; later entries are when raft says again that they stand.
        let applied = store
            .snapshot_bytes()
            .map_or(0, |snapshot| snapshot.last_index);
        let config = Config {
            id: me,
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
        let writes = former.as_ref().map_or(0, |former| former.writes);
        let raw = RawNode::new(&config, store.clone(), &quiet).ok()?;
        Some(Log {
            stamp,
            raw,
            store,
            state,
            clocks: GrantClocks::default(),
            leads: None,
            leader: 0,
            applied,
            snapped: applied,
            told: former.map(|former| former.told).unwrap_or_default(),
            keeps,
            writes,
            on_disk: writes,
            waiting: VecDeque::new(),
        })
    }

    /// A council begins for this node: nothing of another one may be on the disk when it votes.
    pub fn write_beginning(&mut self, out: &mut Vec<Action>) {
        let snapshot = self.store.snapshot_bytes();
        self.write(
            LogWrite {
                starts_cluster: Some(self.stamp),
                snapshot,
                ..LogWrite::default()
            },
            out,
        );
    }

    fn write(&mut self, write: LogWrite, out: &mut Vec<Action>) {
        if self.keeps {
            self.writes += 1;
            out.push(Action::Write(LogWrite {
                sequence: self.writes,
                ..write
            }));
        }
    }

    /// All writes up to this one are on the disk. Numbers of a former council are lower.
    pub fn written(&mut self, number: u64) {
        self.on_disk = self.on_disk.max(number);
    }

    /// What waited for writes that are on the disk now is said.
    fn release(&mut self, out: &mut Vec<Action>) {
        while self
            .waiting
            .front()
            .is_some_and(|step| !self.keeps || step.write <= self.on_disk)
        {
            let Some(step) = self.waiting.pop_front() else {
                return;
            };
            self.raw.on_persist_ready(step.number);
            if let Some(index) = step.snapshot {
                self.raw.advance_apply_to(index);
            }
            self.post(step.messages, out);
        }
    }

    /// The latest entries, oldest first.
    pub fn log_lines(&self) -> impl Iterator<Item = &LogLine> {
        self.told.iter()
    }

    /// The raft term.
    pub fn term(&self) -> u64 {
        self.raw.raft.term
    }

    /// Who votes and who learns.
    pub fn conf(&self) -> ConfState {
        self.raw.raft.prs().conf().to_conf_state()
    }

    /// The same, for what is decided of it.
    pub fn parts(&self) -> Parts {
        let conf = self.conf();
        Parts {
            voters: conf.get_voters().iter().copied().collect(),
            learners: conf.get_learners().iter().copied().collect(),
        }
    }

    /// Time passes.
    pub fn tick(&mut self) {
        self.raw.tick();
    }

    /// A message of the log has come; whether it changed anything.
    pub fn step(&mut self, message: RaftMessage) -> bool {
        // Guards against a commit beyond the log, which raft takes for its own fault.
        let beyond = message.get_msg_type() == MessageType::MsgHeartbeat
            && message.commit > self.raw.raft.raft_log.last_index();
        !beyond && self.raw.step(message).is_ok()
    }

    /// A message for this node by another one, if that is what it is.
    pub fn read(bytes: &[u8], me: u64, from: u64) -> Option<RaftMessage> {
        let message = RaftMessage::parse_from_bytes(bytes).ok()?;
        // The rest are raft's own signals to itself.
        let remote = !raft::raw_node::is_local_msg(message.get_msg_type());
        (message.to == me && message.from == from && remote).then_some(message)
    }

    /// Another one is to lead.
    pub fn hand_to(&mut self, heir: u64) {
        self.raw.transfer_leader(heir);
    }

    /// Carries out what raft has ready, until nothing is left.
    pub fn pump(&mut self, now: Timestamp, out: &mut Vec<Action>) -> Result<(), Contradiction> {
        self.release(out);
        while self.raw.has_ready() {
            let mut ready = self.raw.ready();
            let (mut write, mut restored) = (LogWrite::default(), None);
            if !ready.snapshot().is_empty() {
                let snapshot = ready.snapshot().clone();
                self.restore(&snapshot);
                restored = Some(snapshot.get_metadata().get_index());
                (write.snapshot, write.clears_entries) = (self.store.snapshot_bytes(), true);
            }
            let committed = ready.take_committed_entries();
            let mut written = self.store.mem.wl().append(ready.entries());
            if let Some(hard) = ready.hs() {
                self.store.mem.wl().set_hardstate(hard.clone());
                write.hard_state = hard.write_to_bytes().ok();
            }
            let bytes = |entry: &raft::eraftpb::Entry| {
                Some(StoredEntry {
                    index: entry.index,
                    bytes: entry.write_to_bytes().ok()?,
                })
            };
            write.entries = ready.entries().iter().filter_map(bytes).collect();
            // How far the log stands is found out again: only votes, terms and entries have to be there.
            if ready.must_sync() {
                self.write(write, out);
            }
            let (at_once, messages) = (ready.take_messages(), ready.take_persisted_messages());
            let step = Step {
                write: self.writes,
                number: ready.number(),
                snapshot: restored,
                messages,
            };
            self.raw.advance_append_async(ready);
            self.post(at_once, out);
            self.waiting.push_back(step);
            let last = committed.last().map(|entry| entry.index);
            for entry in committed {
                written = written.and(self.apply(entry, out));
            }
            if let Some(last) = last {
                self.raw.advance_apply_to(last);
            }
            self.clocks.follow(now, &self.state);
            written.map_err(|_| Contradiction)?;
            self.snap(out);
            self.release(out);
        }
        let leads = self.raw.raft.state == StateRole::Leader;
        if leads != self.leads.is_some() {
            self.leads = leads.then_some(now);
        }
        self.leader = self.raw.raft.leader_id;
        Ok(())
    }

    fn post(&self, messages: Vec<RaftMessage>, out: &mut Vec<Action>) {
        for message in messages {
            if let Ok(bytes) = message.write_to_bytes() {
                out.push(Action::Send {
                    to: message.to,
                    message: ControlMessage::Raft(self.stamp, bytes),
                });
            }
        }
    }

    fn apply(&mut self, entry: raft::eraftpb::Entry, out: &mut Vec<Action>) -> raft::Result<()> {
        self.applied = entry.index;
        let mut what = None;
        if entry.get_entry_type() == EntryType::EntryConfChange {
            let change =
                ConfChange::parse_from_bytes(entry.get_data()).map_err(raft::Error::CodecError)?;
            let conf = self.raw.apply_conf_change(&change)?;
            self.store.mem.wl().set_conf_state(conf.clone());
            self.state.applied_entries += 1;
            let member = postcard::from_bytes::<Member>(change.get_context()).ok();
            let named = member
                .as_ref()
                .or_else(|| self.state.members.get(&change.node_id));
            let name = named.map_or_else(|| "(expected)".to_string(), |member| member.name.clone());
            what = Some(format!(
                "{:?} {name} {:016x}",
                change.get_change_type(),
                change.node_id
            ));
            match change.get_change_type() {
                ConfChangeType::RemoveNode => drop(self.state.members.remove(&change.node_id)),
                _ => drop(member.map(|member| self.state.members.insert(change.node_id, member))),
            }
            // A new incarnation begins with a snapshot and takes none that does not name it.
            if let Ok(data) = postcard::to_stdvec(&self.state) {
                self.store.keep(entry.index, entry.term, conf, data);
            }
        } else if let Ok(read) = postcard::from_bytes::<Entry>(entry.get_data()) {
            // An empty entry is a new leader's; nobody else writes one.
            what = Some(read.description());
            let granted = self.state.apply(read);
            if self.leads.is_some() {
                let said = |grant: &crate::entry::Grant| Action::Send {
                    to: grant.holder,
                    message: ControlMessage::LeaseGranted(
                        self.stamp,
                        grant.request_number,
                        grant.limit,
                    ),
                };
                out.extend(granted.iter().map(said));
            }
        }
        if let Some(what) = what {
            self.told.push_back(LogLine {
                index: entry.index,
                term: entry.term,
                description: what,
            });
            if self.told.len() > TOLD {
                self.told.pop_front();
            }
        }
        Ok(())
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        if let Ok(state) = postcard::from_bytes::<ClusterState>(snapshot.get_data()) {
            if self.store.restore(snapshot).is_ok() {
                self.state = state;
                self.applied = snapshot.get_metadata().get_index();
                self.snapped = self.applied;
            }
        }
    }

    /// Takes a snapshot now and then, and lets go of what is older.
    fn snap(&mut self, out: &mut Vec<Action>) {
        if self.applied < self.snapped + SNAPSHOT {
            return;
        }
        let (Ok(term), Ok(data)) = (
            self.store.term(self.applied),
            postcard::to_stdvec(&self.state),
        ) else {
            return;
        };
        let conf = self.conf();
        self.store.keep(self.applied, term, conf, data);
        self.snapped = self.applied;
        // What can't be dropped now is dropped with the next one.
        let _ = self
            .store
            .mem
            .wl()
            .compact(self.applied.saturating_sub(BEHIND));
        let snapshot = self.store.snapshot_bytes();
        self.write(
            LogWrite {
                snapshot,
                ..LogWrite::default()
            },
            out,
        );
    }

    /// Snapshots that were sent and of which nothing was heard are sent again: messages get lost, and raft waits for its
    /// answer for ever.
    pub fn send_snapshots_again(&mut self) {
        let waits = |id: &u64| {
            let progress = self.raw.raft.prs().get(*id);
            progress.is_some_and(|progress| progress.state == ProgressState::Snapshot)
        };
        let parts = self.parts();
        let waiting: Vec<u64> = parts
            .voters
            .into_iter()
            .chain(parts.learners)
            .filter(waits)
            .collect();
        waiting
            .into_iter()
            .for_each(|id| self.raw.report_snapshot(id, SnapshotStatus::Failure));
    }

    /// Whether it has nearly all of the log: a vote without it makes a majority that can't go on.
    pub fn caught_up(&self, id: u64) -> bool {
        let last = self.raw.raft.raft_log.last_index();
        let progress = self.raw.raft.prs().get(id);
        progress
            .is_some_and(|progress| progress.matched > 0 && progress.matched + CAUGHT_UP >= last)
    }

    /// Whether it has answered this leader lately, by the log's own messages: sooner than membership sees a death.
    pub fn hears(&self, id: u64) -> bool {
        self.raw
            .raft
            .prs()
            .get(id)
            .is_some_and(|progress| progress.recent_active)
    }

    /// Whether a change of who takes part is on its way.
    pub fn changes(&self) -> bool {
        self.raw.raft.has_pending_conf()
    }

    /// Proposes a change of who takes part; whether that was taken.
    pub fn change(&mut self, change: &Change) -> bool {
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
        self.raw.propose_conf_change(Vec::new(), proposed).is_ok()
    }

    /// Proposes an entry. One that is dropped is proposed again: holders ask anew, and what is over stays so.
    pub fn propose(&mut self, entry: &Entry) {
        if let Ok(bytes) = postcard::to_stdvec(entry) {
            let _ = self.raw.propose(Vec::new(), bytes);
        }
    }
}
