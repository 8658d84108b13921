//! Nodes: they pass events to their policies and execute the resulting actions.

use super::{Client, Node, Phase, World, CLOCK_START};
use crate::checker::{Rule, TraceSubject};
use crate::event_queue::{millis, seconds, Incarnation, SimulationEvent, SECOND};
use crate::policy::FleetState;
use crate::population::{jittered, next_load, stream};
use lupincrank_placement::{Action, Event, Outcome, RequestId, RequestInfo, Timer, Timestamp};
use std::collections::VecDeque;

/// An attempt that ended, as reported to its node.
#[derive(Clone, Copy)]
pub(super) struct EndedAttempt {
    pub(super) node: u32,
    pub(super) request: u64,
    pub(super) attempt: u32,
    pub(super) outcome: Outcome,
    /// True if the request is over too, whatever attempts it has left.
    pub(super) is_request_over: bool,
}

impl World<'_> {
    pub(super) fn add_node(&mut self, zone: u32) {
        let index = self.nodes.len() as u32;
        let policy = self.new_policy(index, 0);
        self.nodes.push(Node {
            zone,
            incarnation: 0,
            is_running: false,
            is_listed_by_front: false,
            policy,
            is_watching: false,
            notified_changes: 0,
            leaving_since: Vec::new(),
            known_starts: Vec::new(),
            recent_setups: VecDeque::new(),
        });
        self.start_node(index);
        self.nodes[index as usize].is_listed_by_front = true;
    }

    fn new_policy(&self, node: u32, incarnation: Incarnation) -> Box<dyn crate::policy::Policy> {
        use rand::RngCore;
        let seed = stream(self.seed, 5, u64::from(node) << 32 | u64::from(incarnation)).next_u64();
        (self.policy_factory)(self.settings.clone(), seed)
    }

    /// Starts a node's process, with nothing but discovery's endpoint list.
    pub(super) fn start_node(&mut self, index: u32) {
        let incarnation = self.nodes[index as usize].incarnation + 1;
        let policy = self.new_policy(index, incarnation);
        let node = &mut self.nodes[index as usize];
        (
            node.incarnation,
            node.is_running,
            node.is_watching,
            node.policy,
        ) = (incarnation, true, false, policy);
        node.leaving_since.clear();
        node.known_starts.clear();
        node.recent_setups.clear();
        self.deliver_event(index, Event::Start);
        self.deliver_cached_endpoints(index);
        self.queue.schedule(
            self.now + seconds(0.5),
            SimulationEvent::FrontUpdated(index, incarnation, true),
        );
    }

    /// Terminates a node's process, which ends its requests and connections.
    pub(super) fn kill_node(&mut self, index: u32) {
        let node = &mut self.nodes[index as usize];
        node.is_running = false;
        node.is_watching = false;
        let incarnation = node.incarnation;
        let delay = seconds(self.scenario.nodes.front_notice_s);
        self.queue.schedule(
            self.now + delay,
            SimulationEvent::FrontUpdated(index, incarnation, false),
        );
        for client in 0..self.clients.len() as u32 {
            let state = &self.clients[client as usize];
            if state.node != index || state.node_incarnation != incarnation || state.request == 0 {
                continue;
            }
            match state.phase {
                Phase::Connected => {
                    self.metrics.broken_connections += 1;
                    self.release(client);
                    self.connection_lost(client, false);
                }
                Phase::Requesting if !state.is_answered => {
                    let request = state.request;
                    self.release(client);
                    self.clients[client as usize].is_answered = true;
                    self.queue.schedule(
                        self.now + millis(1.0),
                        SimulationEvent::ClientAnswered(client, request, false, 0),
                    );
                }
                _ => {}
            }
        }
    }

    pub(super) fn update_front(&mut self, node: u32, incarnation: Incarnation, is_listed: bool) {
        let node = &mut self.nodes[node as usize];
        if node.incarnation == incarnation && node.is_running == is_listed {
            node.is_listed_by_front = is_listed;
        }
    }

    /// Passes an event to a node's policy and executes the resulting actions.
    pub(super) fn deliver_event(&mut self, index: u32, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let fleet_state = FleetState {
            fleet: &self.fleet,
            server_indices: &self.server_indices,
            now: self.now,
        };
        self.nodes[index as usize].policy.handle(
            Timestamp(self.now + CLOCK_START),
            event,
            &fleet_state,
            &mut actions,
        );
        for action in actions.drain(..) {
            self.execute(index, action);
        }
        self.actions = actions;
    }

    /// Returns true if the process that received the client's request is still running.
    pub(super) fn is_node_running_for(&self, client: &Client) -> bool {
        let node = &self.nodes[client.node as usize];
        node.is_running && node.incarnation == client.node_incarnation
    }

    /// Notifies a node's policy that an attempt ended.
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
            } => self.check_and_start_attempt(node, request.0, &server, timeout),
            Action::Reject {
                request,
                retry_after,
            } => {
                self.send_final_answer(node, request.0, true, retry_after.as_millis() as u32);
            }
            Action::Fail(request) => self.send_final_answer(node, request.0, false, 0),
            Action::Migrate(request) => {
                if let Some(client) = self.client_of(request.0) {
                    if self.clients[client as usize].phase == Phase::Connected {
                        self.metrics.migrations += 1;
                        self.record(
                            "moved",
                            node,
                            request.0,
                            self.clients[client as usize].server,
                        );
                        self.end_connection(client, Outcome::Cancelled);
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
            // The settings disable both.
            Action::CheckHealth(_) | Action::Gossip(_) => {}
        }
    }

    pub(super) fn fire_timer(&mut self, node: u32, incarnation: Incarnation, timer: Timer) {
        let state = &self.nodes[node as usize];
        if state.is_running && state.incarnation == incarnation {
            self.deliver_event(node, Event::TimerFired(timer));
        }
    }

    fn request_info(&self, client: u32) -> RequestInfo {
        let (key, group) = self.keys(client);
        let client = &self.clients[client as usize];
        RequestInfo {
            request: RequestId(client.request),
            class: client.class,
            tenant: None,
            group,
            key: Some(key),
            load: None,
            deadline: Timestamp(client.deadline + CLOCK_START),
            is_mid_flow: false,
            is_reconnect: client.is_reconnect,
        }
    }

    /// Delivers a request to its node.
    pub(super) fn receive_request(&mut self, request: u64) {
        let Some(client) = self.client_of(request) else {
            return;
        };
        let state = &self.clients[client as usize];
        let node = state.node;
        let deadline = state.deadline;
        if !self.is_node_running_for(state) {
            // The process terminated while the request was in transit.
            self.clients[client as usize].is_answered = true;
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
        let incoming = self.request_info(client);
        self.deliver_event(node, Event::RequestReceived(incoming));
    }

    /// Adds a connection that is established at the start of the run.
    pub(super) fn inherit_connection(&mut self, client: u32, node: u32, server: u32) {
        if self.fleet[server as usize].clients.len() as u32
            >= self.fleet[server as usize].connection_limit()
        {
            let incarnation = self.clients[client as usize].incarnation;
            return self.connect_client(client, incarnation);
        }
        let request = self.next_request_number(client);
        let incarnation = self.nodes[node as usize].incarnation;
        let state = &mut self.clients[client as usize];
        (
            state.request,
            state.node,
            state.node_incarnation,
            state.phase,
        ) = (request, node, incarnation, Phase::Connected);
        state.attempts = 1;
        state.server = Some(server);
        state.is_answered = true;
        state.sent_at = self.now;
        self.add_connection(client, server);
        let incoming = self.request_info(client);
        let server_id = self.fleet[server as usize].id.clone();
        self.deliver_event(node, Event::ConnectionInherited(incoming, server_id));
        self.start_load_changes(client);
    }

    /// Reports a new connection's load and starts its changes.
    pub(super) fn start_load_changes(&mut self, client: u32) {
        let state = &mut self.clients[client as usize];
        state.connection_incarnation += 1;
        let (load, until_next) = next_load(
            &self.scenario.class[state.class],
            state.mean_load,
            &mut state.rng,
        );
        let delta = load - std::mem::replace(&mut state.load, load);
        if let Some(server) = state.server {
            self.advance(server);
            self.fleet[server as usize].change_load(delta);
        }
        self.report_load(client);
        self.schedule_load_change(client, until_next);
    }

    /// Sends the final answer to a request that got no connection.
    pub(super) fn send_final_answer(
        &mut self,
        node: u32,
        request: u64,
        is_rejected: bool,
        retry_after_ms: u32,
    ) {
        self.record(
            if is_rejected { "refused" } else { "failed" },
            node,
            request,
            None,
        );
        let Some(client) = self.client_of(request) else {
            return;
        };
        let state = &self.clients[client as usize];
        if state.phase != Phase::Requesting || state.node != node {
            return;
        }
        if state.is_answered {
            let what = "a second final answer".to_string();
            return self.checker.report(
                Rule::FinalAnswer,
                self.now,
                TraceSubject::Request(request),
                what,
            );
        }
        self.metrics.failed_requests += 1;
        let has_attempt = state.server.is_some();
        let attempt = state.attempts.saturating_sub(1);
        self.clients[client as usize].is_answered = true;
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
        let delay = jittered(&mut self.clients[client as usize].rng, mean, jitter);
        self.queue.schedule(
            self.now + delay,
            SimulationEvent::ClientAnswered(client, request, is_rejected, retry_after_ms),
        );
    }

    pub(super) fn answer_overdue(&mut self, request: u64) {
        let Some(client) = self.client_of(request) else {
            return;
        };
        let state = &self.clients[client as usize];
        if state.phase != Phase::Requesting || state.is_answered {
            return;
        }
        self.record("overdue", state.node, request, state.server);
        let what = "no final answer by the client's deadline".to_string();
        self.checker.report(
            Rule::FinalAnswer,
            self.now,
            TraceSubject::Request(request),
            what,
        );
        self.client_disconnected(client);
        self.clients[client as usize].is_answered = true;
        self.queue.schedule(
            self.now + 1,
            SimulationEvent::ClientAnswered(client, request, false, 0),
        );
    }

    /// Ends a request that its client has given up.
    pub(super) fn client_disconnected(&mut self, client: u32) {
        let state = &self.clients[client as usize];
        let node = state.node;
        let request = state.request;
        if state.is_answered || !self.is_node_running_for(state) {
            return;
        }
        let has_attempt = state.server.is_some();
        let attempt = state.attempts.saturating_sub(1);
        self.clients[client as usize].is_answered = true;
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
