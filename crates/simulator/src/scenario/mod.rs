//! Scenarios: servers, nodes, network, discovery, clients and faults of a simulation, in versioned TOML files.
//!
//! Almost every key has a default, so a file contains only the values that matter to it. An unknown key is an error.

mod bounds;
mod error;
mod faults;
mod loading;
mod sections;

pub use error::ScenarioError;
pub use faults::{Fault, FaultKind};
pub use loading::{load, parse};
pub use sections::{
    Class, Clients, DelayVisibility, Discovery, Fleet, Goal, MachineKind, Net, Nodes, Rules,
};

use sections::default_classes;
use serde::{Deserialize, Serialize};

/// The version of the format that this build reads and writes.
pub const VERSION: u32 = 1;

/// A scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The version of the format.
    pub version: u32,
    /// The name of the scenario.
    #[serde(default)]
    pub name: String,
    /// A description of the scenario for readers.
    #[serde(default)]
    pub about: String,
    /// The base scenario, a path relative to this file: tables are merged key by key, arrays are replaced.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub extends: Option<String>,
    /// Simulated seconds. Requests still pending at the end are not evaluated.
    #[serde(default = "default_length")]
    pub length_s: f64,
    /// The servers.
    #[serde(default)]
    pub fleet: Fleet,
    /// The balancer nodes and their settings.
    #[serde(default)]
    pub nodes: Nodes,
    /// Zones and network delays.
    #[serde(default)]
    pub net: Net,
    /// Discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// Clients, arrivals and groups.
    #[serde(default)]
    pub clients: Clients,
    /// Parameters of the four rules that nodes must follow.
    #[serde(default)]
    pub rules: Rules,
    /// Weights and penalties that combine the metrics of a run into one service score.
    #[serde(default)]
    pub goal: Goal,
    /// The classes of requests.
    #[serde(default = "default_classes")]
    pub class: Vec<Class>,
    /// The faults.
    #[serde(default, rename = "trouble")]
    pub faults: Vec<Fault>,
    /// The result of the search (`hunt`) that found this scenario, with which `replay` compares.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub found: Option<SearchRecord>,
}

fn default_length() -> f64 {
    60.0
}

/// The result of a search (`hunt`): the seed and the service scores of both policies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SearchRecord {
    /// The seed of the run.
    pub seed: u64,
    /// The service score of the placement module.
    pub service: f64,
    /// The baseline policy with which the placement module was compared.
    pub against: String,
    /// The service score of the baseline policy.
    pub against_service: f64,
}

impl Scenario {
    /// Mean load of a connection over its lifetime, in cores of speed 1.
    pub fn mean_load(&self) -> f64 {
        1.0 / self.fleet.per_core
    }

    /// Mean of `value` over the classes, weighted by their shares.
    fn class_mean(&self, value: impl Fn(&Class) -> f64) -> f64 {
        let total_share: f64 = self.class.iter().map(|class| class.share).sum();
        self.class
            .iter()
            .map(|class| class.share / total_share * value(class))
            .sum()
    }

    /// The load in cores of speed 1 that corresponds to a class `load` of 1.
    pub fn load_unit(&self) -> f64 {
        let mean_life = self.class_mean(|class| class.life);
        let mean_load_by_life = self.class_mean(|class| class.load * class.life);
        self.mean_load() * mean_life / mean_load_by_life.max(1e-12)
    }

    /// Capacity of the initial fleet in cores of speed 1, on average over seeds.
    pub fn mean_capacity(&self) -> f64 {
        let total_share: f64 = self.fleet.kind.iter().map(|kind| kind.share).sum();
        let kind_capacity =
            |kind: &MachineKind| kind.share / total_share * f64::from(kind.cores) * kind.speed;
        f64::from(self.fleet.transcribers) * self.fleet.kind.iter().map(kind_capacity).sum::<f64>()
    }

    /// New connections per second, before `shape` and surges. The extra load of a group is counted for one server
    /// only; load that a policy adds by spreading groups over servers is not compensated by fewer arrivals.
    pub fn rate(&self) -> f64 {
        if self.clients.rate > 0.0 {
            return self.clients.rate;
        }
        let mean_life_s = self.clients.life_s * self.class_mean(|class| class.life);
        let size = self.clients.group_size;
        let group_overhead = if size > 0.0 {
            self.fleet.group_cost / size.max(1.0)
        } else {
            0.0
        };
        self.clients.load * self.mean_capacity() * self.fleet.per_core
            / (1.0 + group_overhead)
            / mean_life_s
    }

    /// Mean number of established connections at the arrival rate of [`Scenario::rate`].
    pub fn mean_connection_count(&self) -> f64 {
        self.rate() * self.clients.life_s * self.class_mean(|class| class.life)
    }
}
