//! `lupincrank-simulator`: simulates scenarios, runs experiments and plots results.

#![forbid(unsafe_code)]

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    let command = cli::options().run();
    match cli::execute(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lupincrank-simulator: {error}");
            ExitCode::FAILURE
        }
    }
}
