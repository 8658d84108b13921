//! Executes admin calls.

use super::call::{self, AdminCall, BudgetsCall, CallSyntaxError};
use crate::cluster_agent::{self, BudgetCommandError, FleetCommandError};
use crate::handoff;
use crate::handoff::admin_drain_file::{AdminDrainFileError, DrainChange};
use crate::state::{NodeContext, NotServingError};
use lupincrank_placement::ServerId;
use slog::info;
use thiserror::Error;

/// The `fleet` call that changes the cluster. All other `fleet` calls only query it.
const RECOVER_QUORUM: &str = "reseed";
/// The `budgets` call that changes a budget. All other `budgets` calls only query them.
const SET_BUDGET: &str = "set";

/// The error with which an admin call is answered.
#[derive(Debug, Error)]
pub(crate) enum AdminCallError {
    /// The line is not a valid call.
    #[error(transparent)]
    Syntax(#[from] CallSyntaxError),
    /// The caller's input ended before the end of the line.
    #[error("the call does not end")]
    Incomplete,
    /// The call is longer than a line may be.
    #[error("the call is longer than 4 KiB")]
    TooLong,
    /// The call was not received completely in time.
    #[error("no whole call came in time")]
    TimedOut,
    /// This process can't serve clients.
    #[error(transparent)]
    NotServing(#[from] NotServingError),
    /// No server with this id is in the endpoint list or drained.
    #[error("no transcriber {0:?}")]
    UnknownServer(String),
    /// The drain could not be stored.
    #[error(transparent)]
    AdminDrainFile(#[from] AdminDrainFileError),
    /// The `fleet` call has failed.
    #[error(transparent)]
    Cluster(#[from] FleetCommandError),
    /// The `budgets` call has failed.
    #[error(transparent)]
    Budgets(#[from] BudgetCommandError),
}

/// Executes the call in a line and returns the text that follows `done` in the answer.
pub(super) fn handle(context: &mut NodeContext, line: &[u8]) -> Result<String, AdminCallError> {
    let call = call::parse(line)?;
    let outcome = execute(context, call);
    if is_logged(call) {
        let line = String::from_utf8_lossy(line).into_owned();
        let error = outcome.as_ref().err().map(ToString::to_string);
        info!(context.log, "admin call handled"; "line" => line, "error" => error);
    }
    outcome
}

/// Returns true for calls that change something. The other calls are too frequent to be logged.
fn is_logged(call: AdminCall<'_>) -> bool {
    match call {
        AdminCall::Check => false,
        AdminCall::SetDown(_) | AdminCall::SetUp(_) => true,
        AdminCall::Cluster(query) => query == RECOVER_QUORUM,
        AdminCall::Budgets(budgets) => budgets.query == SET_BUDGET,
    }
}

fn execute(context: &mut NodeContext, call: AdminCall<'_>) -> Result<String, AdminCallError> {
    match call {
        AdminCall::Check => check(context),
        AdminCall::SetDown(server) => change_drain(context, server, DrainChange::Drain),
        AdminCall::SetUp(server) => change_drain(context, server, DrainChange::Release),
        AdminCall::Cluster(query) => Ok(cluster_agent::run_fleet_command(context, query)?),
        AdminCall::Budgets(BudgetsCall { query, change }) => {
            Ok(cluster_agent::run_budget_command(context, query, change)?)
        }
    }
}

fn check(context: &mut NodeContext) -> Result<String, AdminCallError> {
    // A caller that receives `done` may terminate the other process at once. That process has to know by then that this
    // one accepts clients.
    handoff::accept_clients_if_ready(context);
    context.check_serving()?;
    Ok(String::new())
}

fn change_drain(
    context: &mut NodeContext,
    server: &str,
    change: DrainChange,
) -> Result<String, AdminCallError> {
    let id = ServerId::from(server);
    if !context.placement.knows_server(&id) {
        return Err(AdminCallError::UnknownServer(server.to_string()));
    }
    let before = context.placement.drained_servers();
    // The change is stored before it takes effect, so a change that was answered with `done` survives any termination of
    // this process.
    let drained = context
        .handoff
        .change_drained_servers(&id, change, before)?;
    context.placement.set_drained_servers(drained);
    context.handoff.announce_drained_servers();
    Ok(String::new())
}
