//! Checks of the repository itself, run as tests: what a compiler and a linter do not see.
//!
//! [`sources`] reads the source files, [`imports`] finds cycles of imports among the modules of a crate, [`log_lines`]
//! lists the log lines of a crate, and [`policy`] measures the files that hold the placement policy.

#![forbid(unsafe_code)]

pub mod imports;
pub mod log_lines;
pub mod policy;
pub mod sources;
