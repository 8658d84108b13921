//! Faults of node processes: kills, freezes, restarts, and additional or foreign processes.

use super::schedule_after;
use crate::error::RunError;
use crate::fault_step::FaultStep;
use crate::harness::HarnessContext;
use crate::node_process::ProcessState;
use crate::scenario::Fault;
use crate::{cluster_setup, node_call};
use std::time::{Duration, Instant};

/// Minimum interval between the restarts of a loop.
const MIN_RESTART_INTERVAL: Duration = Duration::from_millis(20);

/// Kills nodes, and restarts them at the end of the fault if it has one.
pub(super) fn kill_nodes(context: &mut HarnessContext, fault: &Fault, nodes: &[usize]) {
    for &node in nodes {
        kill(context, node);
        schedule_restart(context, fault, node);
    }
}

/// Freezes nodes for the fault's duration.
pub(super) fn freeze_nodes(context: &mut HarnessContext, fault: &Fault, nodes: &[usize]) {
    let now = Instant::now();
    for &node in nodes {
        context.checker.on_node_absent(node, now);
        context.nodes[node].freeze();
        schedule_after(context, fault.duration(), FaultStep::ResumeNode { node });
    }
}

/// Resumes a frozen node.
pub(super) fn resume(context: &mut HarnessContext, node: usize) {
    if context.nodes[node].state() != ProcessState::Frozen {
        return;
    }
    let now = Instant::now();
    context.record_fault(format!("n{node} wakes"));
    context.nodes[node].resume();
    context.checker.on_node_present(node, now);
}

/// Asks nodes to terminate, and restarts them at the end of the fault if it has one.
pub(super) fn terminate_nodes(context: &mut HarnessContext, fault: &Fault, nodes: &[usize]) {
    for &node in nodes {
        context.nodes[node].terminate();
        schedule_restart(context, fault, node);
    }
}

fn schedule_restart(context: &mut HarnessContext, fault: &Fault, node: usize) {
    if fault.has_end() {
        schedule_after(context, fault.duration(), FaultStep::RestartNode { node });
    }
}

/// Restarts a node after its fault.
pub(super) fn restart(context: &mut HarnessContext, node: usize) {
    context.record_fault(format!("n{node} starts from nothing"));
    start(context, node);
}

/// Starts a restart loop for each node.
pub(super) fn begin_restart_loops(context: &mut HarnessContext, fault: &Fault, nodes: &[usize]) {
    let interval = fault.duration().max(MIN_RESTART_INTERVAL);
    for &node in nodes {
        run_restart_loop(context, node, fault.count, interval);
    }
}

/// Restarts a node, and schedules the next restart if any remain.
pub(super) fn run_restart_loop(
    context: &mut HarnessContext,
    node: usize,
    remaining_count: usize,
    interval: Duration,
) {
    let now = Instant::now();
    start(context, node);
    if remaining_count <= 1 {
        context.record_fault(format!("n{node} stays"));
        return;
    }
    let next = FaultStep::RestartLoop {
        node,
        remaining_count: remaining_count - 1,
        interval,
    };
    context.schedule_step(now + interval, next);
}

/// Starts a node that the other nodes' configurations don't contain.
pub(super) fn join(context: &mut HarnessContext) {
    if let Err(error) = cluster_setup::join_node(context, None) {
        context.fail(error);
    }
}

/// Starts another process under the name of each node.
pub(super) fn duplicate_names(context: &mut HarnessContext, nodes: &[usize]) {
    for &node in nodes {
        let name = context.nodes[node].name().to_string();
        if let Err(error) = cluster_setup::join_node(context, Some(name)) {
            context.fail(error);
            return;
        }
    }
}

/// Replaces nodes by processes of another cluster at the same addresses.
pub(super) fn replace_nodes(context: &mut HarnessContext, fault: &Fault, nodes: &[usize]) {
    for &node in nodes {
        replace(context, node, true);
        if fault.has_end() {
            schedule_after(context, fault.duration(), FaultStep::RestoreNode { node });
        }
    }
}

/// Restarts a node as a member of its own cluster, in place of the process of another cluster.
pub(super) fn restore(context: &mut HarnessContext, node: usize) {
    context.record_fault(format!("n{node} takes its address back"));
    replace(context, node, false);
}

/// Sets the limit of the slow-start budget at the first of these nodes that is running.
pub(super) fn set_budget(context: &mut HarnessContext, fault: &Fault, nodes: &[usize]) {
    let limit = fault.magnitude as u32;
    context
        .checker
        .on_budget_limit_changed(Instant::now(), limit);
    let mut running = nodes
        .iter()
        .filter(|node| context.nodes[**node].is_running());
    // The node forwards the command to the leader.
    if let Some(&node) = running.next() {
        node_call::set_budget(context, node, limit);
    }
}

fn kill(context: &mut HarnessContext, node: usize) {
    context.checker.on_node_absent(node, Instant::now());
    context.nodes[node].kill();
}

fn start(context: &mut HarnessContext, node: usize) {
    // A process that is still terminating is killed first.
    kill(context, node);
    let is_verbose = context.options.is_verbose;
    let process = &mut context.application.nodes[node];
    if let Err(source) = process.start(is_verbose) {
        let node = process.name().to_string();
        context.fail(RunError::StartNode { node, source });
    }
    context.checker.on_node_present(node, Instant::now());
}

/// Restarts a node as a member of another cluster, or of its own cluster.
fn replace(context: &mut HarnessContext, node: usize, is_foreign: bool) {
    context.nodes[node].set_foreign(is_foreign);
    let expected_count = context.scenario.node_count();
    kill(context, node);
    match cluster_setup::write_config(context, node, expected_count) {
        Ok(()) => start(context, node),
        Err(error) => context.fail(error),
    }
}
