//! What a proxy tells its balancer.

use crate::api::{
    Endpoint, Outcome, RequestId, RequestInfo, ServerId, Settings, SlowStartLease, Timer,
};
use crate::learned_state::LearnedServer;
use std::collections::BTreeSet;
use std::time::Duration;

/// An observation of the proxy or a change of what it is told to do.
#[derive(Clone, Debug)]
pub enum Event {
    /// The balancer starts: always the first event. It begins to watch endpoints and sets its first timers.
    Start,
    /// The complete endpoint list: servers that are not on it are removed.
    EndpointList {
        /// All endpoints.
        entries: Vec<Endpoint>,
        /// Whether the list was stored by an earlier process and may be out of date.
        cached: bool,
    },
    /// Endpoints that were added or changed.
    EndpointChange(Vec<Endpoint>),
    /// A call to service discovery failed, or the endpoint watch was closed.
    EndpointWatchFailed,
    /// The endpoint watch is still open, but nothing has come on it for too long.
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
        /// The request of which it was an attempt.
        request: RequestId,
        /// The attempt's index, from 0.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Whether the request is finished, so that no further attempt is wanted.
        done: bool,
        /// The server's load report, if one came with the answer.
        report: Option<Vec<f64>>,
    },
    /// The client closed its connection.
    ClientGone(RequestId),
    /// The process is about to end: the request must get its final answer now, whatever its attempts do.
    ShutdownDeadline {
        /// The request to finish.
        request: RequestId,
        /// Whether a part of its present attempt was already sent.
        sent: bool,
    },
    /// The load of an established connection was measured.
    LoadObserved {
        /// The request that established the connection.
        request: RequestId,
        /// The load: CPU time of a standard core for each second.
        load: Duration,
    },
    /// The latency of messages on an established connection's server was measured.
    DelayObserved {
        /// The request that established the connection.
        request: RequestId,
        /// The latency of one message.
        delay: Duration,
    },
    /// Messages on an established connection have been unanswered for so long that the connection is of no use.
    ConnectionUnresponsive(RequestId),
    /// No established connection on this server is answered any more.
    ServerUnresponsive(ServerId),
    /// A health check of [`Action::CheckHealth`](crate::Action::CheckHealth) ended.
    HealthCheckCompleted {
        /// The server that was checked.
        server: ServerId,
        /// Whether it passed.
        passed: bool,
        /// The server's load report, if one came with the result.
        report: Option<Vec<f64>>,
    },
    /// A message from another node's [`Action::Gossip`](crate::Action::Gossip).
    Gossip(String),
    /// New settings for requests received from now on. Requests and connections that exist keep the settings under which
    /// they were received.
    SettingsChanged {
        /// The new settings.
        settings: Settings,
        /// For each class of the new settings, its index in the old ones; `None` if it is new.
        previous_class_indices: Vec<Option<usize>>,
    },
    /// The node's lease on the fleet's slow-start budget changed. `None` if the fleet does not divide that budget: then
    /// the node takes an even share by [`Settings::node_count`].
    LeaseChanged(Option<SlowStartLease>),
    /// What the process that this one replaces had learned of its servers.
    LearnedState(Vec<LearnedServer>),
    /// From now on exactly these servers are drained by an administrator, whatever the endpoint list says: they get no
    /// new connections and their established ones are migrated. A server that is released counts as just started.
    AdminDrain(BTreeSet<ServerId>),
    /// A timer of [`Action::SetTimer`](crate::Action::SetTimer) fired.
    TimerFired(Timer),
}
