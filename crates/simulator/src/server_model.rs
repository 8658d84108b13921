//! Model of one server, a transcriber: its capacity, its load, the delays of its messages and its set-ups.
//!
//! Standing connections are a flow of work: `load` cores of speed 1 are asked for, and what is asked beyond the
//! capacity piles up. Set-ups are single jobs with slots and a waiting room. The model is the project's own.

use crate::event_queue::{as_seconds, Incarnation, SimTime};
use crate::scenario::{Kind, Scenario};
use lupincrank_placement::ServerId;
use std::collections::{BTreeMap, VecDeque};

/// The state of a server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It serves.
    Up,
    /// It serves what it has, and takes nothing new.
    Draining,
    /// It accepts nothing and answers nothing.
    Unresponsive,
    /// It is gone.
    Down,
}

/// A set-up that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub struct PendingSetup {
    /// The request.
    pub request: u64,
    /// Its attempt.
    pub attempt: u32,
    /// Its work, in seconds on a core of speed 1.
    pub work: f64,
    /// When it came.
    pub arrived_at: SimTime,
}

/// A simulated server.
pub struct ServerModel {
    /// Its identity.
    pub id: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its kind, by its place in the scenario.
    pub kind_index: usize,
    /// Its size as the list tells it.
    pub weight: f64,
    /// What its process does.
    pub state: ServerState,
    /// Counts its starts.
    pub incarnation: Incarnation,
    /// When it started, if during the run.
    pub started_at: Option<SimTime>,
    /// It runs slower by this.
    pub slowdown: f64,
    /// Since when it is silent.
    pub unresponsive_since: SimTime,
    /// The clients whose connections stand here.
    pub connected_clients: Vec<u32>,
    /// How many of each class.
    pub connections_by_class: Vec<u32>,
    /// Set-ups in work, and those that wait.
    pub running_setups: u32,
    /// Those that wait.
    pub pending_setups: VecDeque<PendingSetup>,
    /// The load sent here while it is warming up.
    pub warm_up_load: WarmUpLoad,
    /// Whether its messages were late when nodes last looked.
    pub is_late: bool,
    /// Work asked for and not done, in core seconds of speed 1.
    pub backlog: f64,
    connection_load: f64,
    groups: BTreeMap<u32, u32>,
    advanced_at: SimTime,
    speed: f64,
    machine_kind: Kind,
    group_load: f64,
    message_s: f64,
    connections_per_core: f64,
    connection_limit: u32,
}

/// How the connections of one class were served over an interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServedInterval {
    /// The class, by its place in the scenario.
    pub class: usize,
    /// Connections that stood.
    pub connections: f64,
    /// The share of their messages in time.
    pub in_time_ratio: f64,
    /// The length of the interval, s.
    pub duration_s: f64,
}

/// The load sent to a server that is warming up, in loads of usual connections. It drains at the rate that the server
/// bears.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WarmUpLoad {
    /// All of it.
    pub total: f64,
    /// What was sent by nodes that knew of the start.
    pub from_informed_nodes: f64,
    /// When it was last drained.
    pub updated_at: SimTime,
}

impl ServerModel {
    /// One that runs, warm unless `started` says otherwise.
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
            connected_clients: Vec::new(),
            connections_by_class: vec![0; scenario.class.len()],
            running_setups: 0,
            pending_setups: VecDeque::new(),
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

