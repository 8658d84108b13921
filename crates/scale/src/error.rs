//! Why a run could not be carried out.

use crate::options::InvalidOption;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a run could not be carried out.
#[derive(Debug, Error)]
pub enum RunError {
    /// An error of the system.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Text that is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// An option is out of bounds.
    #[error(transparent)]
    Option(#[from] InvalidOption),
    /// It was stopped before its end.
    #[error("it was stopped")]
    Stopped,
    /// A program can't be started.
    #[error("{program}")]
    Start {
        /// The program.
        program: String,
        /// The reason.
        source: io::Error,
    },
    /// A real node has ended.
    #[error("{node} has ended: {status}: {log}")]
    NodeEnded {
        /// The node.
        node: String,
        /// Its exit status.
        status: String,
        /// The last lines of its log.
        log: String,
    },
    /// A process of hollow nodes has ended.
    #[error("{host} has ended")]
    HostEnded {
        /// The process.
        host: String,
    },
    /// A process of hollow nodes has written a line that is no report.
    #[error("{host} said {line:?}")]
    HostReport {
        /// The process.
        host: String,
        /// The line.
        line: String,
        /// The reason.
        source: serde_json::Error,
    },
    /// A process of hollow nodes takes no commands.
    #[error("hollow nodes from {first_node} on")]
    HostCommand {
        /// Its first node.
        first_node: usize,
        /// The reason.
        source: io::Error,
    },
    /// A process was started without a pipe.
    #[error("a host has no {pipe}")]
    NoPipe {
        /// `input` or `output`.
        pipe: &'static str,
    },
    /// The proxies have failed.
    #[error("the doors")]
    Proxy {
        /// The reason.
        source: io::Error,
    },
    /// The proxies have ended before they were open.
    #[error("the doors did not open")]
    ProxyNotOpened,
    /// A node does not answer an admin command.
    #[error("{address}")]
    AdminCall {
        /// Its admin address.
        address: SocketAddr,
        /// The reason.
        source: io::Error,
    },
    /// A node has refused an admin command.
    #[error("{address}: {answer}")]
    AdminCommandFailed {
        /// Its admin address.
        address: SocketAddr,
        /// Its answer.
        answer: String,
    },
    /// The cluster did not become ready.
    #[error("not settled after {timeout_s} s: {reason}")]
    NotSettled {
        /// How long it was waited, in seconds.
        timeout_s: f64,
        /// What was missing last.
        reason: String,
    },
}
