//! Identities: incarnations of nodes, and control groups.

use serde::{Deserialize, Serialize};

/// The identity of one incarnation of a node, drawn anew when it starts from nothing; never 0.
pub type MemberId = u64;

/// One incarnation of one node.
///
/// A process that starts again under the same name, without the state of the one before, has another id: it remembers
/// neither its vote nor its leases, and must not be taken for the incarnation that has them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The incarnation.
    pub id: MemberId,
    /// The node's name, the same after a restart.
    pub name: String,
    /// The zone that it runs in.
    pub zone: String,
    /// The region that it runs in.
    pub region: String,
    /// The version of its program.
    pub build: String,
}

/// The identity of a control group. A higher epoch fences all lower ones; of two groups that were bootstrapped in the
/// same epoch the one with the higher `bootstrap_id` wins.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ClusterId {
    /// 1 after the first bootstrap, one more after each recovery of the quorum.
    pub epoch: u64,
    /// Drawn at random, or the id of the member that bootstrapped the group.
    #[serde(rename = "founding")]
    pub bootstrap_id: u64,
}

/// The initial configuration of a control group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Bootstrap {
    /// The group.
    pub cluster_id: ClusterId,
    /// The first voters. Expected nodes that were absent are included with ids that nobody has, so that the group can't
    /// act without a majority of all expected nodes.
    pub voters: Vec<MemberId>,
    /// The voters that were present.
    pub members: Vec<Member>,
    /// The budget to lease out: new connections to warming-up servers in any second, over the fleet.
    pub capacity: u32,
}
