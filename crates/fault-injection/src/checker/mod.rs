//! Checks a run by what clients, upstream servers and proxies observe, on this process's clock.
//!
//! The checker knows the rules and nothing of the program under test.

mod absence;
mod budget;
mod request;
mod violation;

pub use budget::{BudgetReport, BudgetSum};
pub use request::{RequestTotals, SetupTimes};
pub use violation::{Rule, Violation};

use crate::scenario::TimeSpan;
use absence::AbsenceLog;
use budget::BudgetMonitor;
use hdrhistogram::Histogram;
use lupincrank_test_servers::observation::{Answer, ConnectionEnd, Observation};
use request::{ReceivedAnswer, RequestRecord};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Violations of one rule that are recorded: one rule that breaks by the hundred must not hide another.
const MAX_VIOLATIONS_PER_RULE: usize = 20;
/// A draining server may get new connections for this long after the node was told: the settings' grace, 50 ms that the
/// protocol adds, and as much for the way.
const DRAIN_GRACE: Duration = Duration::from_millis(500 + 100);
/// A faulty link explains violations on it until this much later.
const LINK_FAULT_GRACE: Duration = Duration::from_secs(10);
/// Longest setup time that is told apart, in microseconds.
const MAX_SETUP_US: u64 = 60_000_000;

/// A node and an upstream server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct NodeServerPair {
    node: usize,
    server: usize,
}

/// Checks a run while it goes on.
pub struct Checker {
    start: Instant,
    violations: Vec<Violation>,
    requests: BTreeMap<u64, RequestRecord>,
    /// The server of each attempt in flight, by the request's id.
    attempts_in_flight: BTreeMap<u64, usize>,
    /// Since when each node knows that a server takes no new connections.
    draining_since: BTreeMap<NodeServerPair, Instant>,
    absences: AbsenceLog,
    /// When the link of a node and a server was last faulty.
    link_faults: BTreeMap<NodeServerPair, Instant>,
    warm_up_budget: BudgetMonitor,
    setup_times: Histogram<u64>,
    counts: BTreeMap<&'static str, u64>,
}

impl Checker {
    /// A checker whose clock starts now.
    ///
    /// # Panics
    ///
    /// Never: the histogram's bounds are constants that it accepts.
    pub fn new(start: Instant) -> Checker {
        let setup_times =
            Histogram::new_with_bounds(1, MAX_SETUP_US, 3).expect("bounds of a histogram");
        Checker {
            start,
            violations: Vec::new(),
            requests: BTreeMap::new(),
            attempts_in_flight: BTreeMap::new(),
            draining_since: BTreeMap::new(),
            absences: AbsenceLog::default(),
            link_faults: BTreeMap::new(),
            warm_up_budget: BudgetMonitor::default(),
            setup_times,
            counts: BTreeMap::new(),
        }
    }

    /// Starts the clock again: the first client comes now.
    pub fn start_clock(&mut self, now: Instant) {
        self.start = now;
    }

