//! Carries out admin calls.

use super::call::{self, AdminCall, BudgetsCall, CallSyntaxError};
use crate::cluster_agent::{self, BudgetCommandError, FleetCommandError};
use crate::handoff;
use crate::handoff::admin_drain_file::{AdminDrainFileError, DrainChange};
use crate::state::{NodeContext, NotServingError};
use lupincrank_placement::ServerId;
use slog::info;
use thiserror::Error;

/// The call that changes the cluster; the others of its kind only ask.
const RECOVER_QUORUM: &str = "reseed";
/// The call that changes a budget; the others of its kind only ask.
const SET_BUDGET: &str = "set";

/// Why an admin call is answered with an error.
#[derive(Debug, Error)]
pub(crate) enum AdminCallError {
    /// The line is not a call.
    #[error(transparent)]
    Syntax(#[from] CallSyntaxError),
    /// The connection was closed within the call.
    #[error("the call does not end")]
    Incomplete,
    /// The call is longer than any that is read.
    #[error("the call is longer than 4 KiB")]
    TooLong,
    /// The call was not complete in time.
    #[error("no whole call came in time")]
    TimedOut,
    /// Clients can't be served now.
    #[error(transparent)]
    NotServing(#[from] NotServingError),
    /// No server of this id is listed or drained.
    #[error("no transcriber {0:?}")]
    UnknownServer(String),
    /// The drain could not be stored.
    #[error(transparent)]
    AdminDrainFile(#[from] AdminDrainFileError),
    /// The cluster can't answer.
    #[error(transparent)]
    Cluster(#[from] FleetCommandError),
    /// The budgets can't be shown or changed.
    #[error(transparent)]
    Budgets(#[from] BudgetCommandError),
}

/// Carries out the call of a line and returns what is answered after `done`.
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

/// Calls that change something are logged; the others are made often.
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
    // Whoever is answered with `done` may end the other process at once, which has to know of this one by then.
    handoff::open_if_ready(context);
    context.check_serving()?;
    Ok(String::new())
}

/// Drains or releases a server.
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
    // Stored before it is obeyed: what was answered with `done` holds across any end of this process.
    let drained = context
        .handoff
        .change_drained_servers(&id, change, before)?;
    context.placement.set_drained_servers(drained);
    context.handoff.announce_drained_servers();
    Ok(String::new())
}
