//! Waves in slow start: the part of the requests of a wave that goes to servers in slow start.
//!
//! When connections break or servers leave, their clients return to all nodes within an overload window. No node sees the
//! whole wave. What it can tell of the wave's size is the larger of two figures: the connections of the servers that have just
//! left the endpoint list, which all nodes are told, and its own sample, the connections that broke here. A node that has
//! neither takes the wave for one request at each node. As the samples of all nodes add up to the wave, the parts that they send
//! add up to what servers in slow start bear.

use crate::balancer::Balancer;
use crate::hashing::unit_interval;
use crate::limits::slow_start::MIN_FLEET_CONNECTIONS;
use crate::state::departures::RETURN_WINDOWS;
use crate::state::request::RequestState;
use crate::state::server::Server;
use crate::state::server_table::ServerSlot;
use crate::{Health, Settings, Timestamp};
use std::time::Duration;

/// Part of what overloads a server in slow start that its key ratio allows, whatever the endpoint list tells.
const WAVE_RATE_RATIO: f64 = 0.5;
/// A warm server can hold this multiple of the connections that it has.
const WARM_CAPACITY_RATIO: f64 = 2.0;
/// The bits of a connection's key that decide whether it goes to a server in slow start.
const WAVE_KEY_ROTATION: u32 = 20;

/// Whether a request may go to a server in slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SlowStartAdmission {
    /// Each such server takes its part of the request keys.
    ByRequestKey,
    /// Each such server takes its part of the connection keys: a large group would come to one of them as a whole.
    ByConnectionKey,
    /// Such a server comes first. Each takes its part of the request keys in relation to `max_key_ratio`, the largest part, and
    /// a group is spread over those that take its key.
    Preferred { max_key_ratio: f64 },
    /// Warm servers only.
    Refused,
}

/// A wave as far as this node can tell its size.
struct ExpectedWave {
    /// Requests that come to each node in the mean.
    requests_per_node: f64,
    /// Connections of this node broke: the wave is there, whatever the endpoint list tells.
    is_observed: bool,
}

/// What servers in slow start can take of a wave, all together.
#[derive(Default)]
struct WaveCapacity {
    key_ratios: f64,
    max_key_ratio: f64,
    /// Requests that they bear within an overload window, in multiples of the connections for a unit of weight.
    connections: f64,
}

impl WaveCapacity {
    fn add(&mut self, settings: &Settings, now: Timestamp, server: &Server) {
        let key_ratio = wave_key_ratio(settings, now, server);
        self.key_ratios += key_ratio;
        self.max_key_ratio = self.max_key_ratio.max(key_ratio);
        self.connections += server.weight * connections_borne(settings, now, server);
    }

    /// The part of a wave that comes to these servers by their key ratios while the warm ones take what is left.
    fn part_by_key_ratio(&self, warm_servers: f64) -> f64 {
        self.key_ratios / (warm_servers + self.key_ratios).max(1e-9)
    }
}

/// The part of the keys of a wave that a server in slow start takes whatever the endpoint list tells: it is no more than a
/// warm one takes, and in proportion to its present capacity.
pub(crate) fn wave_key_ratio(settings: &Settings, now: Timestamp, server: &Server) -> f64 {
    let capacity_ratio = server.capacity_ratio(settings, now);
    let max_key_ratio = WAVE_RATE_RATIO * settings.overload_factor * capacity_ratio;
    server.slow_start.key_ratio.min(max_key_ratio)
}

/// How many requests a server in slow start bears within an overload window, in multiples of the connections of a warm
/// server: the rate that fills it over its warm-up, by the overload factor and its present capacity.
fn connections_borne(settings: &Settings, now: Timestamp, server: &Server) -> f64 {
    let window_ratio = settings.overload_window.as_secs_f64()
        / settings.slow_start_duration.as_secs_f64().max(1e-9);
    let capacity_ratio = server.capacity_ratio(settings, now);
    WARM_CAPACITY_RATIO * settings.overload_factor * capacity_ratio * window_ratio
}

impl Balancer {
    /// Whether the request may go to a server in slow start. Where more clients return than those servers bear, this is drawn
    /// once for all of them by the connection's own key: drawn for each, a client whom all warm servers refuse would come to
    /// one in slow start in the end.
    pub(crate) fn slow_start_admission(
        &self,
        now: Timestamp,
        request: &RequestState,
    ) -> SlowStartAdmission {
        if !request.may_come_in_wave() {
            return SlowStartAdmission::ByRequestKey;
        }
        let totals = &self.fleet.totals;
        let has_warming_servers = totals.ready > totals.warm;
        if !has_warming_servers {
            return SlowStartAdmission::ByConnectionKey;
        }
        let capacity = self.wave_capacity(now);
        let wave = self.expected_wave(now);
        let requests_borne = capacity.connections * self.connections_per_weight(now);
        let part_borne = requests_borne / wave.requests_per_node;
        let part_by_key_ratio = capacity.part_by_key_ratio(totals.available_warm);
        if part_borne >= part_by_key_ratio && !wave.is_observed {
            return SlowStartAdmission::ByConnectionKey;
        }
        let position = unit_interval(request.connection_key.rotate_left(WAVE_KEY_ROTATION));
        if position >= part_borne {
            SlowStartAdmission::Refused
        } else if part_borne >= part_by_key_ratio {
            SlowStartAdmission::ByConnectionKey
        } else {
            SlowStartAdmission::Preferred {
                max_key_ratio: capacity.max_key_ratio,
            }
        }
    }

    fn expected_wave(&self, now: Timestamp) -> ExpectedWave {
        let broken = self.recently_broken(now);
        let window = self.settings.overload_window;
        let departed_weight = self.fleet.departures.max_weight_within(now, window);
        let listed = departed_weight * self.connections_per_weight(now);
        let known = broken.max(listed);
        let requests_per_node = if known > 0.0 {
            known
        } else {
            // The request at hand stands for one at each node.
            1.0
        };
        ExpectedWave {
            requests_per_node,
            is_observed: broken > 0.0,
        }
    }

    /// This node's connections for a unit of weight of warm servers, with those that broke just now.
    fn connections_per_weight(&self, now: Timestamp) -> f64 {
        let totals = &self.fleet.totals;
        let broken = self.recently_broken(now);
        let node_count = f64::from(self.settings.node_count.max(1));
        let min_connections = MIN_FLEET_CONNECTIONS * totals.warm / node_count;
        let connections = (totals.warm_connections + broken).max(min_connections);
        connections / totals.warm_weight.max(1e-9)
    }

    /// The largest part of the keys of a wave that any server in slow start takes.
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

    /// Connections of this node that broke, and whose clients may still return.
    fn recently_broken(&self, now: Timestamp) -> f64 {
        let max_age = self.wave_memory();
        f64::from(self.broken_connections.count_within(now, max_age))
    }

    /// For how long what was seen of a wave tells its size: clients return within this time.
    fn wave_memory(&self) -> Duration {
        RETURN_WINDOWS * self.settings.overload_window
    }

    /// An established connection on this server ended though its client wants it. Of servers that drain or were removed
    /// the endpoint list tells.
    pub(crate) fn observe_broken_connection(&mut self, now: Timestamp, slot: ServerSlot) {
        let server = self.fleet.servers.get(slot);
        if server.is_some_and(|server| server.health == Health::Ready) {
            let max_age = self.wave_memory();
            self.broken_connections.record(now, max_age);
        }
    }
}
