//! Metrics of a run: service by class and by second, percentiles, imbalance, migrations, wasted work.

use crate::checker::Violation;
use crate::event_queue::{as_seconds, SimTime};
use crate::scenario::{Goal, Scenario};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// The length of the windows of which the worst one counts, in seconds.
const WINDOW_S: usize = 10;

/// Collects metrics while the simulation runs. Its memory grows only with the run's length and the number of classes.
pub struct RunMetrics {
    /// Connection-seconds requested, by class and second.
    demand: Vec<Vec<f64>>,
    /// Connection-seconds served well, by class and second: each counts by the fraction of its messages that are
    /// answered within the objective of its class.
    served: Vec<Vec<f64>>,
    message_delays: Vec<Histogram<u64>>,
    message_fractions: Vec<f64>,
    setup_durations: Histogram<u64>,
    /// The time that setups waited for a slot.
    pub setup_waits: SetupWaits,
    imbalance: RunningMean,
    utilization: RunningMean,
    /// Clients' first requests.
    pub first_requests: u64,
    /// All requests of clients, retries included.
    pub requests: u64,
    /// Attempts.
    pub attempts: u64,
    /// Attempts to another zone.
    pub cross_zone_attempts: u64,
    /// Migrations that nodes asked for.
    pub migrations: u64,
    /// Clients that a draining server asked to reconnect.
    pub drained_clients: u64,
    /// Connections that were broken.
    pub broken_connections: u64,
    /// Requests that nodes rejected or failed.
    pub failed_requests: u64,
    /// Attempts that a server rejected.
    pub rejected_attempts: u64,
    /// Attempts that could not connect.
    pub failed_connects: u64,
    /// Attempts that timed out.
    pub timed_out_attempts: u64,
    /// Arrivals dropped at the scenario's limit of concurrent clients.
    pub dropped_arrivals: u64,
    /// Work of setups and connections.
    pub work: Work,
    /// Servers that failed from overload.
    pub overloaded_servers: u64,
    length_s: f64,
    timeline: Vec<Sample>,
}

/// The time that setups waited for a slot.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SetupWaits {
    /// Total wait in seconds.
    pub total_s: f64,
    /// Setups started.
    pub started: u64,
    /// Setups that had to wait.
    pub delayed: u64,
}

/// Work of setups and connections, in core seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// All work.
    pub total_s: f64,
    /// Work of setups for requests that had already ended.
    pub wasted_s: f64,
}

/// The mean of values added one by one.
#[derive(Clone, Copy, Debug, Default)]
struct RunningMean {
    sum: f64,
    count: u64,
}

impl RunningMean {
    fn add(&mut self, value: f64) {
        self.sum += value;
        self.count += 1;
    }

    fn mean(self) -> f64 {
        mean(self.sum, self.count)
    }
}

/// One second of the timeline.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The time, in seconds.
    pub at_s: f64,
    /// Load over capacity of each server, `None` for a server that is not up; empty for large fleets.
    pub used: Vec<Option<f64>>,
    /// Established connections.
    pub standing: u64,
    /// Standard deviation of load over capacity, divided by its mean.
    pub imbalance: f64,
    /// Fraction of the demand in this second that was served well, weighted by worth.
    pub service: f64,
}

/// The outcome of one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassOutcome {
    /// The name of the class.
    pub name: String,
    /// Fraction of the requested connection-seconds that was served well.
    pub service: f64,
    /// Connection-seconds requested.
    pub wanted_s: f64,
    /// Message delays in ms: median, 90th, 99th and 99.9th percentile.
    pub message_ms: [f64; 4],
}

