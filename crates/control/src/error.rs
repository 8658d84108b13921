//! Errors of requests to the control group, and of resuming a log that an earlier process stored.

use thiserror::Error;

/// The reason why an operator's request was rejected, or why a stored log can't be resumed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ControlError {
    /// The entries, the snapshot and the vote of a stored log are inconsistent.
    #[error("the stored log is inconsistent")]
    InconsistentStoredLog,
    /// The log of this incarnation was inconsistent or its stable storage was lost, so it must not vote again.
    #[error("this process is excluded from the control group; restart it")]
    Disqualified,
    /// The quorum is not lost: a leader is known.
    #[error("the control group has a leader; quorum recovery is not allowed")]
    LeaderPresent,
    /// This node has not joined a control group.
    #[error("this node has not joined a control group")]
    NotJoined,
    /// No leader is known that could process the request.
    #[error("the control group has no leader")]
    NoLeader,
    /// Only the leader can answer; this node is not the leader.
    #[error("only the leader knows the demand of all nodes; leader: {leader}")]
    NotLeader {
        /// The name of the leader.
        leader: String,
    },
}
