//! The condition of each link between two parties, separately for each direction.

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
    /// Creates the direction from one party to another.
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

/// The faults that apply to traffic in one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkCondition {
    /// Whether all traffic is blocked.
    pub is_cut: bool,
    /// Fixed delay of all traffic.
    pub delay: Duration,
    /// Upper limit of a random delay in addition to the fixed one.
    pub max_jitter: Duration,
    /// Fraction of datagrams that are lost.
    pub loss_ratio: f64,
    /// Fraction of datagrams that arrive twice.
    pub duplicate_ratio: f64,
    /// Fraction of datagrams that arrive after later ones.
    pub reorder_ratio: f64,
    /// Limit of each stream's throughput; 0 for no limit.
    pub bytes_per_second: f64,
}

impl LinkCondition {
    /// Draws the delay of a datagram or of a chunk of a stream.
    pub(crate) fn draw_latency(&self, rng: &mut Pcg64Mcg) -> Duration {
        if self.max_jitter.is_zero() {
            return self.delay;
        }
        self.delay + self.max_jitter.mul_f64(rng.random::<f64>())
    }
}

/// The conditions of all directions; directions without an entry have no faults.
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

    /// Returns true if either direction is cut, so that no connection can be established.
    pub(crate) fn is_cut(&self, direction: LinkDirection) -> bool {
        self.condition(direction).is_cut || self.condition(direction.reversed()).is_cut
    }
}
