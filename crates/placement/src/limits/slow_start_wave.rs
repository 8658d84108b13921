//! Decides which fraction of a reconnect wave goes to servers in slow start.
//!
//! When connections break, or servers drain or are removed, their clients reconnect to all nodes within an overload
//! window: a reconnect wave. No node sees the whole wave. Each estimates its size as the larger of two figures: the
//! connections of servers that have just stopped being ready according to the endpoint list, which all nodes receive,
//! and the connections that broke at this node, a sample of the wave. If both are zero, the node assumes one request
//! per node. The samples of all nodes add up to the wave, so the requests that all nodes send to servers in slow start
//! add up to the capacity of those servers.

use crate::balancer::Balancer;
use crate::hashing::unit_interval;
use crate::limits::slow_start::MIN_FLEET_CONNECTIONS;
use crate::state::departures::RECONNECT_WINDOWS;
use crate::state::request::RequestState;
use crate::state::server::Server;
use crate::state::server_table::ServerSlot;
use crate::{Health, Settings, Timestamp};
use std::time::Duration;

/// Upper bound of a server's key ratio in a wave, as a fraction of the key ratio that would overload the server.
const WAVE_RATE_RATIO: f64 = 0.5;
/// A warm server has capacity for this multiple of its connections.
const WARM_CAPACITY_RATIO: f64 = 2.0;
/// Rotation of a connection's key. It selects the bits that decide whether the connection may go to a server in slow
/// start.
const WAVE_KEY_ROTATION: u32 = 20;

/// The rule by which a request may go to a server in slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SlowStartAdmission {
    /// Each server in slow start accepts its fraction of the request keys.
    ByRequestKey,
    /// Each server in slow start accepts its fraction of the connection keys. By request key, which connections of a
    /// group share, a large group would go to one of them as a whole.
    ByConnectionKey,
    /// Servers in slow start are preferred. Each accepts a fraction of the request keys, its key ratio relative to
    /// `max_key_ratio`, the largest one. A group is spread over those that accept its key.
    Preferred { max_key_ratio: f64 },
    /// Warm servers only.
    Refused,
}

/// This node's estimate of a wave.
struct ExpectedWave {
    /// Mean number of requests per node.
    requests_per_node: f64,
    /// Whether connections of this node broke, which shows that there is a wave whatever the endpoint list reports.
    is_observed: bool,
}

/// The total capacity of servers in slow start for the requests of a wave.
#[derive(Default)]
struct WaveCapacity {
    key_ratio_sum: f64,
    max_key_ratio: f64,
    /// Requests that they can accept within an overload window, as a multiple of the connections per unit of weight
    /// of warm servers.
    relative_requests: f64,
}

impl WaveCapacity {
    fn add(&mut self, settings: &Settings, now: Timestamp, server: &Server) {
        let key_ratio = wave_key_ratio(settings, now, server);
        self.key_ratio_sum += key_ratio;
        self.max_key_ratio = self.max_key_ratio.max(key_ratio);
        self.relative_requests += server.weight * relative_request_capacity(settings, now, server);
    }

    /// The fraction of a wave that goes to these servers by their key ratios, if the warm servers accept the rest.
    fn key_ratio_fraction(&self, warm_servers: f64) -> f64 {
        self.key_ratio_sum / (warm_servers + self.key_ratio_sum).max(1e-9)
    }
}

/// The fraction of a wave's keys that a server in slow start accepts, whatever the endpoint list reports: no more than
/// a warm server accepts, and in proportion to its present capacity.
pub(crate) fn wave_key_ratio(settings: &Settings, now: Timestamp, server: &Server) -> f64 {
    let capacity_ratio = server.capacity_ratio(settings, now);
    let max_key_ratio = WAVE_RATE_RATIO * settings.overload_factor * capacity_ratio;
    server.slow_start.key_ratio.min(max_key_ratio)
}

/// Requests that a server in slow start can accept within an overload window, as a multiple of a warm server's
/// connections: those that arrive in the window at the rate that fills the server over its warm-up, multiplied by the
/// overload factor and the fraction of its capacity that it has at present.
fn relative_request_capacity(settings: &Settings, now: Timestamp, server: &Server) -> f64 {
    let window_ratio = settings.overload_window.as_secs_f64()
        / settings.slow_start_duration.as_secs_f64().max(1e-9);
    let capacity_ratio = server.capacity_ratio(settings, now);
    WARM_CAPACITY_RATIO * settings.overload_factor * capacity_ratio * window_ratio
}

