//! What the node takes from the operator's file for its part in the fleet.

use lupincrank_cluster::membership::SeedNode;
use lupincrank_operator_config::OperatorConfig;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The fleet as this node is told of it.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The fleet's name.
    pub name: String,
    /// The names of all expected nodes.
    pub nodes: BTreeSet<String>,
    /// Where this node takes datagrams and links.
    pub listen: SocketAddr,
    /// Where it runs.
    pub zone: String,
    /// See `zone`.
    pub region: String,
    /// The file that holds log and vote, where a folder is configured.
    pub file: Option<PathBuf>,
    /// Who is asked first.
    pub seeds: Vec<SeedNode>,
    /// Where others are reached, if not where they say.
    pub via: BTreeMap<SocketAddr, SocketAddr>,
    /// The cold budget, in new connections in any second: what is handed out, and what each node has without a lease.
    pub capacity: u32,
    /// See `capacity`; none for a node that is not expected.
    pub floor: u32,
    /// What is set aside for all expected nodes.
    pub aside: u32,
    /// Whether the cold budget is divided at all.
    pub divides: bool,
}

impl Setup {
    /// What the file says for this node; `variable` looks up the environment.
    pub fn read(
        operator_config: &OperatorConfig,
        node: &str,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Option<Setup>, String> {
        let Some(fleet) = &operator_config.fleet else {
            return Ok(None);
        };
        let told = variable("RELAY_FLEET").map(|told| {
            told.parse()
                .map_err(|_| format!("RELAY_FLEET: {told:?} is not an address:port"))
        });
        let listen = told.transpose()?.or(fleet.listen);
        let listen = listen.ok_or("neither RELAY_FLEET nor fleet.listen is set")?;
        let nodes: BTreeSet<String> = fleet.nodes.iter().cloned().collect();
        let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
        if fleet.state_directory.is_some() && !node.bytes().all(plain) {
            return Err(format!(
                "fleet.folder: {node:?} can't be a part of a file's name: letters, digits, . _ - can"
            ));
        }
        let file = fleet
            .state_directory
            .as_ref()
            .map(|directory| directory.join(format!("council-{node}.redb")));
        let budget = operator_config.budgets.slow_start.as_ref();
        let floor = budget.map_or(0, |budget| budget.floor);
        let set_aside = floor * u32::try_from(nodes.len()).unwrap_or(u32::MAX);
        Ok(Some(Setup {
            name: fleet.name.clone(),
            listen,
            zone: variable("RELAY_ZONE").unwrap_or_else(|| fleet.zone.clone()),
            region: fleet.region.clone(),
            file,
            seeds: fleet
                .seeds
                .iter()
                .map(|(name, address)| SeedNode {
                    name: name.clone(),
                    address: *address,
                })
                .collect(),
            via: fleet.address_overrides.clone(),
            capacity: budget.map_or(0, |budget| budget.capacity.saturating_sub(set_aside)),
            // A node that nobody announced has no part in what was set aside for the others.
            floor: if nodes.contains(node) { floor } else { 0 },
            aside: set_aside,
            divides: budget.is_some(),
            nodes,
        }))
    }
}
