//! Simulates control groups: messages are delayed or lost, links are cut in one direction, nodes freeze, are killed
//! and restart without stored state, and each node has its own clock.

mod builder;
mod network;
mod node;

use builder::DiskModel;
pub use builder::{
    group_with_disks, group_with_drift, DiskSpeed, RestartIdentity, SimulationBuilder, WriteReport,
};
use lupincrank_control::durable::DurableState;
use lupincrank_control::lease::LeaseTerms;
use lupincrank_control::member::{ClusterId, Member, MemberId};
use lupincrank_control::message::Action;
use lupincrank_placement::Timestamp;
use network::{Envelope, Link, Network};
use node::{is_within_window, member, Clock, NodeStart, SimulatedNode};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(25);
/// The time without contact after which gossip membership reports a node as unreachable.
const FAILURE_DETECTION_DELAY: Duration = Duration::from_millis(2500);
pub const CAPACITY: u32 = 10;
pub const FLOOR: u32 = 1;
/// The maximum duration of a write on a fast and on a slow disk, in milliseconds.
const MAX_WRITE_MILLIS: u64 = 120;
const MAX_SLOW_WRITE_MILLIS: u64 = 500;
/// The maximum probability of message loss, in percent.
const MAX_LOSS_PERCENT: u32 = 60;

/// A fault of a node or of a link between two nodes, by node index.
#[derive(Clone, Debug)]
pub enum Fault {
    CutLink(usize, usize),
    /// Restores all links and stops message loss.
    Heal,
    Freeze(usize),
    Thaw(usize),
    /// Kills the node and immediately restarts it without stored state.
    RestartWithoutState(usize),
    /// Kills the node and immediately restarts it with the current content of its disk.
    RestartFromDisk(usize),
    Kill(usize),
    DropMessages(u32),
    RecoverQuorum(usize),
    /// Shuts the node down gracefully. It stops once its removal is confirmed, after at most 3 s.
    ShutDown(usize),
}

/// The usage of a terminated incarnation.
struct PastUsage {
    ended_at: Duration,
    usage: u32,
}

pub struct Simulation {
    pub nodes: Vec<SimulatedNode>,
    pub now: Duration,
    /// The highest total usage of all nodes within any accounting window.
    pub peak_usage: u32,
    lease_terms: LeaseTerms,
    node_count: usize,
    restart_identity: RestartIdentity,
    disk: Option<DiskModel>,
    network: Network,
    /// The time of the last contact from one node to another, as seen by gossip membership.
    last_contact: BTreeMap<Link, Duration>,
    incarnation_count: u64,
    rng: Pcg64Mcg,
    /// Usage of incarnations that terminated within the last window.
    past_usages: VecDeque<PastUsage>,
}

impl Simulation {
    fn start(builder: &SimulationBuilder) -> Simulation {
        let mut clock_rng = Pcg64Mcg::new(u128::from(builder.seed) << 1 | 1);
        let mut simulation = Simulation {
            nodes: Vec::new(),
            now: Duration::ZERO,
            peak_usage: 0,
            lease_terms: builder.lease_terms,
            node_count: builder.node_count,
            restart_identity: builder.restart_identity,
            disk: builder.disk,
            network: Network::default(),
            last_contact: BTreeMap::new(),
            incarnation_count: 0,
            rng: clock_rng.clone(),
            past_usages: VecDeque::new(),
        };
        for index in 0..builder.node_count {
            let direction = clock_rng.random_range(-1.0..1.0f64).signum();
            let clock = Clock {
                rate: 1.0 + builder.clock_drift * direction,
                offset: clock_rng.random_range(1_000..1_000_000_000_000u64),
            };
            let node = simulation.start_node(index, clock, None);
            simulation.nodes.push(node);
        }
        simulation
    }

    fn start_node(
        &mut self,
        index: usize,
        clock: Clock,
        disk: Option<DurableState>,
    ) -> SimulatedNode {
        self.incarnation_count += 1;
        let new_id = match self.restart_identity {
            RestartIdentity::New => self.incarnation_count * 1_000 + index as u64,
            RestartIdentity::Reused => 1 + index as u64,
        };
        let empty_disk = DurableState {
            member_id: new_id,
            ..DurableState::default()
        };
        SimulatedNode::start(NodeStart {
            index,
            node_count: self.node_count,
            now: self.now,
            clock,
            lease_terms: self.lease_terms,
            disk: disk.unwrap_or(empty_disk),
            has_disk: self.disk.is_some(),
        })
    }

    /// Injects a fault. Node indexes wrap around.
    pub fn inject(&mut self, fault: &Fault) {
        let count = self.node_count;
        match *fault {
            Fault::CutLink(from, to) => self.network.cut(Link {
                from: from % count,
                to: to % count,
            }),
            Fault::Heal => self.network.heal(),
            Fault::Freeze(index) => self.nodes[index % count].freeze(),
            Fault::Thaw(index) => self.nodes[index % count].thaw(),
            Fault::Kill(index) => self.nodes[index % count].kill(),
            Fault::RestartWithoutState(index) => self.restart(index % count, None),
            Fault::RestartFromDisk(index) => {
                let disk = self.nodes[index % count].disk().clone();
                self.restart(index % count, Some(disk));
            }
            Fault::DropMessages(percent) => {
                let ratio = f64::from(percent % MAX_LOSS_PERCENT) / 100.0;
                self.network.set_loss_ratio(ratio);
            }
            Fault::RecoverQuorum(index) => self.recover_quorum(index % count),
            Fault::ShutDown(index) => self.shut_down(index % count),
        }
    }

