//! Upstream servers with a limited capacity.
//!
//! A server has a part of its capacity only while it warms up, and crashes when it is overloaded then. It answers more
//! slowly the more connections it has, and closes them one by one when it drains.

mod listener;
mod session;

use crate::observation::Observation;
use crate::{scale_duration, Command, Environment};
pub use listener::start;
use lupincrank_reactor::{ComponentId, Context};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Keeps divisors above zero.
const MIN_DIVISOR: f64 = 1e-9;

/// How much load a server bears.
#[derive(Clone, Copy, Debug)]
pub struct CapacityModel {
    /// Connections that a warm server serves well.
    pub warm_capacity: f64,
    /// Connections above which a server rejects.
    pub max_connections: usize,
    /// How long a server warms up after its start.
    pub warm_up_duration: Duration,
    /// Ratio of `warm_capacity` that a server has at its start.
    pub initial_capacity_ratio: f64,
    /// A server that is warming up crashes at this multiple of its current capacity ...
    pub crash_load_ratio: f64,
    /// ... if the load stays there for so long.
    pub crash_delay: Duration,
    /// How long an idle server takes to establish a connection.
    pub setup_duration: Duration,
}

/// What a server does with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerMode {
    /// It serves.
    Serving,
    /// It rejects new connections while its old ones are closed one by one.
    Draining,
    /// It answers nothing, on old connections and new ones.
    Unresponsive,
    /// It is not running.
    Stopped,
}

/// One upstream server.
pub struct UpstreamServer {
    listener_id: ComponentId,
    address: SocketAddr,
    mode: ServerMode,
    /// When it last started; none for long ago.
    started_at: Option<Instant>,
    overloaded_since: Option<Instant>,
    /// Request ids by the component that serves them.
    sessions: BTreeMap<ComponentId, u64>,
}

/// All upstream servers, by number.
pub struct UpstreamFleet {
    capacity_model: CapacityModel,
    servers: Vec<UpstreamServer>,
}

impl UpstreamFleet {
    /// A fleet without servers; [`start`] adds them.
    pub fn new(capacity_model: CapacityModel) -> UpstreamFleet {
        UpstreamFleet {
            capacity_model,
            servers: Vec::new(),
        }
    }

    /// How much load each server bears.
    pub fn capacity_model(&self) -> &CapacityModel {
        &self.capacity_model
    }

    /// Number of servers that were ever started.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server was ever started.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// A server by its number.
    pub fn get(&self, number: usize) -> Option<&UpstreamServer> {
        self.servers.get(number)
    }
}

impl UpstreamServer {
    /// The address that it listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it does with connections.
    pub fn mode(&self) -> ServerMode {
        self.mode
    }

    /// Number of its connections.
    pub fn connection_count(&self) -> usize {
        self.sessions.len()
    }

    /// The ratio of its warm capacity that it has now, 0 to 1.
    fn capacity_ratio(&self, model: &CapacityModel, now: Instant) -> f64 {
        let age = self.started_at.map_or(model.warm_up_duration, |started| {
            now.saturating_duration_since(started)
        });
        let warm_up_seconds = model.warm_up_duration.as_secs_f64().max(MIN_DIVISOR);
        let progress = (age.as_secs_f64() / warm_up_seconds).min(1.0);
        model.initial_capacity_ratio + (1.0 - model.initial_capacity_ratio) * progress
    }

    fn is_warming_up(&self, model: &CapacityModel, now: Instant) -> bool {
        self.started_at
            .is_some_and(|started| now.saturating_duration_since(started) < model.warm_up_duration)
    }

    /// How long an operation takes now that takes `idle_duration` on an idle server.
    fn operation_duration(
        &self,
        model: &CapacityModel,
        idle_duration: Duration,
        now: Instant,
    ) -> Duration {
        let capacity = (model.warm_capacity * self.capacity_ratio(model, now)).max(MIN_DIVISOR);
        let utilization = self.sessions.len() as f64 / capacity;
        scale_duration(idle_duration, 1.0 + utilization * utilization)
    }

    /// Whether its load has exceeded what it bears for so long that it crashes now.
    fn should_crash(&mut self, model: &CapacityModel, now: Instant) -> bool {
        let crash_load =
            model.warm_capacity * self.capacity_ratio(model, now) * model.crash_load_ratio;
        let is_overloaded = self.mode != ServerMode::Stopped
            && self.is_warming_up(model, now)
            && self.sessions.len() as f64 >= crash_load;
        if !is_overloaded {
            self.overloaded_since = None;
            return false;
        }
        let since = *self.overloaded_since.get_or_insert(now);
        if now.saturating_duration_since(since) < model.crash_delay {
            return false;
        }
        self.overloaded_since = None;
        true
    }
}

/// Changes a server's mode. One that stops resets all of its connections; one that serves after that has just started.
pub fn set_mode<E: Environment>(context: &mut Context<E>, number: usize, mode: ServerMode) {
    let fleet = context.application.upstream_fleet();
    let Some(server) = fleet.servers.get_mut(number) else {
        return;
    };
    if mode == ServerMode::Serving && server.mode == ServerMode::Stopped {
        server.started_at = Some(Instant::now());
    }
    server.mode = mode;
    let listener_id = server.listener_id;
    if mode == ServerMode::Stopped {
        let sessions = server.sessions.clone();
        for (session, request) in sessions {
            let observation = Observation::ClosedByServer { request };
            context.application.observe(observation);
            context.send(session, Command::Reset);
        }
    }
    context.send(listener_id, Command::Reevaluate);
}

/// Closes one of a server's connections gracefully; does nothing if it has none.
pub fn close_one_session<E: Environment>(context: &mut Context<E>, number: usize) {
    let fleet = context.application.upstream_fleet();
    let Some(server) = fleet.servers.get(number) else {
        return;
    };
    let Some((&session, &request)) = server.sessions.first_key_value() else {
        return;
    };
    let observation = Observation::ClosedByServer { request };
    context.application.observe(observation);
    context.send(session, Command::Close);
}
