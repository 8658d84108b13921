//! What control costs by the size of the fleet: hollow nodes, many in one process, that run the real control code beside a few
//! real processes, with a counting door before each. `docs/design/scale.md` says why it is made so.

#![forbid(unsafe_code)]

pub mod doors;
pub mod fit;
pub mod host;
pub mod ledger;
pub mod outcome;
pub mod place;
pub mod plot;
pub mod run;
