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

/// The minimum number of ticks without a leader after which a voter starts an election. The actual number is
/// randomized for each election, up to twice the minimum.
const ELECTION_TICKS: usize = 10;
/// The number of ticks between two heartbeats of a leader.
const HEARTBEAT_TICKS: usize = 2;
/// The number of entries that are kept for the printed log.
const MAX_LOG_LINES: usize = 200;
/// The most bytes of entries in one Raft message.
const MAX_MESSAGE_BYTES: u64 = 64 << 10;
/// The most Raft messages in flight to one member.
const MAX_IN_FLIGHT_MESSAGES: usize = 64;
/// The id that the Raft library uses for "no leader".
const NO_LEADER: MemberId = 0;

/// An error of the Raft library or of an encoding: the log is inconsistent and must not be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LogError {
    /// An error of the Raft library.
    #[error("raft: {0}")]
    Raft(#[from] raft::Error),
    /// A protobuf message that can't be decoded.
    #[error("protobuf: {0}")]
    Protobuf(#[from] protobuf::ProtobufError),
    /// A snapshot whose content can't be decoded.
    #[error("snapshot: {0}")]
    Snapshot(#[from] postcard::Error),
    /// Stored entries are not consecutive.
    #[error("stored entries are not consecutive")]
    MissingEntry,
}

/// One member's copy of the replicated log, and the state that results from its applied entries.
pub(crate) struct RaftLog {
    cluster_id: ClusterId,
    raw_node: RawNode<LogStorage>,
    storage: LogStorage,
    state: ClusterState,
    grant_clocks: GrantClocks,
    /// The time since which this member has been the leader.
    leader_since: Option<Timestamp>,
    leader: Option<MemberId>,
    applied_index: u64,
    /// The index of the last entry in the latest snapshot, taken or received.
    snapshot_index: u64,
    log_lines: VecDeque<LogLine>,
    write_queue: WriteQueue,
}

/// The input for starting a log.
pub(crate) struct RaftLogStart {
    pub(crate) local_id: MemberId,
    pub(crate) cluster_id: ClusterId,
    pub(crate) storage: LogStorage,
    /// The state of the snapshot in `storage`.
    pub(crate) state: ClusterState,
    /// The log of the member's previous group. Its printed log lines are kept, and its numbering of writes continues.
    pub(crate) former: Option<Box<RaftLog>>,
    pub(crate) durability: Durability,
}

impl RaftLog {
    /// Starts participating in a group from the content of the storage.
    pub(crate) fn start(start: RaftLogStart) -> Result<RaftLog, LogError> {
        // Entries after the snapshot are applied when Raft reports them as committed again.
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

    /// Writes to stable storage that the member joins the group. State of another group must be deleted before the
    /// member votes.
    pub(crate) fn write_join(&mut self, actions: &mut Vec<Action>) {
        let write = LogWrite {
            starts_cluster: Some(self.cluster_id),
            snapshot: self.storage.stored_snapshot(),
            ..LogWrite::default()
        };
        self.write_queue.push_write(write, actions);
    }

    /// Records that all writes up to this one are completed. Writes of a previous group have lower numbers.
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

    /// The time since which this member has been the leader.
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

    /// Handles a Raft message. Returns true if Raft accepted it.
    pub(crate) fn step(&mut self, message: RaftMessage) -> bool {
        // The Raft library panics if the commit index of a heartbeat is beyond the end of the log.
        let is_beyond_log = message.get_msg_type() == MessageType::MsgHeartbeat
            && message.commit > self.raw_node.raft.raft_log.last_index();
        !is_beyond_log && self.raw_node.step(message).is_ok()
    }

    /// Decodes a message. Returns `None` unless it is from this sender to this member.
    pub(crate) fn decode_message(
        bytes: &[u8],
        local_id: MemberId,
        from: MemberId,
    ) -> Option<RaftMessage> {
        let message = RaftMessage::parse_from_bytes(bytes).ok()?;
        // Local messages are signals of the Raft library to itself and are never sent between members.
        let is_remote = !raft::raw_node::is_local_msg(message.get_msg_type());
        (message.to == local_id && message.from == from && is_remote).then_some(message)
    }

    /// Starts a leadership transfer.
    pub(crate) fn transfer_leadership(&mut self, successor: MemberId) {
        self.raw_node.transfer_leader(successor);
    }

    /// Proposes an entry. A dropped proposal is not reported: holders repeat their requests, and expired leases are
    /// proposed again.
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
