//! The command line.

use bpaf::{construct, long, OptionParser, Parser};

/// What the program is asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run the node.
    Serve {
        /// The configuration, if not the one that RELAY_CONFIG names.
        config: Option<String>,
        /// Log each request too.
        verbose: bool,
    },
    /// Read the configuration and say whether it holds.
    CheckConfig {
        /// See `Serve`.
        config: Option<String>,
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
    let verbose = long("verbose").short('v').help("Log single requests and tries too").switch();
    let config = path();
    let serve = construct!(Command::Serve { config, verbose })
        .to_options()
        .descr("Run the node until SIGTERM")
        .command("serve");
    let config = path();
    let check = construct!(Command::CheckConfig { config })
        .to_options()
        .descr("Read the configuration and say what is wrong with it")
        .command("check-config");
    let version = bpaf::pure(Command::Version).to_options().descr("Print the version").command("version");
    construct!([serve, check, version])
        .to_options()
        .descr("lupincrank: places long-lived connections on transcribers by rendezvous hashing")
}
