//! Clients: they arrive, send requests through the front load balancer, receive answers, reconnect, and leave.

use super::{Client, Phase, World, NOT_CONNECTED};
use crate::event_queue::{millis, seconds, Incarnation, SimTime, SimulationEvent};
use crate::population::{jittered, next_load};
use lupincrank_placement::Outcome;
use rand::Rng;
use rand_distr::Exp1;

/// The limit of the back-off after repeated failures, as a power of two.
const MAX_BACKOFF_EXPONENT: u32 = 4;

impl World<'_> {
    /// Returns the current arrival rate as a multiple of the usual rate, by the scenario's shape and surges.
    fn arrival_factor(&self) -> f64 {
        let now = crate::event_queue::as_seconds(self.now);
        let shape = &self.scenario.clients.shape;
        let next = shape.partition_point(|[second, _]| *second <= now);
        let shaped = match (
            next.checked_sub(1).map(|before| shape[before]),
            shape.get(next),
        ) {
            (Some([from, low]), Some([to, high])) => {
                low + (high - low) * (now - from) / (to - from).max(1e-9)
            }
            (Some([_, last]), None) => last,
            (None, Some([_, first])) => *first,
            (None, None) => 1.0,
        };
        shaped * self.arrival_factors.iter().product::<f64>()
    }

    /// Returns the highest arrival factor that the scenario can reach. Arrivals are drawn at the corresponding rate
    /// and thinned to the current one, so that they do not depend on what policies do.
    fn max_arrival_factor(&self) -> f64 {
        let shaped = self
            .scenario
            .clients
            .shape
            .iter()
            .map(|[_, factor]| *factor)
            .fold(1.0, f64::max);
        let surges = self
            .scenario
            .faults
            .iter()
            .filter(|fault| fault.kind == crate::scenario::FaultKind::Surge);
        shaped * surges.map(|fault| fault.size.max(1.0)).product::<f64>()
    }

    pub(super) fn schedule_arrival(&mut self) {
        let rate = self.scenario.rate() * self.max_arrival_factor();
        if rate > 0.0 {
            let gap = seconds(self.arrival_rng.sample::<f64, _>(Exp1) / rate).max(1);
            self.queue
                .schedule(self.now + gap, SimulationEvent::ClientArrival);
        }
    }

    pub(super) fn client_arrives(&mut self) {
        let is_accepted =
            self.arrival_rng.gen::<f64>() * self.max_arrival_factor() < self.arrival_factor();
        if is_accepted {
            self.serial += 1;
            if self.clients.len() - self.free_client_slots.len()
                >= self.scenario.clients.most as usize
            {
                self.metrics.dropped_arrivals += 1;
            } else {
                let client = self.add_client(false);
                let incarnation = self.clients[client as usize].incarnation;
                self.metrics.first_requests += 1;
                self.connect_client(client, incarnation);
            }
        }
        self.schedule_arrival();
    }

    fn add_client(&mut self, is_established: bool) -> u32 {
        let draw = self.population.draw(self.serial, is_established);
        let leaves_at = self.now + seconds(draw.lifetime_s).max(1);
        self.metrics.record_demand(draw.class, self.now, leaves_at);
        let client = Client {
            incarnation: 1,
            connection_incarnation: 0,
            serial: self.serial,
            class: draw.class,
            zone: draw.zone,
            group: draw.group,
            leaves_at,
            mean_load: draw.mean_load,
            load: draw.mean_load,
            rng: draw.rng,
            phase: Phase::Disconnected,
            failures: 0,
            retries: 0,
            is_reconnect: false,
            deadline: 0,
            request: 0,
            node: 0,
            node_incarnation: 0,
            requested_at: 0,
            attempts: 0,
            server: None,
            sent_at: 0,
            is_answered: true,
            connection_index: NOT_CONNECTED,
        };
        let index = if let Some(index) = self.free_client_slots.pop() {
            let Client {
                incarnation,
                connection_incarnation,
                ..
            } = self.clients[index as usize];
            self.clients[index as usize] = Client {
                incarnation: incarnation + 1,
                connection_incarnation,
                ..client
            };
            index
        } else {
            self.clients.push(client);
            self.clients.len() as u32 - 1
        };
        self.queue.schedule(
            leaves_at,
            SimulationEvent::ClientLeaves(index, self.clients[index as usize].incarnation),
        );
        index
    }

    /// Adds the connections that are established at the start of the run.
    pub(super) fn establish_initial_connections(&mut self) {
        let count = self
            .scenario
            .mean_connection_count()
            .min(f64::from(self.scenario.clients.most)) as u64;
        for _ in 0..count {
            self.serial += 1;
            self.metrics.first_requests += 1;
            let index = self.add_client(true);
            if let Some(node) = self.select_node(index) {
                let is_skewed = self.rng.gen::<f64>() < self.scenario.clients.start_skew;
                let random_server = self.rng.gen_range(0..self.fleet.len() as u32);
                let server = if is_skewed {
                    random_server
                } else {
                    self.top_ranked_server(index)
                };
                self.inherit_connection(index, node, server);
            }
        }
    }

    /// Returns the key of a client's requests and the key of its group.
    pub(super) fn keys(&self, index: u32) -> (String, Option<String>) {
        let client = &self.clients[index as usize];
        (
            format!("user:{:08x}", client.serial),
            client.group.map(|group| format!("meeting:{group:06x}")),
        )
    }

    /// Returns the next request number for this client.
    pub(super) fn next_request_number(&mut self, index: u32) -> u64 {
        self.requests += 1;
        (self.requests << 24) | u64::from(index)
    }

    /// Selects the node that the front load balancer assigns to a client: one of its zone, or any if the front load
    /// balancer lists none there.
    pub(super) fn select_node(&mut self, index: u32) -> Option<u32> {
        let zone = self.clients[index as usize].zone;
        let count = |in_zone_only: bool| {
            self.nodes
                .iter()
                .filter(|node| node.is_listed_by_front && (!in_zone_only || node.zone == zone))
                .count()
        };
        let (in_zone, anywhere) = (count(true), count(false));
        if anywhere == 0 {
            return None;
        }
        let rng = &mut self.clients[index as usize].rng;
        let chosen = rng.gen_range(0..if in_zone > 0 { in_zone } else { anywhere });
        let is_candidate =
            |node: &super::Node| node.is_listed_by_front && (in_zone == 0 || node.zone == zone);
        let mut candidates = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| is_candidate(node));
        candidates.nth(chosen).map(|(node, _)| node as u32)
    }

    /// Opens a client's connection: its first request, a retry, or a reconnect after a break or a migration.
    pub(super) fn connect_client(&mut self, index: u32, incarnation: Incarnation) {
        let client = &self.clients[index as usize];
        if client.incarnation != incarnation
            || client.phase != Phase::Disconnected
            || self.now >= client.leaves_at
        {
            return;
        }
        self.metrics.requests += 1;
        let class = &self.scenario.class[client.class];
        if client.retries == 0 {
            self.clients[index as usize].deadline = self.now + millis(class.deadline_ms);
        }
        let Some(node) = self.select_node(index) else {
            return self.request_failed(index, 0);
        };
        let request = self.next_request_number(index);
        let (mean, jitter) = (self.scenario.net.client_ms, self.scenario.net.jitter);
        let client = &mut self.clients[index as usize];
        client.phase = Phase::Requesting;
        client.request = request;
        client.node = node;
        client.node_incarnation = self.nodes[node as usize].incarnation;
        client.requested_at = self.now;
        client.attempts = 0;
        client.server = None;
        client.is_answered = false;
        let delay = jittered(&mut client.rng, mean, jitter);
        if self.nodes[node as usize].is_running {
            self.queue
                .schedule(self.now + delay, SimulationEvent::RequestReceived(request));
        } else {
            // The node's process has terminated but the front still lists it: the connection is refused.
            self.clients[index as usize].is_answered = true;
            self.queue.schedule(
                self.now + delay * 2,
                SimulationEvent::ClientAnswered(index, request, false, 0),
            );
        }
    }

    /// Handles the answer to a request that got no connection.
    pub(super) fn receive_answer(
        &mut self,
        index: u32,
        request: u64,
        is_rejected: bool,
        retry_after_ms: u32,
    ) {
        let client = &mut self.clients[index as usize];
        if client.request == request && client.phase == Phase::Requesting {
            client.phase = Phase::Disconnected;
            client.request = 0;
            self.request_failed(index, if is_rejected { retry_after_ms } else { 0 });
        }
    }

    /// Handles a failed request: the client retries within the deadline if it has retries left, reconnects later if
    /// `comes_back` is set, or leaves.
    fn request_failed(&mut self, index: u32, retry_after_ms: u32) {
        let settings = &self.scenario.clients;
        let client = &mut self.clients[index as usize];
        let backoff = settings.backoff_ms * f64::from(1u32 << client.retries.min(8));
        let honoured_wait_ms = if client.rng.gen::<f64>() < settings.honour {
            f64::from(retry_after_ms)
        } else {
            0.0
        };
        let wait = millis(f64::max(
            backoff * (0.5 + client.rng.gen::<f64>()),
            honoured_wait_ms,
        ));
        let incarnation = client.incarnation;
        if client.retries < settings.retries && self.now + wait < client.deadline {
            client.retries += 1;
            self.queue.schedule(
                self.now + wait,
                SimulationEvent::ClientConnects(index, incarnation),
            );
        } else if settings.comes_back {
            client.failures += 1;
            let backoff_factor = f64::from(1u32 << (client.failures - 1).min(MAX_BACKOFF_EXPONENT));
            let max_wait_ms = settings.rejoin_ms * backoff_factor;
            client.retries = 0;
            let wait = millis(
                client
                    .rng
                    .gen_range(50.0..=max_wait_ms.max(51.0))
                    .max(honoured_wait_ms),
            );
            self.queue.schedule(
                self.now + wait,
                SimulationEvent::ClientConnects(index, incarnation),
            );
        } else {
            self.remove_client(index, incarnation);
        }
    }

    /// Handles a connection that ended before the client left: the client reconnects after a break or a migration.
    pub(super) fn connection_lost(&mut self, index: u32, is_migrated: bool) {
        let settings = &self.scenario.clients;
        let client = &mut self.clients[index as usize];
        client.phase = Phase::Disconnected;
        client.request = 0;
        client.retries = 0;
        client.failures = 0;
        client.is_reconnect = true;
        let incarnation = client.incarnation;
        if !settings.comes_back && !is_migrated {
            return self.remove_client(index, incarnation);
        }
        let wait = if is_migrated {
            settings.move_ms * (0.5 + client.rng.gen::<f64>())
        } else {
            client.rng.gen_range(50.0..=settings.rejoin_ms.max(51.0))
        };
        self.queue.schedule(
            self.now + millis(wait),
            SimulationEvent::ClientConnects(index, incarnation),
        );
    }

    /// Removes a client that leaves, and ends its request or connection.
    pub(super) fn remove_client(&mut self, index: u32, incarnation: Incarnation) {
        let client = &self.clients[index as usize];
        if client.incarnation != incarnation {
            return;
        }
        match client.phase {
            Phase::Connected => self.end_connection(index, Outcome::Served),
            Phase::Requesting => self.client_disconnected(index),
            Phase::Disconnected => {}
        }
        let client = &mut self.clients[index as usize];
        client.incarnation += 1;
        client.request = 0;
        client.phase = Phase::Disconnected;
        self.free_client_slots.push(index);
    }

    /// Changes the load of an established connection.
    pub(super) fn change_load(&mut self, index: u32, incarnation: Incarnation) {
        let client = &self.clients[index as usize];
        if client.connection_incarnation != incarnation || client.phase != Phase::Connected {
            return;
        }
        let Some(server) = client.server else { return };
        self.advance(server);
        let client = &mut self.clients[index as usize];
        let (load, until_next) = next_load(
            &self.scenario.class[client.class],
            client.mean_load,
            &mut client.rng,
        );
        self.fleet[server as usize].change_load(load - client.load);
        client.load = load;
        self.report_load(index);
        self.schedule_load_change(index, until_next);
    }

    pub(super) fn schedule_load_change(&mut self, index: u32, until_next: Option<SimTime>) {
        let incarnation = self.clients[index as usize].connection_incarnation;
        if let Some(delay) = until_next {
            self.queue.schedule(
                self.now + delay,
                SimulationEvent::LoadChanges(index, incarnation),
            );
        }
    }
}
