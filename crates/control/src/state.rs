//! The state that the log leads to, the same at every node. It keeps the sum: a grant that would pass the capacity is cut
//! down when it is applied, whoever proposed it.

use crate::entry::{Entry, Grant};
use crate::member::{Founding, Member, Stamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a holder may have in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Held {
    /// The number of the request that the slice answers.
    pub number: u64,
    /// The slice.
    pub slice: u32,
    /// What earlier ones may still have in use.
    pub using: u32,
}

impl Held {
    /// What is taken of the capacity.
    pub fn counts(&self) -> u32 {
        self.slice.max(self.using)
    }
}

/// What all agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    /// Which council this is.
    pub stamp: Stamp,
    /// Entries that led here: a number for what is told of it.
    pub epoch: u64,
    /// Voters and learners by id.
    pub members: BTreeMap<u64, Member>,
    /// See `Founding::capacity`.
    pub capacity: u32,
    /// What is granted and not surely over, by holder.
    pub held: BTreeMap<u64, Held>,
    /// Grants that were made.
    pub grants: u64,
}

impl State {
    /// As a council begins.
    pub fn found(founding: &Founding) -> State {
        let members = founding
            .members
            .iter()
            .map(|member| (member.id, member.clone()))
            .collect();
        State {
            stamp: founding.stamp,
            capacity: founding.capacity,
            members,
            ..State::default()
        }
    }

    /// What is taken of the capacity.
    pub fn sum(&self) -> u32 {
        self.held
            .values()
            .fold(0, |sum, held| sum.saturating_add(held.counts()))
    }

    /// What is left for this holder: the capacity without what the others may have in use.
    pub fn left(&self, holder: u64) -> u32 {
        let own = self.held.get(&holder).map_or(0, Held::counts);
        self.capacity.saturating_sub(self.sum().saturating_sub(own))
    }

    /// Takes one entry in; gives the grants as they were made.
    pub fn apply(&mut self, entry: Entry) -> Vec<Grant> {
        self.epoch += 1;
        match entry {
            Entry::Grants(grants) => grants
                .into_iter()
                .filter_map(|grant| self.grant(grant))
                .collect(),
            Entry::Over(over) => {
                for (holder, number) in over {
                    // A newer grant than the one that is over stays.
                    if self
                        .held
                        .get(&holder)
                        .is_some_and(|held| held.number == number)
                    {
                        self.held.remove(&holder);
                    }
                }
                Vec::new()
            }
            Entry::Capacity(capacity) => {
                self.capacity = capacity;
                Vec::new()
            }
        }
    }

    fn grant(&mut self, grant: Grant) -> Option<Grant> {
        let Grant {
            holder,
            number,
            using,
            slice,
        } = grant;
        // Guards against a request that a former leader took and that comes into the log behind a newer one.
        if !self.members.contains_key(&holder)
            || self
                .held
                .get(&holder)
                .is_some_and(|held| held.number >= number)
        {
            return None;
        }
        // It can't have more in use than it was granted: guards against one mad node that would take all of the capacity.
        let using = using.min(self.held.get(&holder).map_or(0, Held::counts));
        let slice = slice.min(self.left(holder));
        self.grants += 1;
        self.held.insert(
            holder,
            Held {
                number,
                slice,
                using,
            },
        );
        Some(Grant { slice, ..grant })
    }
}
