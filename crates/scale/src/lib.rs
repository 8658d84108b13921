//! Measures the cost of the control plane by cluster size.
//!
//! Hollow nodes, many in one process, run the real control-plane code without a data path. A few real nodes, each a
//! process of the program, run beside them. A proxy in front of each node counts the traffic that other nodes send to
//! it. `docs/design/scale.md` gives the reasons for this design.

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