/// The outcome of a run. It contains no wall-clock measurement, so that a seed always gives the same bytes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Outcome {
    /// The scenario's name.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// The policy.
    pub policy: String,
    /// Whether the policy sees state that no node can see.
    pub upper_bound: bool,
    /// Service from 0 to 1: the weighted mix of the scenario's goal, less the penalties.
    pub service: f64,
    /// Fraction of the whole demand that was served well, weighted by worth.
    pub whole: f64,
    /// Fraction of the demand that was served well in the worst 10 s.
    pub worst_window: f64,
    /// The fraction served well of the worst class.
    pub worst_class: f64,
    /// Penalties for wasted work, cross-zone attempts and migrations.
    pub taken_off: f64,
    /// The violations of rules that are reported in full.
    pub rules_broken: Vec<Violation>,
    /// The number of all rule violations.
    pub times_broken: u64,
    /// Events handled.
    pub events: u64,
    /// The peak length of the event queue.
    pub peak_queue: usize,
    /// Standard deviation of load over capacity among servers, divided by its mean, averaged over seconds.
    pub imbalance: f64,
    /// Mean load over capacity.
    pub used: f64,
    /// Connections that nodes migrated.
    pub moves: u64,
    /// Outcomes by class.
    pub by_class: Vec<ClassOutcome>,
    /// Setup durations in ms: median, 90th, 99th and 99.9th percentile.
    pub set_up_ms: [f64; 4],
    /// Mean wait of setups for a slot, in ms.
    pub set_up_wait_ms: f64,
    /// Fraction of setups that waited.
    pub set_up_waited: f64,
    /// Clients' first requests.
    pub firsts: u64,
    /// All requests of clients, retries included.
    pub tries: u64,
    /// Attempts.
    pub attempts: u64,
    /// Requests that nodes rejected or failed.
    pub refused: u64,
    /// Attempts that a server rejected.
    pub full: u64,
    /// Attempts that could not connect.
    pub no_connect: u64,
    /// Attempts that timed out.
    pub timed_out: u64,
    /// Connections that were broken.
    pub cut: u64,
    /// Clients that draining servers asked to reconnect.
    pub sent_away: u64,
    /// Servers that failed from overload.
    pub fallen: u64,
    /// Arrivals dropped at the scenario's limit of concurrent clients.
    pub turned_away: u64,
    /// The timeline, one sample per second.
    pub timeline: Vec<Sample>,
}

fn histogram() -> Histogram<u64> {
    // From a microsecond to an hour with three digits; larger values saturate.
    Histogram::new_with_bounds(1, 3_600_000_000, 3)
        .unwrap_or_else(|_| unreachable!("the bounds are constants"))
}

fn percentiles(histogram: &Histogram<u64>) -> [f64; 4] {
    [50.0, 90.0, 99.0, 99.9]
        .map(|percentile| histogram.value_at_percentile(percentile) as f64 / 1e3)
}

/// Returns the mean of `count` values, 0 if there are none.
fn mean(sum: f64, count: u64) -> f64 {
    if count > 0 {
        sum / count as f64
    } else {
        0.0
    }
}

impl RunMetrics {
    /// Creates empty metrics for a scenario.
    pub fn new(scenario: &Scenario) -> Self {
        let (classes, seconds) = (scenario.class.len(), scenario.length_s.ceil() as usize);
        RunMetrics {
            demand: vec![vec![0.0; seconds]; classes],
            served: vec![vec![0.0; seconds]; classes],
            message_delays: (0..classes).map(|_| histogram()).collect(),
            message_fractions: vec![0.0; classes],
            setup_durations: histogram(),
            setup_waits: SetupWaits::default(),
            imbalance: RunningMean::default(),
            utilization: RunningMean::default(),
            first_requests: 0,
            requests: 0,
            attempts: 0,
            cross_zone_attempts: 0,
            migrations: 0,
            drained_clients: 0,
            broken_connections: 0,
            failed_requests: 0,
            rejected_attempts: 0,
            failed_connects: 0,
            timed_out_attempts: 0,
            dropped_arrivals: 0,
            work: Work::default(),
            overloaded_servers: 0,
            length_s: scenario.length_s,
            timeline: Vec::new(),
        }
    }

