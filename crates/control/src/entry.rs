//! What stands in the replicated log.

use serde::{Deserialize, Serialize};

/// One entry. Members come and go with the log's own changes of its voters and learners.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// Slices for nodes that asked.
    LeasesGranted(Vec<Grant>),
    /// By the leader's clock these grants (holder, number) are surely over.
    LeasesExpired(Vec<(u64, u64)>),
    /// The capacity of the cold budget from here on.
    CapacityChanged(u32),
}

impl Entry {
    /// One line for people, as the printed log has always shown it.
    pub(crate) fn description(&self) -> String {
        match self {
            Entry::LeasesGranted(grants) => format!("{} grants", grants.len()),
            Entry::LeasesExpired(grants) => format!("Over({grants:?})"),
            Entry::CapacityChanged(capacity) => format!("Capacity({capacity})"),
        }
    }
}

/// One slice for one incarnation of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Whose.
    pub holder: u64,
    /// The number of its request: it takes no grant but the one that answers its latest.
    pub request_number: u64,
    /// What it may still have in use, by earlier grants, as of that request.
    pub in_use: u32,
    /// What it may use once it has this.
    pub limit: u32,
}
