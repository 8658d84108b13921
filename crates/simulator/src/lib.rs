//! The lab: an emulator of the service in simulated time. It runs the decisions that serve, unchanged, one instance for
//! each node, against a model of transcribers, clients, discovery and what goes wrong, with judges that see the truth.
//!
//! [`world::play`] plays one scenario; [`experiments`] has what is built on it.

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
