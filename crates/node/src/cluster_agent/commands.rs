//! The admin commands `fleet` and `budgets`.

use super::control_actions::BUDGET_NAME;
use super::driver::with_agent;
use crate::state::NodeContext;
use lupincrank_control::ControlError;
use serde_json::json;
use thiserror::Error;

/// The largest capacity of a budget, as in the operator's file.
const MAX_CAPACITY: u32 = 1_000_000;

/// Why a `fleet` command failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FleetCommandError {
    /// No cluster is configured.
    #[error("no [fleet] is configured on this node")]
    NotConfigured,
    /// The agent is waiting for its address or its storage.
    #[error("the cluster agent has not started; it is waiting for its address or storage")]
    NotStarted,
    /// There is no such command.
    #[error("unknown fleet command {command:?}; the commands are status, members, log and reseed")]
    UnknownCommand {
        /// The requested command.
        command: String,
    },
    /// The control node rejected it.
    #[error(transparent)]
    Control(#[from] ControlError),
}

/// Why a `budgets` command failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BudgetCommandError {
    /// No budget is configured, or the agent has not started.
    #[error("this node shares no budget with a cluster, or its cluster agent has not started")]
    NotDistributed,
    /// There is no such command.
    #[error(
        "unknown budgets command; the commands are show, plan NAME=CAPACITY and set NAME=CAPACITY"
    )]
    UnknownCommand,
    /// The command needs a budget and a capacity.
    #[error("missing argument NAME=CAPACITY, for example cold=60")]
    MissingChange,
    /// The argument is malformed.
    #[error("{change:?} is not of the form NAME=CAPACITY")]
    MalformedChange {
        /// The argument.
        change: String,
    },
    /// There is no such budget.
    #[error("unknown budget {name:?}; the only budget is {BUDGET_NAME}")]
    UnknownBudget {
        /// The name in the argument.
        name: String,
    },
    /// The capacity is not a number or out of range.
    #[error("{change:?}: the capacity must be a number from 1 to {MAX_CAPACITY}")]
    InvalidCapacity {
        /// The argument.
        change: String,
    },
    /// The capacity does not cover the floors of all nodes.
    #[error("{change:?}: the capacity is below the {reserved} reserved for floors")]
    BelowReservedCapacity {
        /// The argument.
        change: String,
        /// The sum of the floors.
        reserved: u32,
    },
    /// The control node rejected it.
    #[error(transparent)]
    Control(#[from] ControlError),
}

/// Runs a `fleet` command and returns its answer as JSON.
///
/// # Errors
/// If the command is unknown or can't be executed now.
pub fn run_fleet_command(
    context: &mut NodeContext,
    command: &str,
) -> Result<String, FleetCommandError> {
    if context.cluster_agent.is_none() && context.config.cluster.is_some() {
        return Err(FleetCommandError::NotStarted);
    }
    let now = context.placement.now();
    let mut answer = Err(FleetCommandError::NotConfigured);
    with_agent(context, |agent, _| {
        answer = match command {
            "status" => Ok(agent.status_json(now)),
            "members" => Ok(agent.members_json()),
            "log" => Ok(agent.log_json()),
            "reseed" => agent
                .control
                .recover_quorum(now, rand::random())
                .map(|cluster_id| json!({ "epoch": cluster_id.epoch }).to_string())
                .map_err(FleetCommandError::Control),
            other => Err(FleetCommandError::UnknownCommand {
                command: other.to_string(),
            }),
        };
    });
    answer
}

/// A `budgets` command. Its capacity is what leases distribute, without the floors.
enum BudgetCommand {
    Show,
    Plan { leased_capacity: u32 },
    Set { leased_capacity: u32 },
}

impl BudgetCommand {
    fn parse(
        command: &str,
        change: Option<&str>,
        reserved: u32,
    ) -> Result<BudgetCommand, BudgetCommandError> {
        match (command, change) {
            ("show", None) => Ok(BudgetCommand::Show),
            ("plan", change) => Ok(BudgetCommand::Plan {
                leased_capacity: parse_change(change, reserved)?,
            }),
            ("set", change) => Ok(BudgetCommand::Set {
                leased_capacity: parse_change(change, reserved)?,
            }),
            _ => Err(BudgetCommandError::UnknownCommand),
        }
    }
}

/// Parses `NAME=CAPACITY` and returns the capacity that remains for leases after the `reserved` floors.
fn parse_change(change: Option<&str>, reserved: u32) -> Result<u32, BudgetCommandError> {
    let change = change.ok_or(BudgetCommandError::MissingChange)?;
    let Some((name, capacity)) = change.split_once('=') else {
        return Err(BudgetCommandError::MalformedChange {
            change: change.to_string(),
        });
    };
    if name != BUDGET_NAME {
        return Err(BudgetCommandError::UnknownBudget {
            name: name.to_string(),
        });
    }
    let capacity = capacity
        .parse::<u32>()
        .ok()
        .filter(|capacity| (1..=MAX_CAPACITY).contains(capacity))
        .ok_or_else(|| BudgetCommandError::InvalidCapacity {
            change: change.to_string(),
        })?;
    capacity
        .checked_sub(reserved)
        .ok_or_else(|| BudgetCommandError::BelowReservedCapacity {
            change: change.to_string(),
            reserved,
        })
}

/// Runs a `budgets` command: `show`, or `plan` and `set` with a change `NAME=CAPACITY`. Returns its answer as JSON.
///
/// # Errors
/// If the command is unknown, the change is invalid, or the command can't be executed now.
pub fn run_budget_command(
    context: &mut NodeContext,
    command: &str,
    change: Option<&str>,
) -> Result<String, BudgetCommandError> {
    let now = context.placement.now();
    let agent = context.cluster_agent.as_mut();
    let agent = agent.ok_or(BudgetCommandError::NotDistributed)?;
    let budget = agent.config.slow_start_budget;
    let budget = budget.ok_or(BudgetCommandError::NotDistributed)?;
    let answer = match BudgetCommand::parse(command, change, budget.reserved_capacity)? {
        BudgetCommand::Show => Ok(agent.budgets_json(now, &budget)),
        BudgetCommand::Plan { leased_capacity } => agent
            .control
            .preview_capacity(now, leased_capacity)
            .map(|leases| json!({ "handed_out": leased_capacity, "slices": leases })),
        BudgetCommand::Set { leased_capacity } => agent
            .control
            .set_capacity(now, leased_capacity)
            .map(|epoch| json!({ "handed_out": leased_capacity, "after_epoch": epoch })),
    };
    with_agent(context, |_, _| ());
    Ok(answer?.to_string())
}

#[cfg(test)]
mod tests;
