//! Gossip membership: detects live nodes with the SWIM protocol of the `foca` crate. The state machine is driven by its
//! caller, which passes time and datagrams. All times are durations since the start of this process, by its own
//! monotonic clock.

mod datagram;
mod identity;
mod name_claim;
mod runtime;
mod swim_config;

pub use datagram::{RejectedDatagrams, MAX_DATAGRAM_BYTES};
pub use identity::Identity;

use datagram::HeaderError;
use foca::{Codec, Foca, Header, Incarnation, Message, PostcardCodec, Timer};
use name_claim::NameClaim;
use rand_pcg::Pcg64Mcg;
use runtime::SwimRuntime;
use std::net::SocketAddr;
use std::time::Duration;

/// The interval at which seed nodes are contacted while no other member is known.
const ISOLATED_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// The interval at which seed nodes are contacted otherwise, so that two parts of a partitioned cluster merge again
/// after each has removed the members of the other.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(15);
/// The number of gossip rounds that a leaving node sends. The members that receive them gossip the update further.
const LEAVE_GOSSIP_ROUNDS: usize = 3;

/// An effect to execute, or a membership change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipOutput {
    /// A datagram to send.
    Datagram {
        /// The address that the receiving node advertises.
        to: SocketAddr,
        /// The datagram, including its header.
        bytes: Vec<u8>,
    },
    /// A node is live.
    MemberUp(Identity),
    /// A node was declared down or has left.
    MemberDown(Identity),
    /// This node was declared down and has rejoined.
    Rejoined {
        /// The number of rejoins so far.
        generation: u32,
    },
    /// A later incarnation of this node's name has started.
    Replaced,
}

/// A node that is contacted to join the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedNode {
    /// The node's name.
    pub name: String,
    /// The address at which the node receives datagrams.
    pub address: SocketAddr,
}

/// The configuration of [`Membership`].
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// The tag of the cluster; see [`crate::cluster_tag`].
    pub cluster_tag: u32,
    /// The expected number of nodes. Periods and limits depend on its logarithm.
    pub expected_node_count: usize,
    /// Seeds the random choice of members to probe.
    pub random_seed: u64,
    /// The nodes to contact to join the cluster. An entry with the node's own name is ignored.
    pub seed_nodes: Vec<SeedNode>,
}

/// Returns a factor from 0.75 to 1.25 by which a node multiplies its periods, so that the nodes of a cluster are not
/// synchronized.
pub fn jitter_factor(incarnation: u64) -> f64 {
    0.75 + f64::from(incarnation as u8) / 512.0
}

/// The live nodes of the cluster as seen by one node.
pub struct Membership {
    swim: Foca<Identity, PostcardCodec, Pcg64Mcg, foca::NoCustomBroadcast>,
    runtime: SwimRuntime,
    seed_nodes: Vec<SeedNode>,
    next_announce: Duration,
    jitter: f64,
    name_claim: NameClaim,
    /// Datagrams received after leaving are ignored, since they would make this node rejoin.
    has_left: bool,
    rejected: RejectedDatagrams,
}

impl Membership {
    /// Creates a membership without any other member.
    pub fn new(local: Identity, config: MembershipConfig) -> Membership {
        let seed = u128::from(config.random_seed) << 64 | u128::from(local.incarnation);
        let jitter = jitter_factor(local.incarnation);
        let mut seed_nodes = config.seed_nodes;
        seed_nodes.retain(|seed_node| seed_node.name != local.name);
        let swim_config = swim_config::for_cluster_size(config.expected_node_count);
        Membership {
            swim: Foca::new(local, swim_config, Pcg64Mcg::new(seed), PostcardCodec),
            runtime: SwimRuntime::new(config.cluster_tag),
            seed_nodes,
            next_announce: Duration::ZERO,
            jitter,
            name_claim: NameClaim::default(),
            has_left: false,
            rejected: RejectedDatagrams::default(),
        }
    }

    /// The identity that this node advertises.
    pub fn local_identity(&self) -> &Identity {
        self.swim.identity()
    }

    /// All other live nodes.
    pub fn live_members(&self) -> impl Iterator<Item = &Identity> {
        self.swim.iter_members().map(foca::Member::id)
    }

    /// Counts of the datagrams that were rejected.
    pub fn rejected(&self) -> RejectedDatagrams {
        self.rejected
    }

    /// Removes and returns the oldest output.
    pub fn next_output(&mut self) -> Option<MembershipOutput> {
        self.runtime.next_output()
    }

    /// The time at which [`Membership::on_deadline`] must be called next.
    pub fn next_deadline(&self) -> Duration {
        self.runtime
            .next_timer()
            .map_or(self.next_announce, |due_at| due_at.min(self.next_announce))
    }

    /// Advances time to `now` and fires the timers that are due.
    pub fn on_deadline(&mut self, now: Duration) {
        self.runtime.now = now;
        if self.has_left {
            self.runtime.clear_timers();
            self.next_announce = now + ANNOUNCE_INTERVAL;
            return;
        }
        if now >= self.next_announce {
            self.announce_to_seeds();
            self.next_announce = now + self.announce_interval().mul_f64(self.jitter);
        }
        while let Some(timer) = self.runtime.pop_due_timer() {
            if !self.is_refuted(&timer) {
                // Fails for a timer of an earlier state, which is expected.
                let _ = self.swim.handle_timer(timer, &mut self.runtime);
            }
        }
    }

