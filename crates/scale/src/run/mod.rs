//! A run: starts all processes and waits until the cluster is ready, measures the cost of the control plane second by
//! second, changes the budget's limit, saturates the budget, and kills a node.

mod admin_call;
mod cluster;
mod host_process;
mod measurement;

use crate::error::RunError;
use crate::options::RunOptions;
use crate::outcome::{Outcome, PropagationTimes};
use crate::progress::ClusterProgress;
use crate::topology::Topology;
use cluster::Cluster;
use lupincrank_fault_injection::node_process::BlockReservation;
use measurement::{Leadership, RunClock};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Limit of the slow-start budget per node, in uses per second.
const BUDGET_LIMIT_PER_NODE: u32 = 4;
/// Total demand of all hollow nodes, as a ratio of the budget's limit per second: before the saturation, and
/// during it.
const IDLE_DEMAND_RATIO: f64 = 0.25;
const SATURATED_DEMAND_RATIO: f64 = 3.0;
/// Duration of the budget's saturation.
const SATURATION_DURATION: Duration = Duration::from_secs(8);
/// Number of changes of the budget's limit.
const CHANGE_COUNT: u32 = 3;
/// Minimum time allowed for the reduction of the number of voters.
const MIN_VOTER_TIMEOUT: Duration = Duration::from_secs(1);

/// State of all nodes, shared with the threads that read reports.
#[derive(Clone, Default)]
struct SharedProgress(Arc<Mutex<ClusterProgress>>);

impl SharedProgress {
    fn lock(&self) -> MutexGuard<'_, ClusterProgress> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Executes a run.
///
/// # Errors
///
/// If an option is invalid or the run fails. Violations are not errors but part of the outcome.
pub fn run(options: &RunOptions) -> Result<Outcome, RunError> {
    options.validate()?;
    let reservation = BlockReservation::reserve()?;
    let topology = Topology {
        real_count: options.real_count,
        hollow_count: options.node_count - options.real_count,
        expected_count: options.expected_count(),
        address_block: reservation.block(),
        budget_limit: BUDGET_LIMIT_PER_NODE * options.node_count as u32,
    };
    let mut cluster = Cluster::start(options, &topology)?;
    let clock = RunClock::start();
    let settle_s = wait_until_settled(&mut cluster, &clock)?;
    cluster.set_demand(IDLE_DEMAND_RATIO)?;
    let votes_s = wait_until_voters_reduced(&mut cluster, &clock)?;
    let samples = cluster.measure()?;
    let leadership = cluster.leadership()?;
    let roles = leadership.role_costs(&topology, &samples);
    let change_times = change_limits(&mut cluster)?;
    let saturated_span = saturate_budget(&mut cluster, &clock)?;
    let failure_times = kill_a_node(&mut cluster, &leadership)?;
    // Leases granted under the changed limits may still be in use.
    let max_limit = topology.budget_limit + CHANGE_COUNT;
    let budget = cluster.check_budget(&clock, max_limit, saturated_span);
    Ok(Outcome {
        node_count: topology.node_count(),
        real_count: topology.real_count,
        expected_count: topology.expected_count,
        seed: options.seed,
        loss_ratio: options.loss_ratio,
        measured_s: options.measured_s,
        version: env!("CARGO_PKG_VERSION"),
        settle_s,
        votes_s,
        voters: leadership.voters,
        leader: leadership.leader,
        roles,
        change_times,
        failure_times,
        budgets: vec![budget.report],
        violations: budget.violations,
        lost_count: cluster.counters().lost(),
        unknown_count: cluster.counters().unknown(),
    })
}

fn settle_timeout(cluster: &Cluster) -> Duration {
    Duration::from_secs_f64(cluster.options().settle_timeout_s)
}

/// Waits until all nodes are ready, and returns the seconds since the start.
fn wait_until_settled(cluster: &mut Cluster, clock: &RunClock) -> Result<f64, RunError> {
    let timeout = settle_timeout(cluster);
    let topology = cluster.topology().clone();
    cluster.wait_until_ready(timeout, "waiting for nodes", |progress| {
        measurement::check_settled(progress, &topology)
    })?;
    Ok(clock.elapsed().as_secs_f64())
}

/// Waits until the number of voters is at most the maximum, and returns the seconds since the start. All expected
/// nodes bootstrap the control group as voters, and become learners one by one.
fn wait_until_voters_reduced(cluster: &mut Cluster, clock: &RunClock) -> Result<f64, RunError> {
    let remaining = settle_timeout(cluster).saturating_sub(clock.elapsed());
    let timeout = remaining.max(MIN_VOTER_TIMEOUT);
    cluster.wait_until_ready(
        timeout,
        "reducing the number of voters",
        measurement::check_voters,
    )?;
    Ok(clock.elapsed().as_secs_f64())
}

/// Changes the budget's limit several times, finally back to its original value.
fn change_limits(cluster: &mut Cluster) -> Result<PropagationTimes, RunError> {
    let mut times = PropagationTimes::default();
    for change in 1..=CHANGE_COUNT {
        let increase = if change == CHANGE_COUNT { 0 } else { change };
        let limit = cluster.topology().budget_limit + increase;
        cluster.change_limit(limit, &mut times)?;
    }
    Ok(times)
}

/// Raises the demand of the hollow nodes above the budget's limit for a while, and returns the span.
fn saturate_budget(
    cluster: &mut Cluster,
    clock: &RunClock,
) -> Result<measurement::SaturatedSpan, RunError> {
    let from_s = clock.seconds_now();
    cluster.set_demand(SATURATED_DEMAND_RATIO)?;
    cluster.sleep_until(
        Instant::now() + SATURATION_DURATION,
        "saturating the budget",
    )?;
    cluster.set_demand(0.0)?;
    Ok(measurement::SaturatedSpan {
        from_s,
        to_s: clock.seconds_now(),
    })
}

/// Kills the last real node that is neither a voter nor the leader, if there is one.
fn kill_a_node(
    cluster: &mut Cluster,
    leadership: &Leadership,
) -> Result<PropagationTimes, RunError> {
    let mut times = PropagationTimes::default();
    let topology = cluster.topology();
    let mut candidates = (1..topology.real_count).rev();
    let victim = candidates.find(|node| leadership.is_plain_learner(&topology.name(*node)));
    if let Some(victim) = victim {
        cluster.kill_and_watch(victim, &mut times)?;
    }
    Ok(times)
}
