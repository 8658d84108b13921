//! Checks a run by what clients, upstream servers and proxies observe, on this process's clock.
//!
//! The checker depends only on the rules, not on internals of the program under test.

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

/// Maximum number of recorded violations per rule, so that hundreds of violations of one rule don't hide another's.
const MAX_VIOLATIONS_PER_RULE: usize = 20;
/// A node may open new connections to a draining server for this long after discovery announced the drain to it: the
/// grace of the settings, 50 ms that the protocol adds, and 50 ms for the transmission.
const DRAIN_GRACE: Duration = Duration::from_millis(500 + 100);
/// Violations on a link are attributed to a fault of the link until this long after the fault.
const LINK_FAULT_GRACE: Duration = Duration::from_secs(10);
/// Longest setup time that the histogram resolves, in microseconds; longer ones are recorded as this.
const MAX_SETUP_US: u64 = 60_000_000;

/// A node and an upstream server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct NodeServerPair {
    node: usize,
    server: usize,
}

/// Checks a run while it is in progress.
pub struct Checker {
    start: Instant,
    violations: Vec<Violation>,
    requests: BTreeMap<u64, RequestRecord>,
    /// The server of each attempt in flight, by request ID.
    attempts_in_flight: BTreeMap<u64, usize>,
    /// When discovery first announced to each node that a server accepts no new connections.
    draining_since: BTreeMap<NodeServerPair, Instant>,
    absences: AbsenceLog,
    /// When the link between a node and a server was last faulty.
    link_faults: BTreeMap<NodeServerPair, Instant>,
    slow_start_budget: BudgetMonitor,
    setup_times: Histogram<u64>,
    counts: BTreeMap<&'static str, u64>,
}

impl Checker {
    /// Creates a checker whose clock starts at this instant.
    ///
    /// # Panics
    ///
    /// Never: the bounds are constants that the histogram accepts.
    pub fn new(start: Instant) -> Checker {
        let setup_times =
            Histogram::new_with_bounds(1, MAX_SETUP_US, 3).expect("valid histogram bounds");
        Checker {
            start,
            violations: Vec::new(),
            requests: BTreeMap::new(),
            attempts_in_flight: BTreeMap::new(),
            draining_since: BTreeMap::new(),
            absences: AbsenceLog::default(),
            link_faults: BTreeMap::new(),
            slow_start_budget: BudgetMonitor::default(),
            setup_times,
            counts: BTreeMap::new(),
        }
    }

    /// Restarts the clock when the clients start.
    pub fn start_clock(&mut self, now: Instant) {
        self.start = now;
    }

    /// Returns the seconds since the clients started; 0 before that.
    pub fn seconds_since_start(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Records a violation, unless the maximum number for its rule is already recorded.
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

    /// Records that a node's process was killed or frozen, or has exited.
    pub fn on_node_absent(&mut self, node: usize, at: Instant) {
        self.absences.begin(node, at);
    }

    /// Records that a node's process is running again.
    pub fn on_node_present(&mut self, node: usize, at: Instant) {
        self.absences.end(node, at);
    }

    /// Records that the link between a node and a server is faulty, or was until this instant.
    pub fn on_link_fault(&mut self, node: usize, server: usize, at: Instant) {
        self.link_faults.insert(NodeServerPair { node, server }, at);
    }

    /// Records that a node has sent an attempt's complete first line, on a connection that was dialed at `dialed_at`.
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

    /// Checks that an attempt is not sent to a draining server after the drain grace.
    fn check_drain(&mut self, request: u64, pair: NodeServerPair, dialed_at: Instant) {
        let Some(announced_at) = self.draining_since.get(&pair).copied() else {
            return;
        };
        let announced_for = dialed_at.saturating_duration_since(announced_at);
        let NodeServerPair { node, server } = pair;
        if announced_for > DRAIN_GRACE && !self.absences.overlaps(node, announced_at, dialed_at) {
            let late_ms = announced_for.as_millis();
            let description = format!(
                "n{node} sent {request:016x} to t{server}, {late_ms} ms after it was told of its end"
            );
            self.record_violation(Rule::DrainGrace, dialed_at, description);
        }
    }

    /// Records the end of an attempt.
    pub fn on_attempt_ended(&mut self, request: u64) {
        self.attempts_in_flight.remove(&request);
    }

    /// Processes an observation of a test server or client.
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
                self.slow_start_budget.record_use(dialed_at);
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

    /// Checks that the unexpected end of a connection has a known cause: its server closed it, its link was faulty, or
    /// its node was absent.
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

    /// Checks the requests without an answer at the end of the run, and returns the totals.
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

    /// Reports the usage of the slow-start budget, which limits connections to servers that are warming up, and checks
    /// its limit.
    ///
    /// In `saturated_spans` the demand of clients exceeded the limit.
    pub fn slow_start_budget(&mut self, limit: u32, saturated_spans: &[TimeSpan]) -> BudgetReport {
        self.slow_start_budget.sort();
        if let Some(overrun) = self.slow_start_budget.worst_overrun(limit) {
            let description = format!(
                "{} connections to cold transcribers in a second, {} are the whole",
                overrun.sum, overrun.limit
            );
            self.record_violation(Rule::Budget, overrun.at, description);
        }
        self.slow_start_budget
            .report("cold", self.start, limit, saturated_spans)
    }

    /// Records that an operator changes the limit of the slow-start budget.
    pub fn on_budget_limit_changed(&mut self, at: Instant, limit: u32) {
        self.slow_start_budget.record_limit(at, limit);
    }

    /// Returns all violations so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns the counts of events by name.
    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }

    /// Returns the setup times that clients observed.
    pub fn setup_times(&self) -> SetupTimes {
        let quantile_ms = |quantile| self.setup_times.value_at_quantile(quantile) as f64 / 1000.0;
        SetupTimes {
            median_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
            max_ms: self.setup_times.max() as f64 / 1000.0,
        }
    }
}
