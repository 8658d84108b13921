//! The application hooks of the event loop: executes placement commands, handles the application's deadlines, and
//! decides when the program exits.

use crate::command::{ClientCommand, DiscoveryCommand, Message, RelayCommand, SignalCommand};
use crate::component::{is_allocated_id, WellKnownComponent, FIRST_ADMIN_CONNECTION_ID};
use crate::deadline::DeadlineKind;
use crate::placement_driver::{hex_id, Command};
use crate::state::{NodeContext, NodeState};
use crate::upstream::health_check;
use lupincrank_reactor::{Application, ComponentId, APPLICATION};
use slog::{info, warn};
use std::time::{Duration, Instant};

/// The process exits this long after the shutdown deadline even if clients are unanswered: a stalled process may
/// perform the last step late, but must exit before it is killed.
const MAX_EXIT_DELAY: Duration = Duration::from_millis(200);
/// The interval at which connections are checked for unanswered lines.
pub(crate) const UNANSWERED_LINES_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Schedules the next check for unanswered lines.
pub(crate) fn schedule_unanswered_lines_check(context: &mut NodeContext) {
    context.deadlines.set(
        APPLICATION,
        DeadlineKind::UnansweredLinesCheck,
        Instant::now() + UNANSWERED_LINES_CHECK_INTERVAL,
    );
}

/// Executes one placement command.
fn execute(context: &mut NodeContext, command: Command) {
    match command {
        Command::StartAttempt { owner, attempt } => {
            context.send(owner, ClientCommand::StartAttempt(attempt));
        }
        Command::Reject { owner, retry_after } => {
            context.send(owner, ClientCommand::Reject(retry_after));
        }
        Command::Fail { owner } => context.send(owner, ClientCommand::Fail),
        Command::Migrate { owner } => context.send(owner, RelayCommand::Migrate),
        Command::CheckHealth { server, address } => {
            health_check::check(context, &server, address);
        }
        Command::WatchEndpoints => {
            context.send(WellKnownComponent::Discovery.id(), DiscoveryCommand::Watch);
        }
        Command::SetTimer { after, timer } => {
            context
                .deadlines
                .set(APPLICATION, timer.into(), Instant::now() + after);
        }
    }
}

/// Notifies all client connections that the process exits, or queues them for transfer to the successor, if a callback
/// requested it.
fn notify_connections(
    context: &mut NodeContext,
    components: &mut dyn Iterator<Item = ComponentId>,
) {
    let mut ids: Vec<ComponentId> = components.filter(|id| is_allocated_id(*id)).collect();
    ids.sort_unstable();
    if let Some(scope) = context.exit_answers_requested.take() {
        for id in &ids {
            context.send(*id, ClientCommand::AnswerBeforeExit(scope));
        }
    }
    if std::mem::take(&mut context.is_transfer_requested) {
        context.handoff.enqueue(ids);
    }
}

impl Application for NodeState {
    type DeadlineKind = DeadlineKind;
    type Message = Message;

    fn after_callback(
        context: &mut NodeContext,
        components: &mut dyn Iterator<Item = ComponentId>,
    ) {
        while let Some(command) = context.placement.next_command() {
            execute(context, command);
        }
        context.publish_client_counts();
        if context.is_transfer_requested || context.exit_answers_requested.is_some() {
            notify_connections(context, components);
        }
    }

    fn on_deadline(context: &mut NodeContext, kind: DeadlineKind) {
        match kind {
            DeadlineKind::UnansweredLinesCheck => {
                schedule_unanswered_lines_check(context);
                context.send(WellKnownComponent::Signals.id(), SignalCommand::Check);
                context.placement.check_unanswered_lines();
            }
            DeadlineKind::PlacementTimer(timer) => context.placement.on_timer(timer),
            _ => {}
        }
    }

    fn is_finished(&self) -> bool {
        let Some(shutdown) = self.shutdown else {
            return false;
        };
        let now = Instant::now();
        let is_done = self.has_listened_long_enough(shutdown, now)
            && !self.has_connections()
            && self.has_left_cluster();
        let has_answered_all =
            (is_done || shutdown.is_last_step_done) && !self.is_accept_retry_pending;
        let is_finished = has_answered_all || now >= shutdown.deadline + MAX_EXIT_DELAY;
        if is_finished {
            info!(self.log, "shutdown complete"; "clients" => self.client_count.get());
        }
        is_finished
    }

    fn on_undelivered(&mut self, _id: ComponentId, message: Message) {
        // If the client connection has closed, dropping the message closes the server's socket that it holds.
        if let Message::Client(ClientCommand::AttemptAccepted(attempt)) = message {
            warn!(self.log, "attempt accepted without a client"; "request" => hex_id(attempt.request));
        }
    }

    fn has_priority(&self, id: ComponentId) -> bool {
        id == WellKnownComponent::AdminListener.id() || id >= FIRST_ADMIN_CONNECTION_ID
    }
}
