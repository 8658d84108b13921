//! Sends health checks within their budget and applies the results.

use crate::balancer::{Actions, Balancer};
use crate::recovery::outlier_detection::Failure;
use crate::state::elapsed::is_longer_ago;
use crate::state::server::HealthCheck;
use crate::state::server_table::ServerSlot;
use crate::{Action, ServerId, Timestamp};
use std::time::Duration;

/// A report older than this is refreshed before its server is selected. Also the minimum time between two checks of a
/// server.
pub(crate) const REPORT_MAX_AGE: Duration = Duration::from_secs(1);

impl Balancer {
    /// Sends a health check to a server whose load report is old, and returns true if one was sent. Guards against
    /// selection by outdated reports without having each node check every server continuously.
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

    /// Returns true if health checks return load reports that contain the utilization.
    pub(crate) fn reports_utilization(&self) -> bool {
        self.settings.health_checks_allowed && self.settings.utilization_field.is_some()
    }

    /// Sends a health check unless one was sent within [`REPORT_MAX_AGE`] or the budget is used up. Returns true if
    /// sent.
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

    /// Applies the result of a health check: the load report if it passed, `None` if it failed.
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
                request.end_wait_for_health_check(slot);
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
