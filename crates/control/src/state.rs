//! The state that the log leads to, the same at every node. It keeps the sum: a grant that would pass the capacity is cut
//! down when it is applied, whoever proposed it.

use crate::entry::{Entry, Grant};
use crate::member::{Bootstrap, ClusterId, Member};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a holder may have in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ActiveLease {
    /// The number of the request that the slice answers.
    pub request_number: u64,
    /// The slice.
    pub limit: u32,
    /// What earlier ones may still have in use.
    pub in_use: u32,
}

impl ActiveLease {
    /// What is taken of the capacity.
    pub fn charged(&self) -> u32 {
        self.limit.max(self.in_use)
    }
}

/// What all agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClusterState {
    /// Which council this is.
    pub cluster_id: ClusterId,
    /// Entries that led here: a number for what is told of it.
    pub applied_entries: u64,
    /// Voters and learners by id.
    pub members: BTreeMap<u64, Member>,
    /// See `Founding::capacity`.
    pub capacity: u32,
    /// What is granted and not surely over, by holder.
    pub leases: BTreeMap<u64, ActiveLease>,
    /// Grants that were made.
    pub grant_count: u64,
}

impl ClusterState {
    /// As a council begins.
    pub fn bootstrap(founding: &Bootstrap) -> ClusterState {
        let members = founding
            .members
            .iter()
            .map(|member| (member.id, member.clone()))
            .collect();
        ClusterState {
            cluster_id: founding.cluster_id,
            capacity: founding.capacity,
            members,
            ..ClusterState::default()
        }
    }

    /// What is taken of the capacity.
    pub fn total_granted(&self) -> u32 {
        self.leases
            .values()
            .fold(0, |sum, held| sum.saturating_add(held.charged()))
    }

    /// What is left for this holder: the capacity without what the others may have in use.
    pub fn available_to(&self, holder: u64) -> u32 {
        let own = self.leases.get(&holder).map_or(0, ActiveLease::charged);
        self.capacity
            .saturating_sub(self.total_granted().saturating_sub(own))
    }

    /// Takes one entry in; gives the grants as they were made.
    pub fn apply(&mut self, entry: Entry) -> Vec<Grant> {
        self.applied_entries += 1;
        match entry {
            Entry::LeasesGranted(grants) => grants
                .into_iter()
                .filter_map(|grant| self.grant(grant))
                .collect(),
            Entry::LeasesExpired(over) => {
                for (holder, number) in over {
                    // A newer grant than the one that is over stays.
                    if self
                        .leases
                        .get(&holder)
                        .is_some_and(|held| held.request_number == number)
                    {
                        self.leases.remove(&holder);
                    }
                }
                Vec::new()
            }
            Entry::CapacityChanged(capacity) => {
                self.capacity = capacity;
                Vec::new()
            }
        }
    }

    fn grant(&mut self, grant: Grant) -> Option<Grant> {
        let Grant {
            holder,
            request_number: number,
            in_use: using,
            limit: slice,
        } = grant;
        // Guards against a request that a former leader took and that comes into the log behind a newer one.
        if !self.members.contains_key(&holder)
            || self
                .leases
                .get(&holder)
                .is_some_and(|held| held.request_number >= number)
        {
            return None;
        }
        // It can't have more in use than it was granted: guards against one mad node that would take all of the capacity.
        let using = using.min(self.leases.get(&holder).map_or(0, ActiveLease::charged));
        let slice = slice.min(self.available_to(holder));
        self.grant_count += 1;
        self.leases.insert(
            holder,
            ActiveLease {
                request_number: number,
                limit: slice,
                in_use: using,
            },
        );
        Some(Grant {
            limit: slice,
            ..grant
        })
    }
}