impl Balancer {
    /// The rule by which the request may go to a server in slow start. If more clients reconnect than those servers
    /// have capacity for, the connection's own key decides once for all of these servers: if it decided for each of
    /// them separately, a client that all warm servers refuse would eventually reach one in slow start.
    pub(crate) fn slow_start_admission(
        &self,
        now: Timestamp,
        request: &RequestState,
    ) -> SlowStartAdmission {
        if !request.may_be_in_wave() {
            return SlowStartAdmission::ByRequestKey;
        }
        let totals = &self.fleet.totals;
        let has_warming_servers = totals.ready > totals.warm;
        if !has_warming_servers {
            return SlowStartAdmission::ByConnectionKey;
        }
        let capacity = self.wave_capacity(now);
        let wave = self.expected_wave(now);
        let request_capacity = capacity.relative_requests * self.connections_per_weight(now);
        let capacity_fraction = request_capacity / wave.requests_per_node;
        let key_ratio_fraction = capacity.key_ratio_fraction(totals.available_warm);
        if capacity_fraction >= key_ratio_fraction && !wave.is_observed {
            return SlowStartAdmission::ByConnectionKey;
        }
        let position = unit_interval(request.connection_key.rotate_left(WAVE_KEY_ROTATION));
        if position >= capacity_fraction {
            SlowStartAdmission::Refused
        } else if capacity_fraction >= key_ratio_fraction {
            SlowStartAdmission::ByConnectionKey
        } else {
            SlowStartAdmission::Preferred {
                max_key_ratio: capacity.max_key_ratio,
            }
        }
    }

    fn expected_wave(&self, now: Timestamp) -> ExpectedWave {
        let broken = self.recently_broken_connections(now);
        let window = self.settings.overload_window;
        let departed_weight = self.fleet.departures.max_weight_within(now, window);
        let departed = departed_weight * self.connections_per_weight(now);
        let expected = broken.max(departed);
        let requests_per_node = if expected > 0.0 {
            expected
        } else {
            // Assume that each node receives one request, as this node did.
            1.0
        };
        ExpectedWave {
            requests_per_node,
            is_observed: broken > 0.0,
        }
    }

    /// This node's connections per unit of weight of warm servers, including recently broken ones.
    fn connections_per_weight(&self, now: Timestamp) -> f64 {
        let totals = &self.fleet.totals;
        let broken = self.recently_broken_connections(now);
        let node_count = f64::from(self.settings.node_count.max(1));
        let min_connections = MIN_FLEET_CONNECTIONS * totals.warm / node_count;
        let connections = (totals.warm_connections + broken).max(min_connections);
        connections / totals.warm_weight.max(1e-9)
    }

    /// The largest fraction of a wave's keys that any server in slow start accepts.
    pub(crate) fn max_wave_key_ratio(&self, now: Timestamp) -> f64 {
        self.wave_capacity(now).max_key_ratio
    }

    fn wave_capacity(&self, now: Timestamp) -> WaveCapacity {
        let mut capacity = WaveCapacity::default();
        for server in self.fleet.servers_in_slow_start() {
            capacity.add(&self.settings, now, server);
        }
        capacity
    }

    /// Broken connections of this node whose clients may still reconnect.
    fn recently_broken_connections(&self, now: Timestamp) -> f64 {
        let max_age = self.reconnect_period();
        f64::from(self.broken_connections.count_within(now, max_age))
    }

    /// The time within which clients reconnect, and for which a broken connection counts toward the size of a wave.
    fn reconnect_period(&self) -> Duration {
        RECONNECT_WINDOWS * self.settings.overload_window
    }

    /// Records an established connection to this server that broke while its client still needed it. Connections of
    /// draining and removed servers are left out, because these servers already count as departures.
    pub(crate) fn observe_broken_connection(&mut self, now: Timestamp, slot: ServerSlot) {
        let server = self.fleet.servers.get(slot);
        if server.is_some_and(|server| server.health == Health::Ready) {
            let max_age = self.reconnect_period();
            self.broken_connections.record(now, max_age);
        }
    }
}
