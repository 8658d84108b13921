//! Receives signals: SIGTERM and SIGINT begin the graceful shutdown, SIGHUP reloads the configuration.

use crate::command::{DiscoveryCommand, Message};
use crate::component::WellKnownComponent;
use crate::config::Config;
use crate::deadline::DeadlineKind;
use crate::graceful_shutdown;
use crate::state::{NodeContext, NodeState};
use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::{poller_key, Connection, Interest, Lifecycle, Readiness};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;
use slog::{info, warn};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;

/// The component's socket for SIGTERM and SIGINT. A byte from a pipe does not tell which signal it stands for, so each
/// purpose has a pipe of its own.
const TERMINATION_SOCKET: usize = 0;
/// The component's socket for SIGHUP.
const RELOAD_SOCKET: usize = 1;

/// The component that receives signals.
pub(crate) struct SignalReceiver {
    termination: Registered<UnixStream>,
    reload: Registered<UnixStream>,
}

impl SignalReceiver {
    /// Installs the handlers of SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    /// Where the operating system has no descriptor for a pipe, or the handler cannot be installed.
    pub(crate) fn new(context: &NodeContext) -> io::Result<SignalReceiver> {
        Ok(SignalReceiver {
            termination: signal_pipe(context, &[SIGTERM, SIGINT], TERMINATION_SOCKET)?,
            reload: signal_pipe(context, &[SIGHUP], RELOAD_SOCKET)?,
        })
    }
}

/// A pipe that gets a byte for each of these signals.
fn signal_pipe(
    context: &NodeContext,
    signals: &[i32],
    socket: usize,
) -> io::Result<Registered<UnixStream>> {
    let (receiver, sender) = UnixStream::pair()?;
    receiver.set_nonblocking(true)?;
    sender.set_nonblocking(true)?;
    for signal in signals {
        pipe::register(*signal, sender.try_clone()?)?;
    }
    Registered::new(
        &context.poller,
        receiver,
        poller_key(WellKnownComponent::Signals.id(), socket),
        Interest::READ,
    )
}

/// Empties a pipe.
fn drain(pipe: &mut Registered<UnixStream>) {
    while matches!(pipe.read(&mut [0; 64]), Ok(read) if read > 0) {}
}

/// Reads the configuration again and follows discovery to another address. One that does not hold changes nothing: guards
/// against a file that is wrong, or half written, on a node that serves.
fn reload_configuration(context: &mut NodeContext) {
    let fresh = match context.config.reread(|name| std::env::var(name).ok()) {
        Ok(fresh) => fresh,
        Err(error) => {
            return warn!(context.log, "configuration rejected"; "error" => error.to_string());
        }
    };
    let has_discovery_moved = fresh.discovery_address != context.config.discovery_address;
    let outcome = context.config.apply(fresh);
    let NodeState {
        placement, config, ..
    } = &mut context.application;
    placement.apply_settings(config, outcome.previous_class_positions);
    log_reload(context, &outcome.pending_restart);
    if has_discovery_moved {
        context.send(
            WellKnownComponent::Discovery.id(),
            DiscoveryCommand::AddressChanged,
        );
    }
}

fn log_reload(context: &NodeContext, pending_restart: &[&str]) {
    let Config {
        classes,
        settings,
        limits,
        discovery_address,
        ..
    } = &context.config;
    info!(context.log, "configuration reloaded"; "classes" => classes.join(", "), "max_attempts" => settings.max_attempts,
        "discovery" => %discovery_address, "sockets" => limits.sockets, "memory_mb" => limits.memory_mb,
        "pending_restart" => pending_restart.join(", "));
}

impl Connection<NodeState> for SignalReceiver {
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        if socket == RELOAD_SOCKET {
            drain(&mut self.reload);
            reload_configuration(context);
        } else {
            drain(&mut self.termination);
            graceful_shutdown::begin(context);
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut NodeContext, _kind: DeadlineKind) -> Lifecycle {
        graceful_shutdown::step(context);
        Lifecycle::Continue
    }

    fn on_message(&mut self, _context: &mut NodeContext, _message: Message) -> Lifecycle {
        Lifecycle::Continue
    }
}
