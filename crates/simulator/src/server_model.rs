//! Model of one server: its capacity, its load, its message delays and its setups.
//!
//! Established connections are a flow of work: they demand `load` cores of speed 1, and demand beyond the capacity
//! adds to a backlog. Setups are single jobs with slots and a bounded queue. The model is specific to this project.

use crate::event_queue::{as_seconds, Incarnation, SimTime};
use crate::scenario::{MachineKind, Scenario};
use lupincrank_placement::ServerId;
use std::collections::{BTreeMap, VecDeque};

/// The state of a server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Serves its connections and accepts new ones.
    Up,
    /// Serves its connections, but accepts no new ones.
    Draining,
    /// Accepts no connections and answers no messages.
    Unresponsive,
    /// The process has terminated.
    Down,
}

/// A setup that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub struct QueuedSetup {
    /// The request.
    pub request: u64,
    /// The attempt.
    pub attempt: u32,
    /// The work, in seconds on a core of speed 1.
    pub work: f64,
    /// The time of its arrival.
    pub arrived_at: SimTime,
}

/// A simulated server.
pub struct ServerModel {
    /// Its identity.
    pub id: ServerId,
    /// Its zone.
    pub zone: u32,
    /// The index of its machine kind in the scenario.
    pub kind_index: usize,
    /// Its weight in the endpoint list, an estimate of its capacity.
    pub weight: f64,
    /// The state of its process.
    pub state: ServerState,
    /// The number of its starts.
    pub incarnation: Incarnation,
    /// When it started, if during the run.
    pub started_at: Option<SimTime>,
    /// The factor by which it is slowed down.
    pub slowdown: f64,
    /// When it became unresponsive.
    pub unresponsive_since: SimTime,
    /// The clients with an established connection.
    pub clients: Vec<u32>,
    /// Established connections by class.
    pub connections_by_class: Vec<u32>,
    /// Setups in progress.
    pub setups: u32,
    /// Setups that wait for a slot.
    pub queued_setups: VecDeque<QueuedSetup>,
    /// The load sent while it is warming up.
    pub warm_up_load: WarmUpLoad,
    /// Whether its messages were late when nodes last observed them.
    pub is_late: bool,
    /// Work demanded but not done, in core seconds of speed 1.
    pub backlog: f64,
    connection_load: f64,
    groups: BTreeMap<u32, u32>,
    advanced_at: SimTime,
    speed: f64,
    machine_kind: MachineKind,
    group_load: f64,
    message_s: f64,
    connections_per_core: f64,
    connection_limit: u32,
}

/// The service of the connections of one class over an interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServedInterval {
    /// The index of the class in the scenario.
    pub class: usize,
    /// Established connections.
    pub connections: f64,
    /// The fraction of their messages answered in time.
    pub in_time_ratio: f64,
    /// The length of the interval, in s.
    pub duration_s: f64,
}

/// The load sent to a server that is warming up, in units of the mean connection load. It drains at the rate that the
/// server has capacity for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WarmUpLoad {
    /// The load sent by all nodes.
    pub total: f64,
    /// The load sent by nodes that knew of the start.
    pub from_informed_nodes: f64,
    /// The time up to which the drained load is subtracted.
    pub updated_at: SimTime,
}

impl ServerModel {
    /// Creates a running server, warm unless `started_at` is set.
    pub fn new(
        scenario: &Scenario,
        id: ServerId,
        zone: u32,
        kind_index: usize,
        speed: f64,
        weight: f64,
        started_at: Option<SimTime>,
    ) -> Self {
        let machine_kind = scenario.fleet.kind[kind_index].clone();
        let capacity = f64::from(machine_kind.cores) * speed * scenario.fleet.per_core;
        let connection_limit = match scenario.fleet.cap_connections {
            0 if scenario.fleet.cap <= 0.0 => u32::MAX,
            0 => (capacity * scenario.fleet.cap).ceil() as u32,
            limit => limit,
        };
        ServerModel {
            id,
            zone,
            kind_index,
            weight,
            state: ServerState::Up,
            incarnation: 1,
            started_at,
            slowdown: 1.0,
            unresponsive_since: 0,
            clients: Vec::new(),
            connections_by_class: vec![0; scenario.class.len()],
            setups: 0,
            queued_setups: VecDeque::new(),
            warm_up_load: WarmUpLoad::default(),
            is_late: false,
            backlog: 0.0,
            connection_load: 0.0,
            groups: BTreeMap::new(),
            advanced_at: started_at.unwrap_or(0),
            speed,
            machine_kind,
            group_load: scenario.fleet.group_cost * scenario.mean_load(),
            message_s: scenario.fleet.message_ms / 1e3,
            connections_per_core: scenario.fleet.per_core,
            connection_limit,
        }
    }

