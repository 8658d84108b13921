//! One run of a scenario from its beginning to its end.

use crate::error::RunError;
use crate::harness::{Harness, HarnessContext, HarnessOptions, Phase, Progress};
use crate::node_process::{AddressBlock, BlockReservation, NodeProcess};
use crate::outcome::Outcome;
use crate::plan::Plan;
use crate::scenario::Scenario;
use crate::{cluster_setup, merged_log, run_loop};
use lupincrank_reactor::Reactor;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// The options of a run.
pub struct RunOptions {
    /// The program of the nodes, with the arguments before `serve`.
    pub program: Vec<String>,
    /// Other programs for single nodes, by node number, to mix builds or to run rule breakers.
    pub node_programs: BTreeMap<usize, Vec<String>>,
    /// The folder for the logs of all nodes.
    pub log_folder: Option<PathBuf>,
    /// Whether nodes log individual requests.
    pub is_verbose: bool,
    /// Ends the run early once it is set.
    pub stop: Arc<AtomicBool>,
    /// Called with the run's progress, a few times per second.
    pub on_progress: Box<dyn Fn(&Progress)>,
}

/// Runs a scenario with a seed.
///
/// # Errors
///
/// If the run could not be completed; violations are part of the outcome.
pub fn run(
    name: &str,
    scenario: Scenario,
    seed: u64,
    options: RunOptions,
) -> Result<Outcome, RunError> {
    let reservation = BlockReservation::reserve()?;
    let folder = temporary_folder(reservation.block());
    fs::create_dir_all(&folder)?;
    let plan = Plan::draw(&scenario, seed);
    let rng = Pcg64Mcg::new(u128::from(seed) << 8 | 3);
    let harness_options = HarnessOptions {
        stop: options.stop,
        folder: folder.clone(),
        address_block: reservation.block(),
        is_verbose: options.is_verbose,
        program: options.program,
        on_progress: options.on_progress,
    };
    let harness = Harness::new(scenario, plan, harness_options, rng);
    let mut reactor = Reactor::new(harness, 0)?;
    set_up(&mut reactor.context, &options.node_programs)?;
    run_loop::start(&mut reactor.context);
    let result = reactor.run();
    let harness = &mut reactor.context.application;
    harness.phase = Phase::Finished;
    let outcome = Outcome::collect(name, harness);
    harness.nodes.iter_mut().for_each(NodeProcess::kill);
    if let Some(log_folder) = &options.log_folder {
        merged_log::write(harness, log_folder)?;
    }
    let failure = result.err().map(RunError::Io);
    let failure = failure.or_else(|| harness.take_failure());
    let result = match failure {
        Some(reason) => Err(failed(name, seed, reason, harness)),
        None => Ok(outcome),
    };
    let _ = fs::remove_dir_all(&folder);
    result
}

/// Returns the error of an aborted run.
fn failed(name: &str, seed: u64, reason: RunError, harness: &Harness) -> RunError {
    RunError::Failed {
        scenario: name.to_string(),
        seed,
        reason: Box::new(reason),
        logs: merged_log::tails(harness),
    }
}

/// Returns the path of the folder for the run's files.
fn temporary_folder(block: AddressBlock) -> PathBuf {
    let process = std::process::id();
    let name = format!("lupincrank-trial-{process}-{}-{}", block.high, block.low);
    std::env::temp_dir().join(name)
}

/// Starts the upstream servers, then the nodes, which are configured with each other and all servers.
fn set_up(
    context: &mut HarnessContext,
    node_programs: &BTreeMap<usize, Vec<String>>,
) -> Result<(), RunError> {
    for _ in 0..context.scenario.server_count() {
        cluster_setup::add_warm_server(context)?;
    }
    let node_count = context.scenario.node_count();
    for node in 0..node_count {
        let program = node_programs.get(&node);
        let program = program.unwrap_or(&context.options.program).clone();
        cluster_setup::add_node(context, program, None)?;
    }
    for node in 0..node_count {
        cluster_setup::write_config(context, node, node_count)?;
        cluster_setup::start_node(context, node)?;
    }
    Ok(())
}
