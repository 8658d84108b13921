//! What goes into a balancer and what comes out of it: ids, time, settings, events and actions.

use crate::state::learned_state::LearnedServer;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// A moment on the embedding proxy's monotonic clock, in nanoseconds. Its zero has no meaning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The moment `span` later.
    pub fn saturating_add(self, span: Duration) -> Timestamp {
        Timestamp(
            self.0
                .saturating_add(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)),
        )
    }
    /// The span since an `earlier` moment; zero if that lies ahead.
    pub fn saturating_duration_since(self, earlier: Timestamp) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

/// The identity of a server, the same at every gateway and across restarts. Ordered as text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub Arc<str>);

impl From<&str> for ServerId {
    fn from(name: &str) -> Self {
        ServerId(name.into())
    }
}

/// One try of one client. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// What a second attempt of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Running it twice does no harm.
    Idempotent,
    /// Servers of one `scope` drop repeats for `window` from the send of an attempt.
    IdempotencyKey {
        /// Which servers remember each other's requests.
        scope: IdempotencyScope,
        /// For how long they do.
        window: Duration,
    },
    /// It must not run twice.
    NotIdempotent,
}

/// The servers that drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All servers.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// A connection set up within this time earns its full worth.
    pub setup_objective: Duration,
    /// A message on a standing connection should be answered within this time; zero if unknown.
    pub message_objective: Duration,
    /// What a second attempt may do.
    pub retry_safety: RetrySafety,
}

/// A tenant's share.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Open connections over all gateways that lie within its share, if told.
    pub connection_quota: Option<f64>,
}

/// The obligations that the balancer keeps, and the site's limits. All of it is told at the start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Gateways of this tier, this one included.
    pub node_count: u32,
    /// Request classes; events name them by position.
    pub classes: Vec<Class>,
    /// Tenants; events name them by position.
    pub tenants: Vec<Tenant>,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Gateways may send each other short messages.
    pub gossip_allowed: bool,
    /// Probing is allowed.
    pub health_checks_allowed: bool,
    /// What one probe for each request would cost, in points of the result; zero if probes cost nothing.
    pub health_check_cost: f64,
    /// Probe results and outcomes name the load over capacity at this position of a report.
    pub utilization_field: Option<usize>,
    /// The list must be asked for ([`Action::Subscribe`]); otherwise changes come by themselves.
    pub requires_endpoint_watch: bool,
    /// How long after hearing that a server drains or is gone sends to it must stop.
    pub drain_grace: Duration,
    /// A server is warm this long after its start.
    pub slow_start_duration: Duration,
    /// The share of its capacity that a server starts with, at the least.
    pub initial_capacity_ratio: f64,
    /// A cold server falls over at this multiple of its present capacity.
    pub overload_factor: f64,
    /// ... kept up for this long.
    pub overload_window: Duration,
    /// The longest wait that clients heed; zero if they are not given any.
    pub max_retry_after: Duration,
}

impl Settings {
    /// The shortest time in which any class wants its messages answered; zero if none is told.
    pub fn min_message_objective(&self) -> Duration {
        let aims = self
            .classes
            .iter()
            .map(|class| class.message_objective)
            .filter(|aim| !aim.is_zero());
        aims.min().unwrap_or_default()
    }
}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// Takes new connections.
    #[default]
    Ready,
    /// Finishes its work; nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the server list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Which server.
    pub server: ServerId,
    /// Its state.
    pub health: Health,
    /// Its size relative to others, perhaps rough.
    pub weight: f64,
    /// Its zone.
    pub zone: u32,
    /// Its cell, for [`Scope::Cell`].
    pub cell: u32,
    /// Its kind of machine, a small number: what is seen of one such server is taken to say something of the others.
    pub machine_kind: u32,
    /// When it last started, if that was not long ago.
    pub started_at: Option<Timestamp>,
}

/// A request as taken from a client.
#[derive(Clone, Debug)]
pub struct RequestInfo {
    /// Its id.
    pub request: RequestId,
    /// Its class.
    pub class: usize,
    /// Whose it is.
    pub tenant: Option<usize>,
    /// The group it belongs to, which shares work on a server.
    pub group: Option<String>,
    /// The client's own key.
    pub key: Option<String>,
    /// Expected load: work a second, as time on a standard core.
    pub load: Option<Duration>,
    /// When the client stops waiting.
    pub deadline: Timestamp,
    /// Packets of an open connection; the server that holds it continues it.
    pub is_mid_flow: bool,
    /// The client came back after a break or a move.
    pub is_reconnect: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The server gave an error; it may have run.
    Error,
    /// Sent back unseen: full or draining.
    Rejected,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection came up and broke before the request was sent; it never ran.
    ClosedBeforeSend,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether this proves that the attempt never ran.
    pub fn proves_not_executed(self) -> bool {
        matches!(
            self,
            Outcome::Rejected
                | Outcome::ConnectFailed
                | Outcome::ClosedBeforeSend
                | Outcome::NotSent
        )
    }
}