    /// Seconds since the first client; 0 before it.
    pub fn seconds_since_start(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Records a violation, unless the rule has many already.
    pub fn record_violation(&mut self, rule: Rule, at: Instant, description: String) {
        let recorded = self.violations.iter();
        let recorded_count = recorded.filter(|violation| violation.rule == rule).count();
        if recorded_count < MAX_VIOLATIONS_PER_RULE {
            self.violations.push(Violation {
                rule,
                at_s: self.seconds_since_start(at),
                description,
            });
        }
    }

    fn count(&mut self, event: &'static str) {
        *self.counts.entry(event).or_default() += 1;
    }

    /// A node's process was killed, frozen, or has ended.
    pub fn on_node_absent(&mut self, node: usize, at: Instant) {
        self.absences.begin(node, at);
    }

    /// A node's process runs again.
    pub fn on_node_present(&mut self, node: usize, at: Instant) {
        self.absences.end(node, at);
    }

    /// The link between a node and a server is, or was until now, faulty.
    pub fn on_link_fault(&mut self, node: usize, server: usize, at: Instant) {
        self.link_faults.insert(NodeServerPair { node, server }, at);
    }

    /// A node has sent an attempt's whole first line, on a connection that was dialed then.
    pub fn on_attempt(&mut self, request: u64, node: usize, server: usize, dialed_at: Instant) {
        self.count("attempts");
        if let Some(other) = self.attempts_in_flight.insert(request, server) {
            let description = format!(
                "request {request:016x} was out at t{other} and went to t{server} by n{node}"
            );
            self.record_violation(Rule::OneAttempt, Instant::now(), description);
        }
        if let Some(record) = self.requests.get_mut(&request) {
            record.server = Some(server);
        }
        self.check_drain(request, NodeServerPair { node, server }, dialed_at);
    }

    /// Checks that an attempt does not go to a server that the node has known to drain for long.
    fn check_drain(&mut self, request: u64, pair: NodeServerPair, dialed_at: Instant) {
        let Some(known_at) = self.draining_since.get(&pair).copied() else {
            return;
        };
        let known_for = dialed_at.saturating_duration_since(known_at);
        let NodeServerPair { node, server } = pair;
        if known_for > DRAIN_GRACE && !self.absences.overlaps(node, known_at, dialed_at) {
            let late_ms = known_for.as_millis();
            let description = format!(
                "n{node} sent {request:016x} to t{server}, {late_ms} ms after it was told of its end"
            );
            self.record_violation(Rule::DrainGrace, dialed_at, description);
        }
    }

    /// An attempt has ended.
    pub fn on_attempt_ended(&mut self, request: u64) {
        self.attempts_in_flight.remove(&request);
    }

    /// Takes an observation of a test server or client.
    pub fn observe(&mut self, at: Instant, observation: Observation) {
        match observation {
            Observation::RequestSent {
                request,
                node,
                timeout_ms,
            } => self.on_request(at, request, node, Duration::from_millis(timeout_ms)),
            Observation::FirstAnswer { request, answer } => self.on_answer(at, request, answer),
            Observation::ExtraAnswer { request } => {
                let description = format!("request {request:016x} was answered a second time");
                self.record_violation(Rule::OneAnswer, at, description);
            }
            Observation::ClientTimedOut { request } => {
                self.update_request(request, |record| record.has_timed_out = true);
            }
            Observation::ClosedByServer { request } => {
                self.update_request(request, |record| record.was_closed_by_server = true);
            }
            Observation::ConnectionEnded { request, end } => {
                self.on_connection_ended(at, request, end);
            }
            Observation::ServerCrashed {
                server,
                is_warming_up,
                connection_count,
            } => self.on_server_crashed(at, server, is_warming_up, connection_count),
            Observation::WarmingUpConnection { dialed_at, .. } => {
                self.warm_up_budget.record_use(dialed_at);
            }
            Observation::EndpointAnnounced {
                node,
                server,
                is_ready,
            } => self.on_announcement(at, NodeServerPair { node, server }, is_ready),
        }
    }

    fn update_request(&mut self, request: u64, update: impl FnOnce(&mut RequestRecord)) {
        if let Some(record) = self.requests.get_mut(&request) {
            update(record);
        }
    }

    fn on_request(&mut self, at: Instant, request: u64, node: usize, timeout: Duration) {
        let record = RequestRecord::new(node, at, timeout);
        if self.requests.insert(request, record).is_some() {
            let description = format!("the trial used the id {request:016x} twice");
            self.record_violation(Rule::OneAnswer, at, description);
        }
    }

    fn on_answer(&mut self, at: Instant, request: u64, answer: Answer) {
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        record.answer = Some(ReceivedAnswer { at, answer });
        let latency = at.saturating_duration_since(record.sent_at);
        self.count(match answer {
            Answer::Accepted => "up",
            Answer::Rejected { .. } => "busy",
            Answer::Failed => "failed",
            Answer::Closed => "closed",
        });
        if answer == Answer::Accepted {
            self.setup_times
                .saturating_record(latency.as_micros() as u64);
        }
    }

    fn on_server_crashed(
        &mut self,
        at: Instant,
        server: usize,
        is_warming_up: bool,
        connection_count: usize,
    ) {
        self.count("fell");
        if is_warming_up {
            let description =
                format!("t{server} fell while it was cold, with {connection_count} connections");
            self.record_violation(Rule::WarmUpCrash, at, description);
        }
    }

    fn on_announcement(&mut self, at: Instant, pair: NodeServerPair, is_ready: bool) {
        if is_ready {
            self.draining_since.remove(&pair);
        } else {
            self.draining_since.entry(pair).or_insert(at);
        }
    }

    fn on_connection_ended(&mut self, at: Instant, request: u64, end: ConnectionEnd) {
        self.count(match end {
            ConnectionEnd::ByClient => "stood",
            ConnectionEnd::Migrated => "moved",
            ConnectionEnd::Unexpected => "cut",
        });
        if end == ConnectionEnd::Unexpected {
            self.check_unexpected_end(at, request);
        }
    }

    /// Checks that something explains the end of a connection: its server, its link, or its node's absence.
    fn check_unexpected_end(&mut self, at: Instant, request: u64) {
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        let node = record.node;
        let last_link_fault = record
            .server
            .and_then(|server| self.link_faults.get(&NodeServerPair { node, server }));
        let had_link_fault = last_link_fault
            .is_some_and(|fault_at| at.saturating_duration_since(*fault_at) < LINK_FAULT_GRACE);
        if record.was_closed_by_server
            || had_link_fault
            || self.absences.overlaps(node, record.sent_at, at)
        {
            return;
        }
        let description = format!(
            "n{node} cut {request:016x} off without MOVE, its transcriber {:?} still answers",
            record.server
        );
        self.record_violation(Rule::UnexpectedClose, at, description);
    }

    /// Ends the run: checks the requests that have no answer.
    pub fn finish(&mut self, now: Instant) -> RequestTotals {
        let requests = std::mem::take(&mut self.requests);
        let mut totals = RequestTotals {
            requests: requests.len() as u64,
            ..RequestTotals::default()
        };
        for (id, record) in &requests {
            let Some(unanswered_at) = record.unanswered_at(now) else {
                continue;
            };
            let node = record.node;
            if self.absences.overlaps(node, record.sent_at, unanswered_at) {
                totals.lost += 1;
            } else {
                totals.unanswered += 1;
                let description = format!("request {id:016x} had no answer of n{node}");
                self.record_violation(Rule::OneAnswer, unanswered_at, description);
            }
        }
        totals
    }

    /// Reports the usage of the budget of connections to servers that are warming up, and checks its limit.
    ///
    /// In `saturated_spans` clients wanted more than the limit.
    pub fn warm_up_budget(&mut self, limit: u32, saturated_spans: &[TimeSpan]) -> BudgetReport {
        self.warm_up_budget.sort();
        if let Some(overrun) = self.warm_up_budget.worst_overrun(limit) {
            let description = format!(
                "{} connections to cold transcribers in a second, {} are the whole",
                overrun.sum, overrun.limit
            );
            self.record_violation(Rule::Budget, overrun.at, description);
        }
        self.warm_up_budget
            .report("cold", self.start, limit, saturated_spans)
    }

    /// An operator sets another limit of that budget.
    pub fn on_budget_limit_changed(&mut self, at: Instant, limit: u32) {
        self.warm_up_budget.record_limit(at, limit);
    }

    /// All violations so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Counts of events by their names.
    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }

    /// Setup times as clients saw them.
    pub fn setup_times(&self) -> SetupTimes {
        let quantile_ms = |quantile| self.setup_times.value_at_quantile(quantile) as f64 / 1000.0;
        SetupTimes {
            median_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
            max_ms: self.setup_times.max() as f64 / 1000.0,
        }
    }
}
