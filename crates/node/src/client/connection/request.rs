//! The wait of a client for its server, from the complete first line to the relay or the answer.

use super::{ClientConnection, State, EXPIRY, RESUME_RETRY};
use crate::client::answer;
use crate::client::first_line::{FirstLineError, OpenRequest};
use crate::client::ClientSlot;
use crate::core::TryOrder;
use crate::state::{Message, Node, Up};
use crate::upstream::attempt::{Attempt, UpstreamAttempt};
use crate::upstream::relay::Relay;
use lupincrank_placement::Outcome;
use lupincrank_reactor::{ComponentId, Lifecycle};
use slog::debug;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Connections from before this process began are accepted for this long after its start.
const RESUME_WINDOW: Duration = Duration::from_secs(60);
/// A connection from before this process began is attempted this often, so long apart, and for at most so long.
const MAX_RESUME_ATTEMPTS: u32 = 3;
const RESUME_BACKOFF: Duration = Duration::from_millis(300);
const MAX_RESUME_WAIT: Duration = Duration::from_secs(40);

/// A request that waits for a server.
pub(super) struct WaitingRequest {
    open: OpenRequest,
    /// The first line as it came, its terminator included.
    line: Vec<u8>,
    /// When the client stops waiting.
    expires_at: Instant,
    /// The attempt that was begun last.
    attempt: Option<ComponentId>,
    /// Attempts made for a connection from before this process began.
    resume_attempts: u32,
    slot: ClientSlot,
}

impl WaitingRequest {
    /// Whether the connection stood at a server before this process began: placement does not know of it.
    fn is_resumed(&self) -> bool {
        self.open.current_server.is_some()
    }

    /// The first line for a server, with the time that is left in place of the time that the client wrote.
    fn line_with_time_left(&self, expires_at: Instant) -> Vec<u8> {
        let time_left = expires_at.saturating_duration_since(Instant::now());
        let digits = &self.open.time_budget.digits;
        [
            &self.line[..digits.start],
            time_left.as_millis().to_string().as_bytes(),
            &self.line[digits.end..],
        ]
        .concat()
    }

    fn close_attempt(&self, node: &mut Node) {
        if let Some(attempt) = self.attempt {
            node.send(attempt, Message::Close);
        }
    }
}

/// The first line: whether the request may begin, and its begin.
impl ClientConnection {
    pub(super) fn on_open(
        &mut self,
        node: &mut Node,
        open: OpenRequest,
        line: Vec<u8>,
    ) -> Lifecycle {
        if node.core.holds(open.request) {
            return self.reject_line(node, FirstLineError::RequestIdInUse);
        }
        if open.current_server.is_some() && node.began.elapsed() > RESUME_WINDOW {
            return self.reject_line(node, FirstLineError::ResumedTooLate);
        }
        if node.clients.get() + node.upgrade.other.clients >= node.config.most_clients() {
            debug!(node.log, "client limit reached"; "clients" => node.clients.get());
            let retry_after = node.config.settings.max_retry_after / 2;
            return self.answer(node, &answer::busy(retry_after));
        }
        self.begin_request(node, open, line)
    }

    fn begin_request(&mut self, node: &mut Node, open: OpenRequest, line: Vec<u8>) -> Lifecycle {
        node.deadlines.clear(self.id, EXPIRY);
        let request_info = open.request_info(node.config.groups);
        let time_budget = open.time_budget.duration;
        let is_resumed = open.current_server.is_some();
        let wait = if is_resumed {
            time_budget.min(MAX_RESUME_WAIT)
        } else {
            time_budget
        };
        self.state = State::Waiting(WaitingRequest {
            open,
            line,
            expires_at: Instant::now() + wait,
            attempt: None,
            resume_attempts: 0,
            slot: ClientSlot::acquire(&node.clients),
        });
        if is_resumed {
            return self.resume(node);
        }
        node.core.request(self.id, request_info, time_budget);
        Lifecycle::Continue
    }
}

/// Attempts, and how they end.
impl ClientConnection {
    /// Placement has chosen a server.
    pub(super) fn on_attempt_requested(&mut self, node: &mut Node, order: &TryOrder) -> Lifecycle {
        if !matches!(self.state, State::Waiting(_)) {
            return Lifecycle::Continue;
        }
        if self.read(node) == Lifecycle::Close {
            return Lifecycle::Close;
        }
        self.begin_attempt(node, order.dial, order.until);
        Lifecycle::Continue
    }

    fn begin_attempt(&mut self, node: &mut Node, address: SocketAddr, expires_at: Instant) {
        let State::Waiting(waiting) = &mut self.state else {
            return;
        };
        let attempt = Attempt {
            owner: self.id,
            request: waiting.open.request,
            address,
            line: waiting.line_with_time_left(expires_at),
            expires_at,
            is_resumed: waiting.is_resumed(),
        };
        let id = node.allocate_id();
        waiting.attempt = Some(id);
        UpstreamAttempt::begin(node, id, attempt);
    }

    /// The attempt has its connection. What has come of the client is read ahead of its turn: it may have left, and
    /// what tells so may wait behind much else where the CPU is used up. What nobody waits for is not sent on.
    pub(super) fn on_attempt_connected(
        &mut self,
        node: &mut Node,
        attempt: ComponentId,
    ) -> Lifecycle {
        if !matches!(&self.state, State::Waiting(waiting) if waiting.attempt == Some(attempt)) {
            return Lifecycle::Continue;
        }
        let lifecycle = self.read(node);
        if lifecycle == Lifecycle::Continue && matches!(self.state, State::Waiting(_)) {
            node.send(attempt, Message::Send);
        }
        lifecycle
    }

