//! Attempts: they start, time out, end, or become connections that end later.

use super::nodes::EndedAttempt;
use super::{Phase, World, NOT_CONNECTED};
use crate::checker::{Rule, TraceSubject};
use crate::event_queue::{millis, SimTime, SimulationEvent};
use lupincrank_placement::{Event, Outcome, RequestId};
use std::time::Duration;

impl World<'_> {
    /// Checks an attempt against the rules and starts it.
    pub(super) fn check_and_start_attempt(
        &mut self,
        node: u32,
        request: u64,
        server: &lupincrank_placement::ServerId,
        timeout: Duration,
    ) {
        let now = self.now;
        let server = self.server_indices.get(server).copied();
        self.record("sent", node, request, server);
        let current = self.client_of(request).filter(|client| {
            let state = &self.clients[*client as usize];
            state.phase == Phase::Requesting && !state.is_answered && state.node == node
        });
        let (Some(client), Some(server)) = (current, server) else {
            let what =
                "sent, though it was answered or never taken, or to a transcriber that was never listed";
            return self.checker.report(
                Rule::FinalAnswer,
                now,
                TraceSubject::Request(request),
                what.into(),
            );
        };
        if self.breaks_attempt_rule(client, request) {
            return;
        }
        self.check_drain_rule(node, request, server);
        self.start_attempt(node, client, server, timeout);
    }

    /// Returns true if one more attempt breaks the attempt rule for this client's request, and records the violation.
    pub(super) fn breaks_attempt_rule(&mut self, client: u32, request: u64) -> bool {
        let state = &self.clients[client as usize];
        let what = if state.server.is_some() {
            "a second attempt while the first is out".to_string()
        } else if state.attempts >= self.scenario.nodes.attempts {
            format!(
                "attempt {} of at most {}",
                state.attempts + 1,
                self.scenario.nodes.attempts
            )
        } else {
            return false;
        };
        self.checker.report(
            Rule::Attempts,
            self.now,
            TraceSubject::Request(request),
            what,
        );
        true
    }

    /// Records a violation if the node was notified more than the drain grace ago that the server is leaving.
    pub(super) fn check_drain_rule(&mut self, node: u32, request: u64, server: u32) {
        let now = self.now;
        let grace = millis(self.scenario.rules.drain_grace_ms);
        let notified_at = self.nodes[node as usize]
            .leaving_since
            .get(server as usize)
            .copied()
            .flatten();
        if notified_at.is_some_and(|notified_at| now - notified_at > grace) {
            let elapsed_s = crate::event_queue::as_seconds(now - notified_at.unwrap_or(now));
            let what = format!(
                "sent to transcriber {server}, {elapsed_s:.3} s after the node was told that it leaves"
            );
            self.checker
                .report(Rule::Drain, now, TraceSubject::Request(request), what);
        }
    }

    /// Starts an attempt: it arrives after the handshake, and times out unless it ends before.
    pub(super) fn start_attempt(&mut self, node: u32, client: u32, server: u32, timeout: Duration) {
        let now = self.now;
        let (node_zone, server_zone) = (
            self.nodes[node as usize].zone,
            self.fleet[server as usize].zone,
        );
        self.metrics.attempts += 1;
        self.metrics.cross_zone_attempts += u64::from(node_zone != server_zone);
        let one_way_trips = 1.0 + 2.0 * self.scenario.net.handshake_rtts;
        let delay = (self.network_delay(node_zone, server_zone) as f64 * one_way_trips) as SimTime;
        let state = &mut self.clients[client as usize];
        let request = state.request;
        let attempt = state.attempts;
        state.attempts += 1;
        state.server = Some(server);
        state.sent_at = now;
        let times_out_at =
            (now + u64::try_from(timeout.as_nanos()).unwrap_or(u64::MAX / 2)).min(state.deadline);
        let incarnation = self.fleet[server as usize].incarnation;
        self.queue.schedule(
            times_out_at.max(now + 1),
            SimulationEvent::AttemptTimeout(request, attempt),
        );
        self.queue.schedule(
            now + delay,
            SimulationEvent::AttemptArrives(request, attempt, server, incarnation),
        );
    }

    /// Returns the client of an attempt that is still running, with its connection not yet established.
    pub(super) fn client_awaiting_attempt(&self, request: u64, attempt: u32) -> Option<u32> {
        let client = self.client_of(request)?;
        let state = &self.clients[client as usize];
        let is_pending =
            state.phase == Phase::Requesting && !state.is_answered && state.server.is_some();
        (is_pending && state.attempts == attempt + 1).then_some(client)
    }

    pub(super) fn attempt_timed_out(&mut self, request: u64, attempt: u32) {
        if self.client_awaiting_attempt(request, attempt).is_some() {
            self.metrics.timed_out_attempts += 1;
            self.attempt_ended(request, attempt, Outcome::TimedOut);
        }
    }

    pub(super) fn attempt_ended(&mut self, request: u64, attempt: u32, outcome: Outcome) {
        let Some(client) = self.client_awaiting_attempt(request, attempt) else {
            return;
        };
        let state = &self.clients[client as usize];
        let (node, server) = (state.node, state.server);
        match outcome {
            Outcome::Rejected => self.metrics.rejected_attempts += 1,
            Outcome::ConnectFailed => self.metrics.failed_connects += 1,
            _ => {}
        }
        let what = match outcome {
            Outcome::Rejected => "full",
            Outcome::ConnectFailed => "could not connect",
            Outcome::TimedOut => "timed out",
            Outcome::Error => "error",
            _ => "ended",
        };
        self.record(what, node, request, server);
        self.release(client);
        self.deliver_attempt_end(EndedAttempt {
            node,
            request,
            attempt,
            outcome,
            is_request_over: false,
        });
    }

    /// Notifies a node that a connection is established.
    pub(super) fn connection_established(&mut self, request: u64, attempt: u32) {
        let Some(client) = self.client_awaiting_attempt(request, attempt) else {
            return;
        };
        let state = &mut self.clients[client as usize];
        if state.connection_index == NOT_CONNECTED {
            return; // its server terminated meanwhile
        }
        state.phase = Phase::Connected;
        state.is_answered = true;
        state.failures = 0;
        state.retries = 0;
        let (node, server) = (state.node, state.server);
        let (request_duration, setup_duration) =
            (self.now - state.requested_at, self.now - state.sent_at);
        self.metrics.record_setup(request_duration);
        self.record("stands", node, request, server);
        let request_id = RequestId(request);
        self.deliver_event(
            node,
            Event::ConnectionEstablished {
                request: request_id,
                setup_duration: Duration::from_nanos(setup_duration),
            },
        );
        // An action of the policy may already have ended the connection.
        if self.client_of(request).is_some() {
            self.start_load_changes(client);
            self.report_long_setup(node, request_id, setup_duration);
        }
    }

    /// Ends an established connection and notifies its server and its node.
    pub(super) fn end_connection(&mut self, client: u32, outcome: Outcome) {
        let state = &self.clients[client as usize];
        let ended = EndedAttempt {
            node: state.node,
            request: state.request,
            attempt: state.attempts.saturating_sub(1),
            outcome,
            is_request_over: true,
        };
        let is_node_running = self.is_node_running_for(state);
        self.release(client);
        let state = &mut self.clients[client as usize];
        state.phase = Phase::Disconnected;
        state.request = 0;
        if is_node_running {
            self.deliver_attempt_end(ended);
        }
    }
}
