//! What goes into a balancer and what comes out of it: ids, time, settings, events and actions.

use crate::learnt::Learnt;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// A moment on the embedding proxy's monotonic clock, in nanoseconds. Its zero has no meaning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// The moment `span` later.
    pub fn after(self, span: Duration) -> Time {
        Time(
            self.0
                .saturating_add(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)),
        )
    }
    /// The span since an `earlier` moment; zero if that lies ahead.
    pub fn since(self, earlier: Time) -> Duration {
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
pub enum Repeat {
    /// Running it twice does no harm.
    Repeatable,
    /// Servers of one `scope` drop repeats for `window` from the send of an attempt.
    ByKey {
        /// Which servers remember each other's requests.
        scope: Scope,
        /// For how long they do.
        window: Duration,
    },
    /// It must not run twice.
    Once,
}

/// The servers that drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
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
    pub aim: Duration,
    /// A message on a standing connection should be answered within this time; zero if unknown.
    pub message_aim: Duration,
    /// What a second attempt may do.
    pub repeat: Repeat,
}

/// A tenant's share.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Open connections over all gateways that lie within its share, if told.
    pub quota_connections: Option<f64>,
}

/// The obligations that the balancer keeps, and the site's limits. All of it is told at the start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Gateways of this tier, this one included.
    pub instances: u32,
    /// Request classes; events name them by position.
    pub classes: Vec<Class>,
    /// Tenants; events name them by position.
    pub tenants: Vec<Tenant>,
    /// Most attempts for one request.
    pub attempt_cap: u32,
    /// Gateways may send each other short messages.
    pub may_tell: bool,
    /// Probing is allowed.
    pub may_probe: bool,
    /// What one probe for each request would cost, in points of the result; zero if probes cost nothing.
    pub probe_price: f64,
    /// Probe results and outcomes name the load over capacity at this position of a report.
    pub report_utilisation: Option<usize>,
    /// The list must be asked for ([`Action::Subscribe`]); otherwise changes come by themselves.
    pub list_must_be_asked: bool,
    /// How long after hearing that a server drains or is gone sends to it must stop.
    pub drain_grace: Duration,
    /// A server is warm this long after its start.
    pub cold_for: Duration,
    /// The share of its capacity that a server starts with, at the least.
    pub start_capacity: f64,
    /// A cold server falls over at this multiple of its present capacity.
    pub fall_multiple: f64,
    /// ... kept up for this long.
    pub fall_window: Duration,
    /// The longest wait that clients heed; zero if they are not given any.
    pub longest_retry_after: Duration,
}

impl Settings {
    /// The shortest time in which any class wants its messages answered; zero if none is told.
    pub fn least_message_aim(&self) -> Duration {
        let aims = self
            .classes
            .iter()
            .map(|class| class.message_aim)
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
pub struct Listed {
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
    pub kind: u32,
    /// When it last started, if that was not long ago.
    pub started: Option<Time>,
}

/// A request as taken from a client.
#[derive(Clone, Debug)]
pub struct Incoming {
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
    pub expires: Time,
    /// Packets of an open connection; the server that holds it continues it.
    pub mid_flow: bool,
    /// The client came back after a break or a move.
    pub returned: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The server gave an error; it may have run.
    Error,
    /// Sent back unseen: full or draining.
    Full,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection came up and broke before the request was sent; it never ran.
    Dropped,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether this proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Full | Outcome::ConnectFailed | Outcome::Dropped | Outcome::Moot
        )
    }
}

/// A gateway's slice of what all may send to cold servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Slice {
    /// Its part of the whole, 0 to 1: takes the place of one part in [`Settings::instances`] while the slice holds.
    pub part: f64,
    /// New sends in any `window`, while the slice holds ...
    pub sends: u32,
    /// ... until this moment; none if nothing is held.
    pub until: Option<Time>,
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
    List {
        /// The entries.
        entries: Vec<Listed>,
        /// Whether it is an old list.
        cached: bool,
    },
    /// Changed entries.
    ListChange(Vec<Listed>),
    /// A call to discovery failed or the subscription broke.
    ListFailed,
    /// The subscription brings nothing any more, though it has not ended.
    ListSilent,
    /// A request is taken.
    Request(Incoming),
    /// A connection that already stands on a server is taken over.
    Inherited(Incoming, ServerId),
    /// The connection stands.
    Established {
        /// Which request.
        request: RequestId,
        /// Time since the send.
        took: Duration,
    },
    /// An attempt ended.
    Ended {
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
    GivenUp {
        /// Which request.
        request: RequestId,
        /// Something of its present attempt has been sent.
        sent: bool,
    },
    /// A standing connection's load is now this (work a second, as time on a standard core).
    LoadNote {
        /// Which request.
        request: RequestId,
        /// The load.
        load: Duration,
    },
    /// Messages on this standing connection's server now take this long.
    DelayNote {
        /// Which request.
        request: RequestId,
        /// How long one takes.
        delay: Duration,
    },
    /// A standing connection's messages have gone unanswered for so long that nobody is served on it.
    Silent(RequestId),
    /// None of the standing connections on this server is answered any more.
    ServerSilent(ServerId),
    /// A probe came back.
    Probed {
        /// Which server.
        server: ServerId,
        /// Whether the check passed.
        passed: bool,
        /// The server's load report, if one came.
        report: Option<Vec<f64>>,
    },
    /// What another gateway told by [`Action::Tell`].
    Told(String),
    /// Other settings hold for what comes from now on; requests and connections that are there keep the rules under
    /// which they came.
    Settings {
        /// The settings.
        settings: Settings,
        /// For each class of theirs, its position before, if it was there.
        from: Vec<Option<usize>>,
    },
    /// What this gateway may send to cold servers, where the gateways divide that among themselves; without it each takes one
    /// part in [`Settings::instances`].
    Slice(Option<Slice>),
    /// What the process whose place this one takes has learnt of its servers.
    Learnt(Vec<Learnt>),
    /// Exactly these servers are out by hand from now on: nothing new goes there, whatever the list says, and what
    /// stands there is moved. One that is out no more counts as just started.
    ByHand(BTreeSet<ServerId>),
    /// A timer set by [`Action::SetTimer`] has come due.
    Timer(u64),
}

/// What the balancer wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the server; give the attempt up after `patience`.
    Place {
        /// Which request.
        request: RequestId,
        /// Where to.
        server: ServerId,
        /// How long to wait.
        patience: Duration,
    },
    /// End the request unserved: it never ran, or repeating it is harmless.
    Refuse {
        /// Which request.
        request: RequestId,
        /// When the client had best come again; zero for no advice.
        retry_after: Duration,
    },
    /// End the request as failed; nothing is said of its effect.
    Fail(RequestId),
    /// Ask a standing connection's client to reconnect.
    Move(RequestId),
    /// Probe a server.
    Probe(ServerId),
    /// Tell all other gateways, as far as it reaches them.
    Tell(String),
    /// Set a timer.
    SetTimer {
        /// From now.
        after: Duration,
        /// Comes back in [`Event::Timer`].
        handle: u64,
    },
    /// Ask discovery for changes from now on.
    Subscribe,
}
