//! The command line.

use bpaf::{construct, long, positional, OptionParser, Parser};
use std::net::SocketAddr;

/// A command of the program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// Run the node.
    Serve {
        /// The configuration file; defaults to the path in `RELAY_CONFIG`.
        config: Option<String>,
        /// The operator's file, if any.
        operator: Option<String>,
        /// Also log individual requests and attempts.
        verbose: bool,
    },
    /// Check the configuration and report whether it is valid.
    CheckConfig {
        /// The configuration file; defaults to the path in `RELAY_CONFIG`.
        config: Option<String>,
        /// The operator's file, if any.
        operator: Option<String>,
    },
    /// Query a node about its cluster, or recover a lost quorum.
    Fleet {
        /// The output format of the answer.
        format: OutputFormat,
        /// `status`, `members`, `log` or `reseed`.
        subcommand: String,
        /// The node's admin address.
        address: SocketAddr,
    },
    /// Show the cluster's budgets, or preview or apply a change.
    Budgets {
        /// The output format of the answer.
        format: OutputFormat,
        /// `show`, `plan` or `set`.
        subcommand: String,
        /// The node's admin address.
        address: SocketAddr,
        /// `NAME=CAPACITY`, for `plan` and `set`.
        change: Option<String>,
    },
    /// Make one admin call.
    Manage {
        /// The node's admin address.
        address: SocketAddr,
        /// The words of the admin call.
        call: Vec<String>,
    },
    /// Print the version.
    Version,
}

/// The output format of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    /// The JSON as received.
    Json,
    /// A human-readable table.
    Table,
}

/// Returns the parser of the command line.
pub(crate) fn parser() -> OptionParser<Command> {
    let serve = serve().command("serve");
    let check = check_config().command("check-config");
    let manage = manage().command("manage");
    let fleet = fleet().command("fleet");
    let budgets = budgets().command("budgets");
    let version = version().command("version");
    construct!([serve, check, manage, fleet, budgets, version])
        .to_options()
        .descr("lupincrank: places long-lived connections on servers by rendezvous hashing")
}

fn serve() -> OptionParser<Command> {
    let config = config_path();
    let operator = operator_path();
    let verbose = long("verbose")
        .short('v')
        .help("Also log individual requests and attempts")
        .switch();
    construct!(Command::Serve {
        config,
        operator,
        verbose
    })
    .to_options()
    .descr("Run the node until SIGTERM")
}

fn check_config() -> OptionParser<Command> {
    let config = config_path();
    let operator = operator_path();
    construct!(Command::CheckConfig { config, operator })
        .to_options()
        .descr("Check the configuration and report the first error")
}

fn manage() -> OptionParser<Command> {
    let address = admin_address();
    let call = positional::<String>("CALL")
        .help("check, set-down ID, set-up ID, fleet WHAT or budgets WHAT")
        .some("an admin call is required");
    construct!(Command::Manage { address, call })
        .to_options()
        .descr("Make one admin call to a node; the exit code is 0 if the answer is done")
}

fn fleet() -> OptionParser<Command> {
    let format = output_format();
    let subcommand = positional::<String>("WHAT").help("status, members, log or reseed");
    let address = admin_address();
    construct!(Command::Fleet {
        format,
        subcommand,
        address
    })
    .to_options()
    .descr("Query a node about its fleet, or recover a lost quorum with reseed")
}

fn budgets() -> OptionParser<Command> {
    let format = output_format();
    let subcommand = positional::<String>("WHAT").help("show, plan or set");
    let address = admin_address();
    let change = positional::<String>("NAME=CAPACITY")
        .help("The change for plan and set, for example cold=60")
        .optional();
    construct!(Command::Budgets {
        format,
        subcommand,
        address,
        change
    })
    .to_options()
    .descr("Show the fleet's budgets, preview a change, or apply it")
}

fn version() -> OptionParser<Command> {
    bpaf::pure(Command::Version)
        .to_options()
        .descr("Print the version")
}

fn config_path() -> impl Parser<Option<String>> {
    long("config")
        .short('c')
        .help("Configuration file; defaults to the path in RELAY_CONFIG")
        .argument::<String>("FILE")
        .optional()
}

fn operator_path() -> impl Parser<Option<String>> {
    long("operator")
        .help("The operator's file, which defines the fleet and its budgets")
        .argument::<String>("FILE")
        .optional()
}

fn admin_address() -> impl Parser<SocketAddr> {
    positional::<SocketAddr>("ADDRESS").help("The node's admin address, as address:port")
}

fn output_format() -> impl Parser<OutputFormat> {
    long("json")
        .help("Print the answer as JSON")
        .flag(OutputFormat::Json, OutputFormat::Table)
}
