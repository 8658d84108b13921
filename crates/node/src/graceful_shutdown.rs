//! The graceful shutdown after SIGTERM: the node goes on answering, migrates its clients at a steady pace and exits before
//! it is killed.

use crate::command::{ExitScope, ListenerCommand};
use crate::component::WellKnownComponent;
use crate::deadline::DeadlineKind;
use crate::state::{NodeContext, Shutdown};
use crate::{cluster_agent, handoff};
use slog::info;
use std::time::{Duration, Instant};

/// SIGKILL may come this long after the longest deadline, which counts as `MAX_DEADLINE` at the most.
const KILL_DELAY: Duration = Duration::from_millis(700);
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// The process exits this long before SIGKILL may come.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// The first clients are migrated this long before the process exits; till then the node serves as ever, new clients too.
/// Guards against clients that have nowhere to go: in a rolling restart the node that was restarted before may not be back
/// when this one is told to end.
const MIGRATION_START_BEFORE_EXIT: Duration = Duration::from_millis(1400);
/// The last clients are migrated this long before the process exits.
const MIGRATION_END_BEFORE_EXIT: Duration = Duration::from_millis(400);
/// Connections that rest without a first line are answered from this long before the exit on.
const LAST_ANSWERS_BEFORE_EXIT: Duration = Duration::from_millis(150);
/// The time from one step of the migration to the next.
const STEP_INTERVAL: Duration = Duration::from_millis(50);

/// Begins the shutdown, unless it is under way.
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
        has_ended: false,
    });
    cluster_agent::begin_leaving(context);
    if context.handoff.has_successor() {
        handoff::start_handover(context);
    }
    let migration_start = deadline.checked_sub(MIGRATION_START_BEFORE_EXIT);
    schedule_step(context, migration_start.unwrap_or(started_at));
}

/// How long the shutdown may take where clients wait for up to `max_deadline`.
fn duration(max_deadline: Duration) -> Duration {
    let until_kill = max_deadline.min(MAX_DEADLINE) + KILL_DELAY;
    until_kill.saturating_sub(KILL_MARGIN)
}

/// Makes the next step of the migration.
pub(crate) fn step(context: &mut NodeContext) {
    let Some(shutdown) = context.shutdown else {
        return;
    };
    let now = Instant::now();
    context.placement.reject_new_requests();
    let remaining_steps = remaining_steps(shutdown, now);
    context.placement.shutdown_step(remaining_steps);
    // What still waits is answered together with the last migrations: nothing may be left without an answer.
    context.exit_answers_requested = if now + LAST_ANSWERS_BEFORE_EXIT >= shutdown.deadline {
        Some(ExitScope::AllConnections)
    } else if remaining_steps <= 1 {
        Some(ExitScope::RestoredConnections)
    } else {
        None
    };
    if now >= shutdown.deadline {
        end(context, shutdown);
    } else {
        schedule_step(context, shutdown.deadline.min(now + STEP_INTERVAL));
    }
}

/// The last step: what waits in the kernel's accept queue is accepted and answered, also where the process was held up.
fn end(context: &mut NodeContext, shutdown: Shutdown) {
    context.shutdown = Some(Shutdown {
        has_ended: true,
        ..shutdown
    });
    context.send(
        WellKnownComponent::ClientListener.id(),
        ListenerCommand::AcceptAll,
    );
}

/// The steps that are left, the present one included.
fn remaining_steps(shutdown: Shutdown, now: Instant) -> usize {
    let remaining = shutdown
        .deadline
        .saturating_duration_since(now + MIGRATION_END_BEFORE_EXIT);
    (remaining.as_millis() / STEP_INTERVAL.as_millis()) as usize + 1
}

fn schedule_step(context: &mut NodeContext, at: Instant) {
    context.deadlines.set(
        WellKnownComponent::Signals.id(),
        DeadlineKind::ShutdownStep,
        at,
    );
}