    /// Records that a client wants a connection between two times.
    pub fn record_demand(&mut self, class: usize, from: SimTime, until: SimTime) {
        self.add_demand(class, from, until, 1.0);
    }

    /// Withdraws the demand between two times that `record_demand` recorded, as a client leaves early.
    pub fn withdraw_demand(&mut self, class: usize, from: SimTime, until: SimTime) {
        self.add_demand(class, from, until, -1.0);
    }

    fn add_demand(&mut self, class: usize, from: SimTime, until: SimTime, sign: f64) {
        let (from, until) = (as_seconds(from), as_seconds(until).min(self.length_s));
        let Some(seconds) = self.demand.get_mut(class) else {
            return;
        };
        let mut time = from;
        while time < until {
            let next = (time.floor() + 1.0).min(until);
            if let Some(second) = seconds.get_mut(time as usize) {
                *second += sign * (next - time);
            }
            time = next;
        }
    }

    /// Records connection-seconds of a class that were served well until `now`.
    pub fn record_service(&mut self, class: usize, now: SimTime, connection_seconds: f64) {
        let second = as_seconds(now.saturating_sub(1)) as usize;
        if let Some(served) = self
            .served
            .get_mut(class)
            .and_then(|seconds| seconds.get_mut(second))
        {
            *served += connection_seconds;
        }
    }

    /// Records the delay of a number of messages of a class, in seconds. Fractions of a message are carried over.
    pub fn record_message(&mut self, class: usize, delay_s: f64, messages: f64) {
        let total = self.message_fractions[class] + messages;
        self.message_fractions[class] = total.fract();
        self.message_delays[class]
            .saturating_record_n((delay_s * 1e6).max(1.0) as u64, total as u64);
    }

    /// Records the duration of a setup.
    pub fn record_setup(&mut self, duration: SimTime) {
        self.setup_durations
            .saturating_record((duration / 1000).max(1));
    }

    /// Records one second's sample of the fleet, with the utilization of each server if `keeps_servers` is set.
    pub fn record_sample(
        &mut self,
        now: SimTime,
        utilizations: Vec<Option<f64>>,
        connections: u64,
        keeps_servers: bool,
    ) {
        let (mut sum, mut squares, mut count) = (0.0, 0.0, 0.0);
        for utilization in utilizations.iter().flatten() {
            sum += utilization;
            squares += utilization * utilization;
            count += 1.0;
        }
        let mean = sum / f64::max(count, 1.0);
        let deviation = (squares / f64::max(count, 1.0) - mean * mean)
            .max(0.0)
            .sqrt();
        let imbalance = if mean > 1e-9 { deviation / mean } else { 0.0 };
        self.imbalance.add(imbalance);
        self.utilization.add(mean);
        let utilizations = if keeps_servers {
            utilizations
        } else {
            Vec::new()
        };
        self.timeline.push(Sample {
            at_s: as_seconds(now),
            used: utilizations,
            standing: connections,
            imbalance,
            service: 0.0,
        });
    }

    /// Returns the fraction of the demand in a range of seconds that was served well, weighted by worth.
    fn served_ratio(&self, worths: &[f64], seconds: std::ops::Range<usize>) -> f64 {
        let sum = |counts: &[Vec<f64>]| -> f64 {
            let class = |(class, worth): (usize, &f64)| {
                counts[class]
                    .get(seconds.clone())
                    .map_or(0.0, |values| values.iter().sum::<f64>())
                    * worth
            };
            worths.iter().enumerate().map(class).sum()
        };
        let demand = sum(&self.demand);
        if demand <= 0.0 {
            return 1.0;
        }
        (sum(&self.served) / demand).min(1.0)
    }

