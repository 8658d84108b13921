//! The program: carries out what its command line asks for.

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

/// What the answer to an admin call that was carried out begins with.
const DONE: &str = "done";

/// Why a command has failed. The messages include their sources'.
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
    #[error("a start takes it, SIGHUP would turn it down: {0}")]
    NotReloadable(#[from] ValidationError),
    #[error("{address}: {source}")]
    AdminCall {
        address: SocketAddr,
        source: io::Error,
    },
    #[error("{address} said no")]
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
    #[error("the loop failed: {0}")]
    EventLoop(io::Error),
}

/// The program, from its command line to its exit code.
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
            what,
            address,
        } => show_cluster(address, &what, format),
        Command::Budgets {
            format,
            what,
            address,
            change,
        } => show_budgets(address, &what, change.as_deref(), format),
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

/// The configuration, with the cluster that the operator's file names.
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
    println!(
        "it holds for a start and, as far as it does not depend on the file before, for SIGHUP"
    );
    Ok(())
}

fn run_node(config: Config, log: Logger) -> Result<(), ProgramError> {
    let address = config.listen_address;
    let mut reactor =
        serve::start(config, log).map_err(|source| ProgramError::Start { address, source })?;
    reactor.run().map_err(ProgramError::EventLoop)
}

fn logger(verbose: bool) -> Logger {
    // A line goes out in one piece: two processes of one node may write to the same place.
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

/// Makes an admin call that answers with JSON, and gives that.
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

fn show_cluster(address: SocketAddr, what: &str, format: OutputFormat) -> Result<(), ProgramError> {
    let json = query_admin(address, &format!("fleet {what}"))?;
    let text = match format {
        OutputFormat::Json => json,
        OutputFormat::Table => admin::status_table::cluster_table(what, &json)?,
    };
    println!("{text}");
    Ok(())
}

fn show_budgets(
    address: SocketAddr,
    what: &str,
    change: Option<&str>,
    format: OutputFormat,
) -> Result<(), ProgramError> {
    let call = format!("budgets {what} {}", change.unwrap_or_default());
    let json = query_admin(address, &call)?;
    let text = match format {
        OutputFormat::Json => json,
        OutputFormat::Table => admin::status_table::budgets_table(&json)?,
    };
    println!("{text}");
    Ok(())
}
