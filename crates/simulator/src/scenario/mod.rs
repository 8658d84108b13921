//! A scenario: the world, its clients and what goes wrong, as a TOML file with a version.
//!
//! Every key has a default, so that a file names only what it is about; a key that does not exist is an error.

mod bounds;
mod error;
mod faults;
mod loading;
mod sections;

pub use error::ScenarioError;
pub use faults::{Fault, FaultKind};
pub use loading::{load, parse};
pub use sections::{Class, Clients, Delays, Discovery, Fleet, Goal, Kind, Net, Nodes, Rules};

use sections::default_classes;
use serde::{Deserialize, Serialize};

/// The version of the format that this build reads and writes.
pub const VERSION: u32 = 1;

/// A whole scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The version of the format.
    pub version: u32,
    /// What it is called.
    #[serde(default)]
    pub name: String,
    /// What it is for, for people.
    #[serde(default)]
    pub about: String,
    /// Another file beside this one that this one changes: tables are merged key by key, arrays replaced.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub extends: Option<String>,
    /// Simulated seconds; what is under way at the end is not judged.
    #[serde(default = "default_length")]
    pub length_s: f64,
    /// The transcribers.
    #[serde(default)]
    pub fleet: Fleet,
    /// The balancer nodes and their settings.
    #[serde(default)]
    pub nodes: Nodes,
    /// Zones and delays.
    #[serde(default)]
    pub net: Net,
    /// Discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// Clients, arrivals and groups.
    #[serde(default)]
    pub clients: Clients,
    /// The figures of the four rules.
    #[serde(default)]
    pub rules: Rules,
    /// How service is put into one figure.
    #[serde(default)]
    pub goal: Goal,
    /// The classes of requests.
    #[serde(default = "default_classes")]
    pub class: Vec<Class>,
    /// What goes wrong, and when.
    #[serde(default, rename = "trouble")]
    pub faults: Vec<Fault>,
    /// Where `hunt` found it: what `replay` compares with.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub found: Option<SearchRecord>,
}

fn default_length() -> f64 {
    60.0
}

/// What `hunt` found: the seed and the service of both policies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SearchRecord {
    /// The seed of the run.
    pub seed: u64,
    /// The module's service.
    pub service: f64,
    /// The policy that it was compared with.
    pub against: String,
    /// That policy's service.
    pub against_service: f64,
}

impl Scenario {
    /// Mean load of a connection over its life, in cores of speed 1.
    pub fn mean_load(&self) -> f64 {
        1.0 / self.fleet.per_core
    }

    /// Over the classes, by their shares, the mean of a figure.
    fn over_classes(&self, of: impl Fn(&Class) -> f64) -> f64 {
        let all: f64 = self.class.iter().map(|class| class.share).sum();
        self.class
            .iter()
            .map(|class| class.share / all * of(class))
            .sum()
    }

    /// What a unit of a class's `load` stands for, in cores of speed 1.
    pub fn load_unit(&self) -> f64 {
        let standing = self.over_classes(|class| class.life);
        let loaded = self.over_classes(|class| class.load * class.life);
        self.mean_load() * standing / loaded.max(1e-12)
    }

    /// Cores of speed 1 that the fleet of the start has, on average over seeds.
    pub fn mean_capacity(&self) -> f64 {
        let all: f64 = self.fleet.kind.iter().map(|kind| kind.share).sum();
        let each = |kind: &Kind| kind.share / all * f64::from(kind.cores) * kind.speed;
        f64::from(self.fleet.transcribers) * self.fleet.kind.iter().map(each).sum::<f64>()
    }

    /// New connections a second, before `shape` and surges. The work that groups cost counts as load, each on one
    /// transcriber: what a policy adds by spreading them is its own doing.
    pub fn rate(&self) -> f64 {
        if self.clients.rate > 0.0 {
            return self.clients.rate;
        }
        let life = self.clients.life_s * self.over_classes(|class| class.life);
        let size = self.clients.group_size;
        let shared = if size > 0.0 {
            self.fleet.group_cost / size.max(1.0)
        } else {
            0.0
        };
        self.clients.load * self.mean_capacity() * self.fleet.per_core / (1.0 + shared) / life
    }

    /// Mean connections that stand at that rate.
    pub fn standing(&self) -> f64 {
        self.rate() * self.clients.life_s * self.over_classes(|class| class.life)
    }
}
