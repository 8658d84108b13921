//! Faults of upstream servers and of discovery.

use super::schedule_after;
use crate::cluster_setup;
use crate::fault_step::{FaultStep, Listing};
use crate::harness::HarnessContext;
use crate::link::Party;
use crate::scenario::{Fault, FaultKind};
use lupincrank_reactor::ComponentId;
use lupincrank_test_servers::discovery::{DiscoveryMode, EndpointHealth};
use lupincrank_test_servers::upstream_server::{self, ServerMode, UpstreamServer};
use lupincrank_test_servers::Command;
use std::time::{Duration, Instant};

/// Connections that are still open this long before a draining server stops are closed one by one.
const DRAIN_CLOSE_DURATION: Duration = Duration::from_millis(600);
/// Minimum interval between closing two of these connections.
const MIN_CLOSE_INTERVAL: Duration = Duration::from_millis(2);

/// Starts new servers, which have to warm up.
pub(super) fn add_servers(context: &mut HarnessContext, fault: &Fault) {
    for _ in 0..fault.count {
        if let Err(error) = cluster_setup::add_warming_up_server(context) {
            context.fail(error);
            return;
        }
    }
}

/// Starts to drain servers, which stop at the end of the fault.
pub(super) fn drain_servers(context: &mut HarnessContext, fault: &Fault, servers: &[usize]) {
    let now = Instant::now();
    for &server in servers {
        set_mode(context, server, ServerMode::Draining);
        context
            .endpoint_list
            .set_health(server, EndpointHealth::Draining);
        let stops_at = now + fault.duration();
        let closes_from = stops_at.checked_sub(DRAIN_CLOSE_DURATION);
        let first_close = closes_from.unwrap_or(now).max(now);
        context.schedule_step(first_close, FaultStep::DrainServer { server, stops_at });
    }
}

/// Closes one connection of a draining server and schedules the next, or stops the server.
pub(super) fn drain(context: &mut HarnessContext, server: usize, stops_at: Instant) {
    let now = Instant::now();
    if now >= stops_at {
        set_mode(context, server, ServerMode::Stopped);
        context
            .endpoint_list
            .set_health(server, EndpointHealth::Deleted);
        return;
    }
    let connection_count = context
        .servers
        .get(server)
        .map_or(0, UpstreamServer::connection_count) as u32;
    upstream_server::close_one_session(context, server);
    let interval = (stops_at - now) / (connection_count + 1);
    let next_close = now + interval.max(MIN_CLOSE_INTERVAL);
    context.schedule_step(next_close, FaultStep::DrainServer { server, stops_at });
}

/// Stops servers, and restarts them at the end of the fault if it has one.
pub(super) fn stop_servers(context: &mut HarnessContext, fault: &Fault, servers: &[usize]) {
    for &server in servers {
        set_mode(context, server, ServerMode::Stopped);
        if fault.has_end() {
            schedule_return(context, fault, server, Listing::Restarted);
        }
    }
}

/// Makes servers unresponsive for the fault's duration.
pub(super) fn hang_servers(context: &mut HarnessContext, fault: &Fault, servers: &[usize]) {
    for &server in servers {
        set_mode(context, server, ServerMode::Unresponsive);
        schedule_return(context, fault, server, Listing::Unchanged);
    }
}

fn schedule_return(context: &mut HarnessContext, fault: &Fault, server: usize, listing: Listing) {
    let step = FaultStep::SetServerMode {
        server,
        mode: ServerMode::Serving,
        listing,
    };
    schedule_after(context, fault.duration(), step);
}

/// Returns a server to service at the end of its fault.
pub(super) fn return_to_service(
    context: &mut HarnessContext,
    server: usize,
    mode: ServerMode,
    listing: Listing,
) {
    context.record_fault(format!("t{server} is back"));
    set_mode(context, server, mode);
    if listing == Listing::Restarted {
        context.endpoint_list.record_restart(server);
    }
}

/// Changes a server's mode, notifies its proxies, and reports its links to the checker as faulty.
fn set_mode(context: &mut HarnessContext, server: usize, mode: ServerMode) {
    upstream_server::set_mode(context, server, mode);
    let listeners = context.network.listeners.iter();
    let towards_server =
        listeners.filter(|(direction, _)| direction.to == Party::UpstreamServer(server));
    let components: Vec<ComponentId> = towards_server.map(|(_, id)| *id).collect();
    for component in components {
        context.send(component, Command::Reevaluate);
    }
    let now = Instant::now();
    for node in 0..context.nodes.len() {
        context.checker.on_link_fault(node, server, now);
    }
}

/// Makes discovery stale, unavailable or slow for nodes.
pub(super) fn impair_discovery(context: &mut HarnessContext, fault: &Fault, nodes: &[usize]) {
    let mode = match fault.kind {
        FaultKind::StaleDiscovery => DiscoveryMode::Stale,
        FaultKind::DiscoveryOutage => DiscoveryMode::Unavailable,
        _ => DiscoveryMode::Delivering(fault.magnitude_as_duration()),
    };
    for &node in nodes {
        context.endpoint_list.set_mode(node, mode);
        if fault.has_end() {
            schedule_after(
                context,
                fault.duration(),
                FaultStep::RestoreDiscovery { node },
            );
        }
    }
}

/// Restores normal operation of discovery for a node.
pub(super) fn restore_discovery(context: &mut HarnessContext, node: usize) {
    context.record_fault(format!("discovery is well for n{node}"));
    let mode = DiscoveryMode::Delivering(Duration::ZERO);
    context.endpoint_list.set_mode(node, mode);
}
