//! Observations of clients, upstream servers and discovery: the only input by which a checker judges a run.

use std::time::Instant;

/// The first answer that a client received to its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The connection is established.
    Accepted,
    /// The request was rejected.
    Rejected {
        /// Milliseconds to wait before the next attempt; 0 if the answer contained no delay.
        retry_after_ms: u64,
    },
    /// Any other line.
    Failed,
    /// The connection ended without an answer.
    Closed,
}

/// How an established connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The client closed it as planned.
    ByClient,
    /// The connection ended after a MOVE.
    Migrated,
    /// The connection ended without a MOVE.
    Unexpected,
}

/// An observation of a component.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// A client sent a complete first line.
    RequestSent {
        /// Id of the request.
        request: u64,
        /// Number of the node that it was sent to.
        node: usize,
        /// Milliseconds that the client waits for an answer.
        timeout_ms: u64,
    },
    /// A client received its first answer, or its connection ended without one.
    FirstAnswer {
        /// Id of the request.
        request: u64,
        /// The answer.
        answer: Answer,
    },
    /// A client received a line after its final answer.
    ExtraAnswer {
        /// Id of the request.
        request: u64,
    },
    /// A client stopped waiting for an answer.
    ClientTimedOut {
        /// Id of the request.
        request: u64,
    },
    /// An established connection ended.
    ConnectionEnded {
        /// Id of the request that established it.
        request: u64,
        /// How it ended.
        end: ConnectionEnd,
    },
    /// An upstream server closed a connection of its own accord.
    ClosedByServer {
        /// Id of the request that established it.
        request: u64,
    },
    /// An upstream server crashed from overload.
    ServerCrashed {
        /// Number of the server.
        server: usize,
        /// Whether the server was still warming up.
        is_warming_up: bool,
        /// Connections that the server had.
        connection_count: usize,
    },
    /// A first line reached a server that was warming up when the connection to it was dialed.
    WarmingUpConnection {
        /// Number of the server.
        server: usize,
        /// When the connection was dialed.
        dialed_at: Instant,
    },
    /// Discovery has sent a node the health of a server.
    EndpointAnnounced {
        /// Number of the node.
        node: usize,
        /// Number of the server.
        server: usize,
        /// Whether the server accepts new connections.
        is_ready: bool,
    },
}
