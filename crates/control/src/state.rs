//! The replicated state, the same at every member. It enforces the capacity: a grant that would exceed the capacity
//! is reduced when it is applied, whichever leader proposed it.

use crate::entry::{Entry, Grant, GrantId};
use crate::member::{Bootstrap, ClusterId, Member, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A lease that is not known to have expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ActiveLease {
    /// The number of the request that was granted.
    pub request_number: u64,
    /// The units that the holder may use.
    pub limit: u32,
    /// The units that earlier leases of the holder may still have in use.
    pub in_use: u32,
}

impl ActiveLease {
    /// The units of the capacity that the lease reserves.
    pub fn charged(&self) -> u32 {
        self.limit.max(self.in_use)
    }
}

/// The replicated state. Its encoding is the content of snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClusterState {
    /// The control group that this state belongs to.
    pub cluster_id: ClusterId,
    /// The number of applied entries; printed as the state's epoch.
    pub applied_entries: u64,
    /// Voters and learners.
    pub members: BTreeMap<MemberId, Member>,
    /// The budget to lease out; see [`Bootstrap::capacity`].
    pub capacity: u32,
    /// Active leases by holder.
    pub leases: BTreeMap<MemberId, ActiveLease>,
    /// The number of grants made so far.
    pub grant_count: u64,
}

impl ClusterState {
    /// The initial state of a group.
    pub fn bootstrap(bootstrap: &Bootstrap) -> ClusterState {
        let members = bootstrap
            .members
            .iter()
            .map(|member| (member.id, member.clone()))
            .collect();
        ClusterState {
            cluster_id: bootstrap.cluster_id,
            capacity: bootstrap.capacity,
            members,
            ..ClusterState::default()
        }
    }

    /// The units of the capacity that active leases reserve.
    pub fn total_granted(&self) -> u32 {
        self.leases
            .values()
            .fold(0, |sum, lease| sum.saturating_add(lease.charged()))
    }

    /// The most units that a new lease of this holder may get: the capacity minus the leases of the other holders.
    pub fn available_to(&self, holder: MemberId) -> u32 {
        let granted_to_others = self.total_granted().saturating_sub(self.charged_to(holder));
        self.capacity.saturating_sub(granted_to_others)
    }

    fn charged_to(&self, holder: MemberId) -> u32 {
        self.leases.get(&holder).map_or(0, ActiveLease::charged)
    }

    /// Applies one entry. Returns the grants with the limits that were actually granted.
    pub fn apply(&mut self, entry: Entry) -> Vec<Grant> {
        self.applied_entries += 1;
        match entry {
            Entry::LeasesGranted(grants) => return self.apply_grants(grants),
            Entry::LeasesExpired(expired) => self.remove_expired(&expired),
            Entry::CapacityChanged(capacity) => self.capacity = capacity,
        }
        Vec::new()
    }

    fn apply_grants(&mut self, grants: Vec<Grant>) -> Vec<Grant> {
        grants
            .into_iter()
            .filter_map(|grant| self.apply_grant(grant))
            .collect()
    }

    /// Removes the leases of expired grants. A newer lease of the same holder is kept.
    fn remove_expired(&mut self, expired: &[GrantId]) {
        for grant in expired {
            let lease = self.leases.get(&grant.holder);
            if lease.is_some_and(|lease| lease.request_number == grant.request_number) {
                self.leases.remove(&grant.holder);
            }
        }
    }

    fn apply_grant(&mut self, grant: Grant) -> Option<Grant> {
        if !self.members.contains_key(&grant.holder) || self.is_outdated(&grant) {
            return None;
        }
        // A holder can't have more units in use than it was granted. Without this bound, one faulty member could
        // reserve the entire capacity.
        let in_use = grant.in_use.min(self.charged_to(grant.holder));
        let limit = grant.limit.min(self.available_to(grant.holder));
        self.grant_count += 1;
        let lease = ActiveLease {
            request_number: grant.request_number,
            limit,
            in_use,
        };
        self.leases.insert(grant.holder, lease);
        Some(Grant { limit, ..grant })
    }

    /// Returns true if the holder already has a lease for this request or a later one. A former leader may have
    /// accepted a request whose entry is committed after that of a newer request.
    fn is_outdated(&self, grant: &Grant) -> bool {
        self.leases
            .get(&grant.holder)
            .is_some_and(|lease| lease.request_number >= grant.request_number)
    }
}
