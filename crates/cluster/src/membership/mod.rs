//! Which nodes are alive: SWIM by the `foca` crate, as a state machine that is driven with time and datagrams from
//! outside. All times are spans since this process started, by its own monotonic clock.

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

/// How often the seeds are contacted while no other member is known.
const ISOLATED_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// How often they are contacted otherwise, so that two halves of a cluster that have forgotten each other merge again.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(15);
/// How often a leaving node gossips its end; the members it reaches pass it on.
const LEAVE_GOSSIP_ROUNDS: usize = 3;

/// An effect to be carried out, or a change to be known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipOutput {
    /// A datagram to be sent.
    Datagram {
        /// The address that the receiving node has made known.
        to: SocketAddr,
        /// The whole datagram.
        bytes: Vec<u8>,
    },
    /// A node is alive.
    MemberUp(Identity),
    /// A node has failed or left.
    MemberDown(Identity),
    /// This node was declared dead and has rejoined.
    Rejoined {
        /// How often it has rejoined so far.
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
    /// Where it receives datagrams.
    pub address: SocketAddr,
}

/// What membership is told at its start.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// The tag of the cluster; see [`crate::cluster_tag`].
    pub cluster_tag: u32,
    /// The number of nodes that are expected; periods and limits depend on its logarithm.
    pub expected_node_count: usize,
    /// Seeds the random choice of members to probe.
    pub random_seed: u64,
    /// The nodes to contact. An entry with the node's own name is ignored.
    pub seed_nodes: Vec<SeedNode>,
}

/// The factor from 0.75 to 1.25 by which a node stretches its periods, so that the nodes of a cluster do not act in step.
pub fn jitter_factor(incarnation: u64) -> f64 {
    0.75 + f64::from(incarnation as u8) / 512.0
}

/// One node's view of which nodes are alive.
pub struct Membership {
    swim: Foca<Identity, PostcardCodec, Pcg64Mcg, foca::NoCustomBroadcast>,
    runtime: SwimRuntime,
    seed_nodes: Vec<SeedNode>,
    next_announce: Duration,
    jitter: f64,
    name_claim: NameClaim,
    /// What is received after leaving must not bring this node back.
    has_left: bool,
    rejected: RejectedDatagrams,
}

impl Membership {
    /// Starts without knowing any other member.
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

    /// This node as others see it.
    pub fn local_identity(&self) -> &Identity {
        self.swim.identity()
    }

    /// All other nodes that are alive.
    pub fn alive(&self) -> impl Iterator<Item = &Identity> {
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

    /// When [`Membership::on_deadline`] has to be called next.
    pub fn next_deadline(&self) -> Duration {
        self.runtime
            .next_timer()
            .map_or(self.next_announce, |due_at| due_at.min(self.next_announce))
    }

    /// Advances time to `now` and fires what is due.
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
                // A timer of an earlier state is refused, which is expected.
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
            // It fails only for this node's own address, and is repeated anyway.
            let _ = self.swim.announce(seed, &mut self.runtime);
        }
    }

    fn announce_interval(&self) -> Duration {
        if self.alive().next().is_none() {
            ISOLATED_ANNOUNCE_INTERVAL
        } else {
            ANNOUNCE_INTERVAL
        }
    }

    /// Whether this timer ends a suspicion that was refuted meanwhile. Foca 1.0 leaves such a member as it is, but tells it
    /// all the same that it is down, which that member believes.
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
            self.resolve_names(&header);
        }
        match self.swim.handle_data(body, &mut self.runtime) {
            Ok(()) => {}
            Err(foca::Error::DataFromOurselves | foca::Error::IndirectForOurselves) => {
                self.rejected.stale += 1;
            }
            Err(_) => self.rejected.unreadable += 1,
        }
    }

    /// Sees to it that the latest process of a name is a member, whatever the clocks of both processes say.
    fn resolve_names(&mut self, header: &Header<Identity>) {
        let now = self.runtime.now;
        let local = self.swim.identity();
        if header.src.name != local.name {
            self.name_claim.record_contact(now);
        }
        // The sender takes this process for one that came before it at this address.
        if header.dst.outranks(local) && self.name_claim.try_raise(now) {
            self.raise_over(header.dst.started_at_ms);
        }
        let known = self
            .swim
            .iter_membership_state()
            .map(foca::Member::id)
            .find(|known| known.outranks(&header.src));
        if let Some(known) = known.cloned() {
            self.name_earlier_process(header, known);
        }
    }

    /// Goes on as the latest process of this name.
    fn raise_over(&mut self, started_at_ms: u64) {
        let identity = Identity {
            started_at_ms: started_at_ms.saturating_add(1),
            generation: 0,
            ..self.swim.identity().clone()
        };
        // It fails only for the identity that this node has.
        let _ = self.swim.change_identity(identity, &mut self.runtime);
        self.next_announce = self.runtime.now;
    }

    /// Tells the sender which process of its name stands before it: a message for that one, which is at the same address
    /// or has gone.
    fn name_earlier_process(&mut self, received: &Header<Identity>, known: Identity) {
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

    /// Whether this process has met the cluster only lately: it may still learn of an earlier process of its name, and
    /// raise its order over that one's.
    pub fn is_newcomer(&self, now: Duration) -> bool {
        self.name_claim.is_newcomer(now)
    }

    /// Stops taking part without telling anybody, because a later incarnation holds this node's name.
    pub fn yield_to_newer(&mut self) {
        self.has_left = true;
    }

    /// Leaves the cluster and tells other members, so that they need not detect it.
    pub fn leave(&mut self, now: Duration) {
        self.runtime.now = now;
        self.runtime.begin_leaving();
        for _ in 0..LEAVE_GOSSIP_ROUNDS {
            // A failure delays the news; leaving goes on.
            let _ = self.swim.gossip(&mut self.runtime);
        }
        let _ = self.swim.leave_cluster(&mut self.runtime);
        self.has_left = true;
    }
}

#[cfg(test)]
mod tests;
