//! One run: all processes start and the cluster becomes ready; then the cost of the control plane is measured second by
//! second, the budget's limit is changed, the budget is saturated, and a node is killed.

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

/// The limit of the budget for each node, in uses a second.
const BUDGET_LIMIT_PER_NODE: u32 = 4;
/// Demand of all nodes together, as a ratio of the budget's limit in a second.
const IDLE_DEMAND_RATIO: f64 = 0.25;
const SATURATED_DEMAND_RATIO: f64 = 3.0;
/// How long the budget is saturated.
const SATURATION_DURATION: Duration = Duration::from_secs(8);
/// Number of changes of the budget's limit.
const CHANGE_COUNT: u32 = 3;
/// The least time that the number of voters has to go down.
const MIN_VOTER_TIMEOUT: Duration = Duration::from_secs(1);

/// What is known of all nodes, shared with the threads that read their reports.
#[derive(Clone, Default)]
struct SharedProgress(Arc<Mutex<ClusterProgress>>);

impl SharedProgress {
    fn lock(&self) -> MutexGuard<'_, ClusterProgress> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Carries out a run.
///
/// # Errors
///
/// If the options are out of bounds, or the run could not be carried out; violations are part of the outcome.
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
    let death_times = kill_a_node(&mut cluster, &leadership)?;
    // Leases of the changed limits may still be in use.
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
        death_times,
        budgets: vec![budget.report],
        violations: budget.violations,
        lost_count: cluster.counters().lost(),
        unknown_count: cluster.counters().unknown(),
    })
}

fn settle_timeout(cluster: &Cluster) -> Duration {
    Duration::from_secs_f64(cluster.options().settle_timeout_s)
}

/// Waits until all nodes follow one leader, and returns the seconds that it took.
fn wait_until_settled(cluster: &mut Cluster, clock: &RunClock) -> Result<f64, RunError> {
    let timeout = settle_timeout(cluster);
    let topology = cluster.topology().clone();
    cluster.wait_until_ready(timeout, "nodes get ready", |progress| {
        measurement::check_settled(progress, &topology)
    })?;
    Ok(clock.elapsed().as_secs_f64())
}

/// Waits until few nodes vote, and returns the seconds since the start: all expected nodes bootstrap the control group with
/// a vote each, and give it up one by one.
fn wait_until_voters_reduced(cluster: &mut Cluster, clock: &RunClock) -> Result<f64, RunError> {
    let remaining = settle_timeout(cluster).saturating_sub(clock.elapsed());
    let timeout = remaining.max(MIN_VOTER_TIMEOUT);
    cluster.wait_until_ready(timeout, "votes go down", measurement::check_voters)?;
    Ok(clock.elapsed().as_secs_f64())
}

/// Changes the budget's limit several times, at last to what it was.
fn change_limits(cluster: &mut Cluster) -> Result<PropagationTimes, RunError> {
    let mut times = PropagationTimes::default();
    for change in 1..=CHANGE_COUNT {
        let increase = if change == CHANGE_COUNT { 0 } else { change };
        let limit = cluster.topology().budget_limit + increase;
        cluster.change_limit(limit, &mut times)?;
    }
    Ok(times)
}

/// Lets all nodes want more than the budget's limit for a while, and returns that span.
fn saturate_budget(
    cluster: &mut Cluster,
    clock: &RunClock,
) -> Result<measurement::SaturatedSpan, RunError> {
    let from_s = clock.seconds_now();
    cluster.set_demand(SATURATED_DEMAND_RATIO)?;
    cluster.keep_going_until(
        Instant::now() + SATURATION_DURATION,
        "the budget is pressed",
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
    let victim = candidates.find(|node| leadership.has_no_duty(&topology.name(*node)));
    if let Some(victim) = victim {
        cluster.kill_and_watch(victim, &mut times)?;
    }
    Ok(times)
}
