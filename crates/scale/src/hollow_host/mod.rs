//! A process of hollow nodes, each in its own thread.
//!
//! The process reads commands of the run from its standard input, one per line, and writes reports of the nodes to its
//! standard output. It ends when its input ends, so that it does not outlive the run.

mod budget_consumer;
mod protocol;

pub use budget_consumer::{BudgetConsumer, Consumption};
pub use protocol::{unix_us, HostCommand, HostRequest, InvalidCommand, NodeReport};

use lupincrank_node::hollow;
use std::io::{self, BufRead};
use std::sync::{Arc, PoisonError, RwLock};
use std::thread;
use thiserror::Error;

/// Stack size of a hollow node's thread.
const STACK_BYTES: usize = 1 << 20;
/// Exit code of the process if a node fails.
const NODE_ERROR_EXIT_CODE: i32 = 2;

/// Settings of all hollow nodes of the process, changed by commands of the run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostSettings {
    /// Demand of each node, in uses of the budget per second.
    pub demand: f64,
    /// Name of the node whose failure is to be detected; empty for none.
    pub watched_node: String,
}

impl HostSettings {
    /// Applies a command.
    pub fn apply(&mut self, command: HostCommand) {
        match command {
            HostCommand::Demand(demand) => self.demand = demand,
            HostCommand::Watch(node) => self.watched_node = node,
        }
    }
}

/// The reason why a process of hollow nodes fails.
#[derive(Debug, Error)]
pub enum HostError {
    /// An I/O error.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A node's configuration can't be created.
    #[error(transparent)]
    Config(#[from] serde_json::Error),
    /// A command is invalid.
    #[error(transparent)]
    Command(#[from] InvalidCommand),
    /// A node's thread can't be started.
    #[error("failed to start the thread of {node}")]
    Thread {
        /// The node.
        node: String,
        /// The reason.
        source: io::Error,
    },
}

/// Starts the requested hollow nodes, and executes commands until the input ends.
///
/// # Errors
///
/// If a node can't be started, or a command can't be read or is invalid.
pub fn serve(request: &HostRequest) -> Result<(), HostError> {
    let settings = Arc::new(RwLock::new(HostSettings::default()));
    let operator_file = Arc::new(request.topology.operator_file(None));
    for node in request.nodes() {
        start_node(request, node, &operator_file, &settings)?;
    }
    for line in io::stdin().lock().lines() {
        let command = line?.parse()?;
        let mut settings = settings.write().unwrap_or_else(PoisonError::into_inner);
        settings.apply(command);
    }
    Ok(())
}

/// Starts one hollow node in a thread. If the node fails, the process exits.
fn start_node(
    request: &HostRequest,
    node: usize,
    operator_file: &Arc<String>,
    settings: &Arc<RwLock<HostSettings>>,
) -> Result<(), HostError> {
    let topology = request.topology.clone();
    let name = topology.name(node);
    let config = topology.config(node, request.seed)?.to_string();
    let operator_file = Arc::clone(operator_file);
    let consumer = BudgetConsumer::new(node, request.seed, Arc::clone(settings));
    let thread_name = name.clone();
    let run_node = move || {
        let variable = |name: &str| topology.environment_variable(node, name);
        let result = hollow::start(&config, &operator_file, variable, Box::new(consumer))
            .map_err(|error| error.to_string())
            .and_then(|run| run().map_err(|error| error.to_string()));
        if let Err(reason) = result {
            eprintln!("lupincrank-scale: {thread_name}: {reason}");
            std::process::exit(NODE_ERROR_EXIT_CODE);
        }
    };
    let thread = thread::Builder::new().name(name.clone());
    thread
        .stack_size(STACK_BYTES)
        .spawn(run_node)
        .map_err(|source| HostError::Thread { node: name, source })?;
    Ok(())
}

#[cfg(test)]
mod tests;
