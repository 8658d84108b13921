//! Entries of the replicated log.

use crate::member::MemberId;
use serde::{Deserialize, Serialize};

/// An entry of the replicated log. Members are added and removed by Raft's own configuration changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// Grants leases to members that requested them.
    LeasesGranted(Vec<Grant>),
    /// Removes leases that have expired by the leader's clock, safety margin included.
    LeasesExpired(Vec<GrantId>),
    /// Sets the capacity of the budget.
    CapacityChanged(u32),
}

impl Entry {
    /// One line for operators. The texts are part of the printed log's format, which must not change.
    pub(crate) fn description(&self) -> String {
        match self {
            Entry::LeasesGranted(grants) => format!("{} grants", grants.len()),
            Entry::LeasesExpired(grants) => describe_expired(grants),
            Entry::CapacityChanged(capacity) => format!("Capacity({capacity})"),
        }
    }
}

fn describe_expired(grants: &[GrantId]) -> String {
    let pairs: Vec<_> = grants
        .iter()
        .map(|grant| (grant.holder, grant.request_number))
        .collect();
    format!("Over({pairs:?})")
}

/// Identifies one grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantId {
    /// The member that holds the lease.
    pub holder: MemberId,
    /// The number of the request that was granted.
    pub request_number: u64,
}

/// A lease for one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The member that holds the lease.
    pub holder: MemberId,
    /// The number of its request. A holder accepts only the grant of its latest request.
    pub request_number: u64,
    /// The units that earlier leases of the holder may still have in use, as of that request.
    pub in_use: u32,
    /// The units that the holder may use under this lease.
    pub limit: u32,
}
