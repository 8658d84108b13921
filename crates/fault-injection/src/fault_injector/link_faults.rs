//! Link faults: cuts, loss, duplicates, reordering, delays, throughput limits and resets.

use super::schedule_after;
use super::selector::select;
use crate::fault_step::FaultStep;
use crate::harness::HarnessContext;
use crate::link::{LinkCondition, LinkDirection, Party};
use crate::scenario::{Fault, FaultKind};
use lupincrank_reactor::ComponentId;
use lupincrank_test_servers::Command;
use std::time::{Duration, Instant};

/// Bytes per kilobyte, the unit of a throttle's magnitude.
const BYTES_PER_KILOBYTE: f64 = 1000.0;

/// Starts a link fault.
pub(super) fn begin(context: &mut HarnessContext, fault: &Fault, targets: &[Party]) {
    let directions = directions(context, fault, targets);
    if fault.kind == FaultKind::Reset {
        notify_proxies(context, &directions, Command::Reset);
        return;
    }
    update_links(context, &directions, |condition| impair(condition, fault));
    if fault.has_end() {
        let kind = fault.kind;
        let repair = FaultStep::RepairLinks { directions, kind };
        schedule_after(context, fault.duration(), repair);
    }
}

/// Ends a link fault.
pub(super) fn repair(context: &mut HarnessContext, directions: &[LinkDirection], kind: FaultKind) {
    context.record_fault(format!("{kind} ends"));
    update_links(context, directions, |condition| {
        remove_impairment(condition, kind);
    });
}

fn impair(condition: &mut LinkCondition, fault: &Fault) {
    let magnitude = fault.magnitude;
    match fault.kind {
        FaultKind::Cut => condition.is_cut = true,
        FaultKind::Loss => condition.loss_ratio = magnitude,
        FaultKind::Duplicate => condition.duplicate_ratio = magnitude,
        FaultKind::Reorder => condition.reorder_ratio = magnitude,
        FaultKind::Delay => condition.delay = fault.magnitude_as_duration(),
        FaultKind::Jitter => condition.max_jitter = fault.magnitude_as_duration(),
        FaultKind::Throttle => condition.bytes_per_second = magnitude * BYTES_PER_KILOBYTE,
        _ => {}
    }
}

fn remove_impairment(condition: &mut LinkCondition, kind: FaultKind) {
    match kind {
        FaultKind::Cut => condition.is_cut = false,
        FaultKind::Loss => condition.loss_ratio = 0.0,
        FaultKind::Duplicate => condition.duplicate_ratio = 0.0,
        FaultKind::Reorder => condition.reorder_ratio = 0.0,
        FaultKind::Delay => condition.delay = Duration::ZERO,
        FaultKind::Jitter => condition.max_jitter = Duration::ZERO,
        FaultKind::Throttle => condition.bytes_per_second = 0.0,
        _ => {}
    }
}

/// Returns the link directions that a fault affects. Links between two targets are affected only if the fault has a
/// peer selector other than `all`.
fn directions(
    context: &mut HarnessContext,
    fault: &Fault,
    targets: &[Party],
) -> Vec<LinkDirection> {
    let peers = select(context, &fault.peer);
    let has_all_peers = fault.peer.is_empty() || fault.peer == "all";
    let mut directions = Vec::new();
    for target in targets {
        for peer in &peers {
            if target == peer || (has_all_peers && targets.contains(peer)) {
                continue;
            }
            let direction = LinkDirection::new(*target, *peer);
            directions.push(direction);
            if !fault.is_one_way {
                directions.push(direction.reversed());
            }
        }
    }
    directions.sort();
    directions.dedup();
    directions
}

fn update_links(
    context: &mut HarnessContext,
    directions: &[LinkDirection],
    change: impl Fn(&mut LinkCondition),
) {
    for direction in directions {
        context.network.links.update(*direction, &change);
    }
    notify_proxies(context, directions, Command::Reevaluate);
}

/// Sends a command to the streams on these links, and to their listeners unless it is a reset.
fn notify_proxies(context: &mut HarnessContext, directions: &[LinkDirection], command: Command) {
    let is_affected = |direction: LinkDirection| {
        directions.contains(&direction) || directions.contains(&direction.reversed())
    };
    let network = &context.network;
    let streams = network.streams.iter();
    let affected_streams = streams.filter(|(_, direction)| is_affected(**direction));
    let mut components: Vec<ComponentId> = affected_streams.map(|(id, _)| *id).collect();
    if command == Command::Reevaluate {
        let listeners = network.listeners.iter();
        let affected_listeners = listeners.filter(|(direction, _)| is_affected(**direction));
        components.extend(affected_listeners.map(|(_, id)| *id));
    }
    for component in components {
        context.send(component, command);
    }
    record_link_faults(context, directions);
}

/// Reports faults of links between nodes and upstream servers to the checker.
fn record_link_faults(context: &mut HarnessContext, directions: &[LinkDirection]) {
    let now = Instant::now();
    for direction in directions {
        if let (Party::Node(node), Party::UpstreamServer(server))
        | (Party::UpstreamServer(server), Party::Node(node)) = (direction.from, direction.to)
        {
            context.checker.on_link_fault(node, server, now);
        }
    }
}
