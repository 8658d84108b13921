//! Clients of a node in an open loop: latency counts from the planned time of a connection, not from the time of
//! sending.
//!
//! A session sends a request, retries if it is rejected, keeps its connection for as long as planned, and reconnects if
//! the connection is migrated or ends unexpectedly.

use crate::line_stream::LineStream;
use crate::observation::{Answer, ConnectionEnd, Observation};
use crate::{Command, DeadlineKind, Environment};
use lupincrank_reactor::poll;
use lupincrank_reactor::{poller_key, ComponentId, Connection, Context, Lifecycle, Readiness};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time limit of a connect, after which the client tries another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// A client keeps listening this long after its own timeout, to tell a late answer from a missing one.
const LATE_ANSWER_GRACE: Duration = Duration::from_millis(600);
/// A client keeps listening this long after its last expected line, to detect extra answers.
const LINGER: Duration = Duration::from_millis(100);
/// Pause before a retry after a failed connect.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Pause before a retry after an answer without a retry delay.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Pause before a retry after a request without an answer.
const TIMEOUT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Pause before a session reconnects.
const RECONNECT_DELAY: Duration = Duration::from_millis(150);
/// The line that clients send on established connections.
const CLIENT_LINE: &str = "hello\r\n";

/// The behaviour of clients.
#[derive(Clone, Debug)]
pub struct ClientBehaviour {
    /// Time that a client waits for an answer.
    pub answer_timeout: Duration,
    /// Interval between lines on an established connection.
    pub line_interval: Duration,
    /// The request class in their first lines.
    pub class: String,
}

/// The state of one client across all of its requests.
#[derive(Clone, Debug)]
pub struct ClientSession {
    /// Number of the session.
    pub number: u64,
    /// Intended start of the current connection: the planned time, or the time of the reconnect.
    pub intended_at: Instant,
    /// Key group of the client.
    pub group: u64,
    /// Remaining duration of the connection.
    pub remaining_duration: Duration,
    /// Requests sent since the client last had a connection.
    pub attempt_count: u32,
    /// Whether the client had a connection before.
    pub is_reconnect: bool,
    /// Id of the next request; each id is used once.
    pub request: u64,
}

/// A step of a session, from which the program plans the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionStep {
    /// The connection is established.
    Established {
        /// Time since the connection was meant to begin.
        latency: Duration,
    },
    /// Another request has to be sent.
    Retry {
        /// The pause before it.
        delay: Duration,
    },
    /// The connection was migrated or has ended, and the client reconnects.
    Reconnect {
        /// The pause before it.
        delay: Duration,
    },
    /// The connection has lasted as long as planned.
    Finished,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Connecting,
    AwaitingAnswer,
    Established,
    /// The session's step has been reported; the client only listens for extra answers.
    Lingering,
}

/// One connection of a client.
struct Client {
    id: ComponentId,
    node: usize,
    lines: LineStream,
    session: ClientSession,
    phase: Phase,
    is_answered: bool,
    is_migrating: bool,
    established_at: Instant,
}

/// Starts a request to a node. Returns false if no socket can be opened.
pub fn send_request<E: Environment>(
    context: &mut Context<E>,
    session: ClientSession,
    node: usize,
    address: SocketAddr,
) -> bool {
    let id = context.allocate_id();
    let Ok(stream) = poll::connect(&context.poller, address, poller_key(id, 0)) else {
        return false;
    };
    let now = Instant::now();
    let timeout = now + CONNECT_TIMEOUT;
    context
        .deadlines
        .set(id, DeadlineKind::ClientTimeout.into(), timeout);
    let client = Client {
        id,
        node,
        lines: LineStream::new(stream),
        session,
        phase: Phase::Connecting,
        is_answered: false,
        is_migrating: false,
        established_at: now,
    };
    context.register(id, Box::new(client));
    true
}

fn first_line(session: &ClientSession, behaviour: &ClientBehaviour) -> String {
    let ClientSession {
        request,
        number,
        group,
        ..
    } = session;
    let class = &behaviour.class;
    let timeout_ms = behaviour.answer_timeout.as_millis() as u64;
    let retry = if session.attempt_count > 0 {
        ",r=1"
    } else {
        ""
    };
    let reconnect = if session.is_reconnect { ",again=1" } else { "" };
    format!(
        "OPEN {request:016x} {number:016x} c={class},d={timeout_ms},g={group:016x},h=1000{retry}{reconnect}\r\n"
    )
}

