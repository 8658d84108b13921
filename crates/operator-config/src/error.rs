//! Errors of the operator's file, with path, line and key.

use crate::limits::{MAX_NAME_LENGTH, MAX_NODES, MAX_SLOW_START_CAPACITY};

/// The error of a file that could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum OperatorConfigError {
    /// The file cannot be read.
    #[error("{path}: {error}")]
    Read {
        /// The path as given by the caller.
        path: String,
        /// The operating system's error.
        error: std::io::Error,
    },
    /// The file's contents are not valid.
    #[error("{path}: {error}")]
    Invalid {
        /// The path as given by the caller.
        path: String,
        /// The error, with its line.
        error: ParseError,
    },
}

/// A fault in the text of a file, with its line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {fault}")]
pub struct ParseError {
    line: usize,
    fault: ConfigFault,
}

impl ParseError {
    /// Locates a fault at a byte offset of `text`.
    pub(crate) fn at(text: &str, offset: usize, fault: ConfigFault) -> ParseError {
        let preceding = text.as_bytes().iter().take(offset);
        let line = preceding.filter(|byte| **byte == b'\n').count() + 1;
        ParseError { line, fault }
    }

    /// Returns the line of the fault, counted from 1.
    pub fn line(&self) -> usize {
        self.line
    }

    /// Returns the fault.
    pub fn fault(&self) -> &ConfigFault {
        &self.fault
    }
}

/// A fault in an operator's file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigFault {
    /// The text is not valid TOML, a key is unknown or absent, or a value has the wrong type; with the parser's text.
    #[error("{0}")]
    Syntax(String),
    /// There is a slow-start budget, but no fleet.
    #[error("budgets.cold: no [fleet] to share the budget")]
    BudgetWithoutFleet,
    /// The fleet's name is empty or too long.
    #[error("fleet.name: must be 1 to {MAX_NAME_LENGTH} bytes long")]
    FleetNameLength,
    /// The list of expected nodes is empty or too long.
    #[error("fleet.nodes: must contain 1 to {MAX_NODES} names")]
    NodeCount,
    /// The name of an expected node is empty, too long, or a duplicate.
    #[error("fleet.nodes: a name is empty, too long, or a duplicate")]
    NodeName,
    /// The path of the state directory is empty.
    #[error("fleet.folder: a path is required")]
    EmptyStateDirectory,
    /// There is no seed.
    #[error("fleet.seeds: at least one seed is required to find other nodes")]
    NoSeeds,
    /// A seed is not an expected node.
    #[error("fleet.seeds: {seed:?} is not among fleet.nodes")]
    UnknownSeed {
        /// The seed's name.
        seed: String,
    },
    /// The capacity of the slow-start budget is zero or too large.
    #[error("budgets.cold.capacity: {capacity} is not in 1 to {MAX_SLOW_START_CAPACITY}")]
    SlowStartCapacity {
        /// The capacity as written in the file.
        capacity: u32,
    },
    /// The floors of all nodes together exceed the capacity of the slow-start budget.
    #[error("budgets.cold.floor: {floor} for each of {node_count} nodes exceeds the capacity")]
    SlowStartFloor {
        /// The floor of one node.
        floor: u32,
        /// The number of expected nodes.
        node_count: usize,
    },
}