    fn announce_to_seeds(&mut self) {
        for seed_node in self.seed_nodes.clone() {
            // A seed's incarnation is not known before it answers.
            let seed = Identity {
                name: seed_node.name,
                address: seed_node.address,
                incarnation: 0,
                started_at_ms: 0,
                generation: 0,
                ..self.swim.identity().clone()
            };
            // Fails only for this node's own address, and is repeated periodically.
            let _ = self.swim.announce(seed, &mut self.runtime);
        }
    }

    fn announce_interval(&self) -> Duration {
        if self.live_members().next().is_none() {
            ISOLATED_ANNOUNCE_INTERVAL
        } else {
            ANNOUNCE_INTERVAL
        }
    }

    /// Returns true if the timer belongs to a suspicion that was refuted. On such a timer, foca 1.0 does not change the
    /// member's state, but still notifies the member that it is down, which the member accepts.
    fn is_refuted(&self, timer: &Timer<Identity>) -> bool {
        let Timer::ChangeSuspectToDown {
            member_id,
            incarnation,
            ..
        } = timer
        else {
            return false;
        };
        !self.swim.iter_membership_state().any(|member| {
            member.id() == member_id
                && member.incarnation() == *incarnation
                && member.state() == foca::State::Suspect
        })
    }

    /// Handles a received datagram. One that can't be used is counted as rejected.
    pub fn on_datagram(&mut self, now: Duration, datagram: &[u8]) {
        self.runtime.now = now;
        if self.has_left {
            return;
        }
        match datagram::decode(self.runtime.cluster_tag(), datagram) {
            Ok(body) => self.on_swim_message(body),
            Err(HeaderError::Malformed) => self.rejected.unreadable += 1,
            Err(HeaderError::VersionMismatch) => self.rejected.version += 1,
            Err(HeaderError::ForeignCluster) => self.rejected.foreign += 1,
        }
        if self.runtime.take_name_contested() {
            self.yield_to_newer();
            self.runtime.push_output(MembershipOutput::Replaced);
        }
    }

    fn on_swim_message(&mut self, body: &[u8]) {
        let header: Result<Header<Identity>, _> = PostcardCodec.decode_header(body);
        if let Ok(header) = header {
            self.resolve_name_conflicts(&header);
        }
        match self.swim.handle_data(body, &mut self.runtime) {
            Ok(()) => {}
            Err(foca::Error::DataFromOurselves | foca::Error::IndirectForOurselves) => {
                self.rejected.stale += 1;
            }
            Err(_) => self.rejected.unreadable += 1,
        }
    }

    /// Ensures that the latest process of a name is a member, whatever the clocks of the processes are.
    fn resolve_name_conflicts(&mut self, header: &Header<Identity>) {
        let now = self.runtime.now;
        let local = self.swim.identity();
        if header.src.name != local.name {
            self.name_claim.record_contact(now);
        }
        // The sender addressed an earlier process of this name, whose start time is later than that of this one.
        if header.dst.takes_precedence_over(local) && self.name_claim.try_raise_start_time(now) {
            self.raise_start_time_above(header.dst.started_at_ms);
        }
        let known = self
            .swim
            .iter_membership_state()
            .map(foca::Member::id)
            .find(|known| known.takes_precedence_over(&header.src));
        if let Some(known) = known.cloned() {
            self.report_preferred_process(header, known);
        }
    }

    /// Raises this node's start time above that of an earlier process, to continue as the latest process of its name.
    fn raise_start_time_above(&mut self, started_at_ms: u64) {
        let identity = Identity {
            started_at_ms: started_at_ms.saturating_add(1),
            generation: 0,
            ..self.swim.identity().clone()
        };
        // Fails only if the identity is unchanged.
        let _ = self.swim.change_identity(identity, &mut self.runtime);
        self.next_announce = self.runtime.now;
    }

    /// Reports to the sender a process of its name that takes precedence over it. The report is a message addressed to
    /// that process, which uses the same address or has ended.
    fn report_preferred_process(&mut self, received: &Header<Identity>, known: Identity) {
        let header = Header {
            src: self.swim.identity().clone(),
            src_incarnation: Incarnation::default(),
            dst: known,
            message: Message::Gossip,
        };
        let mut body = Vec::new();
        if PostcardCodec.encode_header(&header, &mut body).is_ok() {
            let bytes = datagram::encode(self.runtime.cluster_tag(), &body);
            self.runtime.push_output(MembershipOutput::Datagram {
                to: received.src.address,
                bytes,
            });
        }
    }

    /// Returns true if this process has joined the cluster recently or has not joined yet. It may still learn of an
    /// earlier process of its name, and raise its start time above that of the earlier process.
    pub fn has_joined_recently(&self, now: Duration) -> bool {
        self.name_claim.has_joined_recently(now)
    }

    /// Stops participating without notifying other members, because a later incarnation uses this node's name.
    pub fn yield_to_newer(&mut self) {
        self.has_left = true;
    }

    /// Leaves the cluster and notifies other members, so that they need not detect that this node has ended.
    pub fn leave(&mut self, now: Duration) {
        self.runtime.now = now;
        self.runtime.begin_leaving();
        for _ in 0..LEAVE_GOSSIP_ROUNDS {
            // A failure only delays the notification.
            let _ = self.swim.gossip(&mut self.runtime);
        }
        let _ = self.swim.leave_cluster(&mut self.runtime);
        self.has_left = true;
    }
}

#[cfg(test)]
mod tests;
