//! Nodes: they hand events to the decisions, carry actions out, and tell what they observe.

use super::{Node, Phase, World, EPOCH, NOWHERE};
use crate::judge::{Of, Rule};
use crate::policy::Truth;
use crate::population::{jittered, stream, swing};
use crate::queue::{millis, seconds, Happening, Life, Moment, SECOND};
use crate::scenario::Delays;
use crate::transcriber::State;
use lupincrank_placement::{Action, Event, Outcome, RequestId, RequestInfo, Timer, Timestamp};
use std::collections::VecDeque;
use std::time::Duration;

/// Set-ups that a node remembers to tell a long one from the usual, and the multiple that is long.
const SET_UPS: usize = 63;
const FEWEST_SET_UPS: usize = 8;
const LONG: u64 = 3;

impl World<'_> {
    pub(super) fn add_node(&mut self, zone: u32) {
        let at = self.nodes.len() as u32;
        let policy = self.new_policy(at, 0);
        self.nodes.push(Node {
            zone,
            life: 0,
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

    fn new_policy(&self, node: u32, life: Life) -> Box<dyn crate::policy::Policy> {
        use rand::RngCore;
        let seed = stream(self.seed, 5, u64::from(node) << 32 | u64::from(life)).next_u64();
        (self.make)(self.settings.clone(), seed)
    }

    /// A node's process starts: from nothing but the list as discovery has it.
    pub(super) fn start_node(&mut self, at: u32) {
        let life = self.nodes[at as usize].life + 1;
        let policy = self.new_policy(at, life);
        let node = &mut self.nodes[at as usize];
        (node.life, node.alive, node.watches, node.policy) = (life, true, false, policy);
        node.leaving.clear();
        node.knows_start.clear();
        node.set_ups.clear();
        self.feed(at, Event::Start);
        self.give_cached_list(at);
        self.queue
            .put(self.now + seconds(0.5), Happening::Front(at, life, true));
    }

    /// A node's process dies, and with it all that goes through it.
    pub(super) fn kill_node(&mut self, at: u32) {
        let node = &mut self.nodes[at as usize];
        (node.alive, node.watches) = (false, false);
        let life = node.life;
        let notice = seconds(self.scenario.nodes.front_notice_s);
        self.queue
            .put(self.now + notice, Happening::Front(at, life, false));
        for client in 0..self.clients.len() as u32 {
            let held = &self.clients[client as usize];
            if held.node != at || held.node_life != life || held.request == 0 {
                continue;
            }
            match held.phase {
                Phase::Stands => {
                    self.measure.cut += 1;
                    self.release(client);
                    self.broken(client, false);
                }
                Phase::Asks if !held.answered => {
                    let request = held.request;
                    self.release(client);
                    self.clients[client as usize].answered = true;
                    self.queue.put(
                        self.now + millis(1.0),
                        Happening::Answered(client, request, false, 0),
                    );
                }
                _ => {}
            }
        }
    }

    pub(super) fn front(&mut self, node: u32, life: Life, takes: bool) {
        let node = &mut self.nodes[node as usize];
        if node.life == life && node.alive == takes {
            node.listed_by_front = takes;
        }
    }

    /// Hands an event to a node's decisions and carries out what they want.
    pub(super) fn feed(&mut self, at: u32, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let truth = Truth {
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
            self.carry_out(at, action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, node: u32, action: Action) {
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
                    if self.clients[client as usize].phase == Phase::Stands {
                        self.measure.moves += 1;
                        self.record("moved", node, request.0, self.clients[client as usize].out);
                        self.end_standing(client, Outcome::Cancelled);
                        self.broken(client, true);
                    }
                }
            }
            Action::SetTimer { after, timer } => {
                let life = self.nodes[node as usize].life;
                let after = u64::try_from(after.as_nanos())
                    .unwrap_or(u64::MAX)
                    .min(3600 * SECOND);
                self.queue
                    .put(self.now + after.max(1), Happening::Timer(node, life, timer));
            }
            Action::WatchEndpoints => self.call_directory(node),
            // Settings forbid both.
            Action::CheckHealth(_) | Action::Gossip(_) => {}
        }
    }

    pub(super) fn timer(&mut self, node: u32, life: Life, timer: Timer) {
        let at = &self.nodes[node as usize];
        if at.alive && at.life == life {
            self.feed(node, Event::TimerFired(timer));
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
    pub(super) fn taken(&mut self, request: u64) {
        let Some(client) = self.client_of(request) else {
            return;
        };
        let held = &self.clients[client as usize];
        let (node, deadline) = (held.node, held.deadline);
        let at = &self.nodes[node as usize];
        if !at.alive || at.life != held.node_life {
            // It died while the request was on its way.
            self.clients[client as usize].answered = true;
            return self.queue.put(
                self.now + millis(1.0),
                Happening::Answered(client, request, false, 0),
            );
        }
        self.record("taken", node, request, None);
        let overdue = deadline + millis(self.scenario.rules.answer_slack_ms);
        self.queue
            .put(overdue.max(self.now + 1), Happening::Overdue(request));
        let incoming = self.incoming(client);
        self.feed(node, Event::RequestReceived(incoming));
    }

    /// A connection that stands when the world begins.
    pub(super) fn inherit(&mut self, client: u32, node: u32, server: u32) {
        if self.fleet[server as usize].standing.len() as u32 >= self.fleet[server as usize].cap() {
            let life = self.clients[client as usize].life;
            return self.asks(client, life);
        }
        let request = self.number(client);
        let life = self.nodes[node as usize].life;
        let held = &mut self.clients[client as usize];
        (held.request, held.node, held.node_life, held.phase) =
            (request, node, life, Phase::Stands);
        (held.attempts, held.out, held.answered, held.sent) = (1, Some(server), true, self.now);
        self.join(client, server);
        let incoming = self.incoming(client);
        let id = self.fleet[server as usize].id.clone();
        self.feed(node, Event::ConnectionInherited(incoming, id));
        self.starts_to_stand(client);
    }

    /// From here on a connection's load is told and changes.
    fn starts_to_stand(&mut self, client: u32) {
        let held = &mut self.clients[client as usize];
        held.stood += 1;
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
        self.tell_load(client);
        self.next_swing(client, next);
    }

    pub(super) fn tell_load(&mut self, client: u32) {
        if !self.scenario.nodes.loads {
            return;
        }
        let held = &self.clients[client as usize];
        let load = Duration::from_secs_f64(held.load.max(0.0));
        let (node, request) = (held.node, RequestId(held.request));
        self.feed(node, Event::LoadObserved { request, load });
    }

    /// Sends an attempt on its way, once the judges have looked at it.
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
            held.phase == Phase::Asks && !held.answered && held.node == node
        });
        let (Some(client), Some(server)) = (current, server) else {
            let what =
                "sent, though it was answered or never taken, or to a transcriber that was never listed";
            return self
                .judge
                .breaks(Rule::FinalAnswer, now, Of::Request(request), what.into());
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
        self.judge
            .breaks(Rule::Attempts, self.now, Of::Request(request), what);
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
            let since = crate::queue::as_seconds(now - told.unwrap_or(now));
            let what = format!(
                "sent to transcriber {server}, {since:.3} s after the node was told that it leaves"
            );
            self.judge
                .breaks(Rule::Drain, now, Of::Request(request), what);
        }
    }

    /// Puts an attempt on its way: it arrives after the handshake, and times out unless it ends before.
    fn start_attempt(&mut self, node: u32, client: u32, server: u32, timeout: Duration) {
        let now = self.now;
        let (node_zone, server_zone) = (
            self.nodes[node as usize].zone,
            self.fleet[server as usize].zone,
        );
        self.measure.attempts += 1;
        self.measure.crossings += u64::from(node_zone != server_zone);
        let trips = 1.0 + 2.0 * self.scenario.net.handshake_rtts;
        let way = (self.hop(node_zone, server_zone) as f64 * trips) as Moment;
        let held = &mut self.clients[client as usize];
        let request = held.request;
        let attempt = held.attempts;
        held.attempts += 1;
        held.out = Some(server);
        held.sent = now;
        let until =
            (now + u64::try_from(timeout.as_nanos()).unwrap_or(u64::MAX / 2)).min(held.deadline);
        let life = self.fleet[server as usize].life;
        self.queue
            .put(until.max(now + 1), Happening::Patience(request, attempt));
        self.queue.put(
            now + way,
            Happening::Arrives(request, attempt, server, life),
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
        if held.phase != Phase::Asks || held.node != node {
            return;
        }
        if held.answered {
            let what = "a second final answer".to_string();
            return self
                .judge
                .breaks(Rule::FinalAnswer, self.now, Of::Request(request), what);
        }
        self.measure.refused += 1;
        let out = held.out.is_some();
        let attempt = held.attempts.saturating_sub(1);
        self.clients[client as usize].answered = true;
        if out {
            self.release(client);
            let outcome = Outcome::Cancelled;
            let request = RequestId(request);
            self.feed(
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
        self.queue.put(
            self.now + hop,
            Happening::Answered(client, request, refused, wait_ms),
        );
    }

    pub(super) fn overdue(&mut self, request: u64) {
        let Some(client) = self.client_of(request) else {
            return;
        };
        let held = &self.clients[client as usize];
        if held.phase != Phase::Asks || held.answered {
            return;
        }
        self.record("overdue", held.node, request, held.out);
        let what = "no final answer by the client's deadline".to_string();
        self.judge
            .breaks(Rule::FinalAnswer, self.now, Of::Request(request), what);
        self.client_gone(client);
        self.clients[client as usize].answered = true;
        self.queue
            .put(self.now + 1, Happening::Answered(client, request, false, 0));
    }

    /// Nobody waits for the request any more.
    pub(super) fn client_gone(&mut self, client: u32) {
        let held = &self.clients[client as usize];
        let (node, request, life) = (held.node, held.request, held.node_life);
        let at = &self.nodes[node as usize];
        if held.answered || !at.alive || at.life != life {
            return;
        }
        let (out, attempt) = (held.out.is_some(), held.attempts.saturating_sub(1));
        self.clients[client as usize].answered = true;
        self.release(client);
        self.feed(node, Event::ClientGone(RequestId(request)));
        if out {
            let request = RequestId(request);
            let outcome = Outcome::Cancelled;
            self.feed(
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
        let current = held.phase == Phase::Asks && !held.answered && held.out.is_some();
        (current && held.attempts == attempt + 1).then_some(client)
    }

    pub(super) fn out_of_patience(&mut self, request: u64, attempt: u32) {
        if self.waits_for(request, attempt).is_some() {
            self.measure.timed_out += 1;
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
            Outcome::Rejected => self.measure.full += 1,
            Outcome::ConnectFailed => self.measure.no_connect += 1,
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
        self.feed(
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
    pub(super) fn stands(&mut self, request: u64, attempt: u32) {
        let Some(client) = self.waits_for(request, attempt) else {
            return;
        };
        let held = &mut self.clients[client as usize];
        if held.place == NOWHERE {
            return; // its transcriber is gone again
        }
        (held.phase, held.answered) = (Phase::Stands, true);
        (held.failures, held.retries) = (0, 0);
        let (node, server) = (held.node, held.out);
        let (took, sent) = (self.now - held.asked, self.now - held.sent);
        self.measure.set_up(took);
        self.record("stands", node, request, server);
        let id = RequestId(request);
        self.feed(
            node,
            Event::ConnectionEstablished {
                request: id,
                setup_duration: Duration::from_nanos(sent),
            },
        );
        // What the decisions wanted may have ended it again.
        if self.client_of(request).is_some() {
            self.starts_to_stand(client);
            self.judge_set_up(node, id, sent);
        }
    }

    /// Lines are returned at once however crowded a transcriber is, but a set-up waits its turn there: one that
    /// takes over three times the median of the latest ones is told as a delay by what is over the median, as real
    /// nodes do.
    fn judge_set_up(&mut self, node: u32, request: RequestId, took: Moment) {
        let set_ups = &mut self.nodes[node as usize].set_ups;
        let mut sorted: Vec<Moment> = set_ups.iter().copied().collect();
        if set_ups.len() == SET_UPS {
            set_ups.pop_front();
        }
        set_ups.push_back(took);
        if self.scenario.nodes.delays != Delays::Sockets || sorted.len() < FEWEST_SET_UPS {
            return;
        }
        let middle = sorted.len() / 2;
        let median = *sorted.select_nth_unstable(middle).1;
        if took > median * LONG {
            let delay = Duration::from_nanos(took - median);
            self.feed(node, Event::DelayObserved { request, delay });
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
        let lives =
            self.nodes[node as usize].alive && self.nodes[node as usize].life == held.node_life;
        self.release(client);
        let held = &mut self.clients[client as usize];
        (held.phase, held.request) = (Phase::Away, 0);
        if lives {
            self.feed(
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
        let least = self.aims.iter().copied().fold(f64::INFINITY, f64::min);
        for at in 0..self.fleet.len() {
            let server = &self.fleet[at];
            let (wait, own) = server.delay(self.now);
            let silent = server.state == State::Silent;
            let gone = crate::queue::as_seconds(self.now.saturating_sub(server.silent_since));
            let delay = if silent { gone } else { wait + own };
            let late = delay > least / 3.0;
            let was = std::mem::replace(&mut self.fleet[at].late, late);
            if late || was {
                let delay = Duration::from_secs_f64(delay);
                for (node, request) in self.one_for_each_node(at as u32) {
                    self.feed(node, Event::DelayObserved { request, delay });
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
            if held.phase == Phase::Stands && !std::mem::replace(&mut met[held.node as usize], true)
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
    pub(super) fn silence(&mut self, server: u32, life: Life) {
        let at = &self.fleet[server as usize];
        if at.state != State::Silent || at.life != life {
            return;
        }
        let id = at.id.clone();
        for (node, _) in self.one_for_each_node(server) {
            let held = self.fleet[server as usize].standing.iter();
            let held = held
                .filter(|client| self.clients[**client as usize].node == node)
                .count();
            if held > 1 {
                self.feed(node, Event::ServerUnresponsive(id.clone()));
            }
        }
        let left: Vec<u32> = self.fleet[server as usize].standing.clone();
        for client in left {
            let held = &self.clients[client as usize];
            if held.phase == Phase::Stands && held.out == Some(server) {
                let (node, request) = (held.node, RequestId(held.request));
                self.feed(node, Event::ConnectionUnresponsive(request));
            }
        }
        self.queue
            .put(self.now + SECOND, Happening::Silence(server, life));
    }
}