    /// A server has accepted the request: both sockets go to a relay, which takes the id of this component.
    pub(super) fn on_established(&mut self, node: &mut Node, established: Up) -> Lifecycle {
        let State::Waiting(waiting) = &self.state else {
            return Lifecycle::Continue;
        };
        if waiting.is_resumed() && node.core.holds(established.request) {
            return self.reject_line(node, FirstLineError::RequestIdInUse);
        }
        let Some(client) = self.stream.take() else {
            return Lifecycle::Close;
        };
        let State::Waiting(waiting) = std::mem::replace(&mut self.state, State::Finished) else {
            return Lifecycle::Close;
        };
        match &waiting.open.current_server {
            Some(server) => {
                let request_info = waiting.open.request_info(node.config.groups);
                node.core.inherited(self.id, request_info, server);
            }
            None => node.core.try_up(established.request),
        }
        Relay::begin(node, self.id, waiting.slot, client, established);
        Lifecycle::Close
    }

    /// A server has served the request to its end at once; `line` is its answer.
    pub(super) fn on_served_at_once(&mut self, node: &mut Node, line: &[u8]) -> Lifecycle {
        let State::Waiting(waiting) = &self.state else {
            return Lifecycle::Continue;
        };
        if !waiting.is_resumed() {
            node.core
                .try_ended(waiting.open.request, Outcome::Served, true);
        }
        self.answer(node, line)
    }
}

/// Connections that stood at a server before this process began.
impl ClientConnection {
    /// Sends the connection to the server that holds it.
    fn resume(&mut self, node: &mut Node) -> Lifecycle {
        let State::Waiting(waiting) = &mut self.state else {
            return Lifecycle::Continue;
        };
        let current_server = waiting.open.current_server.as_deref();
        let address = current_server.and_then(|server| node.core.dial(server));
        let may_retry =
            waiting.resume_attempts < MAX_RESUME_ATTEMPTS && Instant::now() < waiting.expires_at;
        let Some(address) = address.filter(|_| may_retry) else {
            return self.answer(node, &answer::busy(Duration::ZERO));
        };
        if node.core.holds(waiting.open.request) {
            return self.reject_line(node, FirstLineError::RequestIdInUse);
        }
        waiting.resume_attempts += 1;
        let expires_at = waiting.expires_at;
        self.begin_attempt(node, address, expires_at);
        Lifecycle::Continue
    }

    /// The server did not take the connection back; it is attempted again soon.
    pub(super) fn on_resume_failed(&mut self, node: &mut Node) -> Lifecycle {
        if let State::Waiting(waiting) = &mut self.state {
            waiting.attempt = None;
            node.deadlines
                .set(self.id, RESUME_RETRY, Instant::now() + RESUME_BACKOFF);
        }
        Lifecycle::Continue
    }

    /// The next attempt is due. Whether the client still waits is seen first.
    pub(super) fn on_resume_retry(&mut self, node: &mut Node) -> Lifecycle {
        match self.read(node) {
            Lifecycle::Continue => self.resume(node),
            Lifecycle::Close => Lifecycle::Close,
        }
    }
}

/// Ends of the wait without a server.
impl ClientConnection {
    /// Placement rejects the request.
    pub(super) fn on_rejected(&mut self, node: &mut Node, retry_after: Duration) -> Lifecycle {
        self.answer_waiting(node, &answer::busy(retry_after))
    }

    /// The request has failed.
    pub(super) fn on_failed(&mut self, node: &mut Node) -> Lifecycle {
        self.answer_waiting(node, answer::ERROR)
    }

    /// This process ends. Placement answers the requests that it knows; of a connection from before this process began
    /// it knows nothing. Where the line of such a one may have gone out, its server may hold it by now, so that it is
    /// not answered as rejected.
    pub(super) fn on_shutdown(&mut self, node: &mut Node) -> Lifecycle {
        match &self.state {
            State::Waiting(waiting) if waiting.is_resumed() => {
                if waiting.attempt.is_some() {
                    self.on_failed(node)
                } else {
                    self.on_rejected(node, Duration::ZERO)
                }
            }
            _ => Lifecycle::Continue,
        }
    }

    /// Closes the attempt, if there is one, and answers the client.
    fn answer_waiting(&mut self, node: &mut Node, answer: &[u8]) -> Lifecycle {
        let State::Waiting(waiting) = &self.state else {
            return Lifecycle::Continue;
        };
        waiting.close_attempt(node);
        self.answer(node, answer)
    }

    /// The descriptor of an unidentified connection is needed.
    pub(super) fn on_close_requested(&mut self, node: &mut Node) -> Lifecycle {
        match &self.state {
            State::ReadingFirstLine(_) => self.on_expired(node),
            State::Waiting(_) => Lifecycle::Continue,
            State::Closing(_) | State::Finished => Lifecycle::Close,
        }
    }

    /// Nobody waits for the request any more, and its attempt is closed. That says nothing of the server.
    pub(super) fn abandon_request(&mut self, node: &mut Node) {
        let State::Waiting(waiting) = &self.state else {
            return;
        };
        let request = waiting.open.request;
        debug!(node.log, "client left"; "request" => format!("{:016x}", request.0));
        waiting.close_attempt(node);
        if !waiting.is_resumed() {
            node.core.client_gone(request);
        }
    }
}
