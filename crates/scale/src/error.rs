//! Errors of a run.

use crate::options::InvalidOption;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// The reason why a run failed.
#[derive(Debug, Error)]
pub enum RunError {
    /// An I/O error.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Invalid JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// An option is out of bounds.
    #[error(transparent)]
    Option(#[from] InvalidOption),
    /// The run was stopped before its end.
    #[error("run stopped before its end")]
    Stopped,
    /// A program can't be started.
    #[error("failed to start {program}")]
    Start {
        /// The program.
        program: String,
        /// The reason.
        source: io::Error,
    },
    /// The process of a real node exited.
    #[error("node {node} exited: {status}: {log}")]
    NodeEnded {
        /// The node.
        node: String,
        /// The exit status of the process.
        status: String,
        /// The last lines of its log.
        log: String,
    },
    /// A process of hollow nodes exited.
    #[error("{host} exited")]
    HostEnded {
        /// The process.
        host: String,
    },
    /// A process of hollow nodes wrote an invalid report.
    #[error("{host} wrote an invalid report {line:?}")]
    HostReport {
        /// The process.
        host: String,
        /// The line.
        line: String,
        /// The reason.
        source: serde_json::Error,
    },
    /// A command can't be sent to a process of hollow nodes.
    #[error("failed to send a command to the hollow nodes from node {first_node} on")]
    HostCommand {
        /// First node of the process.
        first_node: usize,
        /// The reason.
        source: io::Error,
    },
    /// A process of hollow nodes was started without a pipe.
    #[error("process of hollow nodes has no {pipe} pipe")]
    NoPipe {
        /// `input` or `output`.
        pipe: &'static str,
    },
    /// The proxies failed.
    #[error("counting proxies failed")]
    Proxy {
        /// The reason.
        source: io::Error,
    },
    /// The proxies ended before they were open.
    #[error("counting proxies ended before they were open")]
    ProxyNotOpened,
    /// A node did not answer an admin command.
    #[error("admin command to {address} failed")]
    AdminCall {
        /// The admin address of the node.
        address: SocketAddr,
        /// The reason.
        source: io::Error,
    },
    /// A node rejected an admin command.
    #[error("{address} rejected the admin command: {answer}")]
    AdminCommandFailed {
        /// The admin address of the node.
        address: SocketAddr,
        /// The answer of the node.
        answer: String,
    },
    /// The cluster did not become ready in time.
    #[error("cluster not ready after {timeout_s} s: {reason}")]
    NotSettled {
        /// Time limit in seconds.
        timeout_s: f64,
        /// The last unmet condition.
        reason: String,
    },
}
