//! The life cycle of requests: handles the reports of clients and attempts, from the first line to the end of the
//! connection.

use super::command::{Command, Owner};
use super::latency::load_duration;
use super::request::{hex_id, ActiveRequest, EstablishedConnection};
use super::PlacementDriver;
use crate::handoff::request_claims::RequestClaim;
use lupincrank_placement::{Event, Outcome, RequestId, RequestInfo};
use slog::debug;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The deadline of a connection that is already established: no further attempt is made for it.
const INHERITED_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// The state of the client when an attempt ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientState {
    /// The client waits: another attempt may be made.
    Waiting,
    /// The client has its answer, or needs none.
    Answered,
}

/// A connection that a server has accepted before this process learned of it.
pub(crate) struct InheritedConnection<'a> {
    /// The request.
    pub(crate) request: RequestInfo,
    /// The server's id.
    pub(crate) server: &'a str,
    /// The claim of the request's id.
    pub(crate) claim: RequestClaim,
}

impl PlacementDriver {
    /// Sets the request's deadline and adds it to the active requests.
    fn insert_request(
        &mut self,
        owner: Owner,
        info: &mut RequestInfo,
        timeout: Duration,
        claim: RequestClaim,
    ) {
        let deadline = Instant::now() + timeout;
        info.deadline = self.clock.timestamp(deadline);
        let active = ActiveRequest::new(owner, info.clone(), deadline, claim);
        self.requests.insert(info.request, active);
    }

    /// Handles a request from a client that waits for `timeout`. `claim` is the claim of its id.
    pub(crate) fn on_request(
        &mut self,
        owner: Owner,
        mut info: RequestInfo,
        timeout: Duration,
        claim: RequestClaim,
    ) {
        if self.is_shutting_down {
            return self.commands.push_back(Command::Reject {
                owner,
                retry_after: self.shutdown_retry_after,
            });
        }
        self.insert_request(owner, &mut info, timeout, claim);
        debug!(self.log, "request received"; "request" => hex_id(info.request), "class" => info.class,
            "group" => info.group.clone(), "reconnect" => info.is_reconnect, "timeout_ms" => timeout.as_millis() as u64);
        self.feed(Event::RequestReceived(info));
    }

    /// Ends a request that the server could not parse: the client is at fault, which is no evidence against the
    /// server.
    pub(crate) fn on_malformed_request(&mut self, request: RequestId) {
        let Some(owner) = self.requests.get(&request).map(|active| active.owner) else {
            return;
        };
        self.on_client_disconnected(request);
        self.commands.push_back(Command::Fail { owner });
    }

    /// Registers a connection that was established before this process started.
    pub(crate) fn on_inherited_connection(
        &mut self,
        owner: Owner,
        inherited: InheritedConnection<'_>,
    ) {
        let InheritedConnection {
            request: mut info,
            server,
            claim,
        } = inherited;
        self.insert_request(owner, &mut info, INHERITED_REQUEST_TIMEOUT, claim);
        if let Some(active) = self.requests.get_mut(&info.request) {
            active.start_attempt(server.into());
            active.establish();
        }
        debug!(self.log, "connection inherited"; "request" => hex_id(info.request), "class" => info.class,
            "group" => info.group.clone(), "server" => server);
        self.feed(Event::ConnectionInherited(info, server.into()));
    }

    /// Registers a connection transferred from another process of this node, with its load and its unanswered lines.
    pub(crate) fn on_transferred_connection(
        &mut self,
        owner: Owner,
        inherited: InheritedConnection<'_>,
        load: Option<f64>,
        unanswered_lines: VecDeque<Instant>,
    ) {
        let request = inherited.request.request;
        self.on_inherited_connection(owner, inherited);
        if let Some(active) = self.requests.get_mut(&request) {
            active.resume(load, unanswered_lines);
        }
        if let Some(load) = load {
            self.feed(Event::LoadObserved {
                request,
                load: load_duration(load),
            });
        }
    }

    /// Returns the state that another process needs to continue an established connection. `None` if the connection
    /// is about to end.
    pub(crate) fn established_connection(
        &self,
        request: RequestId,
    ) -> Option<EstablishedConnection<'_>> {
        self.requests.get(&request)?.established_connection()
    }

    /// Returns true if the first line of the attempt in flight may be sent: its server still accepts new connections,
    /// as far as this node knows.
    pub(crate) fn can_send_first_line(&mut self, request: RequestId) -> bool {
        let server = self
            .requests
            .get(&request)
            .and_then(|active| active.server.as_ref());
        let can_send = server.is_some_and(|server| self.accepts_connections(server))
            && self.balancer.can_still_send(self.now(), request);
        if let Some(active) = self.requests.get_mut(&request) {
            active.was_sent = can_send;
            if can_send {
                active.claim.record_send();
            }
        }
        can_send
    }

    /// Records that the server has accepted the attempt in flight: its connection is established.
    pub(crate) fn on_attempt_accepted(&mut self, request: RequestId) {
        let Some(active) = self.requests.get_mut(&request) else {
            return;
        };
        active.establish();
        let setup_duration = active.attempt_started_at.elapsed();
        let server = active.server.clone();
        debug!(self.log, "connection established"; "request" => hex_id(request), "server" => server.as_ref().map(|id| id.0.to_string()),
            "setup_us" => setup_duration.as_micros() as u64);
        self.record_setup(server, setup_duration);
        self.feed(Event::ConnectionEstablished {
            request,
            setup_duration,
        });
    }

    /// Records the end of the attempt in flight or of the connection, whose socket is already closed.
    pub(crate) fn on_attempt_ended(
        &mut self,
        request: RequestId,
        outcome: Outcome,
        client: ClientState,
    ) {
        let Some(active) = self.requests.get_mut(&request) else {
            return;
        };
        let is_done = client == ClientState::Answered || active.is_finished();
        let attempt = active.attempt_number();
        debug!(self.log, "attempt finished"; "request" => hex_id(request), "outcome" => ?outcome, "established" => active.has_connection(),
            "server" => active.server.as_ref().map(|id| id.0.to_string()));
        active.claim.record_outcome(outcome);
        active.end_attempt();
        if is_done {
            self.requests.remove(&request);
        }
        self.feed(Event::AttemptEnded {
            request,
            attempt,
            outcome,
            done: is_done,
            report: None,
        });
    }

    /// Handles a client that disconnected before its answer; its attempt, if one is in flight, has been closed.
    pub(crate) fn on_client_disconnected(&mut self, request: RequestId) {
        let Some(active) = self.requests.get_mut(&request) else {
            return;
        };
        active.finish();
        let is_in_flight = active.server.is_some();
        self.feed(Event::ClientDisconnected(request));
        if is_in_flight {
            self.on_attempt_ended(request, Outcome::Cancelled, ClientState::Answered);
        } else {
            self.requests.remove(&request);
        }
    }
}
