//! Hosts any number of balancers for an external simulator over a line protocol: events on standard input, actions on
//! standard output.
//!
//! The input is a sequence of batches, each from a `TICK` line to an `EOB` line, with one JSON object per line. The
//! reply to a batch is the actions that its events caused, followed by a `YIELD` line. The program ends at the end of
//! the input, or with an error at the first invalid line.

#![forbid(unsafe_code)]

mod error;
mod host;
mod input;
mod output;

use error::AdapterError;
use host::{BatchState, Host};
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lupincrank-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Replies to batches until the end of the input.
fn run(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut line = String::new();
    let mut reply = Vec::new();
    for number in 1u64.. {
        line.clear();
        let length = input
            .read_line(&mut line)
            .map_err(|error| AdapterError::Read { number, error })?;
        if length == 0 {
            break;
        }
        let text = line.trim();
        if text.is_empty() {
            continue;
        }
        let state = host
            .handle_line(text)
            .map_err(|error| AdapterError::Line { number, error })?;
        if state == BatchState::Complete {
            reply.clear();
            host.write_reply(&mut reply);
            write_and_flush(output, &reply)?;
        }
    }
    if host.is_inside_batch() {
        return Err(AdapterError::UnfinishedBatch);
    }
    Ok(())
}

fn write_and_flush(output: &mut impl Write, reply: &[u8]) -> Result<(), AdapterError> {
    output.write_all(reply).map_err(AdapterError::Write)?;
    output.flush().map_err(AdapterError::Write)
}
