//! Measures what the control plane costs by the size of the cluster.
//!
//! Hollow nodes, many in one process, run the real control code beside a few real processes; a counting proxy before each
//! node counts what others send to it. `docs/design/scale.md` gives the reasons for this design.

#![forbid(unsafe_code)]

pub mod counting_proxy;
mod error;
pub mod hollow_host;
pub mod options;
pub mod outcome;
pub mod plot;
pub mod progress;
pub mod regression;
pub mod run;
pub mod topology;

pub use error::RunError;
