//! Who is part of a run: names, addresses, and what each is told.

use serde_json::{json, Value};
use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// What a real node is told beside its fleet.
const EXAMPLE: &str = include_str!("../../../examples/config.json");
/// Real nodes have addresses of their own, as in the trials; hollow ones and doors have ports.
const FLEET: u16 = 7400;
const FIRST_PORT: u16 = 10_000;
const ZONES: usize = 3;
/// The first so many nodes are asked first by all.
pub const SEEDS: usize = 3;

/// All nodes of a run: the real ones first, whose names come first in any order by name.
#[derive(Clone, Debug)]
pub struct Place {
    /// Real processes.
    pub real: usize,
    /// Hollow nodes.
    pub hollow: usize,
    /// How many of them the operator's file names.
    pub expected: usize,
    /// The block of loopback addresses.
    pub block: (u8, u8),
    /// The whole of the cold budget.
    pub whole: u32,
}

impl Place {
    /// All nodes.
    pub fn all(&self) -> usize {
        self.real + self.hollow
    }

    /// The name of one.
    pub fn name(&self, node: usize) -> String {
        if node < self.real {
            format!("a{node:02}")
        } else {
            format!("h{:04}", node - self.real)
        }
    }

    /// Its zone.
    pub fn zone(&self, node: usize) -> String {
        format!("zone{}", node % ZONES)
    }

    /// The address of a real node.
    pub fn ip(&self, node: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(
            127,
            self.block.0,
            self.block.1,
            1 + node as u8,
        ))
    }

    /// Where it takes datagrams and links.
    pub fn fleet(&self, node: usize) -> SocketAddr {
        if node < self.real {
            return SocketAddr::new(self.ip(node), FLEET);
        }
        SocketAddr::from((
            [127, self.block.0, self.block.1, 253],
            FIRST_PORT + node as u16,
        ))
    }

    /// Where all others reach it.
    pub fn door(&self, node: usize) -> SocketAddr {
        SocketAddr::from((
            [127, self.block.0, self.block.1, 252],
            FIRST_PORT + node as u16,
        ))
    }

    /// A node's configuration.
    pub fn config(&self, node: usize, seed: u64) -> Result<Value, String> {
        let mut config: Value = serde_json::from_str(EXAMPLE).map_err(|error| error.to_string())?;
        let ip = self.ip(if node < self.real { node } else { 251 });
        let told = json!({
            "name": self.name(node), "listen": format!("{ip}:8000"), "management": format!("{ip}:8001"),
            // Nobody is there: a run is of control alone.
            "discovery": format!("{ip}:9"),
            "seed": format!("{:x}", seed.wrapping_mul(1_000_003).wrapping_add(node as u64)),
        });
        for (key, value) in told.as_object().into_iter().flatten() {
            config[key] = value.clone();
        }
        Ok(config)
    }

    /// The operator's file; a hollow node's address and zone come by its environment.
    pub fn operator(&self, node: Option<usize>) -> String {
        let names: Vec<String> = (0..self.expected)
            .map(|node| format!("\"{}\"", self.name(node)))
            .collect();
        let mut text = format!(
            "[fleet]\nname = \"scale\"\nnodes = [{}]\n",
            names.join(", ")
        );
        if let Some(node) = node {
            let _ = writeln!(
                text,
                "listen = \"{}\"\nzone = \"{}\"",
                self.fleet(node),
                self.zone(node)
            );
        }
        text.push_str("[fleet.seeds]\n");
        for node in 0..SEEDS.min(self.expected) {
            let _ = writeln!(text, "{} = \"{}\"", self.name(node), self.door(node));
        }
        text.push_str("[fleet.via]\n");
        for node in 0..self.all() {
            let _ = writeln!(text, "\"{}\" = \"{}\"", self.fleet(node), self.door(node));
        }
        let _ = write!(text, "[budgets.cold]\nwhole = {}\n", self.whole);
        text
    }

    /// What a hollow node's environment says.
    pub fn variable(&self, node: usize, name: &str) -> Option<String> {
        match name {
            "RELAY_NAME" => Some(self.name(node)),
            "RELAY_FLEET" => Some(self.fleet(node).to_string()),
            "RELAY_ZONE" => Some(self.zone(node)),
            _ => None,
        }
    }
}
