//! A client's request and how an attempt to serve it can end.

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
    /// The group to which it belongs; members of a group share work when they are on one server.
    pub group: Option<String>,
    /// The key by which its server is ranked first.
    pub key: Option<String>,
    /// Expected load: CPU time of a standard core for each second that the connection is open.
    pub load: Option<Duration>,
    /// When the client stops waiting.
    pub deadline: Timestamp,
    /// Whether packets of an already open connection came here; only the server that holds the connection can go on with it.
    pub is_mid_flow: bool,
    /// Whether the client reconnects after a failure or a migration.
    pub is_reconnect: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server served it.
    Served,
    /// The server answered with an error; the request may have been executed.
    Error,
    /// The server rejected it before execution: it is full or draining.
    Rejected,
    /// No answer came in time; the request may have been executed.
    TimedOut,
    /// No connection could be made; the request was not executed.
    ConnectFailed,
    /// The connection was made and closed before the request was sent; it was not executed.
    ClosedBeforeSend,
    /// The connection was closed after the request was sent; it may have been executed.
    Reset,
    /// The proxy cancelled the attempt; the request may have been executed.
    Cancelled,
    /// Nothing was sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt was not executed.
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