    /// Returns the fraction of the warm capacity that the server has so far. It grows linearly from `cold_from` at the
    /// start to 1 after `cold_s`.
    pub fn capacity_ratio(&self, now: SimTime) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let elapsed_ratio =
            as_seconds(now.saturating_sub(started_at)) / self.machine_kind.cold_s.max(1e-9);
        (self.machine_kind.cold_from + (1.0 - self.machine_kind.cold_from) * elapsed_ratio).min(1.0)
    }

    /// Returns the capacity of a warm server without a slowdown, in cores of speed 1.
    pub fn warm_capacity(&self) -> f64 {
        f64::from(self.machine_kind.cores) * self.speed
    }

    /// Returns the current capacity in cores of speed 1. Demand beyond the capacity lowers it.
    pub fn capacity(&self, now: SimTime) -> f64 {
        let base_capacity = self.warm_capacity() / self.slowdown * self.capacity_ratio(now);
        base_capacity
            / (1.0 + self.machine_kind.thrash * (self.load() / base_capacity - 1.0).max(0.0))
    }

    /// Returns the cores of speed 1 that its connections and their groups demand.
    pub fn load(&self) -> f64 {
        self.connection_load.max(0.0) + self.groups.len() as f64 * self.group_load
    }

    /// Returns load over capacity.
    pub fn utilization(&self, now: SimTime) -> f64 {
        self.load() / self.capacity(now)
    }

    /// Returns true if the server answers, so if it is up or draining.
    pub fn is_serving(&self) -> bool {
        matches!(self.state, ServerState::Up | ServerState::Draining)
    }

    /// Returns the maximum number of connections.
    pub fn connection_limit(&self) -> u32 {
        self.connection_limit
    }

    /// Returns the number of mean connection loads that a warm server has capacity for.
    pub fn warm_connection_capacity(&self) -> f64 {
        self.warm_capacity() * self.connections_per_core
    }

    /// Returns the maximum number of setups in progress.
    pub fn setup_slots(&self) -> u32 {
        if self.machine_kind.slots == 0 {
            self.machine_kind.cores
        } else {
            self.machine_kind.slots
        }
    }

    /// Returns the machine kind.
    pub fn machine_kind(&self) -> &MachineKind {
        &self.machine_kind
    }

    /// Returns the wait behind the backlog and the mean service time of a message, in seconds.
    pub fn delay(&self, now: SimTime) -> (f64, f64) {
        let capacity = self.capacity(now);
        let service_time = self.message_s * self.slowdown / self.speed / self.capacity_ratio(now);
        (
            self.backlog / capacity,
            service_time / (1.0 - self.load() / capacity).max(0.02),
        )
    }

    /// Returns the fraction of messages answered within an objective.
    fn in_time_ratio(&self, now: SimTime, objective: f64) -> f64 {
        let (wait, mean_service_time) = self.delay(now);
        if !self.is_serving() || objective <= wait {
            return 0.0;
        }
        1.0 - (-(objective - wait) / mean_service_time.max(1e-9)).exp()
    }

    /// Advances the model to `now` and reports how each class was served. It must be called before every change, and
    /// its cost is proportional to the number of classes.
    pub fn advance(
        &mut self,
        now: SimTime,
        objectives: &[f64],
        mut report: impl FnMut(ServedInterval),
    ) {
        let duration_s = as_seconds(now.saturating_sub(self.advanced_at));
        if duration_s <= 0.0 {
            return;
        }
        let start = self.advanced_at;
        let ratios_before: Vec<f64> = objectives
            .iter()
            .map(|objective| self.in_time_ratio(start, *objective))
            .collect();
        let spare = self.capacity(start) - self.load();
        self.backlog = if self.is_serving() {
            (self.backlog - spare * duration_s).max(0.0)
        } else {
            self.backlog
        };
        self.advanced_at = now;
        for (class, count) in self
            .connections_by_class
            .iter()
            .enumerate()
            .filter(|(_, count)| **count > 0)
        {
            let ratio_after = self.in_time_ratio(now, objectives[class]);
            report(ServedInterval {
                class,
                connections: f64::from(*count),
                in_time_ratio: f64::midpoint(ratios_before[class], ratio_after),
                duration_s,
            });
        }
    }

    /// Adds a connection and returns its index. The model must have been advanced to the current time.
    pub fn add_connection(
        &mut self,
        client: u32,
        class: usize,
        load: f64,
        group: Option<u32>,
    ) -> u32 {
        self.clients.push(client);
        self.connections_by_class[class] += 1;
        self.connection_load += load;
        if let Some(group) = group {
            *self.groups.entry(group).or_default() += 1;
        }
        self.clients.len() as u32 - 1
    }

    /// Removes the connection at an index; returns the client that moved to the index, if any.
    pub fn remove_connection(
        &mut self,
        index: u32,
        class: usize,
        load: f64,
        group: Option<u32>,
    ) -> Option<u32> {
        self.clients.swap_remove(index as usize);
        self.connections_by_class[class] -= 1;
        self.connection_load = if self.clients.is_empty() {
            0.0
        } else {
            self.connection_load - load
        };
        if let Some(group) = group {
            let remaining = self
                .groups
                .entry(group)
                .and_modify(|count| *count -= 1)
                .or_default();
            if *remaining == 0 {
                self.groups.remove(&group);
            }
        }
        self.clients.get(index as usize).copied()
    }

    /// Changes the load of a connection.
    pub fn change_load(&mut self, delta: f64) {
        self.connection_load += delta;
    }

    /// Returns the duration of a setup that starts now, including its wait behind the backlog.
    pub fn setup_duration_s(&self, now: SimTime, work: f64) -> f64 {
        let core_speed = self.speed / self.slowdown * self.capacity_ratio(now);
        let spare_ratio = (1.0 - self.utilization(now)).max(0.1);
        work / (core_speed * spare_ratio) + self.backlog / self.capacity(now)
    }

    /// Adds load sent to a server that is warming up to a leaky bucket; returns true if the load overloads the server,
    /// which means that the bucket overflows. The bucket drains at `factor` times the server's capacity for new
    /// connections, and holds what drains in `window_s` seconds. The capacity for new connections is the load that
    /// would fill the server over the warm-up.
    pub fn add_warm_up_load(
        &mut self,
        now: SimTime,
        load: f64,
        is_informed: bool,
        factor: f64,
        window_s: f64,
    ) -> bool {
        if self.capacity_ratio(now) >= 1.0 {
            return false;
        }
        let rate = factor * self.capacity_ratio(now) * self.warm_connection_capacity()
            / self.machine_kind.cold_s.max(1e-9);
        let drained = as_seconds(now.saturating_sub(self.warm_up_load.updated_at)) * rate;
        let remaining_ratio = if self.warm_up_load.total > 0.0 {
            (1.0 - drained / self.warm_up_load.total).max(0.0)
        } else {
            0.0
        };
        self.warm_up_load.total = self.warm_up_load.total * remaining_ratio + load;
        self.warm_up_load.from_informed_nodes *= remaining_ratio;
        self.warm_up_load.from_informed_nodes += if is_informed { load } else { 0.0 };
        self.warm_up_load.updated_at = now;
        // The bucket holds two mean connections more, as slack for randomness.
        self.warm_up_load.total > rate * window_s + 2.0
    }

    /// Restarts the process under the same id, without connections and warming up.
    pub fn restart(&mut self, now: SimTime) {
        self.started_at = Some(now);
        self.advanced_at = now;
        self.state = ServerState::Up;
        self.incarnation += 1;
        self.setups = 0;
        self.backlog = 0.0;
        self.connection_load = 0.0;
        self.queued_setups.clear();
        self.warm_up_load = WarmUpLoad {
            total: 0.0,
            from_informed_nodes: 0.0,
            updated_at: now,
        };
    }
}
