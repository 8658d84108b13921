//! The condition of each link between two parties, each direction by itself.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    /// A node by its number.
    Node(usize),
    /// An upstream server by its number.
    UpstreamServer(usize),
    /// The discovery service.
    Discovery,
}

impl fmt::Display for Party {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Party::Node(number) => write!(formatter, "n{number}"),
            Party::UpstreamServer(number) => write!(formatter, "t{number}"),
            Party::Discovery => formatter.write_str("discovery"),
        }
    }
}

/// One direction of the link between two parties.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkDirection {
    /// The party that sends.
    pub from: Party,
    /// The party that receives.
    pub to: Party,
}

impl LinkDirection {
    /// The direction between these parties.
    pub fn new(from: Party, to: Party) -> LinkDirection {
        LinkDirection { from, to }
    }

    /// The other direction of the same link.
    #[must_use]
    pub fn reversed(self) -> LinkDirection {
        LinkDirection {
            from: self.to,
            to: self.from,
        }
    }
}

/// What happens to traffic in one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkCondition {
    /// Nothing passes.
    pub is_cut: bool,
    /// Everything arrives later by this.
    pub delay: Duration,
    /// Everything arrives later by up to this, besides the delay.
    pub max_jitter: Duration,
    /// Ratio of datagrams that are lost.
    pub loss_ratio: f64,
    /// Ratio of datagrams that arrive twice.
    pub duplicate_ratio: f64,
    /// Ratio of datagrams that arrive after later ones.
    pub reorder_ratio: f64,
    /// Limit of each stream's throughput; 0 for none.
    pub bytes_per_second: f64,
}

impl LinkCondition {
    /// Draws how much later something arrives.
    pub(crate) fn draw_latency(&self, random: &mut Pcg64Mcg) -> Duration {
        if self.max_jitter.is_zero() {
            return self.delay;
        }
        self.delay + self.max_jitter.mul_f64(random.random::<f64>())
    }
}

/// The conditions of all directions; those that are not listed are without faults.
#[derive(Default)]
pub(crate) struct LinkTable {
    conditions: BTreeMap<LinkDirection, LinkCondition>,
}

impl LinkTable {
    /// The condition of a direction.
    pub(crate) fn condition(&self, direction: LinkDirection) -> LinkCondition {
        self.conditions.get(&direction).copied().unwrap_or_default()
    }

    /// Changes the condition of a direction.
    pub(crate) fn update(
        &mut self,
        direction: LinkDirection,
        change: impl FnOnce(&mut LinkCondition),
    ) {
        let mut condition = self.condition(direction);
        change(&mut condition);
        if condition == LinkCondition::default() {
            self.conditions.remove(&direction);
        } else {
            self.conditions.insert(direction, condition);
        }
    }

    /// Whether no connection can be established: it needs both directions.
    pub(crate) fn is_cut(&self, direction: LinkDirection) -> bool {
        self.condition(direction).is_cut || self.condition(direction.reversed()).is_cut
    }
}
