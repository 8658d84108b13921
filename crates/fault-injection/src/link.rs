//! How each link between two parties is at the moment, each direction by itself.

use std::collections::BTreeMap;
use std::time::Duration;

/// One end of links.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    /// A node by number.
    Node(usize),
    /// A transcriber by number.
    Transcriber(usize),
    /// Discovery.
    Discovery,
}

/// One direction of one link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// Nothing comes through.
    pub cut: bool,
    /// All comes later by this, and by up to that more.
    pub delay: Duration,
    /// See `delay`.
    pub jitter: Duration,
    /// The part of datagrams that is lost, comes twice, or is held back.
    pub loss: f64,
    /// See `loss`.
    pub double: f64,
    /// See `loss`.
    pub reorder: f64,
    /// Bytes a second of one stream; 0 for no bound.
    pub rate: f64,
}

/// All directions that are not as they should be.
#[derive(Default)]
pub struct Links {
    ways: BTreeMap<(Party, Party), Way>,
}

impl Links {
    /// How this direction is.
    pub fn way(&self, from: Party, to: Party) -> Way {
        self.ways.get(&(from, to)).copied().unwrap_or_default()
    }

    /// Changes it.
    pub fn change(&mut self, from: Party, to: Party, with: impl FnOnce(&mut Way)) {
        let mut way = self.way(from, to);
        with(&mut way);
        if way == Way::default() {
            self.ways.remove(&(from, to));
        } else {
            self.ways.insert((from, to), way);
        }
    }

    /// Whether a connection can come up: both directions are needed.
    pub fn cut(&self, one: Party, other: Party) -> bool {
        self.way(one, other).cut || self.way(other, one).cut
    }
}