/// A gateway's slice of what all may send to cold servers.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStartLease {
    /// Its part of the whole, 0 to 1: takes the place of one part in [`Settings::instances`] while the slice holds.
    pub fleet_share: f64,
    /// New sends in any `window`, while the slice holds ...
    pub limit: u32,
    /// ... until this moment; none if nothing is held.
    pub expires_at: Option<Timestamp>,
    /// New sends in any `window` without it.
    pub floor: u32,
    /// See `sends`.
    pub window: Duration,
}

/// What the proxy tells its balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// The balancer starts; the first event. Discovery and upkeep begin.
    Start,
    /// The whole list; servers not on it are gone. `cached` marks a list kept from an earlier life.
    EndpointList {
        /// The entries.
        entries: Vec<Endpoint>,
        /// Whether it is an old list.
        cached: bool,
    },
    /// Changed entries.
    EndpointChange(Vec<Endpoint>),
    /// A call to discovery failed or the subscription broke.
    EndpointWatchFailed,
    /// The subscription brings nothing any more, though it has not ended.
    EndpointWatchSilent,
    /// A request is taken.
    RequestReceived(RequestInfo),
    /// A connection that already stands on a server is taken over.
    ConnectionInherited(RequestInfo, ServerId),
    /// The connection stands.
    ConnectionEstablished {
        /// Which request.
        request: RequestId,
        /// Time since the send.
        took: Duration,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Which request.
        request: RequestId,
        /// Which attempt, from 0.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Set when the request is over.
        done: bool,
        /// The server's load report, if one came.
        report: Option<Vec<f64>>,
    },
    /// Nobody waits for the request any more.
    ClientGone(RequestId),
    /// The gateway ends: the request gets its final answer now, whatever is out for it.
    ShutdownDeadline {
        /// Which request.
        request: RequestId,
        /// Something of its present attempt has been sent.
        sent: bool,
    },
    /// A standing connection's load is now this (work a second, as time on a standard core).
    LoadObserved {
        /// Which request.
        request: RequestId,
        /// The load.
        load: Duration,
    },
    /// Messages on this standing connection's server now take this long.
    DelayObserved {
        /// Which request.
        request: RequestId,
        /// How long one takes.
        delay: Duration,
    },
    /// A standing connection's messages have gone unanswered for so long that nobody is served on it.
    ConnectionUnresponsive(RequestId),
    /// None of the standing connections on this server is answered any more.
    ServerUnresponsive(ServerId),
    /// A probe came back.
    HealthCheckCompleted {
        /// Which server.
        server: ServerId,
        /// Whether the check passed.
        passed: bool,
        /// The server's load report, if one came.
        report: Option<Vec<f64>>,
    },
    /// What another gateway told by [`Action::Tell`].
    Gossip(String),
    /// Other settings hold for what comes from now on; requests and connections that are there keep the rules under
    /// which they came.
    SettingsChanged {
        /// The settings.
        settings: Settings,
        /// For each class of theirs, its position before, if it was there.
        from: Vec<Option<usize>>,
    },
    /// What this gateway may send to cold servers, where the gateways divide that among themselves; without it each takes one
    /// part in [`Settings::instances`].
    LeaseChanged(Option<SlowStartLease>),
    /// What the process whose place this one takes has learnt of its servers.
    LearnedState(Vec<LearnedServer>),
    /// Exactly these servers are out by hand from now on: nothing new goes there, whatever the list says, and what
    /// stands there is moved. One that is out no more counts as just started.
    AdminDrain(BTreeSet<ServerId>),
    /// A timer set by [`Action::SetTimer`] has come due.
    TimerFired(u64),
}

/// What the balancer wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the server; give the attempt up after `patience`.
    StartAttempt {
        /// Which request.
        request: RequestId,
        /// Where to.
        server: ServerId,
        /// How long to wait.
        patience: Duration,
    },
    /// End the request unserved: it never ran, or repeating it is harmless.
    Reject {
        /// Which request.
        request: RequestId,
        /// When the client had best come again; zero for no advice.
        retry_after: Duration,
    },
    /// End the request as failed; nothing is said of its effect.
    Fail(RequestId),
    /// Ask a standing connection's client to reconnect.
    Migrate(RequestId),
    /// Probe a server.
    CheckHealth(ServerId),
    /// Tell all other gateways, as far as it reaches them.
    Gossip(String),
    /// Set a timer.
    SetTimer {
        /// From now.
        after: Duration,
        /// Comes back in [`Event::Timer`].
        handle: u64,
    },
    /// Ask discovery for changes from now on.
    WatchEndpoints,
}
