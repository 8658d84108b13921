//! The conditions that a run waits for, and its measurements.

use super::admin_call::{self, ClusterStatus};
use super::cluster::Cluster;
use crate::error::RunError;
use crate::hollow_host::unix_us;
use crate::outcome::{PropagationTimes, RoleCost, Sample};
use crate::progress::{ClusterProgress, Goal};
use crate::topology::{Topology, SEED_COUNT};
use lupincrank_fault_injection::checker::{BudgetReport, Checker};
use lupincrank_fault_injection::scenario::TimeSpan;
use lupincrank_test_servers::observation::Observation;
use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Interval between checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which real nodes are polled while a change propagates.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which real nodes are polled while the cluster becomes ready.
const READY_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time until all nodes know a new limit, or the failure of a node.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of voters once the cluster is ready.
const MAX_VOTER_COUNT: usize = 5;
/// Time after the start of saturation until leases granted earlier have expired.
const SATURATION_LEAD_SECONDS: f64 = 3.0;
const US_PER_SECOND: f64 = 1e6;

/// An unmet condition.
#[derive(Clone, Debug, Error)]
pub(super) enum Pending {
    #[error("{count} of {total} nodes are not ready, first {first_name}: {first_state}")]
    Unsettled {
        count: usize,
        total: usize,
        first_name: String,
        first_state: String,
    },
    #[error("{count} voters")]
    Voters { count: usize },
    #[error("{count} nodes not reached")]
    Unreached { count: usize },
}

/// The start of a run, on the monotonic clock and on the system clock.
pub(super) struct RunClock {
    started_at: Instant,
    started_unix_us: u64,
}

/// A span in which the budget was saturated, in seconds since the start.
#[derive(Clone, Copy)]
pub(super) struct SaturatedSpan {
    pub(super) from_s: f64,
    pub(super) to_s: f64,
}

/// The usage of the budget, and the violations of its rules.
pub(super) struct CheckedBudget {
    pub(super) report: BudgetReport,
    pub(super) violations: Vec<String>,
}

impl RunClock {
    /// Starts the clock.
    pub(super) fn start() -> RunClock {
        RunClock {
            started_at: Instant::now(),
            started_unix_us: unix_us(),
        }
    }

    /// Returns the time since the start, by the monotonic clock.
    pub(super) fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns the seconds since the start, by the system clock, which reports use too.
    pub(super) fn seconds_now(&self) -> f64 {
        unix_us().saturating_sub(self.started_unix_us) as f64 / US_PER_SECOND
    }

    /// Converts the time of a report, in Unix microseconds, to the monotonic clock.
    fn instant_of(&self, at_us: u64) -> Instant {
        self.started_at + Duration::from_micros(at_us.saturating_sub(self.started_unix_us))
    }
}

/// Checks that all nodes have a leader and a budget limit, and report all nodes as live.
pub(super) fn check_settled(
    progress: &ClusterProgress,
    topology: &Topology,
) -> Result<(), Pending> {
    let total = topology.node_count();
    let unsettled = progress.unsettled_nodes(total);
    let Some(first) = unsettled.first() else {
        return Ok(());
    };
    let first_state = match progress.node(*first) {
        None => "no report".to_string(),
        Some(node) => format!(
            "leader known: {}, budget limit {}, {} of {total} nodes live",
            node.report.has_leader, node.report.budget_limit, node.report.live_count
        ),
    };
    Err(Pending::Unsettled {
        count: unsettled.len(),
        total,
        first_name: topology.name(*first),
        first_state,
    })
}

/// Checks that the number of voters is at most the maximum.
pub(super) fn check_voters(progress: &ClusterProgress) -> Result<(), Pending> {
    let count = progress.reports().filter(|report| report.is_voter).count();
    if count <= MAX_VOTER_COUNT {
        return Ok(());
    }
    Err(Pending::Voters { count })
}

/// The leader and the voters of the control group.
pub(super) struct Leadership {
    pub(super) leader: String,
    pub(super) voters: Vec<String>,
}

impl Leadership {
    fn is_voter(&self, name: &str) -> bool {
        self.voters.iter().any(|voter| voter == name)
    }

    /// Returns true if a node is neither the leader nor a voter.
    pub(super) fn is_plain_learner(&self, name: &str) -> bool {
        !self.is_voter(name) && name != self.leader
    }

    /// Computes the cost of each role. The leader counts both as leader and as voter; seeds, real nodes and hollow
    /// nodes count only if they are not voters.
    pub(super) fn role_costs(
        &self,
        topology: &Topology,
        samples: &[Sample],
    ) -> BTreeMap<&'static str, RoleCost> {
        let nodes = 0..topology.node_count();
        let with_name = |predicate: &dyn Fn(&str) -> bool| -> Vec<usize> {
            let nodes = nodes.clone();
            nodes
                .filter(|node| predicate(&topology.name(*node)))
                .collect()
        };
        let non_voters = with_name(&|name| !self.is_voter(name));
        let first_plain_hollow = topology.real_count.max(SEED_COUNT);
        let non_voters_in = |range: std::ops::Range<usize>| -> Vec<usize> {
            let nodes = non_voters.iter().copied();
            nodes.filter(|node| range.contains(node)).collect()
        };
        let roles = [
            ("leader", with_name(&|name| name == self.leader)),
            ("control", with_name(&|name| self.is_voter(name))),
            ("seed", non_voters_in(0..SEED_COUNT)),
            ("node", non_voters_in(SEED_COUNT..topology.real_count)),
            (
                "hollow-node",
                non_voters_in(first_plain_hollow..topology.node_count()),
            ),
        ];
        let costs = roles.map(|(role, nodes)| (role, RoleCost::new(samples, &nodes)));
        costs.into_iter().collect()
    }
}

