//! What control costs by the size of the fleet: hollow nodes, many in one process, that run the real control code beside a few
//! real processes, with a counting door before each. `docs/design/scale.md` says why it is made so.

#![forbid(unsafe_code)]

pub mod counting_proxy;
pub mod hollow_host;
pub mod outcome;
pub mod plot;
pub mod progress;
pub mod regression;
pub mod run;
pub mod topology;
