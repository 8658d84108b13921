//! Message latency of servers, measured on the lines of established connections, and detection of unresponsive
//! servers.

use super::delay_sample::{median, DelaySample};
use super::request::{hex_id, ActiveRequest};
use super::PlacementDriver;
use crate::load_report::LoadReport;
use lupincrank_placement::{Event, RequestId, ServerId};
use slog::debug;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// The minimum time between two delay reports of a server.
const DELAY_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// A connection whose line has been unanswered for this long is reported individually: healthy servers reply at once.
const UNRESPONSIVE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(1);
/// A server is unresponsive if at least this many of its connections forwarded a line after the server's last reply
/// and have waited [`UNRESPONSIVE_SERVER_TIMEOUT`] for an answer.
const MIN_UNANSWERED_CONNECTIONS: usize = 2;
const UNRESPONSIVE_SERVER_TIMEOUT: Duration = Duration::from_millis(500);
/// If more than 1/`MAX_UNRESPONSIVE_DIVISOR` of the servers in use seem unresponsive, none of them is reported: this
/// node itself is then assumed to be cut off.
const MAX_UNRESPONSIVE_DIVISOR: usize = 2;
/// A delay is slow if it exceeds the shortest message latency objective divided by this.
const SLOW_DELAY_DIVISOR: u32 = 3;

/// Loads are reported in microseconds of work per second.
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Converts a load from microseconds of work per second.
pub(super) fn load_duration(load: f64) -> Duration {
    Duration::from_secs_f64(load / MICROSECONDS_PER_SECOND)
}

/// The latency of one server as its connections measure it.
#[derive(Default)]
pub(super) struct UpstreamLatency {
    /// Reply delays since the last report.
    delays: DelaySample,
    /// The queueing times of slow setups since the last report.
    setup_waits: DelaySample,
    last_reported_at: Option<Instant>,
    /// When the server last replied to a line.
    last_answered_at: Option<Instant>,
    /// Whether its unresponsiveness since that reply has been reported.
    is_unresponsive: bool,
    /// Whether the delay was slow in the last report.
    is_slow: bool,
}

/// The oldest unanswered line of an established connection.
struct UnansweredLine {
    request: RequestId,
    /// Zero if every line is answered.
    age: Duration,
}

/// The results of a check of the unanswered lines.
#[derive(Default)]
struct Findings {
    delays: Vec<(RequestId, Duration)>,
    unresponsive_connections: Vec<RequestId>,
    unresponsive_servers: Vec<ServerId>,
}

impl UpstreamLatency {
    /// Records the delay of a reply.
    fn record_answer(&mut self, delay: Duration, now: Instant) {
        self.last_answered_at = Some(now);
        self.is_unresponsive = false;
        self.delays.record(delay);
    }

    /// Records the queueing time of a slow setup.
    fn record_setup_wait(&mut self, wait: Duration) {
        self.setup_waits.record(wait);
    }

    /// Returns true if the server has been unresponsive for a while and this has not been reported yet.
    fn has_become_unresponsive(&self, lines: &[UnansweredLine], now: Instant) -> bool {
        let since_last_answer = self
            .last_answered_at
            .map_or(Duration::MAX, |answered_at| now - answered_at);
        let overdue = lines
            .iter()
            .filter(|line| line.age >= UNRESPONSIVE_SERVER_TIMEOUT && line.age < since_last_answer)
            .count();
        overdue >= MIN_UNANSWERED_CONNECTIONS && !self.is_unresponsive
    }

    /// Returns the median delay if a report is due: while the delay is slow, and once after it has recovered.
    /// Unanswered lines count with their age: guards against a server that answers nothing and so never shows a
    /// delay.
    fn delay_to_report(
        &mut self,
        lines: &[UnansweredLine],
        now: Instant,
        slow_delay: Duration,
    ) -> Option<Duration> {
        if self
            .last_reported_at
            .is_some_and(|reported_at| now - reported_at < DELAY_REPORT_INTERVAL)
        {
            return None;
        }
        self.last_reported_at = Some(now);
        let mut delays = self.delays.take();
        let ages = lines.iter().map(|line| line.age);
        delays.extend(ages.filter(|age| *age > slow_delay));
        let setup_wait = median(&mut self.setup_waits.take());
        let delay = median(&mut delays).max(setup_wait)?;
        let was_slow = self.is_slow;
        self.is_slow = delay > slow_delay;
        (self.is_slow || was_slow).then_some(delay)
    }
}

/// The oldest unanswered line of each established connection, by server; its age is zero if every line is answered.
fn unanswered_lines(
    requests: &HashMap<RequestId, ActiveRequest>,
    now: Instant,
) -> BTreeMap<&ServerId, Vec<UnansweredLine>> {
    let mut by_server: BTreeMap<&ServerId, Vec<UnansweredLine>> = BTreeMap::new();
    for (request, active) in requests {
        let Some(connection) = active.established_connection() else {
            continue;
        };
        let age = active.unanswered_for(now);
        by_server
            .entry(connection.server)
            .or_default()
            .push(UnansweredLine {
                request: *request,
                age,
            });
    }
    by_server
}

