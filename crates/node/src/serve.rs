//! Sets the node up: which objects its loop begins with.

use crate::application::schedule_unanswered_lines_check;
use crate::command::DiscoveryCommand;
use crate::component::{WellKnownComponent, LAST_WELL_KNOWN_ID};
use crate::config::Config;
use crate::state::NodeState;
use crate::{admin, client, cluster_agent, discovery, handoff, signals};
use lupincrank_reactor::Reactor;
use slog::{info, Logger};
use std::io;

/// The loop with the listener, discovery and signals, ready to run.
pub fn start(config: Config, log: Logger) -> io::Result<Reactor<NodeState>> {
    // Before anything else is opened, which could get the number of a descriptor that is not there.
    let inherited = config
        .inherited
        .map(|fd| handoff::inherited_listener(fd, config.listen))
        .transpose()?;
    let mut reactor = Reactor::new(NodeState::new(config, log), LAST_WELL_KNOWN_ID)?;
    let context = &mut reactor.context;
    let signals = signals::Signals::new(context)?;
    context.register(WellKnownComponent::Signals.id(), Box::new(signals));
    let discovery = discovery::DiscoveryClient::new(&context.config);
    context.register(WellKnownComponent::Discovery.id(), Box::new(discovery));
    let listener = client::Listener::new(context, inherited)?;
    context.register(WellKnownComponent::ClientListener.id(), Box::new(listener));
    context.register(
        WellKnownComponent::Handoff.id(),
        Box::new(handoff::HandoffAgent),
    );
    handoff::begin(context);
    cluster_agent::begin(context).map_err(io::Error::other)?;
    if let Some(address) = context.config.management {
        let admin_listener = admin::AdminListener::new(context, address)?;
        context.register(
            WellKnownComponent::AdminListener.id(),
            Box::new(admin_listener),
        );
    }
    info!(context.log, "serving"; "listen" => %context.config.listen, "name" => %context.config.name);
    context.placement.start();
    context.send(
        WellKnownComponent::Discovery.id(),
        DiscoveryCommand::ApplyKnownList,
    );
    schedule_unanswered_lines_check(context);
    Ok(reactor)
}
