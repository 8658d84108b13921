//! The operator's configuration file: TOML that defines the fleet, a cluster of nodes, and its budgets.
//!
//! A node without the file runs on its own. Absent tables have the same effect as no file; unknown keys and invalid
//! values are errors that name line and key. `file` defines the file's form, `validation` checks its values, and the
//! types here are those that the rest of the program uses.

#![forbid(unsafe_code)]

mod error;
mod file;
mod limits;
mod validation;

pub use error::{ConfigFault, OperatorConfigError, ParseError};

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The contents of a valid operator's file.
#[derive(Clone, Debug, Default)]
pub struct OperatorConfig {
    /// The fleet of which the node is a member. Without it, nodes neither communicate nor share budgets.
    pub fleet: Option<FleetConfig>,
    /// Budgets that the fleet shares.
    pub budgets: BudgetsConfig,
}

/// The fleet of which a node is a member.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// The fleet's name; nodes of fleets with other names are ignored.
    pub name: String,
    /// The names of all expected nodes, without repetition.
    pub nodes: Vec<String>,
    /// The address for datagrams and connections from other nodes. `RELAY_FLEET` takes precedence.
    pub listen: Option<SocketAddr>,
    /// The zone in which this node runs; empty if unknown. `RELAY_ZONE` takes precedence.
    pub zone: String,
    /// The region in which this node runs; empty if unknown.
    pub region: String,
    /// The directory of the node's replicated log and vote, so that a restarted process continues as the same member.
    pub state_directory: Option<PathBuf>,
    /// Nodes that are contacted first, by name; at least one, all of them expected nodes.
    pub seeds: BTreeMap<String, SocketAddr>,
    /// The addresses to use for nodes that this node cannot reach at their announced address, by announced address.
    pub address_overrides: BTreeMap<SocketAddr, SocketAddr>,
}

/// Budgets that the fleet shares.
#[derive(Clone, Debug, Default)]
pub struct BudgetsConfig {
    /// The budget of new connections to servers in slow start.
    pub slow_start: Option<SlowStartBudgetConfig>,
}

/// The budget of new connections per second to servers in slow start.
#[derive(Clone, Debug)]
pub struct SlowStartBudgetConfig {
    /// The capacity that the fleet shares, 1 to 1,000,000.
    pub capacity: u32,
    /// The share of each expected node that needs no lease. It is reserved from the capacity, so it is at most the
    /// capacity divided by the number of expected nodes.
    pub floor: u32,
}

impl OperatorConfig {
    /// Reads and validates the file at `path`.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or is not valid; the error names the path.
    pub fn load(path: &str) -> Result<OperatorConfig, OperatorConfigError> {
        let text = std::fs::read_to_string(path).map_err(|error| OperatorConfigError::Read {
            path: path.to_string(),
            error,
        })?;
        OperatorConfig::parse(&text).map_err(|error| OperatorConfigError::Invalid {
            path: path.to_string(),
            error,
        })
    }

    /// Parses and validates the text of a file.
    ///
    /// # Errors
    ///
    /// The first fault, with its line.
    pub fn parse(text: &str) -> Result<OperatorConfig, ParseError> {
        let file: file::OperatorFile = toml::from_str(text).map_err(|error| {
            let offset = error.span().map_or(0, |span| span.start);
            let message = error.message().to_string();
            ParseError::at(text, offset, ConfigFault::Syntax(message))
        })?;
        validation::validate(&file)
            .map_err(|located| ParseError::at(text, located.offset, located.fault))?;
        Ok(file.into())
    }
}

#[cfg(test)]
mod tests;
