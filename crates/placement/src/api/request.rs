//! A client's request, and the results of attempts to serve it.

use crate::api::{RequestId, Timestamp};
use std::time::Duration;

/// A request as a proxy received it from a client.
#[derive(Clone, Debug)]
pub struct RequestInfo {
    /// The request's identifier.
    pub request: RequestId,
    /// Its class: an index into [`Settings::classes`](crate::Settings::classes).
    pub class: usize,
    /// The tenant to which it belongs: an index into [`Settings::tenants`](crate::Settings::tenants).
    pub tenant: Option<usize>,
    /// The group to which it belongs; members of a group share work if they are on the same server.
    pub group: Option<String>,
    /// The client's key. Servers are ranked by it if the request belongs to no group.
    pub key: Option<String>,
    /// Expected load: seconds of CPU time on a standard core per second that the connection is open.
    pub load: Option<Duration>,
    /// The time at which the client stops waiting.
    pub deadline: Timestamp,
    /// Whether packets of an already open connection arrived here; only the server that holds the connection can
    /// continue it.
    pub is_mid_flow: bool,
    /// Whether the client reconnects after a failure or a migration.
    pub is_reconnect: bool,
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server served the request.
    Served,
    /// The server answered with an error; the request may have been executed.
    Error,
    /// The server rejected the request before execution, because it is full or draining.
    Rejected,
    /// No answer was received in time; the request may have been executed.
    TimedOut,
    /// No connection could be established; the request was not executed.
    ConnectFailed,
    /// The connection was established and closed before the request was sent; the request was not executed.
    ClosedBeforeSend,
    /// The connection was closed after the request was sent; the request may have been executed.
    Reset,
    /// The proxy cancelled the attempt; the request may have been executed.
    Cancelled,
    /// Nothing was sent.
    NotSent,
}

impl Outcome {
    /// Returns true if this outcome proves that the attempt was not executed.
    pub fn proves_not_executed(self) -> bool {
        matches!(
            self,
            Outcome::Rejected
                | Outcome::ConnectFailed
                | Outcome::ClosedBeforeSend
                | Outcome::NotSent
        )
    }
}
