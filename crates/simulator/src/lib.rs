//! Discrete-event simulator of the service. It runs the placement crate unchanged, one instance per node, against a
//! model of servers, clients, discovery and faults. A checker that sees the state of all servers reports violations.
//!
//! [`world::run_scenario`] simulates one scenario; [`experiments`] builds on it. The same scenario, seed and policy
//! always give the same outcome, to the byte.

#![forbid(unsafe_code)]

pub mod checker;
pub mod event_queue;
pub mod experiments;
pub mod metrics;
pub mod paper;
pub mod plot;
pub mod policy;
pub mod population;
pub mod scenario;
pub mod server_model;
pub mod world;
