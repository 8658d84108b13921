//! Model of one server, a transcriber: its capacity, its load, the delays of its messages and its set-ups.
//!
//! Standing connections are a flow of work: `load` cores of speed 1 are asked for, and what is asked beyond the
//! capacity piles up. Set-ups are single jobs with slots and a waiting room. The model is the project's own.

use crate::event_queue::{as_seconds, Incarnation, Moment};
use crate::scenario::{MachineKind, Scenario};
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
    Silent,
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
    pub since: Moment,
}

/// A simulated server.
pub struct ServerModel {
    /// Its identity.
    pub id: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its kind, by its place in the scenario.
    pub kind: usize,
    /// Its size as the list tells it.
    pub weight: f64,
    /// What its process does.
    pub state: ServerState,
    /// Counts its starts.
    pub incarnation: Incarnation,
    /// When it started, if during the run.
    pub started: Option<Moment>,
    /// It runs slower by this.
    pub slow: f64,
    /// Since when it is silent.
    pub silent_since: Moment,
    /// The clients whose connections stand here.
    pub standing: Vec<u32>,
    /// How many of each class.
    pub by_class: Vec<u32>,
    /// Set-ups in work, and those that wait.
    pub busy: u32,
    /// Those that wait.
    pub waiting: VecDeque<PendingSetup>,
    /// The load sent here while it is warming up.
    pub cold_load: ColdLoad,
    /// Whether its messages were late when nodes last looked.
    pub late: bool,
    /// Work asked for and not done, in core seconds of speed 1.
    pub piled: f64,
    loads: f64,
    groups: BTreeMap<u32, u32>,
    touched: Moment,
    speed: f64,
    model: MachineKind,
    group_load: f64,
    message_s: f64,
    per_core: f64,
    cap: u32,
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
pub struct ColdLoad {
    /// All of it.
    pub total: f64,
    /// What was sent by nodes that knew of the start.
    pub informed: f64,
    /// When it was last drained.
    pub updated_at: Moment,
}

impl ServerModel {
    /// One that runs, warm unless `started` says otherwise.
    pub fn new(
        scenario: &Scenario,
        id: ServerId,
        zone: u32,
        kind: usize,
        speed: f64,
        weight: f64,
        started: Option<Moment>,
    ) -> Self {
        let model = scenario.fleet.kind[kind].clone();
        let fills = f64::from(model.cores) * speed * scenario.fleet.per_core;
        let cap = match scenario.fleet.cap_connections {
            0 if scenario.fleet.cap <= 0.0 => u32::MAX,
            0 => (fills * scenario.fleet.cap).ceil() as u32,
            number => number,
        };
        ServerModel {
            id,
            zone,
            kind,
            weight,
            state: ServerState::Up,
            incarnation: 1,
            started,
            slow: 1.0,
            silent_since: 0,
            standing: Vec::new(),
            by_class: vec![0; scenario.class.len()],
            busy: 0,
            waiting: VecDeque::new(),
            cold_load: ColdLoad::default(),
            late: false,
            piled: 0.0,
            loads: 0.0,
            groups: BTreeMap::new(),
            touched: started.unwrap_or(0),
            speed,
            model,
            group_load: scenario.fleet.group_cost * scenario.mean_load(),
            message_s: scenario.fleet.message_ms / 1e3,
            per_core: scenario.fleet.per_core,
            cap,
        }
    }

    /// The share of its capacity that it has by now: it grows evenly from its start.
    pub fn warmth(&self, now: Moment) -> f64 {
        let Some(started) = self.started else {
            return 1.0;
        };
        let part = as_seconds(now.saturating_sub(started)) / self.model.cold_s.max(1e-9);
        (self.model.cold_from + (1.0 - self.model.cold_from) * part).min(1.0)
    }

    /// Cores of speed 1 that it has when warm and well.
    pub fn full(&self) -> f64 {
        f64::from(self.model.cores) * self.speed
    }

    /// Cores of speed 1 that it has now. Asked for more than it has, it does less of it.
    pub fn capacity(&self, now: Moment) -> f64 {
        let plain = self.full() / self.slow * self.warmth(now);
        plain / (1.0 + self.model.thrash * (self.load() / plain - 1.0).max(0.0))
    }

    /// Cores of speed 1 that its connections and their groups ask for.
    pub fn load(&self) -> f64 {
        self.loads.max(0.0) + self.groups.len() as f64 * self.group_load
    }

    /// Load over capacity.
    pub fn used(&self, now: Moment) -> f64 {
        self.load() / self.capacity(now)
    }

    /// Whether it answers at all.
    pub fn answers(&self) -> bool {
        matches!(self.state, ServerState::Up | ServerState::Draining)
    }

    /// Connections that it accepts.
    pub fn cap(&self) -> u32 {
        self.cap
    }

    /// Loads of usual connections that fill it when it is warm.
    pub fn fills(&self) -> f64 {
        self.full() * self.per_core
    }

    /// Set-ups that it works on at once.
    pub fn slots(&self) -> u32 {
        if self.model.slots == 0 {
            self.model.cores
        } else {
            self.model.slots
        }
    }

