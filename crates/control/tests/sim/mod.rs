//! Councils in simulated time: messages take a while or get lost, links are cut one way, nodes freeze, die and start from
//! nothing, and each has a clock of its own.
#![allow(dead_code)]

use lupincrank_budgets::demand::BudgetUsage;
use lupincrank_control::{ControlConfig, ControlNode, TICK_INTERVAL};
use lupincrank_placement::Timestamp;

use lupincrank_control::durable::{DurableState, LogWrite};
use lupincrank_control::lease::LeaseTerms;
use lupincrank_control::member::Member;
use lupincrank_control::message::{Action, ControlMessage};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

pub const STEP: Duration = Duration::from_millis(25);
/// Membership takes so long to see a death.
const UNHEARD: Duration = Duration::from_millis(2500);
pub const CAPACITY: u32 = 10;
pub const FLOOR: u32 = 1;
/// Budgets count what is sent within this.
const SECOND: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
pub enum Fault {
    Cut(usize, usize),
    Mend,
    Freeze(usize),
    Wake(usize),
    Restart(usize),
    Kill(usize),
    Lose(u32),
    Reseed(usize),
    /// Killed and started again at once, with what was on its disk by then.
    Return(usize),
    /// It ends in good order: gone once it is let go, after 3 s at the most.
    Leave(usize),
}

pub struct Node {
    pub council: ControlNode,
    pub id: u64,
    frozen: bool,
    dead: bool,
    /// The rate of its clock, and what it showed at the start.
    rate: f64,
    offset: u64,
    ticked: Duration,
    /// What it might have used, and until when, by real time.
    limits: VecDeque<(Duration, u32)>,
    inbox: VecDeque<(u64, ControlMessage)>,
    /// What is on its disk, and what will be, and when: lost if it is killed before.
    disk: DurableState,
    unsynced: VecDeque<(Duration, LogWrite)>,
    ends: Option<Duration>,
}

pub struct Sim {
    pub nodes: Vec<Node>,
    pub now: Duration,
    pub terms: LeaseTerms,
    cut: BTreeSet<(usize, usize)>,
    loss: f64,
    heard: BTreeMap<(usize, usize), Duration>,
    wire: BTreeMap<(Duration, u64), (usize, u64, usize, ControlMessage)>,
    numbered: u64,
    incarnations: u64,
    random: Pcg64Mcg,
    /// A restarted node takes its old id: the mutant that must be caught.
    pub same_id: bool,
    /// Nodes have disks. The mutant says that writes are done before they are.
    disks: bool,
    pub hasty: bool,
    /// A write takes up to half a second.
    pub slow_disks: bool,
    /// Liveness that are over but used something within the last second.
    past: VecDeque<(Duration, u32)>,
    pub worst: u32,
}

fn member(n: usize, id: u64) -> Member {
    Member {
        id,
        name: format!("n{n}"),
        zone: format!("z{}", n % 3),
        region: String::new(),
        build: String::new(),
    }
}

impl Sim {
    pub fn new(nodes: usize, drift: f64, terms: LeaseTerms, seed: u64) -> Sim {
        Sim::with(nodes, drift, terms, seed, false)
    }

    /// Nodes that keep log and vote.
    pub fn on_disks(nodes: usize, terms: LeaseTerms, seed: u64) -> Sim {
        let mut sim = Sim::new(nodes, 0.0, terms, seed);
        sim.disks = true;
        for n in 0..nodes {
            let (rate, offset) = (sim.nodes[n].rate, sim.nodes[n].offset);
            sim.nodes[n] = sim.incarnation(n, nodes, rate, offset, None);
        }
        sim
    }

    pub fn with(nodes: usize, drift: f64, terms: LeaseTerms, seed: u64, same_id: bool) -> Sim {
        let mut random = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
        let mut sim = Sim {
            nodes: Vec::new(),
            now: Duration::ZERO,
            terms,
            cut: BTreeSet::new(),
            loss: 0.0,
            heard: BTreeMap::new(),
            wire: BTreeMap::new(),
            numbered: 0,
            incarnations: 0,
            random: random.clone(),
            same_id,
            disks: false,
            hasty: false,
            slow_disks: false,
            past: VecDeque::new(),
            worst: 0,
        };
        for n in 0..nodes {
            let rate = 1.0 + drift * random.random_range(-1.0..1.0f64).signum();
            let offset = random.random_range(1_000..1_000_000_000_000u64);
            let node = sim.incarnation(n, nodes, rate, offset, None);
            sim.nodes.push(node);
        }
        sim
    }

