//! The nodes of a run: names, addresses and configuration.

use lupincrank_fault_injection::node_process::AddressBlock;
use serde_json::{json, Value};
use std::fmt::Write;
use std::net::{IpAddr, SocketAddr};

/// Template of the configuration of each node.
const EXAMPLE_CONFIG: &str = include_str!("../../../examples/config.json");
/// Port for other nodes, at the address of each real node.
const CLUSTER_PORT: u16 = 7400;
/// First port of the hollow nodes, which share one address, and of the proxies, which share another.
const FIRST_PORT: u16 = 10_000;
/// Last byte of the address in the settings that hollow nodes do not use, of the address of the proxies, and of the
/// address of the hollow nodes.
const UNUSED_HOST: u8 = 251;
const PROXY_HOST: u8 = 252;
const HOLLOW_HOST: u8 = 253;
const ZONE_COUNT: usize = 3;
/// Number of seeds, which are the first nodes.
pub const SEED_COUNT: usize = 3;
/// Greater than the number of nodes, so that the node seeds of different runs differ.
const NODE_SEED_MULTIPLIER: u64 = 1_000_003;

/// All nodes of a run, numbered from 0. The real nodes have the lowest numbers, and their names precede those of the
/// hollow nodes in alphabetical order.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Number of real nodes, each a process of the program.
    pub real_count: usize,
    /// Number of hollow nodes.
    pub hollow_count: usize,
    /// Number of nodes that the operator's file lists.
    pub expected_count: usize,
    /// Block of loopback addresses.
    pub address_block: AddressBlock,
    /// Limit of the slow-start budget.
    pub budget_limit: u32,
}

impl Topology {
    /// Returns the number of all nodes.
    pub fn node_count(&self) -> usize {
        self.real_count + self.hollow_count
    }

    /// Returns true if a node is a process of the program.
    fn is_real(&self, node: usize) -> bool {
        node < self.real_count
    }

    /// Returns a node's name.
    pub fn name(&self, node: usize) -> String {
        if self.is_real(node) {
            format!("a{node:02}")
        } else {
            format!("h{:04}", node - self.real_count)
        }
    }

    /// Returns a node's zone.
    pub fn zone(&self, node: usize) -> String {
        format!("zone{}", node % ZONE_COUNT)
    }

    /// Returns a real node's address.
    pub fn ip(&self, node: usize) -> IpAddr {
        self.address_block.address(1 + node as u8)
    }

    /// Returns the address at which a node listens for other nodes.
    pub fn cluster_address(&self, node: usize) -> SocketAddr {
        if self.is_real(node) {
            return SocketAddr::new(self.ip(node), CLUSTER_PORT);
        }
        self.numbered_address(HOLLOW_HOST, node)
    }

    /// Returns the address of the proxy in front of a node.
    pub fn proxy_address(&self, node: usize) -> SocketAddr {
        self.numbered_address(PROXY_HOST, node)
    }

    fn numbered_address(&self, host: u8, node: usize) -> SocketAddr {
        SocketAddr::new(self.address_block.address(host), FIRST_PORT + node as u16)
    }

    /// Creates a node's configuration.
    ///
    /// # Errors
    ///
    /// If the template is not JSON.
    pub fn config(&self, node: usize, seed: u64) -> serde_json::Result<Value> {
        let mut config: Value = serde_json::from_str(EXAMPLE_CONFIG)?;
        let ip = if self.is_real(node) {
            self.ip(node)
        } else {
            self.address_block.address(UNUSED_HOST)
        };
        let node_seed = seed
            .wrapping_mul(NODE_SEED_MULTIPLIER)
            .wrapping_add(node as u64);
        config["name"] = json!(self.name(node));
        config["listen"] = json!(format!("{ip}:8000"));
        config["management"] = json!(format!("{ip}:8001"));
        // Nothing listens at this address: a run covers only the control plane.
        config["discovery"] = json!(format!("{ip}:9"));
        config["seed"] = json!(format!("{node_seed:x}"));
        Ok(config)
    }

    /// Creates the operator's file of a real node, which contains the node's address and zone. Without `real_node`,
    /// creates the file shared by all hollow nodes, each of which reads its address and zone from its environment.
    pub fn operator_file(&self, real_node: Option<usize>) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = self.write_operator_file(&mut text, real_node);
        text
    }

    fn write_operator_file(&self, text: &mut String, real_node: Option<usize>) -> std::fmt::Result {
        let expected = 0..self.expected_count;
        let names: Vec<String> = expected
            .map(|node| format!("\"{}\"", self.name(node)))
            .collect();
        writeln!(text, "[fleet]\nname = \"scale\"")?;
        writeln!(text, "nodes = [{}]", names.join(", "))?;
        if let Some(node) = real_node {
            writeln!(text, "listen = \"{}\"", self.cluster_address(node))?;
            writeln!(text, "zone = \"{}\"", self.zone(node))?;
        }
        writeln!(text, "[fleet.seeds]")?;
        for node in 0..SEED_COUNT.min(self.expected_count) {
            writeln!(
                text,
                "{} = \"{}\"",
                self.name(node),
                self.proxy_address(node)
            )?;
        }
        writeln!(text, "[fleet.via]")?;
        for node in 0..self.node_count() {
            let address = self.cluster_address(node);
            writeln!(text, "\"{address}\" = \"{}\"", self.proxy_address(node))?;
        }
        writeln!(text, "[budgets.cold]\nwhole = {}", self.budget_limit)
    }

    /// Returns the value of an environment variable of a hollow node.
    pub fn environment_variable(&self, node: usize, name: &str) -> Option<String> {
        match name {
            "RELAY_NAME" => Some(self.name(node)),
            "RELAY_FLEET" => Some(self.cluster_address(node).to_string()),
            "RELAY_ZONE" => Some(self.zone(node)),
            _ => None,
        }
    }
}
