//! The command line.

use bpaf::{construct, long, positional, OptionParser, Parser};
use std::net::SocketAddr;

/// What the program is asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
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
        /// See `Serve`.
        config: Option<String>,
        /// See `Serve`.
        operator: Option<String>,
    },
    /// Ask a node about its fleet.
    Fleet {
        /// Print what it says as it comes.
        json: bool,
        /// `status`, `members`, `log` or `reseed`.
        what: String,
        /// The node's second address.
        address: SocketAddr,
    },
    /// Ask for the fleet's budgets, or change one.
    Budgets {
        /// Print what it says as it comes.
        json: bool,
        /// `show`, `plan` or `set`.
        what: String,
        /// The node's second address.
        address: SocketAddr,
        /// `NAME=CAPACITY`, for `plan` and `set`.
        change: Option<String>,
    },
    /// Make one call at a node's second address.
    Manage {
        /// That address.
        address: SocketAddr,
        /// The words of the call.
        call: Vec<String>,
    },
    /// Print the version.
    Version,
}

/// The parser of the command line.
pub fn parser() -> OptionParser<Command> {
    let path = || {
        long("config")
            .short('c')
            .help("Configuration file; without it the one that RELAY_CONFIG names")
            .argument::<String>("FILE")
            .optional()
    };
    let verbose = long("verbose")
        .short('v')
        .help("Log single requests and tries too")
        .switch();
    let file = || {
        long("operator")
            .help("The operator's file: the fleet and its budgets")
            .argument::<String>("FILE")
            .optional()
    };
    let (config, operator) = (path(), file());
    let serve = construct!(Command::Serve {
        config,
        operator,
        verbose
    })
    .to_options()
    .descr("Run the node until SIGTERM")
    .command("serve");
    let (config, operator) = (path(), file());
    let check = construct!(Command::CheckConfig { config, operator })
        .to_options()
        .descr("Read the configuration and say what is wrong with it")
        .command("check-config");
    let address =
        positional::<SocketAddr>("ADDRESS").help("The node's second address, as address:port");
    let call = positional::<String>("CALL")
        .help("check, set-down ID, set-up ID, fleet WHAT or budgets WHAT")
        .some("a call is missing");
    let manage = construct!(Command::Manage { address, call })
        .to_options()
        .descr("Make one call at a node's second address; the exit code is 0 for done")
        .command("manage");
    let json = long("json").help("Print the answer as JSON").switch();
    let what = positional::<String>("WHAT").help("status, members, log or reseed");
    let address =
        positional::<SocketAddr>("ADDRESS").help("The node's second address, as address:port");
    let fleet = construct!(Command::Fleet {
        json,
        what,
        address
    })
    .to_options()
    .descr("Ask a node about its fleet, or found the council anew")
    .command("fleet");
    let json = long("json").help("Print the answer as JSON").switch();
    let what = positional::<String>("WHAT").help("show, plan or set");
    let address =
        positional::<SocketAddr>("ADDRESS").help("The node's second address, as address:port");
    let change = positional::<String>("NAME=CAPACITY")
        .help("For plan and set, as in cold=60")
        .optional();
    let budgets = construct!(Command::Budgets {
        json,
        what,
        address,
        change
    })
    .to_options()
    .descr("Show the fleet's budgets, try a change out, or make it")
    .command("budgets");
    let version = bpaf::pure(Command::Version)
        .to_options()
        .descr("Print the version")
        .command("version");
    construct!([serve, check, manage, fleet, budgets, version])
        .to_options()
        .descr("lupincrank: places long-lived connections on transcribers by rendezvous hashing")
}
