//! The program: executes the command of its command line.

use crate::admin;
use crate::admin::status_table::UnreadableAnswer;
use crate::cli::{self, Command, OutputFormat};
use crate::cluster_agent::config::{ClusterConfig, ClusterConfigError};
use crate::config::{Config, ConfigError};
use crate::serve;
use lupincrank_operator_config::{OperatorConfig, OperatorConfigError};
use lupincrank_settings::ValidationError;
use slog::{o, Drain, Level, Logger};
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Mutex;

/// The first word of the answer to a successful admin call.
const DONE: &str = "done";

/// The error of a failed command. The messages include those of their sources.
#[derive(Debug, thiserror::Error)]
enum ProgramError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    OperatorFile(#[from] OperatorConfigError),
    #[error("{path}: {source}")]
    Cluster {
        path: String,
        source: ClusterConfigError,
    },
    #[error("valid for a start, but SIGHUP would reject it: {0}")]
    NotReloadable(#[from] ValidationError),
    #[error("{address}: {source}")]
    AdminCall {
        address: SocketAddr,
        source: io::Error,
    },
    #[error("{address}: admin call failed")]
    AdminCallFailed { address: SocketAddr },
    #[error("{address}: {answer}")]
    AdminAnswer { address: SocketAddr, answer: String },
    #[error(transparent)]
    UnreadableAnswer(#[from] UnreadableAnswer),
    #[error("cannot start on {address}: {source}")]
    Start {
        address: SocketAddr,
        source: io::Error,
    },
    #[error("event loop failed: {0}")]
    EventLoop(io::Error),
}

/// Parses the command line, executes the command and returns the exit code.
pub fn main() -> ExitCode {
    match run(cli::parser().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lupincrank: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<(), ProgramError> {
    match command {
        Command::Version => {
            println!("lupincrank {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::CheckConfig { config, operator } => {
            check_config(config.as_deref(), operator.as_deref())
        }
        Command::Manage { address, call } => manage(address, &call),
        Command::Fleet {
            format,
            subcommand,
            address,
        } => show_cluster(address, &subcommand, format),
        Command::Budgets {
            format,
            subcommand,
            address,
            change,
        } => show_budgets(address, &subcommand, change.as_deref(), format),
        Command::Serve {
            config,
            operator,
            verbose,
        } => {
            let config = load_config(config.as_deref(), operator.as_deref())?;
            run_node(config, logger(verbose))
        }
    }
}

fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Loads the configuration, including the cluster that the operator's file defines.
fn load_config(path: Option<&str>, operator_path: Option<&str>) -> Result<Config, ProgramError> {
    let mut config = Config::load(path, environment_variable)?;
    let Some(path) = operator_path else {
        return Ok(config);
    };
    let operator = OperatorConfig::load(path)?;
    config.cluster = ClusterConfig::from_operator(&operator, &config.name, environment_variable)
        .map_err(|error| ProgramError::Cluster {
            path: path.to_string(),
            source: error,
        })?;
    Ok(config)
}

fn check_config(path: Option<&str>, operator_path: Option<&str>) -> Result<(), ProgramError> {
    let config = load_config(path, operator_path)?;
    lupincrank_settings::validate(&config.document, None)?;
    println!(
        "{}: listens on {}, {} classes",
        config.name,
        config.listen_address,
        config.classes.len()
    );
    println!("valid for a start, and for SIGHUP if it lacks no key of the file in use");
    Ok(())
}

fn run_node(config: Config, log: Logger) -> Result<(), ProgramError> {
    let address = config.listen_address;
    let mut reactor =
        serve::start(config, log).map_err(|source| ProgramError::Start { address, source })?;
    reactor.run().map_err(ProgramError::EventLoop)
}

fn logger(verbose: bool) -> Logger {
    // Buffered, so that each line is written in one piece: two processes of one node may write to the same output.
    let decorator = slog_term::PlainDecorator::new(io::BufWriter::new(io::stderr()));
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

fn call_admin(address: SocketAddr, call: &str) -> Result<String, ProgramError> {
    admin::ask(address, call).map_err(|source| ProgramError::AdminCall { address, source })
}

/// Makes an admin call and returns the JSON of its answer.
fn query_admin(address: SocketAddr, call: &str) -> Result<String, ProgramError> {
    let answer = call_admin(address, call)?;
    match answer
        .strip_prefix(DONE)
        .and_then(|rest| rest.strip_prefix(' '))
    {
        Some(json) => Ok(json.to_string()),
        None => Err(ProgramError::AdminAnswer { address, answer }),
    }
}

fn manage(address: SocketAddr, call: &[String]) -> Result<(), ProgramError> {
    let answer = call_admin(address, &call.join(" "))?;
    println!("{answer}");
    if answer.starts_with(DONE) {
        Ok(())
    } else {
        Err(ProgramError::AdminCallFailed { address })
    }
}

fn show_cluster(
    address: SocketAddr,
    subcommand: &str,
    format: OutputFormat,
) -> Result<(), ProgramError> {
    let json = query_admin(address, &format!("fleet {subcommand}"))?;
    let text = match format {
        OutputFormat::Json => json,
        OutputFormat::Table => admin::status_table::cluster_table(subcommand, &json)?,
    };
    println!("{text}");
    Ok(())
}

fn show_budgets(
    address: SocketAddr,
    subcommand: &str,
    change: Option<&str>,
    format: OutputFormat,
) -> Result<(), ProgramError> {
    let call = format!("budgets {subcommand} {}", change.unwrap_or_default());
    let json = query_admin(address, &call)?;
    let text = match format {
        OutputFormat::Json => json,
        OutputFormat::Table => admin::status_table::budgets_table(&json)?,
    };
    println!("{text}");
    Ok(())
}