impl PlacementDriver {
    /// Handles the number in a `LOAD` line of an established connection: see
    /// [`LoadReportClassifier`](crate::load_report::LoadReportClassifier).
    pub(crate) fn on_load_report(&mut self, request: RequestId, value: f64) {
        let slow_delay = self.slow_delay();
        let Some(active) = self.requests.get_mut(&request) else {
            return;
        };
        let load = match active
            .load_reports
            .record(Instant::now(), value, slow_delay)
        {
            LoadReport::Load(load) => Some(load),
            LoadReport::Delay { delay, load } => {
                debug!(self.log, "message delay observed"; "request" => hex_id(request), "delay_ms" => delay.as_millis() as u64);
                self.feed(Event::DelayObserved { request, delay });
                load
            }
        };
        if let Some(load) = load {
            self.observe_load(request, load);
        }
    }

    fn observe_load(&mut self, request: RequestId, load: f64) {
        if let Some(active) = self.requests.get_mut(&request) {
            active.load = Some(load);
        }
        debug!(self.log, "load observed"; "request" => hex_id(request), "load_us" => load as u64);
        self.feed(Event::LoadObserved {
            request,
            load: load_duration(load),
        });
    }

    /// Records that a line of the client was forwarded to its server.
    pub(crate) fn on_line_sent(&mut self, request: RequestId) {
        if let Some(active) = self.requests.get_mut(&request) {
            active.push_line();
        }
    }

    /// Records a server's reply to a line.
    pub(crate) fn on_reply_received(&mut self, request: RequestId) {
        let Some(active) = self.requests.get_mut(&request) else {
            return;
        };
        let sent_at = active.pop_line();
        let (Some(sent_at), Some(server)) = (sent_at, &active.server) else {
            return;
        };
        let delay = sent_at.elapsed();
        let now = Instant::now();
        if let Some(latency) = self.latencies.get_mut(server) {
            latency.record_answer(delay, now);
        } else {
            let mut latency = UpstreamLatency::default();
            latency.record_answer(delay, now);
            self.latencies.insert(server.clone(), latency);
        }
    }

    /// When the oldest unanswered line of the client was forwarded.
    pub(crate) fn oldest_unanswered_line(&self, request: RequestId) -> Option<Instant> {
        self.requests.get(&request)?.oldest_unanswered_line()
    }

    /// Records the setup time of a connection that was established at this server.
    pub(super) fn record_setup(&mut self, server: Option<ServerId>, setup_duration: Duration) {
        let queueing_time = self.setup_times.record(setup_duration);
        if let (Some(server), Some(queueing_time)) = (server, queueing_time) {
            let latency = self.latencies.entry(server).or_default();
            latency.record_setup_wait(queueing_time);
        }
    }

    /// Reports delays, unresponsive servers and unresponsive connections, found from the unanswered lines of
    /// established connections, to the balancer.
    pub(crate) fn check_unanswered_lines(&mut self) {
        let findings = self.find_unanswered_lines(Instant::now());
        for server in findings.unresponsive_servers {
            if let Some(latency) = self.latencies.get_mut(&server) {
                latency.is_unresponsive = true;
            }
            self.feed(Event::ServerUnresponsive(server));
        }
        for (request, delay) in findings.delays {
            self.feed(Event::DelayObserved { request, delay });
        }
        for request in findings.unresponsive_connections {
            self.feed(Event::ConnectionUnresponsive(request));
        }
    }

    fn find_unanswered_lines(&mut self, now: Instant) -> Findings {
        let slow_delay = self.slow_delay();
        let by_server = unanswered_lines(&self.requests, now);
        let servers_in_use = by_server.len();
        let mut findings = Findings::default();
        self.latencies
            .retain(|server, _| by_server.contains_key(server));
        for (server, lines) in by_server {
            let latency = self.latencies.entry(server.clone()).or_default();
            findings.add(server, latency, &lines, now, slow_delay);
        }
        findings.delays.sort_unstable();
        findings.unresponsive_connections.sort_unstable();
        if findings.unresponsive_servers.len() * MAX_UNRESPONSIVE_DIVISOR > servers_in_use {
            findings.unresponsive_servers.clear();
        }
        findings
    }

    /// Delays over this are slow.
    fn slow_delay(&self) -> Duration {
        self.min_message_objective / SLOW_DELAY_DIVISOR
    }
}

impl Findings {
    /// Adds the results of one server's connections.
    fn add(
        &mut self,
        server: &ServerId,
        latency: &mut UpstreamLatency,
        lines: &[UnansweredLine],
        now: Instant,
        slow_delay: Duration,
    ) {
        let unresponsive = lines
            .iter()
            .filter(|line| line.age >= UNRESPONSIVE_CONNECTION_TIMEOUT);
        self.unresponsive_connections
            .extend(unresponsive.map(|line| line.request));
        if latency.has_become_unresponsive(lines, now) {
            self.unresponsive_servers.push(server.clone());
        }
        if let Some(delay) = latency.delay_to_report(lines, now, slow_delay) {
            // One of the server's connections represents all of them.
            let request = lines.iter().map(|line| line.request).min();
            self.delays.extend(request.map(|request| (request, delay)));
        }
    }
}

#[cfg(test)]
mod tests;
