//! The cluster agent: sockets, deadlines and storage for the state machines of gossip membership (`lupincrank_cluster`)
//! and of the control group (`lupincrank_control`). The request path never waits for it.

pub mod agent;
mod backoff;
mod commands;
pub mod config;
mod connections;
mod control_actions;
mod driver;
mod listener;
mod membership_events;
mod peer_component;
mod peer_connection;
mod sockets;
mod startup;
mod status;
mod storage;
mod storage_completions;

pub use commands::{run_budget_command, run_fleet_command, BudgetCommandError, FleetCommandError};
pub use driver::begin_leaving;
pub use listener::start;
pub use startup::StartError;