/// Parses the first line that a client receives.
fn parse_answer(line: &str) -> Answer {
    match first_word(line) {
        "UP" => Answer::Accepted,
        "BUSY" => {
            let retry_after = line.get(5..).and_then(|text| text.trim().parse().ok());
            Answer::Rejected {
                retry_after_ms: retry_after.unwrap_or(0),
            }
        }
        _ => Answer::Failed,
    }
}

fn first_word(line: &str) -> &str {
    line.split(' ').next().unwrap_or_default()
}

/// Returns the pause before the retry that follows an answer.
fn retry_delay(answer: Answer) -> Duration {
    match answer {
        Answer::Rejected { retry_after_ms } if retry_after_ms > 0 => {
            Duration::from_millis(retry_after_ms)
        }
        _ => DEFAULT_RETRY_DELAY,
    }
}

impl Client {
    fn set_deadline<E: Environment>(
        &self,
        context: &mut Context<E>,
        kind: DeadlineKind,
        time: Instant,
    ) {
        context.deadlines.set(self.id, kind.into(), time);
    }

    fn on_connected<E: Environment>(&mut self, context: &mut Context<E>) -> Lifecycle {
        let retry = SessionStep::Retry {
            delay: CONNECT_RETRY_DELAY,
        };
        if self.lines.has_connect_failed() {
            return self.finish(context, retry);
        }
        let behaviour = context.application.client_behaviour().clone();
        let line = first_line(&self.session, &behaviour);
        if self.lines.send(&line).is_err() {
            return self.finish(context, retry);
        }
        self.phase = Phase::AwaitingAnswer;
        context.application.observe(Observation::RequestSent {
            request: self.session.request,
            node: self.node,
            timeout_ms: behaviour.answer_timeout.as_millis() as u64,
        });
        let timeout = Instant::now() + behaviour.answer_timeout + LATE_ANSWER_GRACE;
        self.set_deadline(context, DeadlineKind::ClientTimeout, timeout);
        Lifecycle::Continue
    }

    /// Reports the session's last step on this connection, which then lingers to detect extra answers.
    fn finish<E: Environment>(&mut self, context: &mut Context<E>, step: SessionStep) -> Lifecycle {
        let session = self.session.clone();
        context.application.on_session_step(session, step);
        let cannot_linger = self.lines.is_ended() || self.phase == Phase::Connecting;
        if step == SessionStep::Finished || cannot_linger {
            return Lifecycle::Close;
        }
        self.phase = Phase::Lingering;
        context
            .deadlines
            .clear(self.id, DeadlineKind::ClientTimeout.into());
        context
            .deadlines
            .clear(self.id, DeadlineKind::SendLine.into());
        self.set_deadline(context, DeadlineKind::Disconnect, Instant::now() + LINGER);
        Lifecycle::Continue
    }

    fn on_answer<E: Environment>(&mut self, context: &mut Context<E>, answer: Answer) -> Lifecycle {
        self.is_answered = true;
        context.application.observe(Observation::FirstAnswer {
            request: self.session.request,
            answer,
        });
        if answer == Answer::Accepted {
            self.on_established(context);
            return Lifecycle::Continue;
        }
        let delay = retry_delay(answer);
        self.finish(context, SessionStep::Retry { delay })
    }

    fn on_established<E: Environment>(&mut self, context: &mut Context<E>) {
        self.phase = Phase::Established;
        self.established_at = Instant::now();
        let latency = self.session.intended_at.elapsed();
        let session = self.session.clone();
        context
            .application
            .on_session_step(session, SessionStep::Established { latency });
        let line_interval = context.application.client_behaviour().line_interval;
        context
            .deadlines
            .clear(self.id, DeadlineKind::ClientTimeout.into());
        let next_line = self.established_at + line_interval;
        self.set_deadline(context, DeadlineKind::SendLine, next_line);
        let end = self.established_at + self.session.remaining_duration;
        self.set_deadline(context, DeadlineKind::Disconnect, end);
    }

