//! The cluster settings of this node, read from the operator's file and the environment.

use lupincrank_cluster::membership::SeedNode;
use lupincrank_operator_config::{FleetConfig, OperatorConfig};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// The environment variables that take precedence over the operator's file.
const LISTEN_VARIABLE: &str = "RELAY_FLEET";
const ZONE_VARIABLE: &str = "RELAY_ZONE";

/// Why the operator's file or the environment is invalid for this node.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ClusterConfigError {
    /// The value of the variable is not a socket address.
    #[error("{LISTEN_VARIABLE}: {value:?} is not an address:port")]
    InvalidListenAddress {
        /// The value of the variable.
        value: String,
    },
    /// No address to listen on is configured.
    #[error("neither {LISTEN_VARIABLE} nor fleet.listen is set")]
    MissingListenAddress,
    /// The storage file is named after the node, whose name is not valid in a file name.
    #[error(
        "fleet.folder: node name {node_name:?} is invalid in a file name; allowed are letters, digits, . _ -"
    )]
    NodeNameUnfitForFile {
        /// The node's name.
        node_name: String,
    },
}

/// The settings with which this node participates in its cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// The cluster's name.
    pub cluster_name: String,
    /// The names of all expected nodes.
    pub expected_nodes: BTreeSet<String>,
    /// The address at which this node receives datagrams and accepts connections.
    pub listen_address: SocketAddr,
    /// The availability zone of this node.
    pub zone: String,
    /// The region of this node.
    pub region: String,
    /// The file that stores the control group's log and vote, if a directory is configured.
    pub storage_file: Option<PathBuf>,
    /// The nodes that are contacted to join the cluster.
    pub seed_nodes: Vec<SeedNode>,
    /// Addresses to use in place of those that other nodes advertise.
    pub address_overrides: BTreeMap<SocketAddr, SocketAddr>,
    /// The slow-start budget, if the cluster distributes one.
    pub slow_start_budget: Option<SlowStartBudget>,
}

/// The slow-start budget, in new connections to warming-up servers in any accounting window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStartBudget {
    /// The capacity that leases distribute.
    pub leased_capacity: u32,
    /// The capacity that this node may use without a lease; 0 for a node that is not expected.
    pub floor: u32,
    /// The capacity reserved for the floors of all expected nodes.
    pub reserved_capacity: u32,
}

impl ClusterConfig {
    /// Reads the settings of a node. Returns `None` if no cluster is configured. `variable` looks up environment
    /// variables.
    ///
    /// # Errors
    /// If the file or the environment is invalid for this node.
    pub fn from_operator(
        operator: &OperatorConfig,
        node_name: &str,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Option<ClusterConfig>, ClusterConfigError> {
        let Some(fleet) = &operator.fleet else {
            return Ok(None);
        };
        let expected_nodes: BTreeSet<String> = fleet.nodes.iter().cloned().collect();
        let slow_start_budget = slow_start_budget(operator, &expected_nodes, node_name);
        Ok(Some(ClusterConfig {
            cluster_name: fleet.name.clone(),
            listen_address: listen_address(fleet, variable(LISTEN_VARIABLE))?,
            zone: variable(ZONE_VARIABLE).unwrap_or_else(|| fleet.zone.clone()),
            region: fleet.region.clone(),
            storage_file: storage_file(fleet, node_name)?,
            seed_nodes: seed_nodes(fleet),
            address_overrides: fleet.address_overrides.clone(),
            slow_start_budget,
            expected_nodes,
        }))
    }

    /// The address at which to contact a node that advertises `advertised`.
    pub fn reachable_address(&self, advertised: SocketAddr) -> SocketAddr {
        self.address_overrides
            .get(&advertised)
            .copied()
            .unwrap_or(advertised)
    }
}

fn listen_address(
    fleet: &FleetConfig,
    variable: Option<String>,
) -> Result<SocketAddr, ClusterConfigError> {
    let Some(value) = variable else {
        return fleet.listen.ok_or(ClusterConfigError::MissingListenAddress);
    };
    value
        .parse()
        .map_err(|_| ClusterConfigError::InvalidListenAddress { value })
}

fn storage_file(
    fleet: &FleetConfig,
    node_name: &str,
) -> Result<Option<PathBuf>, ClusterConfigError> {
    let Some(directory) = &fleet.state_directory else {
        return Ok(None);
    };
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    if !node_name.bytes().all(is_plain) {
        return Err(ClusterConfigError::NodeNameUnfitForFile {
            node_name: node_name.to_string(),
        });
    }
    let file_name = format!("council-{node_name}.redb");
    Ok(Some(directory.join(file_name)))
}

fn seed_nodes(fleet: &FleetConfig) -> Vec<SeedNode> {
    let seeds = fleet.seeds.iter();
    seeds
        .map(|(name, address)| SeedNode {
            name: name.clone(),
            address: *address,
        })
        .collect()
}

fn slow_start_budget(
    operator: &OperatorConfig,
    expected_nodes: &BTreeSet<String>,
    node_name: &str,
) -> Option<SlowStartBudget> {
    let budget = operator.budgets.slow_start.as_ref()?;
    let floor = budget.floor;
    let node_count = u32::try_from(expected_nodes.len()).unwrap_or(u32::MAX);
    let reserved_capacity = floor * node_count;
    // No floor is reserved for a node that is not expected.
    let is_expected = expected_nodes.contains(node_name);
    Some(SlowStartBudget {
        leased_capacity: budget.capacity.saturating_sub(reserved_capacity),
        floor: if is_expected { floor } else { 0 },
        reserved_capacity,
    })
}

#[cfg(test)]
mod tests;
