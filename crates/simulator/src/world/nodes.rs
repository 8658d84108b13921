//! Nodes: they hand events to the decisions, carry actions out, and tell what they observe.

use super::{Client, Node, Phase, World, EPOCH};
use crate::checker::{Rule, TraceSubject};
use crate::event_queue::{millis, seconds, Incarnation, SimulationEvent, SECOND};
use crate::policy::FleetState;
use crate::population::{jittered, stream, swing};
use lupincrank_placement::{Action, Event, Outcome, RequestId, RequestInfo, Timer, Timestamp};
use std::collections::VecDeque;

/// An attempt that ended, as its node hears of it.
#[derive(Clone, Copy)]
pub(super) struct EndedAttempt {
    pub(super) node: u32,
    pub(super) request: u64,
    pub(super) attempt: u32,
    pub(super) outcome: Outcome,
    /// The request is over as well, whatever attempts it has left.
    pub(super) is_request_over: bool,
}

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
        node.alive = false;
        node.watches = false;
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

    /// Whether the process that the client's request came to still runs.
    pub(super) fn is_process_running_for(&self, client: &Client) -> bool {
        let node = &self.nodes[client.node as usize];
        node.alive && node.incarnation == client.node_incarnation
    }

    /// Tells a node's decisions that an attempt ended.
    pub(super) fn deliver_attempt_end(&mut self, ended: EndedAttempt) {
        let event = Event::AttemptEnded {
            request: RequestId(ended.request),
            attempt: ended.attempt,
            outcome: ended.outcome,
            done: ended.is_request_over,
            report: None,
        };
        self.deliver_event(ended.node, event);
    }

    pub(super) fn execute(&mut self, node: u32, action: Action) {
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
        let state = &self.clients[client as usize];
        let node = state.node;
        let deadline = state.deadline;
        if !self.is_process_running_for(state) {
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
        held.attempts = 1;
        held.out = Some(server);
        held.answered = true;
        held.sent = self.now;
        self.join(client, server);
        let incoming = self.incoming(client);
        let id = self.fleet[server as usize].id.clone();
        self.deliver_event(node, Event::ConnectionInherited(incoming, id));
        self.starts_to_stand(client);
    }

    /// From here on a connection's load is told and changes.
    pub(super) fn starts_to_stand(&mut self, client: u32) {
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

    /// The final answer to a request that did not come to stand.
    pub(super) fn answer(&mut self, node: u32, request: u64, refused: bool, wait_ms: u32) {
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
        let has_attempt = held.out.is_some();
        let attempt = held.attempts.saturating_sub(1);
        self.clients[client as usize].answered = true;
        if has_attempt {
            self.release(client);
            self.deliver_attempt_end(EndedAttempt {
                node,
                request,
                attempt,
                outcome: Outcome::Cancelled,
                is_request_over: true,
            });
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
        let state = &self.clients[client as usize];
        let node = state.node;
        let request = state.request;
        if state.answered || !self.is_process_running_for(state) {
            return;
        }
        let has_attempt = state.out.is_some();
        let attempt = state.attempts.saturating_sub(1);
        self.clients[client as usize].answered = true;
        self.release(client);
        self.deliver_event(node, Event::ClientDisconnected(RequestId(request)));
        if has_attempt {
            self.deliver_attempt_end(EndedAttempt {
                node,
                request,
                attempt,
                outcome: Outcome::Cancelled,
                is_request_over: true,
            });
        }
    }
}
