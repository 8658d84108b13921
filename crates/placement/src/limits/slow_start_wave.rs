//! Waves in slow start: the part of the requests of a wave that goes to servers in slow start.
//!
//! When servers leave, their clients return to all nodes within an overload window. A node sees one or two requests of such a
//! wave and cannot tell its size from them. All nodes are told the same endpoint list, so the size follows from the number of
//! servers that have just left it.

use crate::balancer::Balancer;
use crate::hashing::unit_interval;
use crate::state::request::RequestState;
use crate::state::server::Server;
use crate::{Settings, Timestamp};

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
    /// Such a server comes first. Each takes its part of the connection keys in relation to `max_key_ratio`, the largest part.
    Preferred { max_key_ratio: f64 },
    /// Warm servers only.
    Refused,
}

/// What servers in slow start can take of a wave, all together.
#[derive(Default)]
struct WaveCapacity {
    key_ratios: f64,
    max_key_ratio: f64,
    /// Requests that they bear within an overload window, in multiples of the connections of a warm server.
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
        self.key_ratios / (warm_servers + self.key_ratios)
    }

    /// The part of a wave that they bear, where it consists of the clients of servers with this weight.
    fn part_borne(&self, departed_weight: f64) -> f64 {
        self.connections / departed_weight.max(1e-9)
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
        let window = self.settings.overload_window;
        let departed_weight = self.fleet.departures.max_weight_within(now, window);
        let has_warming_servers = totals.ready > totals.warm;
        if departed_weight <= 0.0 || !has_warming_servers {
            return SlowStartAdmission::ByConnectionKey;
        }
        let capacity = self.wave_capacity(now);
        let part_borne = capacity.part_borne(departed_weight);
        if part_borne >= capacity.part_by_key_ratio(totals.warm) {
            return SlowStartAdmission::ByConnectionKey;
        }
        let position = unit_interval(request.connection_key.rotate_left(WAVE_KEY_ROTATION));
        if position < part_borne {
            SlowStartAdmission::Preferred {
                max_key_ratio: capacity.max_key_ratio,
            }
        } else {
            SlowStartAdmission::Refused
        }
    }

    fn wave_capacity(&self, now: Timestamp) -> WaveCapacity {
        let mut capacity = WaveCapacity::default();
        for server in self.fleet.servers_in_slow_start() {
            capacity.add(&self.settings, now, server);
        }
        capacity
    }
}
