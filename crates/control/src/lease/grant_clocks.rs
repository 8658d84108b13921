//! The granter's side of leases: tracks when they expire.

use super::LeaseTerms;
use crate::entry::GrantId;
use crate::member::MemberId;
use crate::state::{ActiveLease, ClusterState};
use lupincrank_placement::Timestamp;
use std::collections::BTreeMap;

/// The time, by this node's clock, at which each active lease was first seen. Every member tracks these times, since
/// any may become leader; a member that learns of a lease late counts from that time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct GrantClocks {
    first_seen: BTreeMap<MemberId, FirstSeen>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct FirstSeen {
    request_number: u64,
    time: Timestamp,
}

impl GrantClocks {
    /// Updates the times from the replicated state. A lease that is new to this node counts from `now` on.
    pub fn follow(&mut self, now: Timestamp, state: &ClusterState) {
        self.first_seen
            .retain(|holder, _| state.leases.contains_key(holder));
        for (holder, lease) in &state.leases {
            self.observe(now, *holder, lease);
        }
    }

    fn observe(&mut self, now: Timestamp, holder: MemberId, lease: &ActiveLease) {
        let known = self.first_seen.get(&holder);
        if known.is_none_or(|known| known.request_number != lease.request_number) {
            let first_seen = FirstSeen {
                request_number: lease.request_number,
                time: now,
            };
            self.first_seen.insert(holder, first_seen);
        }
    }

    /// The leases whose usage no longer counts, even if the holder's clock is slow by the maximum drift.
    pub fn expired_grants(&self, now: Timestamp, terms: &LeaseTerms) -> Vec<GrantId> {
        let safe_expiry = terms.safe_expiry();
        self.first_seen
            .iter()
            .filter(|(_, seen)| now.saturating_duration_since(seen.time) >= safe_expiry)
            .map(|(holder, seen)| GrantId {
                holder: *holder,
                request_number: seen.request_number,
            })
            .collect()
    }
}
