//! Attempts: they start, time out, end, or become connections that end later.

use super::nodes::EndedAttempt;
use super::{Phase, World, NO_PLACE};
use crate::checker::{Rule, TraceSubject};
use crate::event_queue::{millis, Moment, SimulationEvent};
use lupincrank_placement::{Event, Outcome, RequestId};
use std::time::Duration;

impl World<'_> {
    /// Starts an attempt, after the checker has looked at it.
    pub(super) fn send(
        &mut self,
        node: u32,
        request: u64,
        server: &lupincrank_placement::ServerId,
        timeout: Duration,
    ) {
        let now = self.now;
        let server = self.index.get(server).copied();
        self.record("sent", node, request, server);
        let current = self.client_of(request).filter(|client| {
            let held = &self.clients[*client as usize];
            held.phase == Phase::Requesting && !held.answered && held.node == node
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

    /// Whether one more attempt for this client's request breaks the rule on attempts, which is recorded.
    pub(super) fn breaks_attempt_rule(&mut self, client: u32, request: u64) -> bool {
        let held = &self.clients[client as usize];
        let what = if held.out.is_some() {
            "a second attempt while the first is out".to_string()
        } else if held.attempts >= self.scenario.nodes.attempts {
            format!(
                "attempt {} of at most {}",
                held.attempts + 1,
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

    /// Records an attempt to a transcriber of which the node was told longer than the grace ago that it leaves.
    pub(super) fn check_drain_rule(&mut self, node: u32, request: u64, server: u32) {
        let now = self.now;
        let grace = millis(self.scenario.rules.drain_grace_ms);
        let told = self.nodes[node as usize]
            .leaving
            .get(server as usize)
            .copied()
            .flatten();
        if told.is_some_and(|since| now - since > grace) {
            let since = crate::event_queue::as_seconds(now - told.unwrap_or(now));
            let what = format!(
                "sent to transcriber {server}, {since:.3} s after the node was told that it leaves"
            );
            self.checker
                .report(Rule::Drain, now, TraceSubject::Request(request), what);
        }
    }

    /// Puts an attempt on its way: it arrives after the handshake, and times out unless it ends before.
    pub(super) fn start_attempt(&mut self, node: u32, client: u32, server: u32, timeout: Duration) {
        let now = self.now;
        let (node_zone, server_zone) = (
            self.nodes[node as usize].zone,
            self.fleet[server as usize].zone,
        );
        self.metrics.attempts += 1;
        self.metrics.crossings += u64::from(node_zone != server_zone);
        let trips = 1.0 + 2.0 * self.scenario.net.handshake_rtts;
        let way = (self.network_delay(node_zone, server_zone) as f64 * trips) as Moment;
        let held = &mut self.clients[client as usize];
        let request = held.request;
        let attempt = held.attempts;
        held.attempts += 1;
        held.out = Some(server);
        held.sent = now;
        let until =
            (now + u64::try_from(timeout.as_nanos()).unwrap_or(u64::MAX / 2)).min(held.deadline);
        let incarnation = self.fleet[server as usize].incarnation;
        self.queue.schedule(
            until.max(now + 1),
            SimulationEvent::AttemptTimeout(request, attempt),
        );
        self.queue.schedule(
            now + way,
            SimulationEvent::AttemptArrives(request, attempt, server, incarnation),
        );
    }

    /// The attempt that is out, if it is this one and its connection does not stand yet.
    pub(super) fn waits_for(&self, request: u64, attempt: u32) -> Option<u32> {
        let client = self.client_of(request)?;
        let held = &self.clients[client as usize];
        let current = held.phase == Phase::Requesting && !held.answered && held.out.is_some();
        (current && held.attempts == attempt + 1).then_some(client)
    }

    pub(super) fn attempt_timed_out(&mut self, request: u64, attempt: u32) {
        if self.waits_for(request, attempt).is_some() {
            self.metrics.timed_out += 1;
            self.attempt_ended(request, attempt, Outcome::TimedOut);
        }
    }

    pub(super) fn attempt_ended(&mut self, request: u64, attempt: u32, outcome: Outcome) {
        let Some(client) = self.waits_for(request, attempt) else {
            return;
        };
        let held = &self.clients[client as usize];
        let (node, server) = (held.node, held.out);
        match outcome {
            Outcome::Rejected => self.metrics.full += 1,
            Outcome::ConnectFailed => self.metrics.no_connect += 1,
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

    /// A node hears that the connection stands.
    pub(super) fn connection_established(&mut self, request: u64, attempt: u32) {
        let Some(client) = self.waits_for(request, attempt) else {
            return;
        };
        let held = &mut self.clients[client as usize];
        if held.place == NO_PLACE {
            return; // its transcriber is gone again
        }
        held.phase = Phase::Connected;
        held.answered = true;
        held.failures = 0;
        held.retries = 0;
        let (node, server) = (held.node, held.out);
        let (took, sent) = (self.now - held.asked, self.now - held.sent);
        self.metrics.record_setup(took);
        self.record("stands", node, request, server);
        let id = RequestId(request);
        self.deliver_event(
            node,
            Event::ConnectionEstablished {
                request: id,
                setup_duration: Duration::from_nanos(sent),
            },
        );
        // What the decisions wanted may have ended it again.
        if self.client_of(request).is_some() {
            self.starts_to_stand(client);
            self.observe_setup(node, id, sent);
        }
    }

    /// A standing connection ends; the transcriber and the decisions hear of it.
    pub(super) fn end_standing(&mut self, client: u32, outcome: Outcome) {
        let state = &self.clients[client as usize];
        let ended = EndedAttempt {
            node: state.node,
            request: state.request,
            attempt: state.attempts.saturating_sub(1),
            outcome,
            is_request_over: true,
        };
        let is_node_running = self.is_process_running_for(state);
        self.release(client);
        let state = &mut self.clients[client as usize];
        state.phase = Phase::Disconnected;
        state.request = 0;
        if is_node_running {
            self.deliver_attempt_end(ended);
        }
    }
}