    /// The share of its capacity that it has by now: it grows evenly from its start.
    pub fn capacity_ratio(&self, now: SimTime) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let elapsed_ratio =
            as_seconds(now.saturating_sub(started_at)) / self.machine_kind.cold_s.max(1e-9);
        (self.machine_kind.cold_from + (1.0 - self.machine_kind.cold_from) * elapsed_ratio).min(1.0)
    }

    /// Cores of speed 1 that it has when warm and well.
    pub fn warm_capacity(&self) -> f64 {
        f64::from(self.machine_kind.cores) * self.speed
    }

    /// Cores of speed 1 that it has now. Asked for more than it has, it does less of it.
    pub fn capacity(&self, now: SimTime) -> f64 {
        let base_capacity = self.warm_capacity() / self.slowdown * self.capacity_ratio(now);
        base_capacity
            / (1.0 + self.machine_kind.thrash * (self.load() / base_capacity - 1.0).max(0.0))
    }

    /// Cores of speed 1 that its connections and their groups ask for.
    pub fn load(&self) -> f64 {
        self.connection_load.max(0.0) + self.groups.len() as f64 * self.group_load
    }

    /// Load over capacity.
    pub fn utilization(&self, now: SimTime) -> f64 {
        self.load() / self.capacity(now)
    }

    /// Whether it answers at all.
    pub fn is_serving(&self) -> bool {
        matches!(self.state, ServerState::Up | ServerState::Draining)
    }

    /// Connections that it accepts.
    pub fn connection_limit(&self) -> u32 {
        self.connection_limit
    }

    /// Loads of usual connections that fill it when it is warm.
    pub fn warm_connection_capacity(&self) -> f64 {
        self.warm_capacity() * self.connections_per_core
    }

    /// Set-ups that it works on at once.
    pub fn setup_slots(&self) -> u32 {
        if self.machine_kind.slots == 0 {
            self.machine_kind.cores
        } else {
            self.machine_kind.slots
        }
    }

    /// The kind of machine.
    pub fn machine_kind(&self) -> &Kind {
        &self.machine_kind
    }

    /// The wait behind what is piled up, and the mean time that a message itself takes, in seconds.
    pub fn delay(&self, now: SimTime) -> (f64, f64) {
        let capacity = self.capacity(now);
        let service_time = self.message_s * self.slowdown / self.speed / self.capacity_ratio(now);
        (
            self.backlog / capacity,
            service_time / (1.0 - self.load() / capacity).max(0.02),
        )
    }

    /// The share of messages answered within an aim.
    fn in_time_ratio(&self, now: SimTime, objective: f64) -> f64 {
        let (wait, mean_service_time) = self.delay(now);
        if !self.is_serving() || objective <= wait {
            return 0.0;
        }
        1.0 - (-(objective - wait) / mean_service_time.max(1e-9)).exp()
    }

    /// Advances the model to now and reports how each class was served. Called before anything changes; costs the
    /// number of classes.
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

    /// Adds a connection and returns its place. The model must have been advanced to now.
    pub fn add_connection(
        &mut self,
        client: u32,
        class: usize,
        load: f64,
        group: Option<u32>,
    ) -> u32 {
        self.connected_clients.push(client);
        self.connections_by_class[class] += 1;
        self.connection_load += load;
        if let Some(group) = group {
            *self.groups.entry(group).or_default() += 1;
        }
        self.connected_clients.len() as u32 - 1
    }

    /// Removes the connection of a place; returns the client that moved into the place, if one did.
    pub fn remove_connection(
        &mut self,
        index: u32,
        class: usize,
        load: f64,
        group: Option<u32>,
    ) -> Option<u32> {
        self.connected_clients.swap_remove(index as usize);
        self.connections_by_class[class] -= 1;
        self.connection_load = if self.connected_clients.is_empty() {
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
        self.connected_clients.get(index as usize).copied()
    }

    /// A connection's load changes by so much.
    pub fn change_load(&mut self, delta: f64) {
        self.connection_load += delta;
    }

    /// How long a set-up of this work takes from now, its wait behind piled-up work included.
    pub fn setup_duration_s(&self, now: SimTime, work: f64) -> f64 {
        let core_speed = self.speed / self.slowdown * self.capacity_ratio(now);
        let spare_ratio = (1.0 - self.utilization(now)).max(0.1);
        work / (core_speed * spare_ratio) + self.backlog / self.capacity(now)
    }

    /// Counts what is sent to a cold one; true when that pushes it over. `multiple` of what it can do, for `span`
    /// seconds, is what it bears: a bucket that drains at that rate and holds as much as comes in that span. What a
    /// cold one can do in new connections is what would fill it over its warm-up.
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
        // A little slack for chance: two usual connections.
        self.warm_up_load.total > rate * window_s + 2.0
    }

    /// The process starts anew under the same id: empty and cold.
    pub fn restart(&mut self, now: SimTime) {
        self.started_at = Some(now);
        self.advanced_at = now;
        self.state = ServerState::Up;
        self.incarnation += 1;
        self.running_setups = 0;
        self.backlog = 0.0;
        self.connection_load = 0.0;
        self.pending_setups.clear();
        self.warm_up_load = WarmUpLoad {
            total: 0.0,
            from_informed_nodes: 0.0,
            updated_at: now,
        };
    }
}
