//! The kinds of the node's deadlines. Deadlines of one component that are due at the same instant fire in the order of
//! the variants.

use lupincrank_placement::Timer;

/// The kind of a deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DeadlineKind {
    /// The next check for unanswered lines; owned by the application.
    UnansweredLinesCheck,
    /// A timer of the placement module; owned by the application.
    PlacementTimer(PlacementTimer),
    /// A deadline of the discovery client.
    Discovery(DiscoveryDeadline),
    /// A listener accepts again after it ran out of descriptors.
    ResumeAccepting,
    /// The next step of the graceful shutdown.
    ShutdownStep,
    /// An admin connection closes, because no call was received in time or because the call was answered.
    AdminConnection,
    /// A deadline of the handoff.
    Handoff(HandoffDeadline),
    /// A deadline of the cluster agent.
    ClusterAgent(ClusterAgentDeadline),
    /// A deadline of a client connection.
    Client(ClientDeadline),
    /// A deadline of an attempt.
    Attempt(AttemptDeadline),
    /// A relay closes after one of its sides has ended.
    RelayClose,
    /// A deadline of a health check.
    HealthCheck(HealthCheckDeadline),
    /// The next call of a hollow node's observer.
    Observer,
}

/// A timer of the placement module. Several timers of the same kind may be set at once, so each has its own number; of
/// timers due at the same instant, the one set first fires first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PlacementTimer {
    /// The timer's number, counted from the node's start.
    pub(crate) sequence: u64,
    /// The purpose of the timer.
    pub(crate) kind: Timer,
}

/// Deadlines of the discovery client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DiscoveryDeadline {
    /// The progress timeout of the call in this slot (0 or 1).
    Call(usize),
    /// A second call is made while the first is unanswered.
    SecondCall,
    /// The next try of a call whose connect failed locally.
    RetryCall,
}

/// Deadlines of the handoff between two processes of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum HandoffDeadline {
    /// The next heartbeat to the other process.
    Heartbeat,
    /// The next processing of the queue of connections to transfer.
    TransferStep,
    /// The next try to send the queued messages.
    SendQueue,
}

/// Deadlines of the cluster agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ClusterAgentDeadline {
    /// The control group's next tick.
    ControlTick,
    /// The membership protocol's next step.
    Membership,
    /// The next try to bind the cluster address.
    Bind,
}

/// Deadlines of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ClientDeadline {
    /// The timeout of the first line; after an answer, the timeout of the client's close.
    Close,
    /// The next attempt to restore a connection from before this process's start.
    RestoreRetry,
    /// The next attempt to claim a request id that is in use.
    ClaimRetry,
}

/// Deadlines of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum AttemptDeadline {
    /// The next try of a connect that failed locally.
    RetryConnect,
    /// The timeout of the connect.
    Connect,
    /// The timeout of the answer.
    Answer,
}

/// Deadlines of a health check's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum HealthCheckDeadline {
    /// The timeout of the connect.
    Connect,
    /// The timeout of the answer; between checks, the idle timeout of the connection.
    Answer,
}

macro_rules! impl_into_deadline_kind {
    ($($kind:ident($deadline:ty)),+ $(,)?) => {
        $(impl From<$deadline> for DeadlineKind {
            fn from(deadline: $deadline) -> DeadlineKind {
                DeadlineKind::$kind(deadline)
            }
        })+
    };
}

impl_into_deadline_kind!(
    PlacementTimer(PlacementTimer),
    Discovery(DiscoveryDeadline),
    Handoff(HandoffDeadline),
    ClusterAgent(ClusterAgentDeadline),
    Client(ClientDeadline),
    Attempt(AttemptDeadline),
    HealthCheck(HealthCheckDeadline),
);
