//! JSON answers to the admin commands `fleet` and `budgets`.

use super::agent::ClusterAgent;
use super::config::SlowStartBudget;
use super::control_actions::BUDGET_NAME;
use lupincrank_cluster::membership::{Identity, RejectedDatagrams};
use lupincrank_control::lease::LeaseTerms;
use lupincrank_placement::Timestamp;
use serde::Serialize;
use std::collections::BTreeMap;

/// The answer to `fleet status`.
#[derive(Serialize)]
struct ClusterStatus<'a> {
    #[serde(rename = "fleet")]
    cluster_name: &'a str,
    #[serde(rename = "council")]
    control: lupincrank_control::status::Status,
    #[serde(rename = "alive")]
    live_count: usize,
    #[serde(rename = "links")]
    connection_count: usize,
    #[serde(rename = "datagrams_refused")]
    rejected_datagrams: RejectedDatagrams,
    #[serde(rename = "messages_refused")]
    rejected_messages: u64,
    sent_bytes: u64,
    sent_messages: u64,
}

impl ClusterAgent {
    /// The answer to `fleet status`.
    pub(super) fn status_json(&self, now: Timestamp) -> String {
        let status = ClusterStatus {
            cluster_name: &self.config.cluster_name,
            control: self.control.status(now),
            live_count: self.membership.live_members().count() + 1,
            connection_count: self.connections.established_count(),
            rejected_datagrams: self.membership.rejected(),
            rejected_messages: self.rejection_count(),
            sent_bytes: self.sent.bytes,
            sent_messages: self.sent.messages,
        };
        serde_json::to_string(&status).unwrap_or_default()
    }

    /// The answer to `fleet members`.
    pub(super) fn members_json(&self) -> String {
        let local = self.membership.local_identity();
        let mut members: Vec<&Identity> = self.membership.live_members().chain([local]).collect();
        members.sort();
        serde_json::to_string(&members).unwrap_or_default()
    }

    /// The answer to `fleet log`.
    pub(super) fn log_json(&self) -> String {
        let lines: Vec<_> = self.control.log_lines().collect();
        serde_json::to_string(&lines).unwrap_or_default()
    }

    /// The answer to `budgets show`.
    pub(super) fn budgets_json(
        &self,
        now: Timestamp,
        budget: &SlowStartBudget,
    ) -> serde_json::Value {
        let status = self.control.status(now);
        let window_ms = LeaseTerms::default().accounting_window.as_millis() as u64;
        let leases: BTreeMap<&str, u32> = status
            .participants
            .iter()
            .map(|participant| (participant.member.name.as_str(), participant.lease))
            .collect();
        serde_json::json!([{
            "name": BUDGET_NAME,
            "unit": "new connections in a window",
            "window_ms": window_ms,
            "whole": status.capacity.saturating_add(budget.reserved_capacity),
            "set_aside": budget.reserved_capacity,
            "floor": budget.floor,
            "handed_out": status.capacity,
            "in_use": status.granted,
            "epoch": status.epoch,
            "slices": leases,
        }])
    }
}
