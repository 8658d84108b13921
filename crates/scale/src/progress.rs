//! What is known of all nodes while a run goes on, without I/O: how each stands, and since when it holds what is awaited.

use crate::hollow_host::Line;
use std::collections::BTreeMap;

/// How one node stands.
#[derive(Clone, Debug, Default)]
pub struct Stand {
    /// Its last line.
    pub line: Line,
    /// Since when it holds what is awaited, in Unix microseconds.
    pub holds: Option<u64>,
}

/// What is awaited.
#[derive(Clone, Debug, PartialEq)]
pub enum Awaited {
    /// The whole of the budget is this.
    Whole(u32),
    /// The watched node is known not to live.
    Death,
}

/// See the module.
#[derive(Debug, Default)]
pub struct Ledger {
    stands: BTreeMap<usize, Stand>,
    awaited: Option<Awaited>,
    /// Uses of the budget: when, and how many.
    pub uses: Vec<(u64, u32)>,
    /// Processes that have ended before their time.
    pub ended: Vec<String>,
}

impl Ledger {
    /// A node has said how it stands.
    pub fn take(&mut self, line: Line) {
        if line.used > 0 {
            self.uses.push((line.at_us, line.used));
        }
        let stand = self.stands.entry(line.node).or_default();
        let holds = match self.awaited {
            Some(Awaited::Whole(whole)) => line.whole == whole,
            Some(Awaited::Death) => !line.watched_lives,
            None => false,
        };
        if holds {
            stand.holds.get_or_insert(line.at_us);
        }
        stand.line = line;
    }

    /// Awaits something anew: what nodes hold already of it is known by their next lines.
    pub fn await_anew(&mut self, awaited: Awaited) {
        self.awaited = Some(awaited);
        self.stands
            .values_mut()
            .for_each(|stand| stand.holds = None);
    }

    /// A node that is not there any more.
    pub fn forget(&mut self, node: usize) {
        self.stands.remove(&node);
    }

    /// How a node stands.
    pub fn stand(&self, node: usize) -> Option<&Stand> {
        self.stands.get(&node)
    }

    /// All nodes that have said something.
    pub fn stands(&self) -> impl Iterator<Item = (usize, &Stand)> {
        self.stands.iter().map(|(node, stand)| (*node, stand))
    }

    /// How long after `since` each node held it, in milliseconds; the nodes that do not hold it yet.
    pub fn held_after(&self, since_us: u64) -> (Vec<f64>, Vec<usize>) {
        let (mut after, mut missing) = (Vec::new(), Vec::new());
        for (node, stand) in &self.stands {
            match stand.holds {
                Some(at) => after.push(at.saturating_sub(since_us) as f64 / 1000.0),
                None => missing.push(*node),
            }
        }
        (after, missing)
    }

    /// Nodes that do not yet take part with one leader and count all others, of `all`.
    pub fn unsettled(&self, all: usize) -> Vec<usize> {
        let settled = |node: &usize| {
            self.stands.get(node).is_some_and(|stand| {
                stand.line.led && stand.line.whole > 0 && stand.line.alive == all
            })
        };
        (0..all).filter(|node| !settled(node)).collect()
    }
}

#[cfg(test)]
mod tests;
