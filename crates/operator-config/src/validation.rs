//! Validation of the values in an operator's file beyond their types.

use crate::error::ConfigFault;
use crate::file::{FleetTable, OperatorFile, SlowStartTable};
use crate::limits::{MAX_NAME_LENGTH, MAX_NODES, MAX_SLOW_START_CAPACITY};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use toml::Spanned;

/// A fault with the byte offset of the invalid value.
pub(crate) struct LocatedFault {
    pub(crate) offset: usize,
    pub(crate) fault: ConfigFault,
}

fn fault_at<T>(value: &Spanned<T>, fault: ConfigFault) -> Result<(), LocatedFault> {
    Err(LocatedFault {
        offset: value.span().start,
        fault,
    })
}

/// Finds the first fault of a file.
pub(crate) fn validate(file: &OperatorFile) -> Result<(), LocatedFault> {
    match (&file.fleet, &file.budgets.slow_start) {
        (None, None) => Ok(()),
        (None, Some(budget)) => fault_at(&budget.capacity, ConfigFault::BudgetWithoutFleet),
        (Some(fleet), None) => validate_fleet(fleet),
        (Some(fleet), Some(budget)) => {
            validate_fleet(fleet)?;
            validate_slow_start(budget, fleet.nodes.get_ref().len())
        }
    }
}

fn validate_fleet(fleet: &FleetTable) -> Result<(), LocatedFault> {
    if !is_valid_name(fleet.name.get_ref()) {
        return fault_at(&fleet.name, ConfigFault::FleetNameLength);
    }
    validate_nodes(&fleet.nodes)?;
    if let Some(folder) = &fleet.folder {
        if folder.get_ref().is_empty() {
            return fault_at(folder, ConfigFault::EmptyStateDirectory);
        }
    }
    validate_seeds(&fleet.seeds, fleet.nodes.get_ref())
}

fn validate_nodes(nodes: &Spanned<Vec<String>>) -> Result<(), LocatedFault> {
    let names = nodes.get_ref();
    if names.is_empty() || names.len() > MAX_NODES {
        return fault_at(nodes, ConfigFault::NodeCount);
    }
    let distinct: BTreeSet<&String> = names.iter().collect();
    let has_duplicate = distinct.len() < names.len();
    if has_duplicate || !names.iter().all(|name| is_valid_name(name)) {
        return fault_at(nodes, ConfigFault::NodeName);
    }
    Ok(())
}

fn validate_seeds(
    seeds: &Spanned<BTreeMap<String, SocketAddr>>,
    nodes: &[String],
) -> Result<(), LocatedFault> {
    if seeds.get_ref().is_empty() {
        return fault_at(seeds, ConfigFault::NoSeeds);
    }
    match seeds.get_ref().keys().find(|seed| !nodes.contains(seed)) {
        Some(unknown) => {
            let seed = unknown.clone();
            fault_at(seeds, ConfigFault::UnknownSeed { seed })
        }
        None => Ok(()),
    }
}

fn validate_slow_start(budget: &SlowStartTable, node_count: usize) -> Result<(), LocatedFault> {
    let capacity = *budget.capacity.get_ref();
    if !(1..=MAX_SLOW_START_CAPACITY).contains(&capacity) {
        return fault_at(
            &budget.capacity,
            ConfigFault::SlowStartCapacity { capacity },
        );
    }
    let floor = *budget.floor.get_ref();
    if u64::from(floor) * node_count as u64 > u64::from(capacity) {
        return fault_at(
            &budget.floor,
            ConfigFault::SlowStartFloor { floor, node_count },
        );
    }
    Ok(())
}

fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_LENGTH).contains(&name.len())
}
