//! The run as an application of the reactor: its deadlines, and the transitions between its phases.

use crate::checker::Rule;
use crate::deadline::DeadlineKind;
use crate::error::RunError;
use crate::harness::{ConvergenceGoal, Harness, HarnessContext, NotConverged, Phase};
use crate::node_process::{NodeProcess, ProcessState};
use crate::{client_sessions, fault_injector, node_call};
use lupincrank_reactor::{Application, ComponentId, APPLICATION};
use lupincrank_test_servers::Command;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Interval at which nodes are polled for their state.
const NODE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout for nodes to become ready, and for the cluster to grant its first leases.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout for the cluster to reach the expected final state.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(25);
/// Requests in flight when the last client session starts have their timeout plus this much time to end.
const REQUEST_GRACE: Duration = Duration::from_secs(1);
/// Minimum fraction of the budget that must be leased before clients start.
const MIN_INITIAL_LEASED_RATIO: f64 = 0.9;
/// The exit status of a process that terminated as requested.
const SUCCESS_STATUS: &str = "exit status: 0";

/// Starts to poll the nodes.
pub(crate) fn start(context: &mut HarnessContext) {
    context
        .deadlines
        .set(APPLICATION, DeadlineKind::PollNodes, Instant::now());
}

/// Polls the nodes for their state, and enters the next phase if its conditions are met.
fn poll_nodes(context: &mut HarnessContext) {
    let now = Instant::now();
    if context.options.stop.load(Ordering::Relaxed) {
        context.fail(RunError::Stopped);
    }
    for node in 0..context.nodes.len() {
        check_exit(context, node, now);
        call_node(context, node);
    }
    match context.phase {
        Phase::Starting => start_clients_if_ready(context, now),
        Phase::Settling => finish_if_settled(context, now),
        Phase::Running | Phase::Finished => {}
    }
    (context.application.options.on_progress)(&context.application.progress());
    let next_poll = now + NODE_POLL_INTERVAL;
    context
        .deadlines
        .set(APPLICATION, DeadlineKind::PollNodes, next_poll);
}

/// Records the exit of a node's process. It is a violation unless the process was asked to terminate and succeeded.
fn check_exit(context: &mut HarnessContext, node: usize, now: Instant) {
    let process = &mut context.application.nodes[node];
    let was_terminating = process.state() == ProcessState::Terminating;
    let name = process.name().to_string();
    let Some(status) = process.poll_exit() else {
        return;
    };
    context.checker.on_node_absent(node, now);
    context.record_event(format!("{name} has ended: {status}"));
    if !was_terminating || !status.contains(SUCCESS_STATUS) {
        let description = format!("{name} ended by itself: {status}");
        context
            .checker
            .record_violation(Rule::Crash, now, description);
    }
}

fn call_node(context: &mut HarnessContext, node: usize) {
    let state = context.nodes[node].state();
    if state == ProcessState::Stopped {
        return;
    }
    node_call::ping(context, node);
    if context.scenario.is_clustered && state != ProcessState::Frozen {
        node_call::request_status(context, node);
    }
}

/// Checks that the cluster has converged as far as the scenario requires before clients start.
fn check_initial_convergence(harness: &Harness) -> Result<(), NotConverged> {
    if !harness.scenario.is_clustered || !harness.scenario.waits_for_leases {
        return Ok(());
    }
    let min_leased_ratio = if harness.scenario.slow_start_budget.is_some() {
        MIN_INITIAL_LEASED_RATIO
    } else {
        0.0
    };
    harness.check_convergence(ConvergenceGoal {
        needs_agreement: true,
        min_leased_ratio,
    })
}

fn start_clients_if_ready(context: &mut HarnessContext, now: Instant) {
    let are_nodes_ready = context.nodes.iter().all(NodeProcess::is_accepting_clients);
    let convergence = check_initial_convergence(&context.application);
    if are_nodes_ready && convergence.is_ok() {
        context.clients_start = now;
        context.checker.start_clock(now);
        context.phase = Phase::Running;
        context.record_event("the first client comes".into());
        client_sessions::run_due_sessions(context);
        fault_injector::schedule_faults(context);
    } else if now.duration_since(context.created_at) > READY_TIMEOUT {
        let reason = match convergence {
            Err(reason) => reason.to_string(),
            Ok(()) => "not all nodes answer PONG".to_string(),
        };
        context.fail(RunError::NotReady {
            timeout: READY_TIMEOUT,
            reason,
        });
    }
}

fn finish_if_settled(context: &mut HarnessContext, now: Instant) {
    let settling_since = *context.settling_since.get_or_insert(now);
    let settling_for = now.duration_since(settling_since);
    let is_awaiting_answers =
        settling_for < context.client_behaviour.answer_timeout + REQUEST_GRACE;
    if is_awaiting_answers || !context.pending_steps.is_empty() {
        return;
    }
    let expectations = &context.scenario.expectations;
    let convergence = context.check_convergence(ConvergenceGoal {
        needs_agreement: expectations.needs_agreement,
        min_leased_ratio: expectations.min_leased_ratio,
    });
    match convergence {
        Ok(()) => context.phase = Phase::Finished,
        Err(reason) if settling_for > SETTLE_TIMEOUT => {
            let description = format!("after {SETTLE_TIMEOUT:?}: {reason}");
            context
                .checker
                .record_violation(Rule::Expectation, now, description);
            context.phase = Phase::Finished;
        }
        Err(_) => {}
    }
}

impl Application for Harness {
    type DeadlineKind = DeadlineKind;
    type Message = Command;

    fn after_callback(
        context: &mut HarnessContext,
        _components: &mut dyn Iterator<Item = ComponentId>,
    ) {
        if context.sessions.take_deadline_stale() {
            client_sessions::set_deadline(context);
        }
    }

    fn on_deadline(context: &mut HarnessContext, kind: DeadlineKind) {
        match kind {
            DeadlineKind::RunSessions => client_sessions::run_due_sessions(context),
            DeadlineKind::RunFaults => fault_injector::run_due_steps(context),
            _ => poll_nodes(context),
        }
    }

    fn is_finished(&self) -> bool {
        self.phase == Phase::Finished
    }

    fn on_undelivered(&mut self, _id: ComponentId, _command: Command) {}
}
