//! SIGTERM: the node goes on answering, sends its clients away at a steady pace and ends before it is killed.
//! SIGHUP: it reads its configuration again.

use crate::command::{DiscoveryCommand, Message};
use crate::component::WellKnownComponent;
use crate::deadline::DeadlineKind;
use crate::state::{NodeContext, NodeState, Shutdown};
use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::{poller_key, Interest, Readiness};
use lupincrank_reactor::{Connection, Lifecycle};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;
use slog::{info, warn};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

/// SIGKILL may come this long after the longest deadline, which counts as `LONGEST` at the most.
const AFTER_DEADLINE: Duration = Duration::from_millis(700);
const LONGEST: Duration = Duration::from_secs(3);
/// All must be done this long before that. The first clients are sent away and the last ones at these spans before
/// all must be done; till then the node serves as ever, new clients too. Guards against clients that have nowhere to
/// go: in a rolling restart the node that went before may not be back when this one is told to end.
const SPARE: Duration = Duration::from_millis(300);
const FIRST_MOVE: Duration = Duration::from_millis(1400);
const LAST_MOVE: Duration = Duration::from_millis(400);
const STEP: Duration = Duration::from_millis(50);
/// The pipe of SIGHUP.
const RELOAD: usize = 1;

/// Waits for signals.
pub struct Signals {
    /// For the end and for a new configuration: a byte from a pipe does not tell which signal it stands for.
    pipes: [Registered<UnixStream>; 2],
    began: Option<Instant>,
}

fn pipe_of(
    context: &NodeContext,
    signals: &[i32],
    side: usize,
) -> io::Result<Registered<UnixStream>> {
    let (read, write) = UnixStream::pair()?;
    read.set_nonblocking(true)?;
    write.set_nonblocking(true)?;
    for signal in signals {
        pipe::register(*signal, write.try_clone()?)?;
    }
    Registered::new(
        &context.poller,
        read,
        poller_key(WellKnownComponent::Signals.id(), side),
        Interest::READ,
    )
}

impl Signals {
    /// Takes SIGTERM, SIGINT and SIGHUP over.
    pub fn new(context: &NodeContext) -> io::Result<Signals> {
        let pipes = [
            pipe_of(context, &[SIGTERM, SIGINT], 0)?,
            pipe_of(context, &[SIGHUP], RELOAD)?,
        ];
        Ok(Signals { pipes, began: None })
    }
}

/// Reads the configuration again and follows discovery. One that does not hold changes nothing: guards against
/// a file that is wrong, or half written, on a node that serves.
fn reload(context: &mut NodeContext) {
    let fresh = match context.config.reread(|name| std::env::var(name).ok()) {
        Ok(fresh) => fresh,
        Err(why) => return warn!(context.log, "the old configuration stays"; "why" => why),
    };
    let moved = fresh.discovery != context.config.discovery;
    let (later, from) = context.config.replace(fresh);
    let later = later.join(", ");
    let NodeState {
        placement, config, ..
    } = &mut context.application;
    placement.apply_settings(config, from);
    let classes = context.config.classes.join(", ");
    info!(context.log, "configuration read again"; "classes" => classes, "attempts" => context.config.settings.max_attempts,
        "discovery" => %context.config.discovery, "sockets" =>
        context.config.sockets, "memory_mb" => context.config.memory_mb, "waits for the next start" => later);
    if moved {
        context.send(
            WellKnownComponent::Discovery.id(),
            DiscoveryCommand::AddressChanged,
        );
    }
}

fn total(longest_deadline: Duration) -> Duration {
    (longest_deadline.min(LONGEST) + AFTER_DEADLINE)
        .checked_sub(SPARE)
        .unwrap()
}

impl Connection<NodeState> for Signals {
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        while matches!(self.pipes[socket].read(&mut [0; 64]), Ok(read) if read > 0) {}
        if socket == RELOAD {
            reload(context);
        } else if self.began.is_none() {
            let now = Instant::now();
            self.began = Some(now);
            let until = now + total(context.config.longest_deadline);
            info!(context.log, "leaving"; "clients" => context.client_count.get());
            context.shutdown = Some(Shutdown {
                started_at: now,
                deadline: until,
            });
            crate::cluster_agent::leave(context);
            if context.handoff.has_successor() {
                crate::handoff::start_handover(context);
            }
            context.deadlines.set(
                WellKnownComponent::Signals.id(),
                DeadlineKind::ShutdownStep,
                until.checked_sub(FIRST_MOVE).unwrap_or(now),
            );
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut NodeContext, _kind: DeadlineKind) -> Lifecycle {
        let Some(Shutdown { deadline, .. }) = context.shutdown else {
            return Lifecycle::Continue;
        };
        let now = Instant::now();
        context.placement.begin_shutdown();
        let left = deadline.saturating_duration_since(now + LAST_MOVE);
        let steps = (left.as_millis() / STEP.as_millis()) as usize + 1;
        // What still waits is ended together with the last moves: nothing may be left without an answer.
        context.placement.migrate_step(steps);
        context.answers_requested = steps <= 1;
        context.deadlines.set(
            WellKnownComponent::Signals.id(),
            DeadlineKind::ShutdownStep,
            now + STEP,
        );
        Lifecycle::Continue
    }

    fn on_message(&mut self, _node: &mut NodeContext, _message: Message) -> Lifecycle {
        Lifecycle::Continue
    }
}