    fn restart(&mut self, index: usize, disk: Option<DurableState>) {
        // The usage of the terminated incarnation still counts.
        self.past_usages.push_back(PastUsage {
            ended_at: self.now,
            usage: self.nodes[index].usage(self.now),
        });
        self.nodes[index] = self.start_node(index, self.nodes[index].clock, disk);
    }

    fn recover_quorum(&mut self, index: usize) {
        let bootstrap_id = self.now.as_nanos() as u64;
        let local_time = self.local_time(index);
        let node = &mut self.nodes[index];
        if node.is_running() {
            let _ = node.control_node.recover_quorum(local_time, bootstrap_id);
        }
    }

    fn shut_down(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.is_running() {
            node.shut_down(now);
        }
    }

    /// Cuts a node off from all others, in both directions.
    pub fn isolate(&mut self, index: usize) {
        for other in 0..self.node_count {
            if other != index {
                self.inject(&Fault::CutLink(index, other));
                self.inject(&Fault::CutLink(other, index));
            }
        }
    }

    /// The maximum total usage within the last window, if each node used its highest limit at the worst time.
    pub fn total_usage(&mut self) -> u32 {
        let now = self.now;
        while self
            .past_usages
            .front()
            .is_some_and(|past| !is_within_window(now, past.ended_at))
        {
            self.past_usages.pop_front();
        }
        let past: u32 = self.past_usages.iter().map(|past| past.usage).sum();
        let current: u32 = self.nodes.iter().map(|node| node.usage(now)).sum();
        current + past
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some(envelope) = self.network.next_arrived(self.now) {
            self.nodes[envelope.link.to].receive(envelope.sender, envelope.message);
        }
        self.observe_liveness();
        for index in 0..self.node_count {
            if self.nodes[index].is_running() {
                self.step_node(index);
            }
        }
        self.peak_usage = self.peak_usage.max(self.total_usage());
    }

    fn observe_liveness(&mut self) {
        for to in 0..self.node_count {
            for from in 0..self.node_count {
                let link = Link { from, to };
                if self.nodes[from].is_running() && !self.network.is_cut(link) {
                    self.last_contact.insert(link, self.now);
                }
            }
        }
    }

    fn step_node(&mut self, index: usize) {
        let live_members = self.live_members_as_seen_by(index);
        for action in self.nodes[index].step(self.now, &live_members) {
            self.carry_out(index, action);
        }
    }

    fn live_members_as_seen_by(&self, to: usize) -> BTreeMap<MemberId, Member> {
        let had_recent_contact = |from: &usize| {
            let contact_time = self.last_contact.get(&Link { from: *from, to });
            contact_time
                .is_some_and(|time| self.now.checked_sub(*time).unwrap() < FAILURE_DETECTION_DELAY)
        };
        (0..self.node_count)
            .filter(|from| *from != to && had_recent_contact(from))
            .map(|from| (self.nodes[from].id, member(from, self.nodes[from].id)))
            .collect()
    }

    fn carry_out(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { to, message } => {
                let Some(to) = self.nodes.iter().position(|node| node.id == to) else {
                    return;
                };
                let envelope = Envelope {
                    link: Link { from: index, to },
                    sender: self.nodes[index].id,
                    message,
                };
                self.network.send(self.now, &mut self.rng, envelope);
            }
            Action::Write(write) => {
                let disk = self.disk.expect("only a node with a disk writes");
                if disk.report == WriteReport::BeforeSynced {
                    let local_time = self.local_time(index);
                    self.nodes[index]
                        .control_node
                        .on_write_completed(local_time, write.sequence);
                }
                let max_millis = match disk.speed {
                    DiskSpeed::Fast => MAX_WRITE_MILLIS,
                    DiskSpeed::Slow => MAX_SLOW_WRITE_MILLIS,
                };
                let duration = Duration::from_millis(self.rng.random_range(0..max_millis));
                self.nodes[index].start_write(self.now, duration, write);
            }
            Action::Log(_) => {}
        }
    }

    /// The current time by a node's clock.
    pub fn local_time(&self, index: usize) -> Timestamp {
        self.nodes[index].clock.read(self.now)
    }

    /// The number of running nodes that know a leader.
    pub fn count_nodes_with_leader(&self) -> usize {
        self.nodes
            .iter()
            .filter(|node| node.is_running())
            .filter(|node| node.control_node.status(Timestamp(0)).leader.is_some())
            .count()
    }

    /// The index of the leader, if there is one.
    pub fn leader(&self) -> Option<usize> {
        (0..self.node_count).find(|index| self.nodes[*index].control_node.is_leader())
    }

    /// The control group that a node has joined.
    pub fn cluster_id(&self, index: usize) -> Option<ClusterId> {
        let state = self.nodes[index].control_node.state();
        state.map(|state| state.cluster_id)
    }
}
