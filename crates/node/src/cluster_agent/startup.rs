//! Starts the agent once its address and its storage file are available. A process that replaces another one waits
//! until the other process has ended.

use super::agent::{ClusterAgent, LocalNode};
use super::config::ClusterConfig;
use super::driver::{set_agent_deadline, with_agent};
use super::sockets::ClusterSockets;
use super::storage::{self, OpenError, StorageDamage, StorageFile, StorageWriter};
use super::storage_completions::StorageCompletions;
use crate::component::WellKnownComponent;
use crate::deadline::ClusterAgentDeadline;
use crate::state::NodeContext;
use lupincrank_control::ControlError;
use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::{poller_key, Interest};
use slog::{info, warn};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use thiserror::Error;

/// The pause between attempts to bind the cluster address.
pub(super) const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Why the agent can't start. An operator must intervene.
#[derive(Debug, Error)]
pub enum StartError {
    /// The storage file can't be used.
    #[error(transparent)]
    Storage(OpenError),
    /// A file operation failed.
    #[error("{}: {error}", path.display())]
    Io {
        /// The storage file.
        path: PathBuf,
        /// The cause.
        error: io::Error,
    },
    /// The control node can't start.
    #[error(transparent)]
    Control(#[from] ControlError),
}

/// Why the agent must wait.
#[derive(Debug, Error)]
pub(super) enum WaitReason {
    #[error("{address}: {error}")]
    AddressInUse {
        address: SocketAddr,
        error: io::Error,
    },
    #[error("{}: in use by another process", path.display())]
    StorageInUse { path: PathBuf },
}

/// The result of an attempt to start the agent.
pub(super) enum BindOutcome {
    Started,
    Waiting(WaitReason),
}

/// Binds the address, opens the storage and starts the agent. If the address or the storage is in use, sets a deadline
/// for the next attempt.
///
/// # Errors
/// If the storage can't be used and an operator must intervene.
pub(super) fn bind_or_wait(
    context: &mut NodeContext,
    config: &ClusterConfig,
) -> Result<BindOutcome, StartError> {
    let address = config.listen_address;
    let sockets = match ClusterSockets::bind(&context.poller, address) {
        Ok(sockets) => sockets,
        Err(error) => return Ok(wait(context, WaitReason::AddressInUse { address, error })),
    };
    let new_incarnation = rand::random::<u64>().max(1);
    let mut agent = match &config.storage_file {
        None => new_agent(context, config, new_incarnation, None)?,
        Some(path) => match resume_agent(context, config, path, new_incarnation) {
            Ok(agent) => agent,
            Err(ResumeError::Open(OpenError::InUse)) => {
                let path = path.clone();
                return Ok(wait(context, WaitReason::StorageInUse { path }));
            }
            Err(ResumeError::Open(OpenError::Damaged(damage))) => {
                drop(sockets);
                set_storage_aside(context, path, &damage)?;
                return bind_or_wait(context, config);
            }
            Err(ResumeError::Open(error)) => return Err(StartError::Storage(error)),
            Err(ResumeError::Writer(error)) => {
                let path = path.clone();
                return Err(StartError::Io { path, error });
            }
        },
    };
    agent.sockets = Some(sockets);
    run_agent(context, agent);
    Ok(BindOutcome::Started)
}

fn wait(context: &mut NodeContext, reason: WaitReason) -> BindOutcome {
    let retry_at = Instant::now() + BIND_RETRY_INTERVAL;
    set_agent_deadline(context, ClusterAgentDeadline::Bind, retry_at);
    BindOutcome::Waiting(reason)
}

fn set_storage_aside(
    context: &NodeContext,
    path: &Path,
    damage: &StorageDamage,
) -> Result<(), StartError> {
    warn!(context.log, "control storage damaged; set aside, starting with a new identity";
        "file" => %path.display(), "error" => %damage);
    storage::set_aside(path).map_err(|error| StartError::Io {
        path: path.to_path_buf(),
        error,
    })
}

/// Passes the agent to the event loop.
fn run_agent(context: &mut NodeContext, agent: ClusterAgent) {
    let incarnation = agent.membership().local_identity().incarnation;
    info!(context.log, "cluster agent started"; "cluster" => &agent.config.cluster_name,
        "incarnation" => format!("{incarnation:016x}"), "listen" => %agent.config.listen_address);
    context.cluster_agent = Some(Box::new(agent));
    let now = Instant::now();
    set_agent_deadline(context, ClusterAgentDeadline::ControlTick, now);
    set_agent_deadline(context, ClusterAgentDeadline::Membership, now);
    with_agent(context, |_, _| ());
}

fn new_agent(
    context: &NodeContext,
    config: &ClusterConfig,
    incarnation: u64,
    stored: Option<&lupincrank_control::durable::DurableState>,
) -> Result<ClusterAgent, ControlError> {
    let settings = context.config.document.get("settings");
    let settings = settings.map(ToString::to_string).unwrap_or_default();
    let local = LocalNode {
        name: &context.config.name,
        incarnation,
        settings_hash: crc32fast::hash(settings.as_bytes()),
        stored,
    };
    let now = context.placement.now();
    ClusterAgent::new(config.clone(), &local, now, context.log.clone())
}

/// Why an agent with storage can't start.
enum ResumeError {
    Open(OpenError),
    Writer(io::Error),
}

/// Creates an agent that resumes the identity in the storage file.
fn resume_agent(
    context: &mut NodeContext,
    config: &ClusterConfig,
    path: &Path,
    new_incarnation: u64,
) -> Result<ClusterAgent, ResumeError> {
    let owner = format!("{}/{}", config.cluster_name, context.config.name);
    let opened = storage::open(path, &owner, new_incarnation).map_err(ResumeError::Open)?;
    let state = &opened.state;
    let mut agent = new_agent(context, config, state.member_id, Some(state)).map_err(|error| {
        ResumeError::Open(OpenError::Damaged(StorageDamage::Inconsistent(error)))
    })?;
    let file = StorageFile {
        path: path.to_path_buf(),
        owner,
        database: opened.database,
        state: opened.state,
    };
    attach_storage(context, &mut agent, file).map_err(ResumeError::Writer)?;
    Ok(agent)
}

fn attach_storage(
    context: &mut NodeContext,
    agent: &mut ClusterAgent,
    file: StorageFile,
) -> io::Result<()> {
    let storage_id = WellKnownComponent::DurableStorage.id();
    let writer = StorageWriter::start(file)?;
    let key = poller_key(storage_id, 0);
    let wake_receiver = Registered::new(
        &context.poller,
        writer.wake_receiver()?,
        key,
        Interest::READ,
    )?;
    agent.attach_storage(writer, wake_receiver);
    context.register(storage_id, Box::new(StorageCompletions));
    Ok(())
}
