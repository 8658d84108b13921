//! What the deadlines of a run are for.

use crate::stream_relay::Side;

/// What a deadline is for. Deadlines of one component that fall due at the same instant fire in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DeadlineKind {
    /// Sessions are due.
    RunSessions,
    /// Steps of faults are due.
    RunFaults,
    /// Nodes are asked for their state.
    PollNodes,
    /// A call to a node has taken too long.
    CallTimeout,
    /// A proxy's listener could not be changed, and is tried again.
    RetryListen,
    /// Bytes that were read from this side are due.
    RelayStream(Side),
    /// A delayed datagram is due.
    SendDatagram,
    /// A deadline of a test server or client.
    TestServer(lupincrank_test_servers::DeadlineKind),
}

impl From<lupincrank_test_servers::DeadlineKind> for DeadlineKind {
    fn from(kind: lupincrank_test_servers::DeadlineKind) -> DeadlineKind {
        DeadlineKind::TestServer(kind)
    }
}

impl TryFrom<DeadlineKind> for lupincrank_test_servers::DeadlineKind {
    type Error = DeadlineKind;

    fn try_from(kind: DeadlineKind) -> Result<Self, DeadlineKind> {
        match kind {
            DeadlineKind::TestServer(kind) => Ok(kind),
            other => Err(other),
        }
    }
}