    fn incarnation(
        &mut self,
        n: usize,
        nodes: usize,
        rate: f64,
        offset: u64,
        kept: Option<DurableState>,
    ) -> Node {
        self.incarnations += 1;
        let id = if self.same_id {
            1 + n as u64
        } else {
            self.incarnations * 1_000 + n as u64
        };
        let disk = kept.unwrap_or(DurableState {
            member_id: id,
            ..DurableState::default()
        });
        let disk = DurableState {
            start_count: disk.start_count + 1,
            ..disk
        };
        let id = disk.member_id;
        let tuning = ControlConfig {
            lease_terms: self.terms,
            expected_nodes: (0..nodes).map(|n| format!("n{n}")).collect(),
            capacity: CAPACITY - FLOOR * nodes as u32,
            floor: FLOOR,
            bootstrap_grace: Duration::from_millis(1500),
            member_removal_delay: Duration::from_secs(2),
        };
        let at = local(self.now, rate, offset);
        Node {
            council: ControlNode::new(at, member(n, id), tuning, self.disks.then_some(&disk))
                .expect("a whole disk"),
            id,
            frozen: false,
            dead: false,
            rate,
            offset,
            ticked: self.now,
            limits: VecDeque::new(),
            inbox: VecDeque::new(),
            disk,
            unsynced: VecDeque::new(),
            ends: None,
        }
    }

    pub fn fault(&mut self, fault: &Fault) {
        let nodes = self.nodes.len();
        match fault {
            Fault::Cut(from, to) => drop(self.cut.insert((from % nodes, to % nodes))),
            Fault::Mend => {
                self.cut.clear();
                self.loss = 0.0;
            }
            Fault::Freeze(n) => self.nodes[n % nodes].frozen = true,
            Fault::Wake(n) => self.nodes[n % nodes].frozen = false,
            Fault::Kill(n) => self.nodes[n % nodes].dead = true,
            Fault::Leave(n) => {
                let node = &mut self.nodes[n % nodes];
                if !node.dead && !node.frozen {
                    let at = local(self.now, node.rate, node.offset);
                    node.council.begin_leaving(at);
                    node.ends = Some(self.now + Duration::from_secs(3));
                }
            }
            Fault::Restart(n) | Fault::Return(n) => {
                let n = n % nodes;
                let Node { rate, offset, .. } = self.nodes[n];
                // What the last incarnation sent still counts.
                let used = self.used(n);
                self.past.push_back((self.now, used));
                let kept = matches!(fault, Fault::Return(_)).then(|| self.nodes[n].disk.clone());
                let fresh = self.incarnation(n, nodes, rate, offset, kept);
                self.nodes[n] = fresh;
            }
            Fault::Lose(percent) => self.loss = f64::from(percent % 60) / 100.0,
            Fault::Reseed(n) => {
                let node = &mut self.nodes[n % nodes];
                if !node.dead && !node.frozen {
                    let at = local(self.now, node.rate, node.offset);
                    let _ = node.council.recover_quorum(at, self.now.as_nanos() as u64);
                }
            }
        }
    }

    /// What a node might have used within the last second.
    fn used(&self, n: usize) -> u32 {
        let fresh = |at: &Duration| self.now.saturating_sub(*at) <= SECOND;
        let limits = self.nodes[n].limits.iter().filter(|(at, _)| fresh(at));
        limits.map(|(_, limit)| *limit).max().unwrap_or(0)
    }

