//! Health checks, within what may be spent on them.

use crate::balancer::{Actions, Balancer};
use crate::state::server_table::Slot;
use crate::{Action, Timestamp};
use std::time::Duration;

pub(crate) const REPORT_FRESH: Duration = Duration::from_secs(1);

impl Balancer {
    /// Probes a server whose report is old, as far as what may be spent allows. Guards against gateways that
    /// each ask every server all the time, and against placing by what a server was long ago.
    pub(crate) fn probe(&mut self, now: Timestamp, at: Slot, actions: &mut Actions) -> bool {
        let reported = self.fleet.servers.get(at).and_then(|server| server.used);
        let old = reported.is_none_or(|(at, _)| now.saturating_duration_since(at) > REPORT_FRESH);
        self.asks() && old && self.ask(now, at, actions)
    }

    /// Whether a probe tells of a server's load.
    pub(crate) fn asks(&self) -> bool {
        self.settings.health_checks_allowed && self.settings.utilization_field.is_some()
    }

    /// Probes a server that was not probed just now, as far as what may be spent allows.
    pub(crate) fn ask(&mut self, now: Timestamp, at: Slot, actions: &mut Actions) -> bool {
        let Some(server) = self.fleet.servers.get_mut(at) else {
            return false;
        };
        let due = server
            .probed
            .is_none_or(|(at, _)| now.saturating_duration_since(at) > REPORT_FRESH);
        if !due || self.probe_tokens < 1.0 {
            return false;
        }
        self.probe_tokens -= 1.0;
        server.probed = Some((now, true));
        actions.extend(self.fleet.servers.id(at).cloned().map(Action::CheckHealth));
        true
    }

    pub(crate) fn probed(
        &mut self,
        now: Timestamp,
        server: Slot,
        report: Option<Vec<f64>>,
        actions: &mut Actions,
    ) {
        if let Some(probed) = self
            .fleet
            .servers
            .get_mut(server)
            .and_then(|server| server.probed.as_mut())
        {
            probed.1 = false;
        }
        for request in &self.waiting {
            self.requests
                .entry(*request)
                .and_modify(|r| r.asked = r.asked.filter(|(at, _)| *at != server));
        }
        match report {
            Some(values) => {
                self.fleet.zone_stands(now, server);
                self.reported(now, server, &values, actions);
            }
            None if self.zone_silent(now, server, actions) => {}
            None => self.strike(now, server, 1, true, actions),
        }
        self.pump(now, actions);
    }
}
