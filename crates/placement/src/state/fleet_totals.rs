//! Totals over all known servers, updated with each change of a server.

use crate::state::server::Server;
use crate::Health;

#[derive(Default)]
pub(crate) struct FleetTotals {
    pub(crate) connections: f64,
    /// Servers that are ejected, for whatever reason.
    pub(crate) ejected: f64,
    /// Ejected servers whose zone is unreachable.
    pub(crate) unreachable: f64,
    /// Servers that the endpoint list reports as ready.
    pub(crate) ready: f64,
    /// Ready servers that are not in slow start.
    pub(crate) warm: f64,
    /// Warm servers that are not ejected.
    pub(crate) available_warm: f64,
    /// Weight of the warm servers.
    pub(crate) warm_weight: f64,
    /// Connections on warm servers.
    pub(crate) warm_connections: f64,
    /// Load on ready servers.
    pub(crate) load: f64,
    /// Weight of the ready servers that are not ejected.
    pub(crate) available_weight: f64,
    /// Servers that have reported their utilization.
    pub(crate) reporting: f64,
    /// Sum of the reported utilization.
    pub(crate) utilization: f64,
    /// This node's load on the servers that have reported their utilization.
    pub(crate) reported_load: f64,
}

impl FleetTotals {
    pub(crate) fn add(&mut self, server: &Server) {
        self.accumulate(server, 1.0);
    }

    pub(crate) fn subtract(&mut self, server: &Server) {
        self.accumulate(server, -1.0);
    }

    fn accumulate(&mut self, server: &Server, sign: f64) {
        let connections = server.connections.len() as f64;
        let is_ejected = server.ejection.until.is_some();
        let ejected = as_number(is_ejected);
        let unreachable = as_number(is_ejected && server.ejection.is_zone_unreachable);
        self.connections += sign * connections;
        self.ejected += sign * ejected;
        self.unreachable += sign * unreachable;
        if server.health == Health::Ready {
            let warm = as_number(!server.slow_start.is_active);
            self.ready += sign;
            self.warm += sign * warm;
            self.available_warm += sign * warm * (1.0 - ejected);
            self.warm_weight += sign * warm * server.weight;
            self.warm_connections += sign * warm * connections;
            self.load += sign * server.load;
            self.available_weight += sign * server.weight * (1.0 - ejected);
        }
        if let Some(report) = &server.report {
            self.reporting += sign;
            self.utilization += sign * report.utilization;
            self.reported_load += sign * server.load;
        }
    }
}

fn as_number(flag: bool) -> f64 {
    f64::from(u8::from(flag))
}
