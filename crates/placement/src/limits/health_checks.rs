//! Health checks, within the budget for them.

use crate::balancer::{Actions, Balancer};
use crate::recovery::outlier_detection::Failure;
use crate::state::elapsed::is_longer_ago;
use crate::state::server::HealthCheck;
use crate::state::server_table::ServerSlot;
use crate::{Action, ServerId, Timestamp};
use std::time::Duration;

/// A report older than this is refreshed before the server is chosen, and a check is repeated after this.
pub(crate) const REPORT_MAX_AGE: Duration = Duration::from_secs(1);

impl Balancer {
    /// Checks a server whose load report is old. Gives whether a check was sent. Guards against nodes that each check
    /// every server all the time, and against choosing by what a server was long ago.
    pub(crate) fn refresh_report(
        &mut self,
        now: Timestamp,
        slot: ServerSlot,
        actions: &mut Actions,
    ) -> bool {
        let report = self
            .fleet
            .servers
            .get(slot)
            .and_then(|server| server.report);
        let received_at = report.map(|report| report.received_at);
        let is_old = is_longer_ago(now, received_at, REPORT_MAX_AGE);
        self.reports_utilization() && is_old && self.send_health_check(now, slot, actions)
    }

    /// Whether a health check tells of a server's load.
    pub(crate) fn reports_utilization(&self) -> bool {
        self.settings.health_checks_allowed && self.settings.utilization_field.is_some()
    }

    /// Checks a server that was not checked just now. Gives whether a check was sent.
    pub(crate) fn send_health_check(
        &mut self,
        now: Timestamp,
        slot: ServerSlot,
        actions: &mut Actions,
    ) -> bool {
        let Some(server) = self.fleet.servers.get_mut(slot) else {
            return false;
        };
        let last_sent_at = server.health_check.map(|check| check.sent_at);
        let is_due = is_longer_ago(now, last_sent_at, REPORT_MAX_AGE);
        if !is_due || !self.health_check_budget.spend() {
            return false;
        }
        server.health_check = Some(HealthCheck {
            sent_at: now,
            is_pending: true,
        });
        if let Some(id) = self.fleet.servers.id(slot) {
            actions.push(Action::CheckHealth(id.clone()));
        }
        true
    }

    /// A health check ended; `report` is the load report of one that passed.
    pub(crate) fn on_health_check(
        &mut self,
        now: Timestamp,
        server: &ServerId,
        report: Option<Vec<f64>>,
        actions: &mut Actions,
    ) {
        let slot = self.fleet.servers.slot(server);
        self.end_health_check(slot);
        match report {
            Some(values) => {
                self.fleet.record_zone_answer(now, slot);
                self.on_load_report(now, slot, &values, actions);
            }
            None => self.on_health_check_failed(now, slot, actions),
        }
        self.dispatch_queued(now, actions);
    }

    fn end_health_check(&mut self, slot: ServerSlot) {
        let server = self.fleet.servers.get_mut(slot);
        if let Some(check) = server.and_then(|server| server.health_check.as_mut()) {
            check.is_pending = false;
        }
        for id in &self.queue {
            if let Some(request) = self.requests.get_mut(id) {
                request.on_health_check_of(slot);
            }
        }
    }

    fn on_health_check_failed(&mut self, now: Timestamp, slot: ServerSlot, actions: &mut Actions) {
        let is_zone_unreachable = self.on_no_answer(now, slot, actions);
        if !is_zone_unreachable {
            self.record_failure(now, slot, Failure::NoAnswer, actions);
        }
    }
}
