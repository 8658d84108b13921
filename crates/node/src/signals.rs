//! Receives signals: SIGTERM and SIGINT begin the graceful shutdown, SIGHUP reloads the configuration.

use crate::command::{DiscoveryCommand, Message, SignalCommand};
use crate::component::WellKnownComponent;
use crate::config::Config;
use crate::deadline::DeadlineKind;
use crate::graceful_shutdown;
use crate::state::{NodeContext, NodeState};
use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::{poller_key, Connection, Interest, Lifecycle, Readiness};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use signal_hook::low_level::pipe;
use slog::{info, warn};
use std::io;
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// The component's socket for SIGTERM and SIGINT. A byte from a pipe does not identify the signal, so each purpose has
/// its own pipe.
const TERMINATION_SOCKET: usize = 0;
/// The component's socket for SIGHUP.
const RELOAD_SOCKET: usize = 1;

/// The signals of one purpose: the flag is set when one is received, and the pipe wakes the event loop.
struct SignalSource {
    is_pending: Arc<AtomicBool>,
    pipe: Registered<UnixStream>,
}

impl SignalSource {
    /// Installs the handlers of `signals`.
    fn new(context: &NodeContext, signals: &[i32], socket: usize) -> io::Result<SignalSource> {
        let (receiver, sender) = UnixStream::pair()?;
        receiver.set_nonblocking(true)?;
        sender.set_nonblocking(true)?;
        let is_pending = Arc::new(AtomicBool::new(false));
        for signal in signals {
            // The flag is set before the pipe wakes the event loop.
            flag::register(*signal, Arc::clone(&is_pending))?;
            pipe::register(*signal, sender.try_clone()?)?;
        }
        let key = poller_key(WellKnownComponent::Signals.id(), socket);
        let pipe = Registered::new(&context.poller, receiver, key, Interest::READ)?;
        Ok(SignalSource { is_pending, pipe })
    }

    /// Returns true if a signal has been received since the last call.
    fn take_pending(&self) -> bool {
        self.is_pending.swap(false, Ordering::AcqRel)
    }

    /// Empties the pipe.
    fn drain(&self) {
        while matches!(self.pipe.read(&mut [0; 64]), Ok(length) if length > 0) {}
    }
}

/// The component that receives signals.
pub(crate) struct SignalReceiver {
    termination: SignalSource,
    reload: SignalSource,
}

impl SignalReceiver {
    /// Installs the handlers of SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    /// If no descriptor is available for a pipe, or a handler cannot be installed.
    pub(crate) fn new(context: &NodeContext) -> io::Result<SignalReceiver> {
        Ok(SignalReceiver {
            termination: SignalSource::new(context, &[SIGTERM, SIGINT], TERMINATION_SOCKET)?,
            reload: SignalSource::new(context, &[SIGHUP], RELOAD_SOCKET)?,
        })
    }

    /// Handles pending signals. SIGHUP is handled first, so that a configuration replaced before SIGTERM applies to the
    /// shutdown.
    fn handle_signals(&self, context: &mut NodeContext) {
        if self.reload.take_pending() {
            reload_configuration(context);
        }
        if self.termination.take_pending() {
            graceful_shutdown::begin(context);
        }
    }
}

/// Reloads the configuration, and connects to the new discovery address if it has changed. An invalid file, such as one
/// that is only partly written, changes nothing, so that the node keeps serving.
fn reload_configuration(context: &mut NodeContext) {
    let new_config = match context.config.reread(|name| std::env::var(name).ok()) {
        Ok(new_config) => new_config,
        Err(error) => {
            return warn!(context.log, "configuration rejected"; "error" => error.to_string());
        }
    };
    let has_discovery_address_changed =
        new_config.discovery_address != context.config.discovery_address;
    let outcome = context.config.apply(new_config);
    let NodeState {
        placement, config, ..
    } = &mut context.application;
    placement.apply_settings(config, outcome.previous_class_indices);
    log_reload(context, &outcome.pending_restart);
    if has_discovery_address_changed {
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
            self.reload.drain();
        } else {
            self.termination.drain();
        }
        self.handle_signals(context);
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut NodeContext, _kind: DeadlineKind) -> Lifecycle {
        graceful_shutdown::step(context);
        Lifecycle::Continue
    }

    /// A signal handler does not retry a failed write to the pipe, so the event loop may not be woken; the periodic
    /// check handles such signals.
    fn on_message(&mut self, context: &mut NodeContext, message: Message) -> Lifecycle {
        if let Message::Signals(SignalCommand::Check) = message {
            self.handle_signals(context);
        }
        Lifecycle::Continue
    }
}
