//! The node's part in its cluster: sockets, deadlines and storage around the state machines of membership
//! (`lupincrank_cluster`) and of the control group (`lupincrank_control`). Nothing on a request's path waits for any of it.

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
