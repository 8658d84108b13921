//! The events that a proxy passes to its balancer.

use crate::api::{
    Endpoint, Outcome, RequestId, RequestInfo, ServerId, Settings, SlowStartLease, Timer,
};
use crate::learned_state::LearnedServer;
use std::collections::BTreeSet;
use std::time::Duration;

/// An observation of the proxy, or a change of its configuration.
#[derive(Clone, Debug)]
pub enum Event {
    /// The balancer starts. This is always the first event: it starts the endpoint watch and sets the first timers.
    Start,
    /// The complete endpoint list: servers that it does not contain are removed.
    EndpointList {
        /// All endpoints.
        entries: Vec<Endpoint>,
        /// Whether the list was stored by an earlier process, so that it may be out of date.
        cached: bool,
    },
    /// Endpoints that were added or changed.
    EndpointChange(Vec<Endpoint>),
    /// A call to service discovery failed, or the endpoint watch was closed.
    EndpointWatchFailed,
    /// The endpoint watch is still open, but has received nothing for too long.
    EndpointWatchStalled,
    /// A client's request was received.
    RequestReceived(RequestInfo),
    /// A connection that is already established on the given server was taken over from another process.
    ConnectionInherited(RequestInfo, ServerId),
    /// The present attempt of a request established its connection.
    ConnectionEstablished {
        /// The request to which the connection belongs.
        request: RequestId,
        /// Time since the attempt was sent.
        setup_duration: Duration,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request that the attempt was made for.
        request: RequestId,
        /// The attempt's index, from 0.
        attempt: u32,
        /// The result of the attempt.
        outcome: Outcome,
        /// Whether the request is finished and needs no further attempt.
        done: bool,
        /// The server's load report, if the answer carried one.
        report: Option<Vec<f64>>,
    },
    /// The client closed its connection.
    ClientDisconnected(RequestId),
    /// The process is about to exit: the request must get its final answer without waiting for its attempts.
    ShutdownDeadline {
        /// The request to end.
        request: RequestId,
        /// Whether any part of its present attempt was already sent.
        sent: bool,
    },
    /// The load of an established connection was measured.
    LoadObserved {
        /// The request that established the connection.
        request: RequestId,
        /// The load: seconds of CPU time on a standard core per second.
        load: Duration,
    },
    /// The latency of messages at the server of an established connection was measured.
    DelayObserved {
        /// The request that established the connection.
        request: RequestId,
        /// The latency of one message.
        delay: Duration,
    },
    /// Messages on an established connection have been unanswered for so long that the connection is considered
    /// failed.
    ConnectionUnresponsive(RequestId),
    /// None of the established connections to this server is answered.
    ServerUnresponsive(ServerId),
    /// A health check of [`Action::CheckHealth`](crate::Action::CheckHealth) ended.
    HealthCheckCompleted {
        /// The server that was checked.
        server: ServerId,
        /// Whether it passed.
        passed: bool,
        /// The server's load report, if the result carried one.
        report: Option<Vec<f64>>,
    },
    /// A message from another node's [`Action::Gossip`](crate::Action::Gossip).
    Gossip(String),
    /// New settings for requests received after this event. Existing requests and connections keep the settings under
    /// which they were received.
    SettingsChanged {
        /// The new settings.
        settings: Settings,
        /// For each class of the new settings, its index in the old ones; `None` if it is new.
        previous_class_indices: Vec<Option<usize>>,
    },
    /// The node's lease on the fleet's slow-start budget changed. With `None` the fleet does not divide that budget,
    /// and the node uses an even share by [`Settings::node_count`].
    LeaseChanged(Option<SlowStartLease>),
    /// The state that the process replaced by this one had learned about its servers.
    LearnedState(Vec<LearnedServer>),
    /// The set of servers that an administrator drains, whatever the endpoint list reports: they get no new
    /// connections, and their established ones are migrated. A server that is released counts as just started, unless
    /// the endpoint list reports a start after the drain.
    AdminDrain(BTreeSet<ServerId>),
    /// A timer of [`Action::SetTimer`](crate::Action::SetTimer) fired.
    TimerFired(Timer),
}