    /// What all might have sent within the last second, if each sent all that it might at the worst moment.
    pub fn sum(&mut self) -> u32 {
        while self
            .past
            .front()
            .is_some_and(|(at, _)| self.now.saturating_sub(*at) > SECOND)
        {
            self.past.pop_front();
        }
        let past: u32 = self.past.iter().map(|(_, used)| *used).sum();
        (0..self.nodes.len()).map(|n| self.used(n)).sum::<u32>() + past
    }

    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let (now, nodes) = (self.now, self.nodes.len());
        while let Some(first) = self.wire.first_entry().filter(|first| first.key().0 <= now) {
            let (from, from_id, to, said) = first.remove();
            if !self.cut.contains(&(from, to)) {
                self.nodes[to].inbox.push_back((from_id, said));
            }
        }
        for one in 0..nodes {
            for other in 0..nodes {
                let silent = |n: usize| self.nodes[n].dead || self.nodes[n].frozen;
                if !silent(other) && !self.cut.contains(&(other, one)) {
                    self.heard.insert((one, other), now);
                }
            }
        }
        for n in 0..nodes {
            if self.nodes[n].dead || self.nodes[n].frozen {
                continue;
            }
            let alive: BTreeMap<u64, Member> = (0..nodes)
                .filter(|other| {
                    let heard = self
                        .heard
                        .get(&(n, *other))
                        .is_some_and(|at| now.checked_sub(*at).unwrap() < UNHEARD);
                    *other != n && heard
                })
                .map(|other| (self.nodes[other].id, member(other, self.nodes[other].id)))
                .collect();
            let node = &mut self.nodes[n];
            let at = local(now, node.rate, node.offset);
            if node
                .ends
                .is_some_and(|ends| now >= ends || node.council.has_left())
            {
                node.dead = true;
                continue;
            }
            while node
                .unsynced
                .front()
                .is_some_and(|(synced, _)| *synced <= now)
            {
                let Some((_, write)) = node.unsynced.pop_front() else {
                    break;
                };
                node.disk.apply(&write);
                node.council.on_write_completed(at, write.sequence);
            }
            while let Some((from, said)) = node.inbox.pop_front() {
                node.council.on_message(at, from, said);
            }
            if now.saturating_sub(node.ticked) >= TICK_INTERVAL {
                node.ticked = now;
                // Each uses all that it may, and would use more.
                let most = node
                    .limits
                    .iter()
                    .map(|(_, limit)| *limit)
                    .max()
                    .unwrap_or(0);
                node.council.record_usage(BudgetUsage {
                    peak: most,
                    was_limited: true,
                });
                node.council.on_tick(at, &alive);
            }
            node.council.deliver_own_messages(at);
            let actions = node.council.take_actions();
            let id = node.id;
            // What it may use from now on: it is not frozen, so it looks before it sends.
            let limit = node.council.lease_limit(at).limit;
            node.limits.push_back((now, limit));
            while node.limits.len() > 64 {
                node.limits.pop_front();
            }
            for action in actions {
                let (to, said) = match action {
                    Action::Send { to, message } => (to, message),
                    Action::Write(write) => {
                        let node = &mut self.nodes[n];
                        if self.hasty {
                            node.council.on_write_completed(at, write.sequence);
                        }
                        let before = node.unsynced.back().map_or(now, |(synced, _)| *synced);
                        let synced = before.max(
                            now + Duration::from_millis(
                                self.random
                                    .random_range(0..if self.slow_disks { 500 } else { 120 }),
                            ),
                        );
                        node.unsynced.push_back((synced, write));
                        continue;
                    }
                    Action::Log(_) => continue,
                };
                let Some(to) = self.nodes.iter().position(|node| node.id == to) else {
                    continue;
                };
                if self.loss > 0.0 && self.random.random::<f64>() < self.loss {
                    continue;
                }
                let delay = Duration::from_millis(self.random.random_range(1..60));
                self.numbered += 1;
                self.wire
                    .insert((now + delay, self.numbered), (n, id, to, said));
            }
        }
        let sum = self.sum();
        self.worst = self.worst.max(sum);
    }

    /// What a node's clock shows.
    pub fn local(&self, n: usize) -> Timestamp {
        local(self.now, self.nodes[n].rate, self.nodes[n].offset)
    }

    /// Living nodes that name a leader.
    pub fn led(&self) -> usize {
        let alive = self.nodes.iter().filter(|node| !node.dead && !node.frozen);
        alive
            .filter(|node| node.council.status(Timestamp(0)).leader.is_some())
            .count()
    }
}

/// What a clock shows at a moment.
fn local(now: Duration, rate: f64, offset: u64) -> Timestamp {
    Timestamp(offset + (now.as_nanos() as f64 * rate) as u64)
}
