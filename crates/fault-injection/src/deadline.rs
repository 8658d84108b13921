//! The purposes of a run's deadlines.

use crate::stream_relay::Side;

/// The purpose of a deadline. Deadlines of one component that expire at the same instant fire in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DeadlineKind {
    /// Sessions are due.
    RunSessions,
    /// Steps of faults are due.
    RunFaults,
    /// Nodes are polled for their state.
    PollNodes,
    /// A call to a node times out.
    CallTimeout,
    /// A failed change of a proxy's listener is retried.
    RetryListen,
    /// Delayed bytes that were read from this side are due to be forwarded.
    RelayStream(Side),
    /// A delayed datagram is due to be sent.
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
