//! Health checks, within what may be spent on them.

use crate::balancer::{Actions, Balancer};
use crate::state::server_table::ServerSlot;
use crate::{Action, Timestamp};
use std::time::Duration;

pub(crate) const REPORT_FRESH: Duration = Duration::from_secs(1);

impl Balancer {
    /// Probes a server whose report is old, as far as what may be spent allows. Guards against gateways that
    /// each ask every server all the time, and against placing by what a server was long ago.
    pub(crate) fn refresh_report(
        &mut self,
        now: Timestamp,
        at: ServerSlot,
        actions: &mut Actions,
    ) -> bool {
        let reported = self
            .fleet
            .servers
            .get(at)
            .and_then(|server| server.utilization);
        let old = reported.is_none_or(|(at, _)| now.saturating_duration_since(at) > REPORT_FRESH);
        self.load_reports_available() && old && self.send_health_check(now, at, actions)
    }

    /// Whether a probe tells of a server's load.
    pub(crate) fn load_reports_available(&self) -> bool {
        self.settings.health_checks_allowed && self.settings.utilization_field.is_some()
    }

    /// Probes a server that was not probed just now, as far as what may be spent allows.
    pub(crate) fn send_health_check(
        &mut self,
        now: Timestamp,
        at: ServerSlot,
        actions: &mut Actions,
    ) -> bool {
        let Some(server) = self.fleet.servers.get_mut(at) else {
            return false;
        };
        let due = server
            .health_check
            .is_none_or(|(at, _)| now.saturating_duration_since(at) > REPORT_FRESH);
        if !due || self.probe_tokens < 1.0 {
            return false;
        }
        self.probe_tokens -= 1.0;
        server.health_check = Some((now, true));
        actions.extend(self.fleet.servers.id(at).cloned().map(Action::CheckHealth));
        true
    }

    pub(crate) fn on_health_check(
        &mut self,
        now: Timestamp,
        server: ServerSlot,
        report: Option<Vec<f64>>,
        actions: &mut Actions,
    ) {
        if let Some(probed) = self
            .fleet
            .servers
            .get_mut(server)
            .and_then(|server| server.health_check.as_mut())
        {
            probed.1 = false;
        }
        for request in &self.waiting {
            self.requests
                .entry(*request)
                .and_modify(|r| r.deferral = r.deferral.filter(|(at, _)| *at != server));
        }
        match report {
            Some(values) => {
                self.fleet.record_zone_answer(now, server);
                self.on_load_report(now, server, &values, actions);
            }
            None if self.on_server_silent(now, server, actions) => {}
            None => self.record_failure(now, server, 1, true, actions),
        }
        self.dispatch_queued(now, actions);
    }
}
