//! The operator's file, TOML under `deploy/`. What it does not name stays as it is without a file; what it names wrongly is
//! an error with line and key.

#![forbid(unsafe_code)]

use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use toml::Spanned;

/// The whole file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Talk between the nodes; without it there is no socket, no timer and no budget in common.
    pub fleet: Option<Fleet>,
    /// Budgets of the whole fleet.
    #[serde(default)]
    pub budgets: Budgets,
}

/// Which fleet this node is one of.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The fleet's name: nodes of another one are not heard.
    pub name: Spanned<String>,
    /// The names of all nodes that are expected.
    pub nodes: Spanned<Vec<String>>,
    /// Where this node takes datagrams and links; `RELAY_FLEET` goes before it.
    pub listen: Option<SocketAddr>,
    /// Where this node runs; `RELAY_ZONE` goes before it.
    #[serde(default)]
    pub zone: String,
    /// See `zone`.
    #[serde(default)]
    pub region: String,
    /// Where log and vote of the council are kept, so that a process that starts again is the life it was.
    pub folder: Option<Spanned<String>>,
    /// Nodes that are asked first, by name.
    pub seeds: Spanned<BTreeMap<String, SocketAddr>>,
    /// Where this node reaches others, if not where they say: by the address that they say.
    #[serde(default)]
    pub via: BTreeMap<SocketAddr, SocketAddr>,
}

/// Budgets of the whole fleet.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budgets {
    /// New connections to cold transcribers.
    pub cold: Option<Cold>,
}

/// New connections to cold transcribers in any second, over the fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// Of all nodes together: 1 to 1,000,000.
    #[serde(alias = "whole")]
    pub capacity: Spanned<u32>,
    /// What each expected node may use without a lease, set aside from the capacity: 0 to the capacity by the number of nodes.
    #[serde(default = "nothing")]
    pub floor: Spanned<u32>,
}

fn nothing() -> Spanned<u32> {
    Spanned::new(0..0, 0)
}

/// The largest fleet, the largest capacity and the longest name.
const MOST_NODES: usize = 1_000;
const MOST_CAPACITY: u32 = 1_000_000;
const LONGEST_NAME: usize = 64;

impl Operator {
    /// Reads the file at this path.
    pub fn load(path: &str) -> Result<Operator, String> {
        let text = std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
        Operator::read(&text).map_err(|why| format!("{path}: {why}"))
    }

    /// Reads the file's text; an error names line and key.
    pub fn read(text: &str) -> Result<Operator, String> {
        let operator: Operator = toml::from_str(text).map_err(|error| {
            let line = error.span().map_or(1, |span| line_of(text, span.start));
            format!("line {line}: {}", error.message())
        })?;
        operator
            .check()
            .map_err(|(at, why)| format!("line {}: {why}", line_of(text, at)))?;
        Ok(operator)
    }

    fn check(&self) -> Result<(), (usize, String)> {
        let Some(fleet) = &self.fleet else {
            return match &self.budgets.cold {
                Some(cold) => Err((
                    cold.capacity.span().start,
                    "budgets.cold: there is no [fleet] to share it".into(),
                )),
                None => Ok(()),
            };
        };
        let at = |span: std::ops::Range<usize>, why: String| Err((span.start, why));
        let name = fleet.name.get_ref();
        if name.is_empty() || name.len() > LONGEST_NAME {
            return at(
                fleet.name.span(),
                format!("fleet.name: 1 to {LONGEST_NAME} bytes are a name"),
            );
        }
        let nodes = fleet.nodes.get_ref();
        let distinct: BTreeSet<&String> = nodes.iter().collect();
        if nodes.is_empty() || nodes.len() > MOST_NODES {
            return at(
                fleet.nodes.span(),
                format!("fleet.nodes: 1 to {MOST_NODES} are a fleet"),
            );
        }
        if distinct.len() < nodes.len()
            || nodes
                .iter()
                .any(|node| node.is_empty() || node.len() > LONGEST_NAME)
        {
            return at(
                fleet.nodes.span(),
                "fleet.nodes: a name is empty, too long, or there twice".into(),
            );
        }
        if let Some(folder) = fleet
            .folder
            .as_ref()
            .filter(|folder| folder.get_ref().is_empty())
        {
            return at(folder.span(), "fleet.folder: a path is needed".into());
        }
        let seeds = fleet.seeds.get_ref();
        if seeds.is_empty() {
            return at(
                fleet.seeds.span(),
                "fleet.seeds: one at least is needed to find the others".into(),
            );
        }
        if let Some(unknown) = seeds.keys().find(|seed| !distinct.contains(seed)) {
            return at(
                fleet.seeds.span(),
                format!("fleet.seeds: {unknown:?} is not among fleet.nodes"),
            );
        }
        if let Some(cold) = &self.budgets.cold {
            let (capacity, floor) = (*cold.capacity.get_ref(), *cold.floor.get_ref());
            if !(1..=MOST_CAPACITY).contains(&capacity) {
                return at(
                    cold.capacity.span(),
                    format!("budgets.cold.capacity: {capacity} is not in 1 to {MOST_CAPACITY}"),
                );
            }
            if u64::from(floor) * nodes.len() as u64 > u64::from(capacity) {
                let why = format!(
                    "budgets.cold.floor: {floor} for each of {} nodes pass the capacity",
                    nodes.len()
                );
                return at(cold.floor.span(), why);
            }
        }
        Ok(())
    }
}

fn line_of(text: &str, at: usize) -> usize {
    text.as_bytes()
        .iter()
        .take(at)
        .filter(|byte| **byte == b'\n')
        .count()
        + 1
}

#[cfg(test)]
mod tests;
