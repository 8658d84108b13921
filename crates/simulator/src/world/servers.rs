//! Servers in the world: setups, established connections, overload, pauses, draining and termination.

use super::{Phase, World, CLOCK_START, NOT_CONNECTED};
use crate::checker::{Rule, TraceSubject};
use crate::event_queue::{
    as_seconds, millis, seconds, Incarnation, ServerChange, SimTime, SimulationEvent,
};
use crate::population::{setup_work, stream};
use crate::server_model::{QueuedSetup, ServedInterval, ServerModel, ServerState};
use lupincrank_placement::{
    key_hash, rank_score, server_hash, Endpoint, Health, Outcome, ServerId, Timestamp,
};
use rand::{Rng, RngCore};
use rand_distr::{Exp1, StandardNormal};

/// The fraction of its capacity that an overloaded server sheds load down to.
const SHED_TARGET_RATIO: f64 = 0.9;

impl World<'_> {
    /// Adds the initial servers, all warm and in the endpoint list.
    pub(super) fn build_fleet(&mut self) {
        let kinds = self.scenario.fleet.kind.clone();
        let total_share: f64 = kinds.iter().map(|kind| kind.share).sum();
        let count = self.scenario.fleet.transcribers;
        let mut share_deficits = vec![0.0; kinds.len()];
        for index in 0..count {
            // Machine kinds alternate by their shares, so that a small fleet has them in the right proportion.
            share_deficits
                .iter_mut()
                .zip(&kinds)
                .for_each(|(deficit, kind)| *deficit += kind.share / total_share);
            let kind = (0..kinds.len())
                .max_by(|a, b| share_deficits[*a].total_cmp(&share_deficits[*b]))
                .unwrap_or(0);
            share_deficits[kind] -= 1.0;
            self.add_server(index % self.scenario.net.zones, kind, None);
        }
        self.discovery.endpoints = (0..count)
            .map(|index| self.endpoint(index, Health::Ready))
            .collect();
    }

    pub(super) fn add_server(
        &mut self,
        zone: u32,
        kind_index: usize,
        started_at: Option<SimTime>,
    ) -> u32 {
        let index = self.fleet.len() as u32;
        let mut rng = stream(self.seed, 6, u64::from(index));
        let machine_kind = &self.scenario.fleet.kind[kind_index];
        let normal: f64 = rng.sample(StandardNormal);
        let speed = machine_kind.speed * (1.0 + machine_kind.speed_cv * normal).clamp(0.3, 3.0);
        let weight_error = self.scenario.fleet.weight_error;
        let weight =
            f64::from(machine_kind.cores) * (1.0 + rng.gen_range(-1.0..=1.0) * weight_error);
        let id = ServerId::from(format!("10.{}.{:08x}:8000", zone + 1, rng.next_u32()).as_str());
        self.server_indices.insert(id.clone(), index);
        self.server_hashes.push(server_hash(&id));
        let server = ServerModel::new(
            &self.scenario,
            id,
            zone,
            kind_index,
            speed,
            weight,
            started_at,
        );
        self.fleet.push(server);
        self.schedule_pause(index);
        index
    }

    /// Returns discovery's entry for a server.
    pub(super) fn endpoint(&self, index: u32, health: Health) -> Endpoint {
        let server = &self.fleet[index as usize];
        let clock_ahead_s = self.scenario.discovery.clock_ahead_s;
        let reported = |started_at: SimTime| {
            (started_at + CLOCK_START).saturating_add_signed((clock_ahead_s * 1e9) as i64)
        };
        Endpoint {
            server: server.id.clone(),
            health,
            weight: server.weight,
            zone: server.zone,
            cell: 0,
            machine_kind: server.kind_index as u32,
            started_at: server
                .started_at
                .map(|started_at| Timestamp(reported(started_at))),
        }
    }

    /// Returns the server with the highest rank score for a client's key.
    pub(super) fn top_ranked_server(&self, client: u32) -> u32 {
        let (key, group) = self.keys(client);
        let key = key_hash(group.as_deref().unwrap_or(&key));
        let scored = self
            .server_hashes
            .iter()
            .enumerate()
            .map(|(index, hash)| (rank_score(*hash, key), index as u32));
        let id = |index: u32| &self.fleet[index as usize].id;
        scored
            .max_by(|a, b| a.0.cmp(&b.0).then_with(|| id(b.1).cmp(id(a.1))))
            .map_or(0, |(_, index)| index)
    }

    /// Advances a server's model to the current time and records what it served.
    pub(super) fn advance(&mut self, index: u32) {
        let now = self.now;
        let Some(server) = self.fleet.get_mut(index as usize) else {
            return;
        };
        let mut intervals: Vec<ServedInterval> = Vec::new();
        server.advance(now, &self.message_objectives, |interval| {
            intervals.push(interval);
        });
        if intervals.is_empty() {
            return;
        }
        let (wait, service_time) = server.delay(now);
        let (is_serving, load) = (server.is_serving(), server.load());
        let message_interval_s = self.scenario.clients.message_every_s;
        let mut elapsed_s = 0.0;
        for interval in intervals {
            let ServedInterval {
                class,
                connections,
                in_time_ratio,
                duration_s,
            } = interval;
            elapsed_s = duration_s;
            self.metrics
                .record_service(class, now, connections * in_time_ratio * duration_s);
            if is_serving {
                let delay = wait + service_time * self.rng.sample::<f64, _>(Exp1);
                self.metrics.record_message(
                    class,
                    delay,
                    connections * duration_s / message_interval_s,
                );
            }
        }
        self.metrics.work.total_s += load * elapsed_s;
    }

    /// Adds a client's connection to a server.
    pub(super) fn add_connection(&mut self, client: u32, server: u32) {
        self.advance(server);
        let state = &mut self.clients[client as usize];
        state.load = state.mean_load;
        state.connection_index = self.fleet[server as usize].add_connection(
            client,
            state.class,
            state.load,
            state.group,
        );
    }

    /// Ends a client's attempt or connection at its server.
    pub(super) fn release(&mut self, client: u32) {
        let state = &mut self.clients[client as usize];
        let Some(server) = state.server.take() else {
            return;
        };
        let connection_index = std::mem::replace(&mut state.connection_index, NOT_CONNECTED);
        let (class, load, group) = (state.class, state.load, state.group);
        if connection_index != NOT_CONNECTED {
            self.advance(server);
            let moved =
                self.fleet[server as usize].remove_connection(connection_index, class, load, group);
            if let Some(moved) = moved {
                self.clients[moved as usize].connection_index = connection_index;
            }
        }
    }

    /// Handles the first line of an attempt at a server, which may not accept it.
    pub(super) fn attempt_arrives(
        &mut self,
        request: u64,
        attempt: u32,
        index: u32,
        incarnation: Incarnation,
    ) {
        let Some(client) = self.client_of(request) else {
            return;
        };
        let state = &self.clients[client as usize];
        if state.attempts != attempt + 1 || state.server != Some(index) || state.is_answered {
            return; // cancelled on its way
        }
        let (node, class, sent_at) = (state.node, state.class, state.sent_at);
        let zone = self.nodes[node as usize].zone;
        self.advance(index);
        let delay = self.network_delay(zone, self.fleet[index as usize].zone);
        let server = &self.fleet[index as usize];
        let fail = |world: &mut Self, time: SimTime, outcome: Outcome| {
            world.queue.schedule(
                time,
                SimulationEvent::AttemptEnded(request, attempt, outcome),
            );
        };
        let times_out_at = sent_at + millis(self.scenario.nodes.connect_timeout_ms);
        let count = server.clients.len() as u32 + server.setups + server.queued_setups.len() as u32;
        match server.state {
            ServerState::Unresponsive => {
                return fail(self, times_out_at.max(self.now + 1), Outcome::ConnectFailed)
            }
            ServerState::Down => return fail(self, self.now + delay, Outcome::ConnectFailed),
            ServerState::Up | ServerState::Draining if server.incarnation != incarnation => {
                return fail(self, self.now + delay, Outcome::ConnectFailed)
            }
            ServerState::Draining => return fail(self, self.now + delay, Outcome::Rejected),
            ServerState::Up if count >= server.connection_limit() => {
                return fail(self, times_out_at.max(self.now + 1), Outcome::ConnectFailed)
            }
            ServerState::Up => {}
        }
        self.check_warm_up_overload(index, node, class);
        if self.fleet[index as usize].state != ServerState::Up {
            return; // the server failed from overload, which ended its attempts
        }
        let (setup_slots, max_queued_setups) = (
            self.fleet[index as usize].setup_slots(),
            self.fleet[index as usize].machine_kind().queue,
        );
        let work = setup_work(
            &self.scenario.class[class],
            &mut self.clients[client as usize].rng,
        );
        let setup = QueuedSetup {
            request,
            attempt,
            work,
            arrived_at: self.now,
        };
        let server = &mut self.fleet[index as usize];
        if server.setups < setup_slots {
            self.begin_setup(index, setup);
        } else if (server.queued_setups.len() as u32) < max_queued_setups {
            server.queued_setups.push_back(setup);
        } else {
            fail(self, self.now + delay, Outcome::Rejected);
        }
    }

    /// Counts the load sent to a server that is warming up, and terminates the server if the load overloads it. That is
    /// a violation only if nodes that had been notified of its start sent at least two thirds of the load.
    fn check_warm_up_overload(&mut self, index: u32, node: u32, class: usize) {
        let known_incarnation = self.nodes[node as usize]
            .known_starts
            .get(index as usize)
            .copied()
            .unwrap_or(0);
        let load =
            self.scenario.class[class].load * self.scenario.load_unit() / self.scenario.mean_load();
        let (factor, window_s) = (
            self.scenario.rules.fall_multiple,
            self.scenario.rules.fall_s,
        );
        let server = &mut self.fleet[index as usize];
        let is_informed = known_incarnation == server.incarnation;
        if !server.add_warm_up_load(self.now, load, is_informed, factor, window_s) {
            return;
        }
        let warm_up_load = server.warm_up_load;
        self.metrics.overloaded_servers += 1;
        self.record("fell over", node, 0, Some(index));
        if warm_up_load.from_informed_nodes >= warm_up_load.total * 2.0 / 3.0 {
            let what = format!(
                "transcriber {index}, cold since {:.2} s, was sent {:.1} loads in a row, {:.1} of them by nodes \
                 that knew of its start",
                as_seconds(self.now - self.fleet[index as usize].started_at.unwrap_or(0)),
                warm_up_load.total,
                warm_up_load.from_informed_nodes,
            );
            self.checker
                .report(Rule::Cold, self.now, TraceSubject::Server(index), what);
        }
        let delay = seconds(self.scenario.discovery.notice_s);
        let incarnation = self.fleet[index as usize].incarnation;
        self.terminate_server(index);
        self.queue.schedule(
            self.now + delay,
            SimulationEvent::DiscoveryUpdated(index, incarnation, ServerChange::Removed),
        );
    }

    fn begin_setup(&mut self, index: u32, setup: QueuedSetup) {
        let now = self.now;
        let server = &mut self.fleet[index as usize];
        server.setups += 1;
        let waited = as_seconds(now - setup.arrived_at);
        self.metrics.setup_waits.total_s += waited;
        self.metrics.setup_waits.started += 1;
        self.metrics.setup_waits.delayed += u64::from(waited > 0.0);
        self.metrics.work.total_s += setup.work;
        let duration_s = server.setup_duration_s(now, setup.work);
        if server.load() > 0.0 {
            server.backlog += setup.work;
        }
        let (request, attempt) = (setup.request, setup.attempt);
        self.queue.schedule(
            now + seconds(duration_s),
            SimulationEvent::SetupDone(request, attempt, index, server.incarnation),
        );
    }

    /// Completes a setup: the connection is established, unless the attempt was cancelled.
    pub(super) fn setup_done(
        &mut self,
        request: u64,
        attempt: u32,
        index: u32,
        incarnation: Incarnation,
    ) {
        if self.fleet[index as usize].incarnation != incarnation
            || !self.fleet[index as usize].is_serving()
        {
            return;
        }
        self.advance(index);
        self.fleet[index as usize].setups -= 1;
        while let Some(next) = self.fleet[index as usize].queued_setups.pop_front() {
            // A setup that was cancelled while it waited costs nothing.
            if self
                .client_awaiting_setup(next.request, next.attempt, index)
                .is_some()
            {
                self.begin_setup(index, next);
                break;
            }
        }
        let Some(client) = self.client_awaiting_setup(request, attempt, index) else {
            self.metrics.work.wasted_s += self
                .scenario
                .class
                .first()
                .map_or(0.0, |class| class.work_ms / 1e3);
            return;
        };
        let node = self.clients[client as usize].node;
        let return_delay = self.network_delay(
            self.nodes[node as usize].zone,
            self.fleet[index as usize].zone,
        );
        if self.rng.gen::<f64>() < self.fleet[index as usize].machine_kind().error_rate {
            return self.queue.schedule(
                self.now + return_delay,
                SimulationEvent::AttemptEnded(request, attempt, Outcome::Error),
            );
        }
        self.add_connection(client, index);
        self.queue.schedule(
            self.now + return_delay,
            SimulationEvent::ConnectionEstablished(request, attempt),
        );
    }

    /// Returns the client of an attempt to this server that is still running.
    fn client_awaiting_setup(&self, request: u64, attempt: u32, index: u32) -> Option<u32> {
        let client = self.client_of(request)?;
        let state = &self.clients[client as usize];
        let is_pending =
            state.phase == Phase::Requesting && !state.is_answered && state.server == Some(index);
        (is_pending && state.attempts == attempt + 1).then_some(client)
    }

    /// Drops the newest connections of an overloaded server until it has capacity for the rest.
    pub(super) fn shed_load(&mut self, index: u32) {
        let server = &self.fleet[index as usize];
        if !server.is_serving()
            || server.backlog <= self.scenario.fleet.buffer_s * server.capacity(self.now)
        {
            return;
        }
        let mut clients_by_start: Vec<(SimTime, u32)> = server
            .clients
            .iter()
            .map(|client| (self.clients[*client as usize].sent_at, *client))
            .collect();
        clients_by_start.sort_unstable();
        while let Some((_, client)) = clients_by_start.pop() {
            let server = &self.fleet[index as usize];
            if server.load() <= server.capacity(self.now) * SHED_TARGET_RATIO {
                break;
            }
            self.break_connection(client);
        }
    }

    /// Breaks a connection: its node receives a reset, and its client reconnects.
    pub(super) fn break_connection(&mut self, client: u32) {
        match self.clients[client as usize].phase {
            Phase::Connected => {
                self.metrics.broken_connections += 1;
                self.end_connection(client, Outcome::Reset);
                self.connection_lost(client, false);
            }
            Phase::Requesting => {
                let state = &self.clients[client as usize];
                let (request, attempt) = (state.request, state.attempts.saturating_sub(1));
                self.attempt_ended(request, attempt, Outcome::Reset);
            }
            Phase::Disconnected => {}
        }
    }

    pub(super) fn schedule_pause(&mut self, index: u32) {
        let server = &self.fleet[index as usize];
        let mean_interval_s = server.machine_kind().pause_every_s;
        if mean_interval_s > 0.0 {
            let gap = seconds(mean_interval_s * self.rng.sample::<f64, _>(Exp1)).max(1);
            let incarnation = server.incarnation;
            self.queue.schedule(
                self.now + gap,
                SimulationEvent::ServerPause(index, incarnation),
            );
        }
    }

    /// Pauses a server: the work that it could have done meanwhile is added to its backlog.
    pub(super) fn pause_server(&mut self, index: u32, incarnation: Incarnation) {
        if self.fleet[index as usize].incarnation != incarnation
            || !self.fleet[index as usize].is_serving()
        {
            return;
        }
        self.advance(index);
        let server = &mut self.fleet[index as usize];
        server.backlog += server.capacity(self.now) * server.machine_kind().pause_ms / 1e3;
        self.schedule_pause(index);
    }

    /// Terminates a server, which breaks its connections and attempts.
    pub(super) fn terminate_server(&mut self, index: u32) {
        self.advance(index);
        let server = &mut self.fleet[index as usize];
        server.state = ServerState::Down;
        server.incarnation += 1;
        server.setups = 0;
        let queued_setups = std::mem::take(&mut server.queued_setups);
        for client in server.clients.clone() {
            self.break_connection(client);
        }
        for setup in queued_setups {
            let (request, attempt) = (setup.request, setup.attempt);
            self.queue.schedule(
                self.now + millis(1.0),
                SimulationEvent::AttemptEnded(request, attempt, Outcome::Reset),
            );
        }
    }

    /// Starts to drain a server: it accepts nothing new, asks its clients one by one to reconnect if `goaway` is set,
    /// and then terminates.
    pub(super) fn start_drain(&mut self, index: u32, duration: SimTime) {
        if self.fleet[index as usize].state != ServerState::Up {
            return;
        }
        self.advance(index);
        self.fleet[index as usize].state = ServerState::Draining;
        let incarnation = self.fleet[index as usize].incarnation;
        let delay = seconds(self.scenario.discovery.notice_s);
        self.queue.schedule(
            self.now + delay,
            SimulationEvent::DiscoveryUpdated(index, incarnation, ServerChange::Draining),
        );
        self.queue.schedule(
            self.now + duration,
            SimulationEvent::ServerStops(index, incarnation),
        );
        let count = self.fleet[index as usize].clients.len() as u64;
        if self.scenario.fleet.goaway && count > 0 {
            // Spread evenly over nine tenths of the drain.
            let gap = duration * 9 / 10 / count;
            for number in 1..=count {
                self.queue.schedule(
                    self.now + number * gap,
                    SimulationEvent::DrainClient(index, incarnation),
                );
            }
        }
    }

    pub(super) fn drain_client(&mut self, index: u32, incarnation: Incarnation) {
        let server = &self.fleet[index as usize];
        if server.incarnation != incarnation || server.state != ServerState::Draining {
            return;
        }
        let clients = server.clients.iter().copied();
        let first = clients
            .filter(|client| self.clients[*client as usize].phase == Phase::Connected)
            .min();
        if let Some(client) = first {
            self.metrics.drained_clients += 1;
            self.end_connection(client, Outcome::Cancelled);
            self.connection_lost(client, true);
        }
    }

    /// Terminates a drained server.
    pub(super) fn stop_server(&mut self, index: u32, incarnation: Incarnation) {
        if self.fleet[index as usize].incarnation != incarnation
            || self.fleet[index as usize].state == ServerState::Down
        {
            return;
        }
        self.terminate_server(index);
        let delay = seconds(self.scenario.discovery.notice_s);
        self.queue.schedule(
            self.now + delay,
            SimulationEvent::DiscoveryUpdated(index, incarnation, ServerChange::Removed),
        );
    }
}
