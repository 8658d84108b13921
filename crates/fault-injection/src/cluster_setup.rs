//! Adds nodes and upstream servers to a run, with a proxy on each of their links.

use crate::error::RunError;
use crate::harness::HarnessContext;
use crate::link::{LinkDirection, Party};
use crate::node_process::{NodeIdentity, NodeProcess};
use crate::{datagram_proxy, node_config, stream_proxy};
use lupincrank_test_servers::discovery::{self, ListScope};
use lupincrank_test_servers::upstream_server::{self, UpstreamServer};
use std::io;
use std::net::SocketAddr;
use std::time::Instant;

/// Adds a node with all of its links, without starting it. If `name` is `None`, the node is named after its number.
pub(crate) fn add_node(
    context: &mut HarnessContext,
    program: Vec<String>,
    name: Option<String>,
) -> Result<usize, RunError> {
    let node = context.nodes.len();
    let identity = NodeIdentity {
        name: name.unwrap_or_else(|| format!("n{node}")),
        zone: context.scenario.zone_of(node),
        program,
        ip: context.options.address_block.address(1 + node as u8),
        folder: context.options.folder.join(format!("n{node}")),
    };
    context.application.nodes.push(NodeProcess::new(identity));
    let discovery_address = open_discovery_link(context, node)?;
    open_server_links(context, node)?;
    if context.scenario.is_clustered {
        open_peer_links(context, node)?;
    }
    let update = context.endpoint_list.update_for(node, ListScope::Snapshot);
    let initial_list = serde_json::from_str(update.json())?;
    let config =
        node_config::node_config(&context.application, node, discovery_address, &initial_list);
    context.node_configs.insert(node, config);
    Ok(node)
}

/// Opens a node's link to discovery.
fn open_discovery_link(context: &mut HarnessContext, node: usize) -> io::Result<SocketAddr> {
    let address = discovery::listen(context, node)?;
    let direction = LinkDirection::new(Party::Node(node), Party::Discovery);
    stream_proxy::open(context, direction, address)
}

/// Opens a node's links to all upstream servers.
fn open_server_links(context: &mut HarnessContext, node: usize) -> io::Result<()> {
    for server in 0..context.servers.len() {
        if let Some(address) = open_server_link(context, node, server)? {
            context.endpoint_list.add_address(server, address);
        }
    }
    Ok(())
}

/// Opens a node's link to one upstream server, if the server exists.
fn open_server_link(
    context: &mut HarnessContext,
    node: usize,
    server: usize,
) -> io::Result<Option<SocketAddr>> {
    let Some(target) = context.servers.get(server).map(UpstreamServer::address) else {
        return Ok(None);
    };
    let direction = LinkDirection::new(Party::Node(node), Party::UpstreamServer(server));
    stream_proxy::open(context, direction, target).map(Some)
}

/// Opens the links between a node and all nodes that were added before it.
fn open_peer_links(context: &mut HarnessContext, node: usize) -> io::Result<()> {
    for peer in 0..node {
        open_peer_link(context, node, peer)?;
        open_peer_link(context, peer, node)?;
    }
    Ok(())
}

/// Opens the link from one node to another, for streams and datagrams.
fn open_peer_link(context: &mut HarnessContext, from: usize, to: usize) -> io::Result<()> {
    let target = context.nodes[to].cluster_address();
    let direction = LinkDirection::new(Party::Node(from), Party::Node(to));
    let address = stream_proxy::open(context, direction, target)?;
    datagram_proxy::open(context, direction, address, target)?;
    let addresses = context.peer_addresses.entry(from).or_default();
    addresses.insert(to, address);
    Ok(())
}

/// Writes a node's files with the addresses of all open links. The operator's file names the first `expected_count`
/// nodes.
pub(crate) fn write_config(
    context: &mut HarnessContext,
    node: usize,
    expected_count: usize,
) -> Result<(), RunError> {
    let harness = &context.application;
    let operator_file = harness
        .scenario
        .is_clustered
        .then(|| node_config::operator_file(harness, node, expected_count));
    let config = harness.node_configs.get(&node).cloned();
    let config = config.unwrap_or_default();
    harness.nodes[node].write_config(&config, operator_file.as_deref())?;
    Ok(())
}

/// Starts one more node, which the other nodes' configurations don't contain, or which has the name of another node.
/// The other nodes reach it only through connections that it opens.
pub(crate) fn join_node(
    context: &mut HarnessContext,
    name: Option<String>,
) -> Result<(), RunError> {
    let program = context.options.program.clone();
    let node = add_node(context, program, name)?;
    let expected_count = context.scenario.node_count();
    write_config(context, node, expected_count)?;
    start_node(context, node)
}

/// Starts a node's process.
pub(crate) fn start_node(context: &mut HarnessContext, node: usize) -> Result<(), RunError> {
    let is_verbose = context.options.is_verbose;
    context.nodes[node].start(is_verbose)?;
    Ok(())
}

/// Starts one more upstream server, which is warm from the start.
pub(crate) fn add_warm_server(context: &mut HarnessContext) -> Result<(), RunError> {
    add_server(context, None)?;
    Ok(())
}

/// Starts one more upstream server, which has to warm up.
pub(crate) fn add_warming_up_server(context: &mut HarnessContext) -> Result<(), RunError> {
    let server = add_server(context, Some(Instant::now()))?;
    context.endpoint_list.record_restart(server);
    Ok(())
}

fn add_server(context: &mut HarnessContext, started_at: Option<Instant>) -> io::Result<usize> {
    let server = upstream_server::start(context, started_at)?;
    let mut addresses = Vec::new();
    for node in 0..context.nodes.len() {
        addresses.extend(open_server_link(context, node, server)?);
    }
    let zone = context.scenario.zone_of(server);
    // Names must not reveal the order of the servers, and hashes of short names would lie close together.
    let name_seed = format!("{} {server}", context.plan.seed);
    let name = format!("s-{:08x}", crc32fast::hash(name_seed.as_bytes()));
    context.endpoint_list.add(name, zone, addresses);
    Ok(server)
}
