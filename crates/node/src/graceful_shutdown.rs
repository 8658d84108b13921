//! The graceful shutdown after SIGTERM: the node continues to answer, migrates its clients at a steady rate and exits
//! before it is killed.

use crate::command::{ExitScope, ListenerCommand};
use crate::component::WellKnownComponent;
use crate::deadline::DeadlineKind;
use crate::state::{NodeContext, Shutdown};
use crate::{cluster_agent, handoff};
use slog::info;
use std::time::{Duration, Instant};

/// SIGKILL follows SIGTERM no earlier than after the longest request deadline, counted as at most `MAX_DEADLINE`, plus
/// this delay.
const KILL_DELAY: Duration = Duration::from_millis(700);
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// The process exits this long before the earliest SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// Migration starts this long before the process exits; until then the node serves as usual, including new clients.
/// If migration started at once, clients might find no node to reconnect to: in a rolling restart, the node that was
/// restarted before may not be running again when this one receives SIGTERM.
const MIGRATION_START_BEFORE_EXIT: Duration = Duration::from_millis(1400);
/// Migration ends this long before the process exits.
const MIGRATION_END_BEFORE_EXIT: Duration = Duration::from_millis(400);
/// From this long before the process exits, connections without a complete first line are answered too.
const LAST_ANSWERS_BEFORE_EXIT: Duration = Duration::from_millis(150);
/// The interval between two steps of the migration.
const STEP_INTERVAL: Duration = Duration::from_millis(50);

/// Begins the shutdown, unless it has begun.
pub(crate) fn begin(context: &mut NodeContext) {
    if context.shutdown.is_some() {
        return;
    }
    let started_at = Instant::now();
    let deadline = started_at + duration(context.config.max_deadline);
    info!(context.log, "shutdown started"; "clients" => context.client_count.get());
    context.shutdown = Some(Shutdown {
        started_at,
        deadline,
        is_last_step_done: false,
    });
    cluster_agent::begin_leaving(context);
    if context.handoff.has_successor() {
        handoff::start_handover(context);
    }
    let migration_start = deadline.checked_sub(MIGRATION_START_BEFORE_EXIT);
    schedule_step(context, migration_start.unwrap_or(started_at));
}

/// The duration of the shutdown if clients wait for up to `max_deadline`.
fn duration(max_deadline: Duration) -> Duration {
    let until_kill = max_deadline.min(MAX_DEADLINE) + KILL_DELAY;
    until_kill.saturating_sub(KILL_MARGIN)
}

/// Performs the next step of the migration.
pub(crate) fn step(context: &mut NodeContext) {
    let Some(shutdown) = context.shutdown else {
        return;
    };
    let now = Instant::now();
    context.placement.reject_new_requests();
    let remaining_steps = remaining_steps(shutdown, now);
    context.placement.shutdown_step(remaining_steps);
    // Clients that still wait are answered together with the last migrations: none may be left without an answer.
    context.exit_answers_requested = if now + LAST_ANSWERS_BEFORE_EXIT >= shutdown.deadline {
        Some(ExitScope::AllConnections)
    } else if remaining_steps <= 1 {
        Some(ExitScope::RestoredConnections)
    } else {
        None
    };
    if now >= shutdown.deadline {
        last_step(context, shutdown);
    } else {
        schedule_step(context, shutdown.deadline.min(now + STEP_INTERVAL));
    }
}

/// The last step: accepts and answers all connections in the kernel's accept queue, even if the process was stalled.
fn last_step(context: &mut NodeContext, shutdown: Shutdown) {
    context.shutdown = Some(Shutdown {
        is_last_step_done: true,
        ..shutdown
    });
    context.send(
        WellKnownComponent::ClientListener.id(),
        ListenerCommand::AcceptAll,
    );
}

/// The number of remaining steps, including the current one.
fn remaining_steps(shutdown: Shutdown, now: Instant) -> usize {
    let remaining = shutdown
        .deadline
        .saturating_duration_since(now + MIGRATION_END_BEFORE_EXIT);
    (remaining.as_millis() / STEP_INTERVAL.as_millis()) as usize + 1
}

fn schedule_step(context: &mut NodeContext, due_at: Instant) {
    context.deadlines.set(
        WellKnownComponent::Signals.id(),
        DeadlineKind::ShutdownStep,
        due_at,
    );
}
