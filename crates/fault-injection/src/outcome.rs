//! The outcome of a run, as printed in JSON.

use crate::checker::{BudgetReport, Rule, SetupTimes, Violation};
use crate::harness::Harness;
use crate::scenario::Fault;
use crate::session_schedule::ServiceCount;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Instant;

/// The outcome of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Name of the scenario.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// Checksum of the plan, in hexadecimal.
    #[serde(rename = "plan")]
    pub plan_digest: String,
    /// Number of node processes, including those that joined.
    #[serde(rename = "nodes")]
    pub node_count: usize,
    /// The faults as planned.
    pub faults: Vec<Fault>,
    /// The timeline.
    pub events: Vec<TimelineEntry>,
    /// Fraction of the sessions that were served in time.
    #[serde(rename = "service")]
    pub service_ratio: f64,
    /// Due and served sessions by second.
    #[serde(rename = "by_second")]
    pub service_by_second: BTreeMap<u64, ServiceCount>,
    /// Number of requests that clients sent.
    pub requests: u64,
    /// Requests without an answer although their node was running.
    pub unanswered: u64,
    /// Requests without an answer whose node was killed or frozen.
    pub lost: u64,
    /// Counts of other events, by name.
    pub counts: BTreeMap<&'static str, u64>,
    /// Number of different clusters that nodes reported.
    #[serde(rename = "councils")]
    pub cluster_count: usize,
    /// Setup times that clients observed.
    #[serde(rename = "setups_ms")]
    pub setup_times: SetupTimes,
    /// The checker's verdict.
    #[serde(rename = "judge")]
    pub verdict: Verdict,
    /// Usage of budgets, as upstream servers observed it.
    pub budgets: Vec<BudgetReport>,
    /// The last status of each running node.
    #[serde(rename = "ends")]
    pub final_statuses: BTreeMap<String, Value>,
    /// CPU time of each running node since its start, in milliseconds.
    pub cpu_ms: BTreeMap<String, u64>,
}

/// An entry of the timeline.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(f64, String)")]
pub struct TimelineEntry {
    /// Time of the event, in seconds after the clients start.
    pub at_s: f64,
    /// Description of the event.
    pub text: String,
}

impl From<TimelineEntry> for (f64, String) {
    fn from(entry: TimelineEntry) -> (f64, String) {
        (entry.at_s, entry.text)
    }
}

/// The checker's verdict on a run.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// The violations; empty if all rules and expectations were met.
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
}

impl Outcome {
    /// Returns true if all rules and expectations were met.
    pub fn has_passed(&self) -> bool {
        self.verdict.violations.is_empty()
    }

    /// Collects the outcome of a finished run, while its processes are still running.
    pub(crate) fn collect(name: &str, harness: &mut Harness) -> Outcome {
        let now = Instant::now();
        let totals = harness.checker.finish(now);
        let budgets = report_budgets(harness);
        let service_ratio = harness.sessions.service_ratio();
        check_expectations(harness, now, service_ratio, &budgets);
        Outcome {
            scenario: name.to_string(),
            seed: harness.plan.seed,
            plan_digest: format!("{:08x}", harness.plan.digest()),
            node_count: harness.nodes.len(),
            faults: harness.plan.faults.clone(),
            events: timeline(harness),
            service_ratio,
            service_by_second: harness.sessions.service_by_second().clone(),
            requests: totals.requests,
            unanswered: totals.unanswered,
            lost: totals.lost,
            counts: harness.checker.counts().clone(),
            cluster_count: harness.cluster_ids.len(),
            setup_times: harness.checker.setup_times(),
            verdict: Verdict {
                violations: harness.checker.violations().to_vec(),
            },
            budgets,
            final_statuses: final_statuses(harness),
            cpu_ms: cpu_ms(harness),
        }
    }
}

fn report_budgets(harness: &mut Harness) -> Vec<BudgetReport> {
    let Some(budget) = &harness.scenario.slow_start_budget else {
        return Vec::new();
    };
    let report = harness
        .checker
        .slow_start_budget(budget.limit, &budget.saturated_spans);
    vec![report]
}

/// Checks the scenario's expectations for the whole run.
fn check_expectations(
    harness: &mut Harness,
    now: Instant,
    service_ratio: f64,
    budgets: &[BudgetReport],
) {
    let expectations = &harness.scenario.expectations;
    let mut failures = Vec::new();
    let min_service_ratio = expectations.min_service_ratio;
    if service_ratio < min_service_ratio {
        failures.push(format!(
            "service is {service_ratio:.3}, {min_service_ratio} is the least"
        ));
    }
    let min_usage_ratio = expectations.min_usage_ratio;
    let usage_ratios = budgets.iter().filter_map(|budget| budget.usage_ratio);
    for usage_ratio in usage_ratios.filter(|ratio| *ratio < min_usage_ratio) {
        failures.push(format!(
            "{usage_ratio:.2} of the budget was in use, {min_usage_ratio} is the least"
        ));
    }
    let cluster_count = harness.cluster_ids.len();
    let max_cluster_count = expectations.max_cluster_count;
    if max_cluster_count > 0 && cluster_count > max_cluster_count {
        failures.push(format!(
            "{cluster_count} councils were founded, {max_cluster_count} are the most"
        ));
    }
    for failure in failures {
        harness
            .checker
            .record_violation(Rule::Expectation, now, failure);
    }
}

/// Returns the events with their times, which are negative before the clients start.
fn timeline(harness: &Harness) -> Vec<TimelineEntry> {
    let start = harness.clients_start;
    let events = harness.events.iter();
    let entries = events.map(|event| {
        let after = event.at.saturating_duration_since(start);
        let before = start.saturating_duration_since(event.at);
        TimelineEntry {
            at_s: after.as_secs_f64() - before.as_secs_f64(),
            text: event.text.clone(),
        }
    });
    entries.collect()
}

fn final_statuses(harness: &Harness) -> BTreeMap<String, Value> {
    let nodes = harness.nodes.iter();
    nodes
        .filter_map(|node| Some((node.name().to_string(), node.status()?.clone())))
        .collect()
}

fn cpu_ms(harness: &Harness) -> BTreeMap<String, u64> {
    let nodes = harness.nodes.iter();
    nodes
        .filter_map(|node| Some((node.name().to_string(), node.cpu_ms()?)))
        .collect()
}
