//! Checks of the repository itself, run as tests, for rules that the compiler and the linter do not check.
//!
//! [`sources`] reads the source files, [`imports`] finds cycles of imports among the modules of a crate, [`log_lines`]
//! lists the log lines of a crate, and [`policy`] finds the files that contain the placement policy.

#![forbid(unsafe_code)]

pub mod imports;
pub mod log_lines;
pub mod policy;
pub mod sources;
