//! Sets the node up: which objects its loop begins with.

use crate::config::Config;
use crate::state::{
    Message, NodeState, DISCOVERY, LISTENER, LOOK, LOOK_PURPOSE, MANAGEMENT, RESERVED, SIGNALS,
    UPGRADE,
};
use crate::{admin, client, cluster_agent, discovery, handoff, signals};
use lupincrank_reactor::{Reactor, APPLICATION};
use slog::{info, Logger};
use std::io;
use std::time::Instant;

/// The loop with the listener, discovery and signals, ready to run.
pub fn start(config: Config, log: Logger) -> io::Result<Reactor<NodeState>> {
    // Before anything else is opened, which could get the number of a descriptor that is not there.
    let inherited = config
        .inherited
        .map(|fd| handoff::inherited_listener::listener(fd, config.listen))
        .transpose()?;
    let mut reactor = Reactor::new(NodeState::new(config, log), RESERVED)?;
    let node = &mut reactor.context;
    let signals = signals::Signals::new(node)?;
    node.register(SIGNALS, Box::new(signals));
    let discovery = discovery::Discovery::new(&node.config);
    node.register(DISCOVERY, Box::new(discovery));
    let listener = client::Listener::new(node, inherited)?;
    node.register(LISTENER, Box::new(listener));
    node.register(UPGRADE, Box::new(handoff::Watch));
    handoff::begin(node);
    cluster_agent::begin(node).map_err(io::Error::other)?;
    if let Some(address) = node.config.management {
        let management = admin::Management::new(node, address)?;
        node.register(MANAGEMENT, Box::new(management));
    }
    info!(node.log, "serving"; "listen" => %node.config.listen, "name" => %node.config.name);
    node.core.start();
    node.send(DISCOVERY, Message::Begin);
    node.deadlines
        .set(APPLICATION, LOOK_PURPOSE, Instant::now() + LOOK);
    Ok(reactor)
}
