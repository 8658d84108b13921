//! Who takes part, and in which council.

use serde::{Deserialize, Serialize};

/// One incarnation of one node. A process that starts again under the name has another id: it remembers neither its vote nor
/// what it was granted, and must never be taken for the one that gave them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Drawn anew at each start; never 0.
    pub id: u64,
    /// The node's name, the same after a restart.
    pub name: String,
    /// Where it runs.
    pub zone: String,
    /// See `zone`.
    pub region: String,
    /// Which build it runs.
    pub build: String,
}

/// Which council: a higher epoch fences all lower ones, and of two foundings in one epoch the higher number wins.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ClusterId {
    /// 1 at the first founding of a fleet, one more at each reseeding.
    pub epoch: u64,
    /// Drawn at the founding.
    #[serde(rename = "founding")]
    pub bootstrap_id: u64,
}

/// How a council begins.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Bootstrap {
    /// Which council it is.
    pub cluster_id: ClusterId,
    /// Its first voters. Expected nodes that were not there are counted with ids that nobody has, so that no council acts
    /// without a majority of all that are expected.
    pub voters: Vec<u64>,
    /// Those of them that were there.
    pub members: Vec<Member>,
    /// The capacity of the cold budget: new connections to cold transcribers in any second, over the fleet.
    pub capacity: u32,
}
