//! The command line.

use bpaf::{construct, long, positional, OptionParser, Parser};
use std::net::SocketAddr;

/// What the program is asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// Run the node.
    Serve {
        /// The configuration, if not the one that `RELAY_CONFIG` names.
        config: Option<String>,
        /// The operator's file, if there is one.
        operator: Option<String>,
        /// Log each request too.
        verbose: bool,
    },
    /// Read the configuration and say whether it holds.
    CheckConfig {
        /// The configuration, if not the one that `RELAY_CONFIG` names.
        config: Option<String>,
        /// The operator's file, if there is one.
        operator: Option<String>,
    },
    /// Ask a node about its cluster.
    Fleet {
        /// How to print the answer.
        format: OutputFormat,
        /// `status`, `members`, `log` or `reseed`.
        what: String,
        /// The node's admin address.
        address: SocketAddr,
    },
    /// Ask for the cluster's budgets, or change one.
    Budgets {
        /// How to print the answer.
        format: OutputFormat,
        /// `show`, `plan` or `set`.
        what: String,
        /// The node's admin address.
        address: SocketAddr,
        /// `NAME=CAPACITY`, for `plan` and `set`.
        change: Option<String>,
    },
    /// Make one admin call.
    Manage {
        /// The node's admin address.
        address: SocketAddr,
        /// The words of the call.
        call: Vec<String>,
    },
    /// Print the version.
    Version,
}

/// How an answer is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    /// As it comes.
    Json,
    /// Laid out for people.
    Table,
}

/// The parser of the command line.
pub(crate) fn parser() -> OptionParser<Command> {
    let serve = serve().command("serve");
    let check = check_config().command("check-config");
    let manage = manage().command("manage");
    let fleet = fleet().command("fleet");
    let budgets = budgets().command("budgets");
    let version = version().command("version");
    construct!([serve, check, manage, fleet, budgets, version])
        .to_options()
        .descr("lupincrank: places long-lived connections on transcribers by rendezvous hashing")
}

fn serve() -> OptionParser<Command> {
    let config = config_path();
    let operator = operator_path();
    let verbose = long("verbose")
        .short('v')
        .help("Log single requests and tries too")
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
        .descr("Read the configuration and say what is wrong with it")
}

fn manage() -> OptionParser<Command> {
    let address = admin_address();
    let call = positional::<String>("CALL")
        .help("check, set-down ID, set-up ID, fleet WHAT or budgets WHAT")
        .some("a call is missing");
    construct!(Command::Manage { address, call })
        .to_options()
        .descr("Make one call at a node's second address; the exit code is 0 for done")
}

fn fleet() -> OptionParser<Command> {
    let format = output_format();
    let what = positional::<String>("WHAT").help("status, members, log or reseed");
    let address = admin_address();
    construct!(Command::Fleet {
        format,
        what,
        address
    })
    .to_options()
    .descr("Ask a node about its fleet, or found the council anew")
}

fn budgets() -> OptionParser<Command> {
    let format = output_format();
    let what = positional::<String>("WHAT").help("show, plan or set");
    let address = admin_address();
    let change = positional::<String>("NAME=CAPACITY")
        .help("For plan and set, as in cold=60")
        .optional();
    construct!(Command::Budgets {
        format,
        what,
        address,
        change
    })
    .to_options()
    .descr("Show the fleet's budgets, try a change out, or make it")
}

fn version() -> OptionParser<Command> {
    bpaf::pure(Command::Version)
        .to_options()
        .descr("Print the version")
}

fn config_path() -> impl Parser<Option<String>> {
    long("config")
        .short('c')
        .help("Configuration file; without it the one that RELAY_CONFIG names")
        .argument::<String>("FILE")
        .optional()
}

fn operator_path() -> impl Parser<Option<String>> {
    long("operator")
        .help("The operator's file: the fleet and its budgets")
        .argument::<String>("FILE")
        .optional()
}

fn admin_address() -> impl Parser<SocketAddr> {
    positional::<SocketAddr>("ADDRESS").help("The node's second address, as address:port")
}

fn output_format() -> impl Parser<OutputFormat> {
    long("json")
        .help("Print the answer as JSON")
        .flag(OutputFormat::Json, OutputFormat::Table)
}
