//! The start of a fault: its entry in the timeline, and its dispatch by kind.

use super::selector::{nodes_of, select, servers_of};
use super::{link_faults, process_faults, server_faults};
use crate::harness::HarnessContext;
use crate::link::Party;
use crate::scenario::{Fault, FaultKind};
use std::fmt::Write;

/// Maximum number of parties that a timeline entry names.
const MAX_NAMED_PARTIES: usize = 8;

/// Starts a fault.
pub(super) fn begin_fault(context: &mut HarnessContext, fault: &Fault) {
    let targets = select(context, &fault.target);
    let text = describe(fault, &targets);
    context.record_fault(text);
    let nodes = nodes_of(&targets);
    let servers = servers_of(&targets);
    match fault.kind {
        FaultKind::Kill => process_faults::kill_nodes(context, fault, &nodes),
        FaultKind::Freeze => process_faults::freeze_nodes(context, fault, &nodes),
        FaultKind::Terminate => process_faults::terminate_nodes(context, fault, &nodes),
        FaultKind::RestartLoop => process_faults::begin_restart_loops(context, fault, &nodes),
        FaultKind::Join => process_faults::join(context),
        FaultKind::DuplicateName => process_faults::duplicate_names(context, &nodes),
        FaultKind::ForeignCluster => process_faults::replace_nodes(context, fault, &nodes),
        FaultKind::SetBudget => process_faults::set_budget(context, fault, &nodes),
        FaultKind::AddServers => server_faults::add_servers(context, fault),
        FaultKind::DrainServers => server_faults::drain_servers(context, fault, &servers),
        FaultKind::StopServers => server_faults::stop_servers(context, fault, &servers),
        FaultKind::UnresponsiveServers => server_faults::hang_servers(context, fault, &servers),
        FaultKind::StaleDiscovery | FaultKind::DiscoveryOutage | FaultKind::SlowDiscovery => {
            server_faults::impair_discovery(context, fault, &nodes);
        }
        FaultKind::Cut
        | FaultKind::Loss
        | FaultKind::Duplicate
        | FaultKind::Reorder
        | FaultKind::Delay
        | FaultKind::Jitter
        | FaultKind::Throttle
        | FaultKind::Reset => link_faults::begin(context, fault, &targets),
    }
}

/// Returns the text of the timeline entry.
fn describe(fault: &Fault, targets: &[Party]) -> String {
    let mut text = format!("fault {}", fault.kind);
    if !fault.target.is_empty() {
        let parties = targets.iter().take(MAX_NAMED_PARTIES);
        let names: Vec<String> = parties.map(ToString::to_string).collect();
        let _ = write!(text, " {} ({})", fault.target, names.join(" "));
    }
    if !fault.peer.is_empty() {
        let _ = write!(text, " to {}", fault.peer);
    }
    if fault.is_one_way {
        text.push_str(", one way");
    }
    let details = [
        ("for", fault.duration_s),
        ("much", fault.magnitude),
        ("times", fault.count as f64),
    ];
    for (name, value) in details {
        if value > 0.0 {
            let _ = write!(text, ", {name} {value}");
        }
    }
    text.to_lowercase()
}
