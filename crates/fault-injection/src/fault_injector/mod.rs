//! Injects the faults of the timeline. Each fault consists of one or more steps, and each step has its own due time.

mod begin;
mod link_faults;
mod process_faults;
mod selector;
mod server_faults;

use crate::deadline::DeadlineKind;
use crate::fault_step::{FaultStep, ScheduledStep};
use crate::harness::HarnessContext;
use lupincrank_reactor::APPLICATION;
use std::time::{Duration, Instant};

/// Schedules all faults of the plan.
pub(crate) fn schedule_faults(context: &mut HarnessContext) {
    for fault in context.plan.faults.clone() {
        let due_at = context.clients_start + Duration::from_secs_f64(fault.at_s);
        context.schedule_step(due_at, FaultStep::Begin(fault));
    }
    set_deadline(context);
}

fn set_deadline(context: &mut HarnessContext) {
    let pending = context.pending_steps.iter();
    if let Some(due_at) = pending.map(|scheduled| scheduled.due_at).min() {
        context
            .deadlines
            .set(APPLICATION, DeadlineKind::RunFaults, due_at);
    }
}

/// Runs the steps that are due.
pub(crate) fn run_due_steps(context: &mut HarnessContext) {
    let now = Instant::now();
    let steps = std::mem::take(&mut context.pending_steps);
    let is_due = |scheduled: &ScheduledStep| scheduled.due_at <= now;
    let (mut due, pending): (Vec<_>, Vec<_>) = steps.into_iter().partition(is_due);
    context.pending_steps = pending;
    due.sort_by_key(|scheduled| scheduled.due_at);
    for scheduled in due {
        run_step(context, scheduled.step);
    }
    set_deadline(context);
}

fn run_step(context: &mut HarnessContext, step: FaultStep) {
    match step {
        FaultStep::Begin(fault) => begin::begin_fault(context, &fault),
        FaultStep::RepairLinks { directions, kind } => {
            link_faults::repair(context, &directions, kind);
        }
        FaultStep::ResumeNode { node } => process_faults::resume(context, node),
        FaultStep::RestartNode { node } => process_faults::restart(context, node),
        FaultStep::RestoreNode { node } => process_faults::restore(context, node),
        FaultStep::RestartLoop {
            node,
            remaining_count,
            interval,
        } => process_faults::run_restart_loop(context, node, remaining_count, interval),
        FaultStep::SetServerMode {
            server,
            mode,
            listing,
        } => server_faults::return_to_service(context, server, mode, listing),
        FaultStep::DrainServer { server, stops_at } => {
            server_faults::drain(context, server, stops_at);
        }
        FaultStep::RestoreDiscovery { node } => server_faults::restore_discovery(context, node),
    }
}

/// Schedules the step that follows a fault after its duration.
fn schedule_after(context: &mut HarnessContext, duration: Duration, step: FaultStep) {
    context.schedule_step(Instant::now() + duration, step);
}
