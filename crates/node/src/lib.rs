//! The node: runs lupincrank's placement module on real sockets. [`main`] is the program; [`hollow`] runs a node with
//! the control plane only.

mod admin;
mod application;
mod cli;
mod client;
mod cluster_agent;
mod command;
mod component;
mod config;
mod deadline;
mod discovery;
mod graceful_shutdown;
mod handoff;
pub mod hollow;
mod load_report;
mod placement_driver;
mod program;
mod serve;
mod signals;
mod state;
mod upstream;

pub use program::main;
