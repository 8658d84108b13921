//! What can go wrong with a request to the control group, and with a log from an earlier process.

use thiserror::Error;

/// Why a request by an operator was rejected, or why a stored log can't be resumed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ControlError {
    /// The entries, the snapshot and the vote of a stored log don't fit together.
    #[error("the log on the disk contradicts itself")]
    InconsistentStoredLog,
    /// The log of this incarnation was inconsistent: it must not vote again.
    #[error("this process takes no part any more: start it again")]
    Disqualified,
    /// The quorum is not lost: a leader is known.
    #[error("the council has a leader: nothing is to be founded anew")]
    LeaderPresent,
    /// This node has not joined a control group.
    #[error("this node takes part in no council")]
    NotJoined,
    /// No leader is known that could carry out the request.
    #[error("the council has no leader now")]
    NoLeader,
    /// Only the leader can answer; this node is not the leader.
    #[error("only the leader knows what all want: {leader} leads")]
    NotLeader {
        /// The name of the leader.
        leader: String,
    },
}