    /// Returns the outcome of each class over the whole run.
    fn by_class(&self, scenario: &Scenario) -> Vec<ClassOutcome> {
        let classes = scenario.class.len();
        let seconds = self.demand.first().map_or(0, Vec::len);
        let worths_of_one = |class: usize| -> Vec<f64> {
            (0..classes)
                .map(|other| if other == class { 1.0 } else { 0.0 })
                .collect()
        };
        scenario
            .class
            .iter()
            .enumerate()
            .map(|(class, definition)| ClassOutcome {
                name: definition.name.clone(),
                service: self.served_ratio(&worths_of_one(class), 0..seconds),
                wanted_s: self.demand[class].iter().sum(),
                message_ms: percentiles(&self.message_delays[class]),
            })
            .collect()
    }

    /// Returns the penalty on service for wasted work, cross-zone attempts and migrations.
    fn penalty(&self, goal: &Goal) -> f64 {
        let first_requests = (self.first_requests as f64).max(1.0);
        goal.waste * self.work.wasted_s / self.work.total_s.max(1e-9)
            + goal.cross_zone * self.cross_zone_attempts as f64 / first_requests
            + goal.moves * self.migrations as f64 / first_requests
    }

    /// Returns the timeline, with the service of each second filled in.
    fn take_timeline(&mut self, worths: &[f64]) -> Vec<Sample> {
        let mut timeline = std::mem::take(&mut self.timeline);
        for sample in &mut timeline {
            let second = (sample.at_s - 1.0).max(0.0) as usize;
            sample.service = self.served_ratio(worths, second..second + 1);
        }
        timeline
    }

    /// Computes the outcome of the run.
    pub fn finish(mut self, scenario: &Scenario, summary: RunSummary) -> Outcome {
        let worths: Vec<f64> = scenario.class.iter().map(|class| class.worth).collect();
        let seconds = self.demand.first().map_or(0, Vec::len);
        let whole = self.served_ratio(&worths, 0..seconds);
        let windows = (0..=seconds.saturating_sub(WINDOW_S))
            .map(|start| self.served_ratio(&worths, start..start + WINDOW_S));
        let worst_window = windows.fold(whole, f64::min);
        let by_class = self.by_class(scenario);
        let worst_class = by_class
            .iter()
            .map(|class| class.service)
            .fold(1.0, f64::min);
        let taken_off = self.penalty(&scenario.goal);
        let goal = &scenario.goal;
        let weighted =
            goal.whole * whole + goal.worst_window * worst_window + goal.worst_class * worst_class;
        let timeline = self.take_timeline(&worths);
        Outcome {
            scenario: scenario.name.clone(),
            seed: summary.seed,
            policy: summary.policy,
            upper_bound: summary.upper_bound,
            service: (weighted - taken_off).max(0.0),
            whole,
            worst_window,
            worst_class,
            taken_off,
            rules_broken: summary.violations,
            times_broken: summary.violation_count,
            events: summary.events,
            peak_queue: summary.peak_queue,
            imbalance: self.imbalance.mean(),
            used: self.utilization.mean(),
            moves: self.migrations,
            by_class,
            set_up_ms: percentiles(&self.setup_durations),
            set_up_wait_ms: mean(self.setup_waits.total_s, self.setup_waits.started) * 1e3,
            set_up_waited: mean(self.setup_waits.delayed as f64, self.setup_waits.started),
            firsts: self.first_requests,
            tries: self.requests,
            attempts: self.attempts,
            refused: self.failed_requests,
            full: self.rejected_attempts,
            no_connect: self.failed_connects,
            timed_out: self.timed_out_attempts,
            cut: self.broken_connections,
            sent_away: self.drained_clients,
            fallen: self.overloaded_servers,
            turned_away: self.dropped_arrivals,
            timeline,
        }
    }
}

/// The values of a run's outcome that are not metrics.
pub struct RunSummary {
    /// The seed.
    pub seed: u64,
    /// The policy's name.
    pub policy: String,
    /// Whether the policy sees the true state.
    pub upper_bound: bool,
    /// The violations that are reported in full.
    pub violations: Vec<Violation>,
    /// The number of all violations.
    pub violation_count: u64,
    /// Events handled.
    pub events: u64,
    /// The peak length of the event queue.
    pub peak_queue: usize,
}
