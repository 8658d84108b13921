//! The command line of the simulator: options, commands and their errors.

mod commands;
mod error;
mod options;
mod results;

pub(crate) use commands::execute;
pub(crate) use options::options;
