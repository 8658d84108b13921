//! One member's copy of the replicated log, driven through the `raft` crate.

mod apply;
mod configuration;
mod persistence;
mod ready;
mod storage;

pub(crate) use storage::LogStorage;

use crate::durable::LogWrite;
use crate::entry::Entry;
use crate::lease::GrantClocks;
use crate::member::{ClusterId, MemberId};
use crate::message::Action;
use crate::state::ClusterState;
use crate::status::LogLine;
use lupincrank_placement::Timestamp;
pub(crate) use persistence::Durability;
use persistence::WriteQueue;
use protobuf::Message as _;
use raft::eraftpb::{Message as RaftMessage, MessageType};
use raft::{Config, RawNode};
use std::collections::VecDeque;

/// Ticks without a leader after which a voter starts an election; up to twice that, drawn anew each time.
const ELECTION_TICKS: usize = 10;
/// Ticks between two heartbeats of a leader.
const HEARTBEAT_TICKS: usize = 2;
/// The number of entries that are kept for the printed log.
const MAX_LOG_LINES: usize = 200;
/// The most bytes of entries in one Raft message.
const MAX_MESSAGE_BYTES: u64 = 64 << 10;
/// The most Raft messages that are on their way to one member.
const MAX_IN_FLIGHT_MESSAGES: usize = 64;
/// What Raft takes for "no leader".
const NO_LEADER: MemberId = 0;

/// An error of the Raft library or of an encoding: the log is inconsistent and can't be relied on.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LogError {
    /// Of the Raft library.
    #[error("raft: {0}")]
    Raft(#[from] raft::Error),
    /// Of a protobuf message.
    #[error("protobuf: {0}")]
    Protobuf(#[from] protobuf::ProtobufError),
    /// Of a snapshot's content.
    #[error("snapshot: {0}")]
    Snapshot(#[from] postcard::Error),
    /// Stored entries are not consecutive.
    #[error("stored entries are not consecutive")]
    MissingEntry,
}

/// One member's copy of the replicated log, and the state that its applied entries lead to.
pub(crate) struct RaftLog {
    cluster_id: ClusterId,
    raw_node: RawNode<LogStorage>,
    storage: LogStorage,
    state: ClusterState,
    grant_clocks: GrantClocks,
    /// Since when this member is the leader.
    leader_since: Option<Timestamp>,
    leader: Option<MemberId>,
    applied_index: u64,
    /// The last entry of the latest snapshot that was taken or received.
    snapshot_index: u64,
    log_lines: VecDeque<LogLine>,
    write_queue: WriteQueue,
}

/// What a log is started with.
pub(crate) struct RaftLogStart {
    pub(crate) local_id: MemberId,
    pub(crate) cluster_id: ClusterId,
    pub(crate) storage: LogStorage,
    /// The state of the snapshot in `storage`.
    pub(crate) state: ClusterState,
    /// The log of the group that the member was in before: its lines stay, and writes are numbered on.
    pub(crate) former: Option<Box<RaftLog>>,
    pub(crate) durability: Durability,
}

impl RaftLog {
    /// Takes part in a group from the content of the storage on.
    pub(crate) fn start(start: RaftLogStart) -> Result<RaftLog, LogError> {
        // Later entries than the snapshot's are applied when Raft reports them as committed again.
        let applied_index = start.storage.snapshot_index();
        let config = raft_config(start.local_id, applied_index);
        let discard = slog::Logger::root(slog::Discard, slog::o!());
        let raw_node = RawNode::new(&config, start.storage.clone(), &discard)?;
        let former_writes = start.former.as_ref().map(|former| &former.write_queue);
        let write_queue = WriteQueue::new(start.durability, former_writes);
        Ok(RaftLog {
            cluster_id: start.cluster_id,
            raw_node,
            storage: start.storage,
            state: start.state,
            grant_clocks: GrantClocks::default(),
            leader_since: None,
            leader: None,
            applied_index,
            snapshot_index: applied_index,
            log_lines: start
                .former
                .map(|former| former.log_lines)
                .unwrap_or_default(),
            write_queue,
        })
    }

    /// Stores that the member joins the group: nothing of another group may be stored when it votes.
    pub(crate) fn write_start(&mut self, actions: &mut Vec<Action>) {
        let write = LogWrite {
            starts_cluster: Some(self.cluster_id),
            snapshot: self.storage.stored_snapshot(),
            ..LogWrite::default()
        };
        self.write_queue.push_write(write, actions);
    }

    /// All writes up to this one are completed. Those of a former group have lower numbers.
    pub(crate) fn on_write_completed(&mut self, sequence: u64) {
        self.write_queue.on_completed(sequence);
    }

    pub(crate) fn cluster_id(&self) -> ClusterId {
        self.cluster_id
    }

    pub(crate) fn state(&self) -> &ClusterState {
        &self.state
    }

    pub(crate) fn grant_clocks(&self) -> &GrantClocks {
        &self.grant_clocks
    }

    /// Since when this member is the leader.
    pub(crate) fn leader_since(&self) -> Option<Timestamp> {
        self.leader_since
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.leader_since.is_some()
    }

    pub(crate) fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    pub(crate) fn applied_index(&self) -> u64 {
        self.applied_index
    }

    pub(crate) fn term(&self) -> u64 {
        self.raw_node.raft.term
    }

    /// The latest entries, oldest first.
    pub(crate) fn log_lines(&self) -> impl Iterator<Item = &LogLine> {
        self.log_lines.iter()
    }

    pub(crate) fn tick(&mut self) {
        self.raw_node.tick();
    }

    /// Takes in a message; returns whether it was accepted.
    pub(crate) fn step(&mut self, message: RaftMessage) -> bool {
        // Raft panics on a commit index beyond the log.
        let is_beyond_log = message.get_msg_type() == MessageType::MsgHeartbeat
            && message.commit > self.raw_node.raft.raft_log.last_index();
        !is_beyond_log && self.raw_node.step(message).is_ok()
    }

    /// Decodes a message, if it is from this sender to this member.
    pub(crate) fn decode_message(
        bytes: &[u8],
        local_id: MemberId,
        from: MemberId,
    ) -> Option<RaftMessage> {
        let message = RaftMessage::parse_from_bytes(bytes).ok()?;
        // Local messages are signals of Raft to itself.
        let is_remote = !raft::raw_node::is_local_msg(message.get_msg_type());
        (message.to == local_id && message.from == from && is_remote).then_some(message)
    }

    /// Starts to hand leadership over.
    pub(crate) fn transfer_leadership(&mut self, successor: MemberId) {
        self.raw_node.transfer_leader(successor);
    }

    /// Proposes an entry. A dropped proposal needs no answer: holders repeat their requests, and what has expired stays
    /// expired.
    pub(crate) fn propose(&mut self, entry: &Entry) {
        if let Ok(bytes) = postcard::to_stdvec(entry) {
            let _ = self.raw_node.propose(Vec::new(), bytes);
        }
    }
}

fn raft_config(local_id: MemberId, applied_index: u64) -> Config {
    Config {
        id: local_id,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        applied: applied_index,
        max_size_per_msg: MAX_MESSAGE_BYTES,
        max_inflight_msgs: MAX_IN_FLIGHT_MESSAGES,
        check_quorum: true,
        pre_vote: true,
        ..Config::default()
    }
}
