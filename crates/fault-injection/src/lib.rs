//! Fault injection: several real processes of the program, with test servers around them and a proxy on every link.
//!
//! A scenario's faults are injected on a timeline, and a checker evaluates the run by what clients, upstream servers
//! and proxies observe. `docs/design/fault-injection.md` gives the reasons for this design.

#![forbid(unsafe_code)]

pub mod checker;
mod client_sessions;
mod cluster_setup;
mod datagram_proxy;
mod deadline;
mod error;
mod fault_injector;
mod fault_step;
mod harness;
pub mod link;
mod merged_log;
mod node_call;
mod node_config;
pub mod node_process;
mod outcome;
pub mod plan;
pub mod report;
pub mod rule_breaker;
pub mod run;
mod run_loop;
pub mod scenario;
pub mod search;
mod session_schedule;
mod stream_proxy;
pub mod stream_relay;

pub use error::{error_chain, RunError};
pub use harness::{Phase, Progress};
pub use outcome::{Outcome, Verdict};
