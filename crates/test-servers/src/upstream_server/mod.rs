//! Upstream servers with a limited capacity.
//!
//! A server has only a fraction of its capacity while it warms up, and crashes if it is overloaded in that time. It
//! answers more slowly the more connections it has, and closes them one by one when it drains.

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

/// The capacity of a server.
#[derive(Clone, Copy, Debug)]
pub struct CapacityModel {
    /// Number of connections that a warm server has capacity for.
    pub warm_capacity: f64,
    /// Number of connections at which a server rejects further ones.
    pub max_connections: usize,
    /// Length of the warm-up after a start.
    pub warm_up_duration: Duration,
    /// Fraction of `warm_capacity` that a server has at its start.
    pub initial_capacity_ratio: f64,
    /// A server that is warming up crashes if its load reaches this multiple of its current capacity.
    pub crash_load_ratio: f64,
    /// Time that the load has to stay at that multiple before the server crashes.
    pub crash_delay: Duration,
    /// Time that an idle server takes to establish a connection.
    pub setup_duration: Duration,
}

/// The operating mode of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerMode {
    /// The server accepts and serves connections.
    Serving,
    /// The server rejects new connections while its existing ones are closed one by one.
    Draining,
    /// The server sends no answer on existing connections or new ones.
    Unresponsive,
    /// The server is not running.
    Stopped,
}

/// One upstream server.
pub struct UpstreamServer {
    listener_id: ComponentId,
    address: SocketAddr,
    mode: ServerMode,
    /// Time of the last start; `None` if the server has been running for long.
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

    /// The capacity of each server.
    pub fn capacity_model(&self) -> &CapacityModel {
        &self.capacity_model
    }

    /// Number of servers that were ever started.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns true if no server was ever started.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// A server by its number.
    pub fn get(&self, number: usize) -> Option<&UpstreamServer> {
        self.servers.get(number)
    }
}

impl UpstreamServer {
    /// The server's listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The server's operating mode.
    pub fn mode(&self) -> ServerMode {
        self.mode
    }

    /// The server's number of connections.
    pub fn connection_count(&self) -> usize {
        self.sessions.len()
    }

    /// The fraction of the warm capacity that the server has at `now`, 0 to 1.
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

    /// The duration, under the current load, of an operation that takes `idle_duration` on an idle server.
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

    /// Returns true if the server has been overloaded for the crash delay while it warms up, so that it crashes now.
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

/// Changes a server's mode. A server that stops resets all of its connections; serving after a stop counts as a start.
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
