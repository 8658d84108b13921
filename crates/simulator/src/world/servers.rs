//! Transcribers in the world: set-ups, standing connections, crowding, pauses, drains and ends.

use super::{Phase, World, EPOCH, NO_PLACE};
use crate::checker::{Rule, TraceSubject};
use crate::event_queue::{
    as_seconds, millis, seconds, Change, Incarnation, Moment, SimulationEvent,
};
use crate::population::{stream, work};
use crate::server_model::{PendingSetup, ServedInterval, ServerModel, ServerState};
use lupincrank_placement::{
    key_hash, rank_score, server_hash, Endpoint, Health, Outcome, ServerId, Timestamp,
};
use rand::{Rng, RngCore};
use rand_distr::{Exp1, StandardNormal};

/// The part of its capacity that a crowded transcriber sheds down to.
const SHED_TARGET_RATIO: f64 = 0.9;

impl World<'_> {
    /// The transcribers of the start, all warm and listed.
    pub(super) fn build_fleet(&mut self) {
        let kinds = self.scenario.fleet.kind.clone();
        let all: f64 = kinds.iter().map(|kind| kind.share).sum();
        let count = self.scenario.fleet.transcribers;
        let mut owed = vec![0.0; kinds.len()];
        for at in 0..count {
            // Kinds take turns by their shares, so that a small fleet has them in the right parts.
            owed.iter_mut()
                .zip(&kinds)
                .for_each(|(owed, kind)| *owed += kind.share / all);
            let kind = (0..kinds.len())
                .max_by(|a, b| owed[*a].total_cmp(&owed[*b]))
                .unwrap_or(0);
            owed[kind] -= 1.0;
            self.add_transcriber(at % self.scenario.net.zones, kind, None);
        }
        self.discovery.known = (0..count)
            .map(|at| self.endpoint(at, Health::Ready))
            .collect();
    }

    pub(super) fn add_transcriber(
        &mut self,
        zone: u32,
        kind: usize,
        started: Option<Moment>,
    ) -> u32 {
        let at = self.fleet.len() as u32;
        let mut random = stream(self.seed, 6, u64::from(at));
        let model = &self.scenario.fleet.kind[kind];
        let normal: f64 = random.sample(StandardNormal);
        let speed = model.speed * (1.0 + model.speed_cv * normal).clamp(0.3, 3.0);
        let wrong = self.scenario.fleet.weight_error;
        let weight = f64::from(model.cores) * (1.0 + random.gen_range(-1.0..=1.0) * wrong);
        let id = ServerId::from(format!("10.{}.{:08x}:8000", zone + 1, random.next_u32()).as_str());
        self.index.insert(id.clone(), at);
        self.hashes.push(server_hash(&id));
        let server = ServerModel::new(&self.scenario, id, zone, kind, speed, weight, started);
        self.fleet.push(server);
        self.schedule_pause(at);
        at
    }

    /// What discovery says of a transcriber.
    pub(super) fn endpoint(&self, at: u32, health: Health) -> Endpoint {
        let server = &self.fleet[at as usize];
        let ahead = self.scenario.discovery.clock_ahead_s;
        let told = |started: Moment| (started + EPOCH).saturating_add_signed((ahead * 1e9) as i64);
        Endpoint {
            server: server.id.clone(),
            health,
            weight: server.weight,
            zone: server.zone,
            cell: 0,
            machine_kind: server.kind as u32,
            started_at: server.started.map(|started| Timestamp(told(started))),
        }
    }

    /// The transcriber with the top product score for a client's key.
    pub(super) fn top_ranked_server(&self, client: u32) -> u32 {
        let (key, group) = self.keys(client);
        let key = key_hash(group.as_deref().unwrap_or(&key));
        let scored = self
            .hashes
            .iter()
            .enumerate()
            .map(|(at, hash)| (rank_score(*hash, key), at as u32));
        let id = |at: u32| &self.fleet[at as usize].id;
        scored
            .max_by(|a, b| a.0.cmp(&b.0).then_with(|| id(b.1).cmp(id(a.1))))
            .map_or(0, |(_, at)| at)
    }

    /// Advances a server's model to now and records what it served.
    pub(super) fn advance(&mut self, at: u32) {
        let now = self.now;
        let Some(server) = self.fleet.get_mut(at as usize) else {
            return;
        };
        let mut intervals: Vec<ServedInterval> = Vec::new();
        server.advance(now, &self.message_objectives, |interval| {
            intervals.push(interval);
        });
        if intervals.is_empty() {
            return;
        }
        let (wait, own) = server.delay(now);
        let (answers, load) = (server.answers(), server.load());
        let every = self.scenario.clients.message_every_s;
        let mut span = 0.0;
        for interval in intervals {
            let ServedInterval {
                class,
                connections,
                in_time_ratio,
                duration_s,
            } = interval;
            span = duration_s;
            self.metrics
                .record_service(class, now, connections * in_time_ratio * duration_s);
            if answers {
                let took = wait + own * self.chance.sample::<f64, _>(Exp1);
                self.metrics
                    .record_message(class, took, connections * duration_s / every);
            }
        }
        self.metrics.setup_work.total_s += load * span;
    }

    /// A client's connection joins a transcriber.
    pub(super) fn join(&mut self, client: u32, server: u32) {
        self.advance(server);
        let held = &mut self.clients[client as usize];
        held.load = held.usual;
        held.place = self.fleet[server as usize].join(client, held.class, held.load, held.group);
    }

    /// Ends whatever a client has at a transcriber.
    pub(super) fn release(&mut self, client: u32) {
        let held = &mut self.clients[client as usize];
        let Some(server) = held.out.take() else {
            return;
        };
        let place = std::mem::replace(&mut held.place, NO_PLACE);
        let (class, load, group) = (held.class, held.load, held.group);
        if place != NO_PLACE {
            self.advance(server);
            let moved = self.fleet[server as usize].leave(place, class, load, group);
            if let Some(moved) = moved {
                self.clients[moved as usize].place = place;
            }
        }
    }

    /// An attempt's first line arrives, or finds that nothing takes it.
    pub(super) fn attempt_arrives(
        &mut self,
        request: u64,
        attempt: u32,
        at: u32,
        incarnation: Incarnation,
    ) {
        let Some(client) = self.client_of(request) else {
            return;
        };
        let held = &self.clients[client as usize];
        if held.attempts != attempt + 1 || held.out != Some(at) || held.answered {
            return; // called off on its way
        }
        let (node, class, sent) = (held.node, held.class, held.sent);
        let zone = self.nodes[node as usize].zone;
        self.advance(at);
        let back = self.network_delay(zone, self.fleet[at as usize].zone);
        let server = &self.fleet[at as usize];
        let fails = |world: &mut Self, when: Moment, outcome: Outcome| {
            world.queue.schedule(
                when,
                SimulationEvent::AttemptEnded(request, attempt, outcome),
            );
        };
        let timeout = sent + millis(self.scenario.nodes.connect_timeout_ms);
        let standing = server.standing.len() as u32 + server.busy + server.waiting.len() as u32;
        match server.state {
            ServerState::Silent => {
                return fails(self, timeout.max(self.now + 1), Outcome::ConnectFailed)
            }
            ServerState::Down => return fails(self, self.now + back, Outcome::ConnectFailed),
            ServerState::Up | ServerState::Draining if server.incarnation != incarnation => {
                return fails(self, self.now + back, Outcome::ConnectFailed)
            }
            ServerState::Draining => return fails(self, self.now + back, Outcome::Rejected),
            ServerState::Up if standing >= server.cap() => {
                return fails(self, timeout.max(self.now + 1), Outcome::ConnectFailed)
            }
            ServerState::Up => {}
        }
        self.check_cold_start(at, node, class);
        if self.fleet[at as usize].state != ServerState::Up {
            return; // that pushed it over; its attempts have been ended
        }
        let (slots, queue) = (
            self.fleet[at as usize].slots(),
            self.fleet[at as usize].model().queue,
        );
        let job = work(
            &self.scenario.class[class],
            &mut self.clients[client as usize].random,
        );
        let waiting = PendingSetup {
            request,
            attempt,
            work: job,
            since: self.now,
        };
        let server = &mut self.fleet[at as usize];
        if server.busy < slots {
            self.begin_setup(at, waiting);
        } else if (server.waiting.len() as u32) < queue {
            server.waiting.push_back(waiting);
        } else {
            fails(self, self.now + back, Outcome::Rejected);
        }
    }

    /// Counts what a cold transcriber is sent, and lets it fall over when that is too much.
    fn check_cold_start(&mut self, at: u32, node: u32, class: usize) {
        let knows = self.nodes[node as usize]
            .knows_start
            .get(at as usize)
            .copied()
            .unwrap_or(0);
        let loads =
            self.scenario.class[class].load * self.scenario.load_unit() / self.scenario.mean_load();
        let (multiple, span) = (
            self.scenario.rules.fall_multiple,
            self.scenario.rules.fall_s,
        );
        let server = &mut self.fleet[at as usize];
        let knows_start = knows == server.incarnation;
        if !server.overloads_cold(self.now, loads, knows_start, multiple, span) {
            return;
        }
        let cold_load = server.cold_load;
        self.metrics.fallen += 1;
        self.record("fell over", node, 0, Some(at));
        if cold_load.informed >= cold_load.total * 2.0 / 3.0 {
            let what = format!(
                "transcriber {at}, cold since {:.2} s, was sent {:.1} loads in a row, {:.1} of them by nodes \
                 that knew of its start",
                as_seconds(self.now - self.fleet[at as usize].started.unwrap_or(0)),
                cold_load.total,
                cold_load.informed,
            );
            self.checker
                .report(Rule::Cold, self.now, TraceSubject::Server(at), what);
        }
        let notice = seconds(self.scenario.discovery.notice_s);
        let incarnation = self.fleet[at as usize].incarnation;
        self.terminate_server(at);
        self.queue.schedule(
            self.now + notice,
            SimulationEvent::DiscoveryLearns(at, incarnation, Change::Gone),
        );
    }

    fn begin_setup(&mut self, at: u32, waiting: PendingSetup) {
        let now = self.now;
        let server = &mut self.fleet[at as usize];
        server.busy += 1;
        let waited = as_seconds(now - waiting.since);
        self.metrics.setup_waits.total_s += waited;
        self.metrics.setup_waits.started += 1;
        self.metrics.setup_waits.delayed += u64::from(waited > 0.0);
        self.metrics.setup_work.total_s += waiting.work;
        let takes = server.set_up_s(now, waiting.work);
        if server.load() > 0.0 {
            server.piled += waiting.work;
        }
        let (request, attempt) = (waiting.request, waiting.attempt);
        self.queue.schedule(
            now + seconds(takes),
            SimulationEvent::SetupDone(request, attempt, at, server.incarnation),
        );
    }

    /// A set-up is done: the connection stands, unless it was called off meanwhile.
    pub(super) fn setup_done(
        &mut self,
        request: u64,
        attempt: u32,
        at: u32,
        incarnation: Incarnation,
    ) {
        if self.fleet[at as usize].incarnation != incarnation || !self.fleet[at as usize].answers()
        {
            return;
        }
        self.advance(at);
        self.fleet[at as usize].busy -= 1;
        while let Some(next) = self.fleet[at as usize].waiting.pop_front() {
            // One that was called off while it waited costs nothing.
            if self
                .awaiting_client(next.request, next.attempt, at)
                .is_some()
            {
                self.begin_setup(at, next);
                break;
            }
        }
        let Some(client) = self.awaiting_client(request, attempt, at) else {
            self.metrics.setup_work.wasted_s += self
                .scenario
                .class
                .first()
                .map_or(0.0, |class| class.work_ms / 1e3);
            return;
        };
        let node = self.clients[client as usize].node;
        let back = self.network_delay(self.nodes[node as usize].zone, self.fleet[at as usize].zone);
        if self.chance.gen::<f64>() < self.fleet[at as usize].model().error_rate {
            return self.queue.schedule(
                self.now + back,
                SimulationEvent::AttemptEnded(request, attempt, Outcome::Error),
            );
        }
        self.join(client, at);
        self.queue.schedule(
            self.now + back,
            SimulationEvent::ConnectionEstablished(request, attempt),
        );
    }

    /// The client whose attempt at this transcriber is still waited for.
    fn awaiting_client(&self, request: u64, attempt: u32, at: u32) -> Option<u32> {
        let client = self.client_of(request)?;
        let held = &self.clients[client as usize];
        let wanted = held.phase == Phase::Requesting && !held.answered && held.out == Some(at);
        (wanted && held.attempts == attempt + 1).then_some(client)
    }

    /// A crowded transcriber drops its newest connections until it can bear the rest.
    pub(super) fn shed_load(&mut self, at: u32) {
        let server = &self.fleet[at as usize];
        if !server.answers()
            || server.piled <= self.scenario.fleet.buffer_s * server.capacity(self.now)
        {
            return;
        }
        let mut newest: Vec<(Moment, u32)> = server
            .standing
            .iter()
            .map(|client| (self.clients[*client as usize].sent, *client))
            .collect();
        newest.sort_unstable();
        while let Some((_, client)) = newest.pop() {
            let server = &self.fleet[at as usize];
            if server.load() <= server.capacity(self.now) * SHED_TARGET_RATIO {
                break;
            }
            self.cut_off(client);
        }
    }

    /// A connection breaks: its node hears a reset, and its client comes again.
    pub(super) fn cut_off(&mut self, client: u32) {
        match self.clients[client as usize].phase {
            Phase::Connected => {
                self.metrics.cut += 1;
                self.end_standing(client, Outcome::Reset);
                self.connection_lost(client, false);
            }
            Phase::Requesting => {
                let held = &self.clients[client as usize];
                let (request, attempt) = (held.request, held.attempts.saturating_sub(1));
                self.attempt_ended(request, attempt, Outcome::Reset);
            }
            Phase::Disconnected => {}
        }
    }

    pub(super) fn schedule_pause(&mut self, at: u32) {
        let server = &self.fleet[at as usize];
        let every = server.model().pause_every_s;
        if every > 0.0 {
            let gap = seconds(every * self.chance.sample::<f64, _>(Exp1)).max(1);
            let incarnation = server.incarnation;
            self.queue.schedule(
                self.now + gap,
                SimulationEvent::ServerPause(at, incarnation),
            );
        }
    }

    /// It stands still for a moment: what it could have done meanwhile is piled up.
    pub(super) fn pause(&mut self, at: u32, incarnation: Incarnation) {
        if self.fleet[at as usize].incarnation != incarnation || !self.fleet[at as usize].answers()
        {
            return;
        }
        self.advance(at);
        let server = &mut self.fleet[at as usize];
        server.piled += server.capacity(self.now) * server.model().pause_ms / 1e3;
        self.schedule_pause(at);
    }

    /// It stops to answer: whatever it had is cut off.
    pub(super) fn terminate_server(&mut self, at: u32) {
        self.advance(at);
        let server = &mut self.fleet[at as usize];
        server.state = ServerState::Down;
        server.incarnation += 1;
        server.busy = 0;
        let waiting = std::mem::take(&mut server.waiting);
        for client in server.standing.clone() {
            self.cut_off(client);
        }
        for one in waiting {
            let (request, attempt) = (one.request, one.attempt);
            self.queue.schedule(
                self.now + millis(1.0),
                SimulationEvent::AttemptEnded(request, attempt, Outcome::Reset),
            );
        }
    }

    /// It drains: it takes nothing new, sends its clients away bit by bit where that is its custom, and ends.
    pub(super) fn drain(&mut self, at: u32, span: Moment) {
        if self.fleet[at as usize].state != ServerState::Up {
            return;
        }
        self.advance(at);
        self.fleet[at as usize].state = ServerState::Draining;
        let incarnation = self.fleet[at as usize].incarnation;
        let notice = seconds(self.scenario.discovery.notice_s);
        self.queue.schedule(
            self.now + notice,
            SimulationEvent::DiscoveryLearns(at, incarnation, Change::Drains),
        );
        self.queue.schedule(
            self.now + span,
            SimulationEvent::ServerStops(at, incarnation),
        );
        let count = self.fleet[at as usize].standing.len() as u64;
        if self.scenario.fleet.goaway && count > 0 {
            // Evenly over nine tenths of the drain.
            let gap = span * 9 / 10 / count;
            for number in 1..=count {
                self.queue.schedule(
                    self.now + number * gap,
                    SimulationEvent::DrainClient(at, incarnation),
                );
            }
        }
    }

    pub(super) fn drain_client(&mut self, at: u32, incarnation: Incarnation) {
        let server = &self.fleet[at as usize];
        if server.incarnation != incarnation || server.state != ServerState::Draining {
            return;
        }
        let standing = server.standing.iter().copied();
        let first = standing
            .filter(|client| self.clients[*client as usize].phase == Phase::Connected)
            .min();
        if let Some(client) = first {
            self.metrics.sent_away += 1;
            self.end_standing(client, Outcome::Cancelled);
            self.connection_lost(client, true);
        }
    }

    /// A drained transcriber ends.
    pub(super) fn stop_server(&mut self, at: u32, incarnation: Incarnation) {
        if self.fleet[at as usize].incarnation != incarnation
            || self.fleet[at as usize].state == ServerState::Down
        {
            return;
        }
        self.terminate_server(at);
        let notice = seconds(self.scenario.discovery.notice_s);
        self.queue.schedule(
            self.now + notice,
            SimulationEvent::DiscoveryLearns(at, incarnation, Change::Gone),
        );
    }
}
