//! Identities: incarnations of nodes, and control groups.

use serde::{Deserialize, Serialize};

/// The identity of one incarnation of a node, chosen at random when it starts without stored state; never 0.
pub type MemberId = u64;

/// One incarnation of one node.
///
/// A process that restarts under the same name without the state of its predecessor gets another id: it knows neither
/// the vote nor the leases of its predecessor, so it must not be mistaken for it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The incarnation.
    pub id: MemberId,
    /// The node's name, unchanged by a restart.
    pub name: String,
    /// The zone that the node runs in.
    pub zone: String,
    /// The region that the node runs in.
    pub region: String,
    /// The version of the node's program.
    pub build: String,
}

/// The identity of a control group. A higher epoch fences all lower ones. Of two groups that were bootstrapped in the
/// same epoch, the one with the higher `bootstrap_id` wins.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ClusterId {
    /// 1 after the first bootstrap, incremented by each quorum recovery.
    pub epoch: u64,
    /// A random number, or the id of the member that bootstrapped the group.
    #[serde(rename = "founding")]
    pub bootstrap_id: u64,
}

/// The initial configuration of a control group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Bootstrap {
    /// The group.
    pub cluster_id: ClusterId,
    /// The initial voters. Expected nodes that were absent are included with ids that no member has, so that the
    /// group can't commit without a majority of all expected nodes.
    pub voters: Vec<MemberId>,
    /// The voters that were present.
    pub members: Vec<Member>,
    /// The budget to lease out: new connections from the whole fleet to warming-up servers in any one second.
    pub capacity: u32,
}
