//! What the node's deadlines are for. Deadlines of one component that are due at the same instant fire in the order of
//! the variants.

use lupincrank_placement::Timer;

/// What a deadline is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DeadlineKind {
    /// The next look at connections whose lines are unanswered; owned by the application.
    UnansweredLinesCheck,
    /// A timer of the placement decisions; owned by the application.
    PlacementTimer(PlacementTimer),
    /// The discovery client's.
    Discovery(DiscoveryDeadline),
    /// A listener accepts again after it ran out of descriptors.
    ResumeAccepting,
    /// The next step of the graceful shutdown.
    ShutdownStep,
    /// An admin connection's call is due, or its close after the answer.
    AdminConnection,
    /// The handoff's.
    Handoff(HandoffDeadline),
    /// The cluster agent's.
    ClusterAgent(ClusterAgentDeadline),
    /// A client connection's.
    Client(ClientDeadline),
    /// An attempt's.
    Attempt(AttemptDeadline),
    /// A relay's close after one of its sides has ended.
    RelayClose,
    /// A health check's.
    HealthCheck(HealthCheckDeadline),
    /// The next call of a hollow node's observer.
    Observer,
}

/// One timer of the placement decisions. Timers of the same kind may be set side by side, so each has a number of
/// its own; the earlier one fires first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PlacementTimer {
    /// The timer's number, counted from the node's start.
    pub(crate) sequence: u64,
    /// What it is for.
    pub(crate) kind: Timer,
}

/// Deadlines of the discovery client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DiscoveryDeadline {
    /// The call in this slot (0 or 1) has to make progress.
    Call(usize),
    /// A second call is made beside one that is not answered.
    SecondCall,
    /// A call that this machine refused to make is to be made again.
    RetryCall,
}

/// Deadlines of the handoff between two processes of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum HandoffDeadline {
    /// The next heartbeat to the other process.
    Heartbeat,
    /// The next look at the queue of connections to transfer.
    TransferStep,
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
    /// The first line, or the client's end after its answer, is due.
    Close,
    /// The next attempt to restore a connection from before this process's start.
    RestoreRetry,
}

/// Deadlines of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum AttemptDeadline {
    /// A connect that this machine refused is to be made again.
    RetryConnect,
    /// The connection is due.
    Connect,
    /// The answer is due.
    Answer,
}

/// Deadlines of a health check's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum HealthCheckDeadline {
    /// The connection is due.
    Connect,
    /// The answer, or the next health check, is due.
    Answer,
}

macro_rules! wrapped_in_deadline_kind {
    ($($kind:ident($deadline:ty)),+ $(,)?) => {
        $(impl From<$deadline> for DeadlineKind {
            fn from(deadline: $deadline) -> DeadlineKind {
                DeadlineKind::$kind(deadline)
            }
        })+
    };
}

wrapped_in_deadline_kind!(
    PlacementTimer(PlacementTimer),
    Discovery(DiscoveryDeadline),
    Handoff(HandoffDeadline),
    ClusterAgent(ClusterAgentDeadline),
    Client(ClientDeadline),
    Attempt(AttemptDeadline),
    HealthCheck(HealthCheckDeadline),
);
