//! The node: lupincrank's decisions on real sockets. The program is [`main`]; [`hollow`] is its part in the fleet alone.

mod admin;
mod application;
mod cli;
mod client;
mod cluster_agent;
mod command;
mod component;
mod config;
mod deadline;
mod discovery;
mod handoff;
pub mod hollow;
mod load_report;
mod placement_driver;
mod serve;
mod signals;
mod state;
mod upstream;

use cli::Command;
use cluster_agent::config::Setup;
use config::Config;
use lupincrank_operator_config::OperatorConfig;
use slog::{o, Drain, Level, Logger};
use std::process::ExitCode;
use std::sync::Mutex;

fn logger(verbose: bool) -> Logger {
    // A line goes out in one piece: two processes of one node may write to the same place.
    let decorator = slog_term::PlainDecorator::new(std::io::BufWriter::new(std::io::stderr()));
    let format = slog_term::FullFormat::new(decorator)
        .use_custom_timestamp(slog_term::timestamp_utc)
        .build()
        .ignore_res();
    let level = if verbose { Level::Debug } else { Level::Info };
    Logger::root(
        Mutex::new(slog::LevelFilter::new(format, level)).map(slog::Fuse),
        o!(),
    )
}

fn run(command: Command) -> Result<(), String> {
    let variable = |name: &str| std::env::var(name).ok();
    let load = |path: Option<String>, operator: Option<String>| {
        let mut config = Config::load(path.as_deref(), variable)?;
        if let Some(path) = operator {
            let operator = OperatorConfig::load(&path).map_err(|error| error.to_string())?;
            let setup = Setup::read(&operator, &config.name, variable);
            config.fleet = setup.map_err(|why| format!("{path}: {why}"))?;
        }
        Ok::<Config, String>(config)
    };
    match command {
        Command::Version => println!("lupincrank {}", env!("CARGO_PKG_VERSION")),
        Command::CheckConfig { config, operator } => {
            let config = load(config, operator)?;
            let strict = lupincrank_settings::validate(&config.raw, None);
            strict.map_err(|why| format!("a start takes it, SIGHUP would turn it down: {why}"))?;
            println!(
                "{}: listens on {}, {} classes",
                config.name,
                config.listen,
                config.classes.len()
            );
            println!("it holds for a start and, as far as it does not depend on the file before, for SIGHUP");
        }
        Command::Manage { address, call } => {
            let answer = admin::ask(address, &call.join(" "))
                .map_err(|error| format!("{address}: {error}"))?;
            println!("{answer}");
            if !answer.starts_with("done") {
                return Err(format!("{address} said no"));
            }
        }
        Command::Fleet {
            json,
            what,
            address,
        } => {
            let answer = admin::ask(address, &format!("fleet {what}"));
            let answer = answer.map_err(|error| format!("{address}: {error}"))?;
            let told = answer
                .strip_prefix("done ")
                .ok_or_else(|| format!("{address}: {answer}"))?;
            println!(
                "{}",
                if json {
                    told.to_string()
                } else {
                    admin::status_table::cluster_table(&what, told)
                        .map_err(|error| error.to_string())?
                }
            );
        }
        Command::Budgets {
            json,
            what,
            address,
            change,
        } => {
            let call = format!("budgets {what} {}", change.unwrap_or_default());
            let answer =
                admin::ask(address, &call).map_err(|error| format!("{address}: {error}"))?;
            let told = answer
                .strip_prefix("done ")
                .ok_or_else(|| format!("{address}: {answer}"))?;
            println!(
                "{}",
                if json {
                    told.to_string()
                } else {
                    admin::status_table::budgets_table(told).map_err(|error| error.to_string())?
                }
            );
        }
        Command::Serve {
            config,
            operator,
            verbose,
        } => {
            let config = load(config, operator)?;
            let listen = config.listen;
            let start = serve::start(config, logger(verbose));
            start
                .map_err(|error| format!("cannot start on {listen}: {error}"))?
                .run()
                .map_err(|error| format!("the loop failed: {error}"))?;
        }
    }
    Ok(())
}

/// The program, from its command line to its exit code.
pub fn main() -> ExitCode {
    match run(cli::parser().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("lupincrank: {message}");
            ExitCode::FAILURE
        }
    }
}
