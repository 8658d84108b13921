//! Sets up the node: its event loop with the initial components.

use crate::application::schedule_unanswered_lines_check;
use crate::client::Listener;
use crate::command::DiscoveryCommand;
use crate::component::{WellKnownComponent, LAST_WELL_KNOWN_ID};
use crate::config::Config;
use crate::discovery::DiscoveryClient;
use crate::signals::SignalReceiver;
use crate::state::{NodeContext, NodeState};
use crate::{admin, cluster_agent, handoff};
use lupincrank_reactor::Reactor;
use slog::{info, Logger};
use std::io;
use std::net::TcpListener;

/// Creates the event loop with all components, ready to run.
///
/// # Errors
/// If an address cannot be bound, the cluster's state directory cannot be used, or the process is out of descriptors.
pub(crate) fn start(config: Config, log: Logger) -> io::Result<Reactor<NodeState>> {
    // Must precede all other opens: if the inherited descriptor does not exist, another open could get its number.
    let inherited = config
        .inherited_descriptor
        .map(|descriptor| handoff::inherited_listener(descriptor, config.listen_address))
        .transpose()?;
    let mut reactor = Reactor::new(NodeState::new(config, log), LAST_WELL_KNOWN_ID)?;
    let context = &mut reactor.context;
    register_components(context, inherited)?;
    info!(context.log, "serving"; "listen" => %context.config.listen_address, "name" => %context.config.name);
    context.placement.start();
    context.send(
        WellKnownComponent::Discovery.id(),
        DiscoveryCommand::ApplyKnownList,
    );
    schedule_unanswered_lines_check(context);
    Ok(reactor)
}

fn register_components(
    context: &mut NodeContext,
    inherited: Option<TcpListener>,
) -> io::Result<()> {
    let signals = SignalReceiver::new(context)?;
    context.register(WellKnownComponent::Signals.id(), Box::new(signals));
    let discovery = DiscoveryClient::new(&context.config);
    context.register(WellKnownComponent::Discovery.id(), Box::new(discovery));
    let listener = Listener::new(context, inherited)?;
    context.register(WellKnownComponent::ClientListener.id(), Box::new(listener));
    context.register(
        WellKnownComponent::Handoff.id(),
        Box::new(handoff::HandoffAgent),
    );
    handoff::initialize(context);
    cluster_agent::start(context).map_err(io::Error::other)?;
    if let Some(address) = context.config.admin_address {
        let admin = admin::AdminListener::new(context, address)?;
        context.register(WellKnownComponent::AdminListener.id(), Box::new(admin));
    }
    Ok(())
}
