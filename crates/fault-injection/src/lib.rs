//! Trials: several real processes of the program with stand-ins around them and a proxy between every two, broken by a time
//! line, and judged from outside. `docs/design/trials.md` says why it is made so.

#![forbid(unsafe_code)]
#![allow(missing_docs)]

mod build;
mod call;
mod faults;
mod hop;
pub mod hunt;
pub mod judge;
pub mod links;
pub mod plan;
pub mod processes;
mod proxy;
pub mod report;
pub mod run;
pub mod scenario;
pub mod stage;
mod step;
mod world;
pub mod wrongdoer;
