//! What stand-ins see, each with the moment by the trial's own clock. It is all that a judge knows.

use std::time::Instant;

/// An answer to a first line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served.
    Up,
    /// Refused, and for how long to stay away in milliseconds.
    Busy(u64),
    /// Any other line.
    Failed,
    /// The connection ended without one.
    Closed,
}

/// How a standing connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// By the client's own wish.
    Own,
    /// After a MOVE.
    Moved,
    /// After the transcriber had ended it.
    Theirs,
    /// Cut off.
    Cut,
}

/// Something that was seen.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A client wrote a whole first line to this node, to be answered in so many milliseconds.
    Asked {
        /// Its id.
        request: u64,
        /// The node's number.
        node: usize,
        /// See the variant.
        wait_ms: u64,
    },
    /// The first answer.
    Answered {
        /// To which.
        request: u64,
        /// See the variant.
        answer: Answer,
    },
    /// A line after an answer that was final.
    Again {
        /// To which.
        request: u64,
    },
    /// The client has stopped to wait.
    GaveUp {
        /// For which.
        request: u64,
    },
    /// A standing connection has ended.
    Stood {
        /// Whose.
        request: u64,
        /// See the variant.
        end: End,
    },
    /// A transcriber ended a connection by itself.
    Dropped {
        /// Whose.
        request: u64,
    },
    /// A transcriber has fallen over.
    Fell {
        /// Its number.
        transcriber: usize,
        /// While it was cold.
        cold: bool,
        /// Connections that it held.
        held: usize,
    },
    /// A first line has come to a cold transcriber.
    Cold {
        /// Its number.
        transcriber: usize,
        /// When its connection was begun by the node.
        begun: Instant,
    },
    /// Discovery has written to this node that a transcriber takes nothing new.
    Told {
        /// The node's number.
        node: usize,
        /// The transcriber's.
        transcriber: usize,
        /// It takes connections (again).
        ready: bool,
    },
}
