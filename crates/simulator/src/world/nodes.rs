//! Nodes: they hand events to the decisions, carry actions out, and tell what they observe.

use super::{Node, Phase, World, EPOCH, NO_PLACE};
use crate::checker::{Rule, TraceSubject};
use crate::event_queue::{millis, seconds, Incarnation, Moment, SimulationEvent, SECOND};
use crate::policy::FleetState;
use crate::population::{jittered, stream, swing};
use crate::scenario::Delays;
use crate::server_model::ServerState;
use lupincrank_placement::{Action, Event, Outcome, RequestId, RequestInfo, Timer, Timestamp};
use std::collections::VecDeque;
use std::time::Duration;

/// Set-ups that a node remembers to tell a long one from the usual, and the multiple that is long.
const REMEMBERED_SETUPS: usize = 63;
const MIN_REMEMBERED_SETUPS: usize = 8;
const LONG_SETUP_FACTOR: u64 = 3;

impl World<'_> {
    pub(super) fn add_node(&mut self, zone: u32) {
        let at = self.nodes.len() as u32;
        let policy = self.new_policy(at, 0);
        self.nodes.push(Node {
            zone,
            incarnation: 0,
            alive: false,
            listed_by_front: false,
            policy,
            watches: false,
            heard: 0,
            leaving: Vec::new(),
            knows_start: Vec::new(),
            set_ups: VecDeque::new(),
        });
        self.start_node(at);
        self.nodes[at as usize].listed_by_front = true;
    }

    fn new_policy(&self, node: u32, incarnation: Incarnation) -> Box<dyn crate::policy::Policy> {
        use rand::RngCore;
        let seed = stream(self.seed, 5, u64::from(node) << 32 | u64::from(incarnation)).next_u64();
        (self.policy_factory)(self.settings.clone(), seed)
    }

    /// A node's process starts: from nothing but the list as discovery has it.
    pub(super) fn start_node(&mut self, at: u32) {
        let incarnation = self.nodes[at as usize].incarnation + 1;
        let policy = self.new_policy(at, incarnation);
        let node = &mut self.nodes[at as usize];
        (node.incarnation, node.alive, node.watches, node.policy) =
            (incarnation, true, false, policy);
        node.leaving.clear();
        node.knows_start.clear();
        node.set_ups.clear();
        self.deliver_event(at, Event::Start);
        self.deliver_cached_endpoints(at);
        self.queue.schedule(
            self.now + seconds(0.5),
            SimulationEvent::FrontUpdated(at, incarnation, true),
        );
    }

    /// A node's process dies, and with it all that goes through it.
    pub(super) fn kill_node(&mut self, at: u32) {
        let node = &mut self.nodes[at as usize];
        (node.alive, node.watches) = (false, false);
        let incarnation = node.incarnation;
        let notice = seconds(self.scenario.nodes.front_notice_s);
        self.queue.schedule(
            self.now + notice,
            SimulationEvent::FrontUpdated(at, incarnation, false),
        );
        for client in 0..self.clients.len() as u32 {
            let held = &self.clients[client as usize];
            if held.node != at || held.node_incarnation != incarnation || held.request == 0 {
                continue;
            }
            match held.phase {
                Phase::Connected => {
                    self.metrics.cut += 1;
                    self.release(client);
                    self.connection_lost(client, false);
                }
                Phase::Requesting if !held.answered => {
                    let request = held.request;
                    self.release(client);
                    self.clients[client as usize].answered = true;
                    self.queue.schedule(
                        self.now + millis(1.0),
                        SimulationEvent::ClientAnswered(client, request, false, 0),
                    );
                }
                _ => {}
            }
        }
    }

    pub(super) fn update_front(&mut self, node: u32, incarnation: Incarnation, takes: bool) {
        let node = &mut self.nodes[node as usize];
        if node.incarnation == incarnation && node.alive == takes {
            node.listed_by_front = takes;
        }
    }

    /// Hands an event to a node's decisions and carries out what they want.
    pub(super) fn deliver_event(&mut self, at: u32, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let truth = FleetState {
            fleet: &self.fleet,
            index: &self.index,
            now: self.now,
        };
        self.nodes[at as usize].policy.handle(
            Timestamp(self.now + EPOCH),
            event,
            &truth,
            &mut actions,
        );
        for action in actions.drain(..) {
            self.execute(at, action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, node: u32, action: Action) {
        match action {
            Action::StartAttempt {
                request,
                server,
                timeout,
            } => self.send(node, request.0, &server, timeout),
            Action::Reject {
                request,
                retry_after,
            } => {
                self.answer(node, request.0, true, retry_after.as_millis() as u32);
            }
            Action::Fail(request) => self.answer(node, request.0, false, 0),
            Action::Migrate(request) => {
                if let Some(client) = self.client_of(request.0) {
                    if self.clients[client as usize].phase == Phase::Connected {
                        self.metrics.moves += 1;
                        self.record("moved", node, request.0, self.clients[client as usize].out);
                        self.end_standing(client, Outcome::Cancelled);
                        self.connection_lost(client, true);
                    }
                }
            }
            Action::SetTimer { after, timer } => {
                let incarnation = self.nodes[node as usize].incarnation;
                let after = u64::try_from(after.as_nanos())
                    .unwrap_or(u64::MAX)
                    .min(3600 * SECOND);
                self.queue.schedule(
                    self.now + after.max(1),
                    SimulationEvent::NodeTimer(node, incarnation, timer),
                );
            }
            Action::WatchEndpoints => self.watch_endpoints(node),
            // Settings forbid both.
            Action::CheckHealth(_) | Action::Gossip(_) => {}
        }
    }

    pub(super) fn timer(&mut self, node: u32, incarnation: Incarnation, timer: Timer) {
        let at = &self.nodes[node as usize];
        if at.alive && at.incarnation == incarnation {
            self.deliver_event(node, Event::TimerFired(timer));
        }
    }

    fn incoming(&self, client: u32) -> RequestInfo {
        let (key, group) = self.keys(client);
        let client = &self.clients[client as usize];
        RequestInfo {
            request: RequestId(client.request),
            class: client.class,
            tenant: None,
            group,
            key: Some(key),
            load: None,
            deadline: Timestamp(client.deadline + EPOCH),
            is_mid_flow: false,
            is_reconnect: client.returned,
        }
    }

    /// A node takes a request.
    pub(super) fn receive_request(&mut self, request: u64) {
        let Some(client) = self.client_of(request) else {
            return;
        };
        let held = &self.clients[client as usize];
        let (node, deadline) = (held.node, held.deadline);
        let at = &self.nodes[node as usize];
        if !at.alive || at.incarnation != held.node_incarnation {
            // It died while the request was on its way.
            self.clients[client as usize].answered = true;
            return self.queue.schedule(
                self.now + millis(1.0),
                SimulationEvent::ClientAnswered(client, request, false, 0),
            );
        }
        self.record("taken", node, request, None);
        let overdue = deadline + millis(self.scenario.rules.answer_slack_ms);
        self.queue.schedule(
            overdue.max(self.now + 1),
            SimulationEvent::AnswerOverdue(request),
        );
        let incoming = self.incoming(client);
        self.deliver_event(node, Event::RequestReceived(incoming));
    }

    /// A connection that stands when the world begins.
    pub(super) fn inherit(&mut self, client: u32, node: u32, server: u32) {
        if self.fleet[server as usize].standing.len() as u32 >= self.fleet[server as usize].cap() {
            let incarnation = self.clients[client as usize].incarnation;
            return self.connect_client(client, incarnation);
        }
        let request = self.next_request_number(client);
        let incarnation = self.nodes[node as usize].incarnation;
        let held = &mut self.clients[client as usize];
        (held.request, held.node, held.node_incarnation, held.phase) =
            (request, node, incarnation, Phase::Connected);
        (held.attempts, held.out, held.answered, held.sent) = (1, Some(server), true, self.now);
        self.join(client, server);
        let incoming = self.incoming(client);
        let id = self.fleet[server as usize].id.clone();
        self.deliver_event(node, Event::ConnectionInherited(incoming, id));
        self.starts_to_stand(client);
    }

    /// From here on a connection's load is told and changes.
    fn starts_to_stand(&mut self, client: u32) {
        let held = &mut self.clients[client as usize];
        held.connection_incarnation += 1;
        let (load, next) = swing(
            &self.scenario.class[held.class],
            held.usual,
            &mut held.random,
        );
        let by = load - std::mem::replace(&mut held.load, load);
        if let Some(server) = held.out {
            self.advance(server);
            self.fleet[server as usize].swing(by);
        }
        self.report_load(client);
        self.schedule_load_change(client, next);
    }

    pub(super) fn report_load(&mut self, client: u32) {
        if !self.scenario.nodes.loads {
            return;
        }
        let held = &self.clients[client as usize];
        let load = Duration::from_secs_f64(held.load.max(0.0));
        let (node, request) = (held.node, RequestId(held.request));
        self.deliver_event(node, Event::LoadObserved { request, load });
    }

    /// Starts an attempt, after the checker has looked at it.
    fn send(
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
    fn breaks_attempt_rule(&mut self, client: u32, request: u64) -> bool {
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
    fn check_drain_rule(&mut self, node: u32, request: u64, server: u32) {
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
    fn start_attempt(&mut self, node: u32, client: u32, server: u32, timeout: Duration) {
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

    /// The final answer to a request that did not come to stand.
    fn answer(&mut self, node: u32, request: u64, refused: bool, wait_ms: u32) {
        self.record(
            if refused { "refused" } else { "failed" },
            node,
            request,
            None,
        );
        let Some(client) = self.client_of(request) else {
            return;
        };
        let held = &self.clients[client as usize];
        if held.phase != Phase::Requesting || held.node != node {
            return;
        }
        if held.answered {
            let what = "a second final answer".to_string();
            return self.checker.report(
                Rule::FinalAnswer,
                self.now,
                TraceSubject::Request(request),
                what,
            );
        }
        self.metrics.refused += 1;
        let out = held.out.is_some();
        let attempt = held.attempts.saturating_sub(1);
        self.clients[client as usize].answered = true;
        if out {
            self.release(client);
            let outcome = Outcome::Cancelled;
            let request = RequestId(request);
            self.deliver_event(
                node,
                Event::AttemptEnded {
                    request,
                    attempt,
                    outcome,
                    done: true,
                    report: None,
                },
            );
        }
        let (mean, jitter) = (self.scenario.net.client_ms, self.scenario.net.jitter);
        let hop = jittered(&mut self.clients[client as usize].random, mean, jitter);
        self.queue.schedule(
            self.now + hop,
            SimulationEvent::ClientAnswered(client, request, refused, wait_ms),
        );
    }

    pub(super) fn answer_overdue(&mut self, request: u64) {
        let Some(client) = self.client_of(request) else {
            return;
        };
        let held = &self.clients[client as usize];
        if held.phase != Phase::Requesting || held.answered {
            return;
        }
        self.record("overdue", held.node, request, held.out);
        let what = "no final answer by the client's deadline".to_string();
        self.checker.report(
            Rule::FinalAnswer,
            self.now,
            TraceSubject::Request(request),
            what,
        );
        self.client_gone(client);
        self.clients[client as usize].answered = true;
        self.queue.schedule(
            self.now + 1,
            SimulationEvent::ClientAnswered(client, request, false, 0),
        );
    }

    /// Nobody waits for the request any more.
    pub(super) fn client_gone(&mut self, client: u32) {
        let held = &self.clients[client as usize];
        let (node, request, incarnation) = (held.node, held.request, held.node_incarnation);
        let at = &self.nodes[node as usize];
        if held.answered || !at.alive || at.incarnation != incarnation {
            return;
        }
        let (out, attempt) = (held.out.is_some(), held.attempts.saturating_sub(1));
        self.clients[client as usize].answered = true;
        self.release(client);
        self.deliver_event(node, Event::ClientGone(RequestId(request)));
        if out {
            let request = RequestId(request);
            let outcome = Outcome::Cancelled;
            self.deliver_event(
                node,
                Event::AttemptEnded {
                    request,
                    attempt,
                    outcome,
                    done: true,
                    report: None,
                },
            );
        }
    }

    /// The attempt that is out, if it is this one and its connection does not stand yet.
    fn waits_for(&self, request: u64, attempt: u32) -> Option<u32> {
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
        let request = RequestId(request);
        self.deliver_event(
            node,
            Event::AttemptEnded {
                request,
                attempt,
                outcome,
                done: false,
                report: None,
            },
        );
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
        (held.phase, held.answered) = (Phase::Connected, true);
        (held.failures, held.retries) = (0, 0);
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

    /// Lines are returned at once however crowded a transcriber is, but a set-up waits its turn there: one that
    /// takes over three times the median of the latest ones is told as a delay by what is over the median, as real
    /// nodes do.
    fn observe_setup(&mut self, node: u32, request: RequestId, took: Moment) {
        let set_ups = &mut self.nodes[node as usize].set_ups;
        let mut sorted: Vec<Moment> = set_ups.iter().copied().collect();
        if set_ups.len() == REMEMBERED_SETUPS {
            set_ups.pop_front();
        }
        set_ups.push_back(took);
        if self.scenario.nodes.delays != Delays::Sockets || sorted.len() < MIN_REMEMBERED_SETUPS {
            return;
        }
        let middle = sorted.len() / 2;
        let median = *sorted.select_nth_unstable(middle).1;
        if took > median * LONG_SETUP_FACTOR {
            let delay = Duration::from_nanos(took - median);
            self.deliver_event(node, Event::DelayObserved { request, delay });
        }
    }

    /// A standing connection ends; the transcriber and the decisions hear of it.
    pub(super) fn end_standing(&mut self, client: u32, outcome: Outcome) {
        let held = &self.clients[client as usize];
        let (node, attempt, request) = (
            held.node,
            held.attempts.saturating_sub(1),
            RequestId(held.request),
        );
        let lives = self.nodes[node as usize].alive
            && self.nodes[node as usize].incarnation == held.node_incarnation;
        self.release(client);
        let held = &mut self.clients[client as usize];
        (held.phase, held.request) = (Phase::Disconnected, 0);
        if lives {
            self.deliver_event(
                node,
                Event::AttemptEnded {
                    request,
                    attempt,
                    outcome,
                    done: true,
                    report: None,
                },
            );
        }
    }

    /// Once a second nodes tell how long messages take, of one connection for each transcriber that is late, and
    /// once more when it no longer is.
    pub(super) fn observe(&mut self) {
        if self.scenario.nodes.delays != Delays::All {
            return;
        }
        let least = self
            .message_objectives
            .iter()
            .copied()
            .fold(f64::INFINITY, f64::min);
        for at in 0..self.fleet.len() {
            let server = &self.fleet[at];
            let (wait, own) = server.delay(self.now);
            let silent = server.state == ServerState::Silent;
            let gone = crate::event_queue::as_seconds(self.now.saturating_sub(server.silent_since));
            let delay = if silent { gone } else { wait + own };
            let late = delay > least / 3.0;
            let was = std::mem::replace(&mut self.fleet[at].late, late);
            if late || was {
                let delay = Duration::from_secs_f64(delay);
                for (node, request) in self.one_for_each_node(at as u32) {
                    self.deliver_event(node, Event::DelayObserved { request, delay });
                }
            }
        }
    }

    /// One connection of each node that has any on this transcriber.
    fn one_for_each_node(&self, server: u32) -> Vec<(u32, RequestId)> {
        let mut met = vec![false; self.nodes.len()];
        let mut found = Vec::new();
        for client in &self.fleet[server as usize].standing {
            let held = &self.clients[*client as usize];
            if held.phase == Phase::Connected
                && !std::mem::replace(&mut met[held.node as usize], true)
            {
                found.push((held.node, RequestId(held.request)));
                if found.len() == met.len() {
                    break;
                }
            }
        }
        found
    }

    /// Nodes notice that a transcriber answers nobody: each tells so, and of every connection that it still has there.
    pub(super) fn notice_silence(&mut self, server: u32, incarnation: Incarnation) {
        let at = &self.fleet[server as usize];
        if at.state != ServerState::Silent || at.incarnation != incarnation {
            return;
        }
        let id = at.id.clone();
        for (node, _) in self.one_for_each_node(server) {
            let held = self.fleet[server as usize].standing.iter();
            let held = held
                .filter(|client| self.clients[**client as usize].node == node)
                .count();
            if held > 1 {
                self.deliver_event(node, Event::ServerUnresponsive(id.clone()));
            }
        }
        let left: Vec<u32> = self.fleet[server as usize].standing.clone();
        for client in left {
            let held = &self.clients[client as usize];
            if held.phase == Phase::Connected && held.out == Some(server) {
                let (node, request) = (held.node, RequestId(held.request));
                self.deliver_event(node, Event::ConnectionUnresponsive(request));
            }
        }
        self.queue.schedule(
            self.now + SECOND,
            SimulationEvent::SilenceNoticed(server, incarnation),
        );
    }
}