    /// The kind of machine.
    pub fn model(&self) -> &MachineKind {
        &self.model
    }

    /// The wait behind what is piled up, and the mean time that a message itself takes, in seconds.
    pub fn delay(&self, now: Moment) -> (f64, f64) {
        let capacity = self.capacity(now);
        let own = self.message_s * self.slow / self.speed / self.warmth(now);
        (
            self.piled / capacity,
            own / (1.0 - self.load() / capacity).max(0.02),
        )
    }

    /// The share of messages answered within an aim.
    fn in_time(&self, now: Moment, aim: f64) -> f64 {
        let (wait, mean) = self.delay(now);
        if !self.answers() || aim <= wait {
            return 0.0;
        }
        1.0 - (-(aim - wait) / mean.max(1e-9)).exp()
    }

    /// Advances the model to now and reports how each class was served. Called before anything changes; costs the
    /// number of classes.
    pub fn advance(&mut self, now: Moment, aims: &[f64], mut served: impl FnMut(ServedInterval)) {
        let span = as_seconds(now.saturating_sub(self.touched));
        if span <= 0.0 {
            return;
        }
        let before = self.touched;
        let shares: Vec<f64> = aims.iter().map(|aim| self.in_time(before, *aim)).collect();
        let spare = self.capacity(before) - self.load();
        self.piled = if self.answers() {
            (self.piled - spare * span).max(0.0)
        } else {
            self.piled
        };
        self.touched = now;
        for (class, count) in self
            .by_class
            .iter()
            .enumerate()
            .filter(|(_, count)| **count > 0)
        {
            let after = self.in_time(now, aims[class]);
            served(ServedInterval {
                class,
                connections: f64::from(*count),
                in_time_ratio: f64::midpoint(shares[class], after),
                duration_s: span,
            });
        }
    }

    /// Adds a connection and returns its place. The model must have been advanced to now.
    pub fn join(&mut self, client: u32, class: usize, load: f64, group: Option<u32>) -> u32 {
        self.standing.push(client);
        self.by_class[class] += 1;
        self.loads += load;
        if let Some(group) = group {
            *self.groups.entry(group).or_default() += 1;
        }
        self.standing.len() as u32 - 1
    }

    /// Removes the connection of a place; returns the client that moved into the place, if one did.
    pub fn leave(
        &mut self,
        place: u32,
        class: usize,
        load: f64,
        group: Option<u32>,
    ) -> Option<u32> {
        self.standing.swap_remove(place as usize);
        self.by_class[class] -= 1;
        self.loads = if self.standing.is_empty() {
            0.0
        } else {
            self.loads - load
        };
        if let Some(group) = group {
            let left = self
                .groups
                .entry(group)
                .and_modify(|count| *count -= 1)
                .or_default();
            if *left == 0 {
                self.groups.remove(&group);
            }
        }
        self.standing.get(place as usize).copied()
    }

    /// A connection's load changes by so much.
    pub fn swing(&mut self, by: f64) {
        self.loads += by;
    }

    /// How long a set-up of this work takes from now, its wait behind piled-up work included.
    pub fn set_up_s(&self, now: Moment, work: f64) -> f64 {
        let core = self.speed / self.slow * self.warmth(now);
        let spare = (1.0 - self.used(now)).max(0.1);
        work / (core * spare) + self.piled / self.capacity(now)
    }

    /// Counts what is sent to a cold one; true when that pushes it over. `multiple` of what it can do, for `span`
    /// seconds, is what it bears: a bucket that drains at that rate and holds as much as comes in that span. What a
    /// cold one can do in new connections is what would fill it over its warm-up.
    pub fn overloads_cold(
        &mut self,
        now: Moment,
        loads: f64,
        knew: bool,
        multiple: f64,
        span: f64,
    ) -> bool {
        if self.warmth(now) >= 1.0 {
            return false;
        }
        let rate = multiple * self.warmth(now) * self.fills() / self.model.cold_s.max(1e-9);
        let gone = as_seconds(now.saturating_sub(self.cold_load.updated_at)) * rate;
        let left = if self.cold_load.total > 0.0 {
            (1.0 - gone / self.cold_load.total).max(0.0)
        } else {
            0.0
        };
        self.cold_load.total = self.cold_load.total * left + loads;
        self.cold_load.informed *= left;
        self.cold_load.informed += if knew { loads } else { 0.0 };
        self.cold_load.updated_at = now;
        // A little slack for chance: two usual connections.
        self.cold_load.total > rate * span + 2.0
    }

    /// The process starts anew under the same id: empty and cold.
    pub fn restart(&mut self, now: Moment) {
        self.started = Some(now);
        self.touched = now;
        self.state = ServerState::Up;
        self.incarnation += 1;
        self.busy = 0;
        self.piled = 0.0;
        self.loads = 0.0;
        self.waiting.clear();
        self.cold_load = ColdLoad {
            total: 0.0,
            informed: 0.0,
            updated_at: now,
        };
    }
}