    fn on_line<E: Environment>(&mut self, context: &mut Context<E>, line: &str) -> Lifecycle {
        let extra_answer = Observation::ExtraAnswer {
            request: self.session.request,
        };
        match self.phase {
            Phase::AwaitingAnswer => return self.on_answer(context, parse_answer(line)),
            Phase::Established if first_word(line) == "MOVE" => self.is_migrating = true,
            Phase::Established if matches!(first_word(line), "UP" | "BUSY" | "ERR") => {
                context.application.observe(extra_answer);
            }
            Phase::Lingering if self.is_answered && !self.is_migrating => {
                context.application.observe(extra_answer);
            }
            _ => {}
        }
        Lifecycle::Continue
    }

    fn on_stream_ended<E: Environment>(&mut self, context: &mut Context<E>) -> Lifecycle {
        self.lines.mark_ended();
        match self.phase {
            Phase::AwaitingAnswer => self.on_answer(context, Answer::Closed),
            Phase::Established => self.on_connection_lost(context),
            Phase::Connecting => {
                let delay = CONNECT_RETRY_DELAY;
                self.finish(context, SessionStep::Retry { delay })
            }
            Phase::Lingering => Lifecycle::Close,
        }
    }

    fn on_connection_lost<E: Environment>(&mut self, context: &mut Context<E>) -> Lifecycle {
        let end = if self.is_migrating {
            ConnectionEnd::Migrated
        } else {
            ConnectionEnd::Unexpected
        };
        context.application.observe(Observation::ConnectionEnded {
            request: self.session.request,
            end,
        });
        let lasted = self.established_at.elapsed();
        self.session.remaining_duration = self.session.remaining_duration.saturating_sub(lasted);
        let delay = RECONNECT_DELAY;
        self.finish(context, SessionStep::Reconnect { delay })
    }

    fn send_line<E: Environment>(&mut self, context: &mut Context<E>) -> Lifecycle {
        let line_interval = context.application.client_behaviour().line_interval;
        let next_line = Instant::now() + line_interval;
        self.set_deadline(context, DeadlineKind::SendLine, next_line);
        if self.lines.send(CLIENT_LINE).is_err() {
            return self.on_stream_ended(context);
        }
        Lifecycle::Continue
    }

    fn disconnect<E: Environment>(&mut self, context: &mut Context<E>) -> Lifecycle {
        context.application.observe(Observation::ConnectionEnded {
            request: self.session.request,
            end: ConnectionEnd::ByClient,
        });
        self.finish(context, SessionStep::Finished)
    }

    fn on_answer_timeout<E: Environment>(&mut self, context: &mut Context<E>) -> Lifecycle {
        context.application.observe(Observation::ClientTimedOut {
            request: self.session.request,
        });
        self.lines.mark_ended();
        let delay = TIMEOUT_RETRY_DELAY;
        self.finish(context, SessionStep::Retry { delay })
    }
}

impl<E: Environment> Connection<E> for Client {
    fn on_ready(
        &mut self,
        context: &mut Context<E>,
        _socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        if self.phase == Phase::Connecting {
            return self.on_connected(context);
        }
        let has_failed = (readiness.writable && self.lines.flush().is_err())
            || (readiness.readable && self.lines.read().is_err());
        while let Some(line) = self.lines.next_line() {
            if self.on_line(context, &line) == Lifecycle::Close {
                return Lifecycle::Close;
            }
        }
        if has_failed || self.lines.is_ended() {
            return self.on_stream_ended(context);
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut Context<E>, kind: E::DeadlineKind) -> Lifecycle {
        let Ok(kind) = kind.try_into() else {
            return Lifecycle::Close;
        };
        match (kind, self.phase) {
            (DeadlineKind::SendLine, Phase::Established) => self.send_line(context),
            (DeadlineKind::Disconnect, Phase::Established) => self.disconnect(context),
            (DeadlineKind::ClientTimeout, Phase::Connecting) => {
                let delay = Duration::ZERO;
                self.finish(context, SessionStep::Retry { delay })
            }
            (DeadlineKind::ClientTimeout, Phase::AwaitingAnswer) => self.on_answer_timeout(context),
            _ => Lifecycle::Close,
        }
    }

    fn on_message(&mut self, _context: &mut Context<E>, _command: Command) -> Lifecycle {
        Lifecycle::Close
    }
}
