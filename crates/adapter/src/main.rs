//! Hosts any number of balancers on the simulator's line protocol: events on standard input, actions on standard output.

#![forbid(unsafe_code)]

mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("lupincrank-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batch after batch until the input ends.
fn run(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), String> {
    let mut host = wire::Host::default();
    let mut line = String::new();
    let mut reply = Vec::new();
    for number in 1u64.. {
        line.clear();
        if input
            .read_line(&mut line)
            .map_err(|error| format!("line {number}: cannot read: {error}"))?
            == 0
        {
            break;
        }
        let text = line.trim();
        if text.is_empty() {
            continue;
        }
        let ends_batch = host
            .line(text)
            .map_err(|error| format!("line {number}: {error}"))?;
        if ends_batch {
            reply.clear();
            host.reply(&mut reply);
            output
                .write_all(&reply)
                .and_then(|()| output.flush())
                .map_err(|error| format!("cannot write: {error}"))?;
        }
    }
    if host.inside_batch() {
        return Err("the input ends inside a batch: no EOB after the last TICK".into());
    }
    Ok(())
}