impl Cluster<'_> {
    /// Waits until a condition is met and returns `None`, or returns the unmet condition after `timeout`.
    fn wait_for(
        &mut self,
        timeout: Duration,
        activity: &str,
        poll_interval: Duration,
        check: impl Fn(&ClusterProgress) -> Result<(), Pending>,
    ) -> Result<Option<Pending>, RunError> {
        let started_at = Instant::now();
        let mut polled_at: Option<Instant> = None;
        loop {
            self.check()?;
            if polled_at.is_none_or(|time| time.elapsed() >= poll_interval) {
                self.poll_real_nodes();
                polled_at = Some(Instant::now());
            }
            let result = check(&self.progress().lock());
            let Err(pending) = result else {
                return Ok(None);
            };
            (self.options().on_progress)(&format!("{activity}: {pending}"));
            if started_at.elapsed() >= timeout {
                return Ok(Some(pending));
            }
            thread::sleep(CHECK_INTERVAL);
        }
    }

    /// Waits until a condition is met; fails if it is not met within `timeout`.
    pub(super) fn wait_until_ready(
        &mut self,
        timeout: Duration,
        activity: &str,
        check: impl Fn(&ClusterProgress) -> Result<(), Pending>,
    ) -> Result<(), RunError> {
        match self.wait_for(timeout, activity, READY_POLL_INTERVAL, check)? {
            None => Ok(()),
            Some(pending) => Err(RunError::NotSettled {
                timeout_s: self.options().settle_timeout_s,
                reason: pending.to_string(),
            }),
        }
    }

    /// Sleeps until a time; fails if a process fails or the run is stopped.
    pub(super) fn sleep_until(&mut self, until: Instant, activity: &str) -> Result<(), RunError> {
        while Instant::now() < until {
            self.check()?;
            (self.options().on_progress)(activity);
            thread::sleep(CHECK_INTERVAL.min(until.saturating_duration_since(Instant::now())));
        }
        Ok(())
    }

    /// Samples the readings of all nodes once a second.
    pub(super) fn measure(&mut self) -> Result<Vec<Sample>, RunError> {
        let started_at = Instant::now();
        let mut samples = vec![Sample {
            at_s: 0.0,
            nodes: self.readings(),
        }];
        let measured_s = self.options().measured_s;
        for second in 1..=measured_s.round() as u32 {
            let until = started_at + Duration::from_secs(u64::from(second));
            let activity = format!("measuring: {second} of {measured_s} s");
            self.sleep_until(until, &activity)?;
            samples.push(Sample {
                at_s: started_at.elapsed().as_secs_f64(),
                nodes: self.readings(),
            });
        }
        Ok(samples)
    }

    /// Returns the leader and the voters as reported by the first real node.
    pub(super) fn leadership(&self) -> Result<Leadership, RunError> {
        let status = ClusterStatus::request(self.admin_address())?;
        Ok(Leadership {
            leader: status.leader().unwrap_or("none").to_string(),
            voters: status.voters(),
        })
    }

    /// Changes the budget's limit and measures the time until nodes know it.
    pub(super) fn change_limit(
        &mut self,
        limit: u32,
        times: &mut PropagationTimes,
    ) -> Result<(), RunError> {
        self.progress().lock().set_goal(Goal::BudgetLimit(limit));
        let since_us = unix_us();
        let command = format!("budgets set cold={limit}");
        admin_call::call(self.admin_address(), &command)?;
        self.measure_propagation("propagating the new limit", since_us, times)
    }

    /// Kills a real node and measures the time until the other nodes detect the failure.
    pub(super) fn kill_and_watch(
        &mut self,
        node: usize,
        times: &mut PropagationTimes,
    ) -> Result<(), RunError> {
        self.watch(node)?;
        self.progress().lock().set_goal(Goal::FailureKnown);
        self.progress().lock().remove_node(node);
        let since_us = unix_us();
        self.kill(node);
        self.measure_propagation("detecting the node failure", since_us, times)
    }

    fn measure_propagation(
        &mut self,
        activity: &str,
        since_us: u64,
        times: &mut PropagationTimes,
    ) -> Result<(), RunError> {
        let check = |progress: &ClusterProgress| match progress.reach_times(since_us).missing.len()
        {
            0 => Ok(()),
            count => Err(Pending::Unreached { count }),
        };
        // A timeout is no error: the outcome contains the number of nodes not reached.
        let _ = self.wait_for(PROPAGATION_TIMEOUT, activity, POLL_INTERVAL, check)?;
        let reached = self.progress().lock().reach_times(since_us);
        times.add(&reached.reached_ms, reached.missing.len());
        Ok(())
    }

    /// Checks the usage of the budget that nodes reported.
    pub(super) fn check_budget(
        &self,
        clock: &RunClock,
        limit: u32,
        saturated: SaturatedSpan,
    ) -> CheckedBudget {
        let mut checker = Checker::new(clock.started_at);
        let budget_uses = self.progress().lock().sorted_budget_uses();
        for budget_use in budget_uses {
            let dialed_at = clock.instant_of(budget_use.at_us);
            for _ in 0..budget_use.count {
                let server = 0;
                let observation = Observation::WarmingUpConnection { server, dialed_at };
                checker.observe(dialed_at, observation);
            }
        }
        let span = TimeSpan {
            from_s: saturated.from_s + SATURATION_LEAD_SECONDS,
            to_s: saturated.to_s,
        };
        let report = checker.slow_start_budget(limit, &[span]);
        let violations = checker.violations().iter();
        let violations =
            violations.map(|violation| format!("{}: {}", violation.rule, violation.description));
        CheckedBudget {
            report,
            violations: violations.collect(),
        }
    }
}
