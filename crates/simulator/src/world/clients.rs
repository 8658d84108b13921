//! Clients: they arrive, ask through the front, hear an answer, come again, and leave.

use super::{Client, Phase, World, NO_PLACE};
use crate::event_queue::{millis, seconds, Incarnation, Moment, SimulationEvent};
use crate::population::{jittered, swing};
use lupincrank_placement::Outcome;
use rand::Rng;
use rand_distr::Exp1;

/// The longest that repeated failures stretch a client's wait, as a power of two.
const MAX_BACKOFF_EXPONENT: u32 = 4;

impl World<'_> {
    /// How many times the usual rate clients arrive now, by the scenario's shape and by surges.
    fn arrival_factor(&self) -> f64 {
        let at = crate::event_queue::as_seconds(self.now);
        let shape = &self.scenario.clients.shape;
        let after = shape.partition_point(|[second, _]| *second <= at);
        let shaped = match (
            after.checked_sub(1).map(|before| shape[before]),
            shape.get(after),
        ) {
            (Some([from, low]), Some([to, high])) => {
                low + (high - low) * (at - from) / (to - from).max(1e-9)
            }
            (Some([_, last]), None) => last,
            (None, Some([_, first])) => *first,
            (None, None) => 1.0,
        };
        shaped * self.arrival_factors.iter().product::<f64>()
    }

    /// Arrivals are thinned from the highest pace that the scenario can reach, so that they do not depend on what
    /// policies do.
    fn max_arrival_factor(&self) -> f64 {
        let shaped = self
            .scenario
            .clients
            .shape
            .iter()
            .map(|[_, times]| *times)
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
            let gap = seconds(self.arrivals.sample::<f64, _>(Exp1) / rate).max(1);
            self.queue
                .schedule(self.now + gap, SimulationEvent::ClientArrival);
        }
    }

    pub(super) fn client_arrives(&mut self) {
        let stays = self.arrivals.gen::<f64>() * self.max_arrival_factor() < self.arrival_factor();
        if stays {
            self.serial += 1;
            if self.clients.len() - self.free_client_slots.len()
                >= self.scenario.clients.most as usize
            {
                self.metrics.turned_away += 1;
            } else {
                let client = self.add_client(false);
                let incarnation = self.clients[client as usize].incarnation;
                self.metrics.firsts += 1;
                self.connect_client(client, incarnation);
            }
        }
        self.schedule_arrival();
    }

    fn add_client(&mut self, stands: bool) -> u32 {
        let drawn = self.population.draw(self.serial, stands);
        let until = self.now + seconds(drawn.life_s).max(1);
        self.metrics.record_demand(drawn.class, self.now, until);
        let client = Client {
            incarnation: 1,
            connection_incarnation: 0,
            serial: self.serial,
            class: drawn.class,
            zone: drawn.zone,
            group: drawn.group,
            until,
            usual: drawn.usual,
            load: drawn.usual,
            random: drawn.random,
            phase: Phase::Disconnected,
            failures: 0,
            retries: 0,
            returned: false,
            deadline: 0,
            request: 0,
            node: 0,
            node_incarnation: 0,
            asked: 0,
            attempts: 0,
            out: None,
            sent: 0,
            answered: true,
            place: NO_PLACE,
        };
        let at = if let Some(at) = self.free_client_slots.pop() {
            let Client {
                incarnation,
                connection_incarnation,
                ..
            } = self.clients[at as usize];
            self.clients[at as usize] = Client {
                incarnation: incarnation + 1,
                connection_incarnation,
                ..client
            };
            at
        } else {
            self.clients.push(client);
            self.clients.len() as u32 - 1
        };
        self.queue.schedule(
            until,
            SimulationEvent::ClientLeaves(at, self.clients[at as usize].incarnation),
        );
        at
    }

    /// The connections that stand when the world begins.
    pub(super) fn establish_initial_connections(&mut self) {
        let count = self
            .scenario
            .mean_connection_count()
            .min(f64::from(self.scenario.clients.most)) as u64;
        for _ in 0..count {
            self.serial += 1;
            self.metrics.firsts += 1;
            let at = self.add_client(true);
            if let Some(node) = self.select_node(at) {
                let skewed = self.chance.gen::<f64>() < self.scenario.clients.start_skew;
                let any = self.chance.gen_range(0..self.fleet.len() as u32);
                let server = if skewed {
                    any
                } else {
                    self.top_ranked_server(at)
                };
                self.inherit(at, node, server);
            }
        }
    }

    /// The key that a client's request names, and its group's.
    pub(super) fn keys(&self, at: u32) -> (String, Option<String>) {
        let client = &self.clients[at as usize];
        (
            format!("user:{:08x}", client.serial),
            client.group.map(|group| format!("meeting:{group:06x}")),
        )
    }

    /// The next number for a request of this client.
    pub(super) fn next_request_number(&mut self, at: u32) -> u64 {
        self.requests += 1;
        (self.requests << 24) | u64::from(at)
    }

    /// The node that the front gives a client: one of its zone, else any that it takes for alive.
    pub(super) fn select_node(&mut self, at: u32) -> Option<u32> {
        let zone = self.clients[at as usize].zone;
        let count = |here: bool| {
            self.nodes
                .iter()
                .filter(|node| node.listed_by_front && (!here || node.zone == zone))
                .count()
        };
        let (in_zone, anywhere) = (count(true), count(false));
        if anywhere == 0 {
            return None;
        }
        let random = &mut self.clients[at as usize].random;
        let pick = random.gen_range(0..if in_zone > 0 { in_zone } else { anywhere });
        let fits = |node: &super::Node| node.listed_by_front && (in_zone == 0 || node.zone == zone);
        let mut fitting = self.nodes.iter().enumerate().filter(|(_, node)| fits(node));
        fitting.nth(pick).map(|(node, _)| node as u32)
    }

    /// A client opens a connection: its first try, a retry, or after a break or a move.
    pub(super) fn connect_client(&mut self, at: u32, incarnation: Incarnation) {
        let client = &self.clients[at as usize];
        if client.incarnation != incarnation
            || client.phase != Phase::Disconnected
            || self.now >= client.until
        {
            return;
        }
        self.metrics.tries += 1;
        let class = &self.scenario.class[client.class];
        if client.retries == 0 {
            self.clients[at as usize].deadline = self.now + millis(class.deadline_ms);
        }
        let Some(node) = self.select_node(at) else {
            return self.attempt_failed(at, 0);
        };
        let request = self.next_request_number(at);
        let (mean, jitter) = (self.scenario.net.client_ms, self.scenario.net.jitter);
        let client = &mut self.clients[at as usize];
        client.phase = Phase::Requesting;
        client.request = request;
        client.node = node;
        client.node_incarnation = self.nodes[node as usize].incarnation;
        client.asked = self.now;
        client.attempts = 0;
        client.out = None;
        client.answered = false;
        let hop = jittered(&mut client.random, mean, jitter);
        if self.nodes[node as usize].alive {
            self.queue
                .schedule(self.now + hop, SimulationEvent::RequestReceived(request));
        } else {
            // The process is dead, and the front has not noticed: the connection is refused.
            self.clients[at as usize].answered = true;
            self.queue.schedule(
                self.now + hop * 2,
                SimulationEvent::ClientAnswered(at, request, false, 0),
            );
        }
    }

    /// A client hears that its try came to nothing.
    pub(super) fn receive_answer(&mut self, at: u32, request: u64, refused: bool, wait_ms: u32) {
        let client = &mut self.clients[at as usize];
        if client.request == request && client.phase == Phase::Requesting {
            client.phase = Phase::Disconnected;
            client.request = 0;
            self.attempt_failed(at, if refused { wait_ms } else { 0 });
        }
    }

    /// The try came to nothing: again within the deadline if the client retries, later if it comes back, else never.
    fn attempt_failed(&mut self, at: u32, wait_ms: u32) {
        let clients = &self.scenario.clients;
        let client = &mut self.clients[at as usize];
        let backoff = clients.backoff_ms * f64::from(1u32 << client.retries.min(8));
        let told = if client.random.gen::<f64>() < clients.honour {
            f64::from(wait_ms)
        } else {
            0.0
        };
        let wait = millis(f64::max(backoff * (0.5 + client.random.gen::<f64>()), told));
        let incarnation = client.incarnation;
        if client.retries < clients.retries && self.now + wait < client.deadline {
            client.retries += 1;
            self.queue.schedule(
                self.now + wait,
                SimulationEvent::ClientConnects(at, incarnation),
            );
        } else if clients.comes_back {
            client.failures += 1;
            let stretch = f64::from(1u32 << (client.failures - 1).min(MAX_BACKOFF_EXPONENT));
            let most = clients.rejoin_ms * stretch;
            client.retries = 0;
            let wait = millis(client.random.gen_range(50.0..=most.max(51.0)).max(told));
            self.queue.schedule(
                self.now + wait,
                SimulationEvent::ClientConnects(at, incarnation),
            );
        } else {
            self.remove_client(at, incarnation);
        }
    }

    /// A standing connection ended without the client's wish. It comes again after a break, or a move.
    pub(super) fn connection_lost(&mut self, at: u32, moved: bool) {
        let clients = &self.scenario.clients;
        let client = &mut self.clients[at as usize];
        client.phase = Phase::Disconnected;
        client.request = 0;
        client.retries = 0;
        client.failures = 0;
        client.returned = true;
        let incarnation = client.incarnation;
        if !clients.comes_back && !moved {
            return self.remove_client(at, incarnation);
        }
        let wait = if moved {
            clients.move_ms * (0.5 + client.random.gen::<f64>())
        } else {
            client.random.gen_range(50.0..=clients.rejoin_ms.max(51.0))
        };
        self.queue.schedule(
            self.now + millis(wait),
            SimulationEvent::ClientConnects(at, incarnation),
        );
    }

    /// A client is done. What it has open ends.
    pub(super) fn remove_client(&mut self, at: u32, incarnation: Incarnation) {
        let client = &self.clients[at as usize];
        if client.incarnation != incarnation {
            return;
        }
        match client.phase {
            Phase::Connected => self.end_standing(at, Outcome::Served),
            Phase::Requesting => self.client_gone(at),
            Phase::Disconnected => {}
        }
        let client = &mut self.clients[at as usize];
        client.incarnation += 1;
        client.request = 0;
        client.phase = Phase::Disconnected;
        self.free_client_slots.push(at);
    }

    /// A standing connection's load changes.
    pub(super) fn change_load(&mut self, at: u32, incarnation: Incarnation) {
        let client = &self.clients[at as usize];
        if client.connection_incarnation != incarnation || client.phase != Phase::Connected {
            return;
        }
        let Some(server) = client.out else { return };
        self.advance(server);
        let client = &mut self.clients[at as usize];
        let (load, next) = swing(
            &self.scenario.class[client.class],
            client.usual,
            &mut client.random,
        );
        self.fleet[server as usize].swing(load - client.load);
        client.load = load;
        self.report_load(at);
        self.schedule_load_change(at, next);
    }

    pub(super) fn schedule_load_change(&mut self, at: u32, next: Option<Moment>) {
        let incarnation = self.clients[at as usize].connection_incarnation;
        if let Some(span) = next {
            self.queue.schedule(
                self.now + span,
                SimulationEvent::LoadChanges(at, incarnation),
            );
        }
    }
}
