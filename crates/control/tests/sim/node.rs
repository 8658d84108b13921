//! One simulated node: a control node with its own clock, disk and inbox.

use super::{CAPACITY, FLOOR};
use lupincrank_budgets::demand::BudgetUsage;
use lupincrank_control::durable::{DurableState, LogWrite};
use lupincrank_control::lease::LeaseTerms;
use lupincrank_control::member::{Member, MemberId};
use lupincrank_control::message::{Action, ControlMessage};
use lupincrank_control::{ControlConfig, ControlNode, TICK_INTERVAL};
use lupincrank_placement::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The window over which the simulated budget counts usage.
const BUDGET_WINDOW: Duration = Duration::from_secs(1);
/// The maximum duration of a graceful shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(3);
/// The number of recorded limits to keep: more than the number of steps in the budget's window.
const MAX_LIMITS: usize = 64;

/// A clock with its own rate.
#[derive(Clone, Copy)]
pub struct Clock {
    pub rate: f64,
    /// The reading of the clock at the start of the simulation, in nanoseconds.
    pub offset: u64,
}

impl Clock {
    pub fn read(&self, now: Duration) -> Timestamp {
        Timestamp(self.offset + (now.as_nanos() as f64 * self.rate) as u64)
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ProcessState {
    Running,
    Frozen,
    Stopped,
}

/// A limit, and the time at which it was in force, by the simulation's time.
struct RecordedLimit {
    recorded_at: Duration,
    limit: u32,
}

/// A write that is lost if the process is killed before it is synced.
struct UnsyncedWrite {
    synced_at: Duration,
    write: LogWrite,
}

struct ReceivedMessage {
    from: MemberId,
    message: ControlMessage,
}

/// The input for starting an incarnation.
pub struct NodeStart {
    pub index: usize,
    pub node_count: usize,
    pub now: Duration,
    pub clock: Clock,
    pub lease_terms: LeaseTerms,
    /// The content of the node's disk. The start increments its start count.
    pub disk: DurableState,
    pub has_disk: bool,
}

pub struct SimulatedNode {
    pub control_node: ControlNode,
    pub id: MemberId,
    pub clock: Clock,
    state: ProcessState,
    last_tick: Duration,
    limits: VecDeque<RecordedLimit>,
    inbox: VecDeque<ReceivedMessage>,
    disk: DurableState,
    unsynced: VecDeque<UnsyncedWrite>,
    shutdown_deadline: Option<Duration>,
}

pub fn member(index: usize, id: MemberId) -> Member {
    Member {
        id,
        name: format!("n{index}"),
        zone: format!("z{}", index % 3),
        region: String::new(),
        build: String::new(),
    }
}

fn control_config(node_count: usize, lease_terms: LeaseTerms) -> ControlConfig {
    ControlConfig {
        lease_terms,
        expected_nodes: (0..node_count).map(|index| format!("n{index}")).collect(),
        capacity: CAPACITY - FLOOR * node_count as u32,
        floor: FLOOR,
        bootstrap_grace: Duration::from_millis(1500),
        member_removal_delay: Duration::from_secs(2),
    }
}

impl SimulatedNode {
    pub fn start(start: NodeStart) -> SimulatedNode {
        let disk = DurableState {
            start_count: start.disk.start_count + 1,
            ..start.disk
        };
        let id = disk.member_id;
        let control_node = ControlNode::new(
            start.clock.read(start.now),
            member(start.index, id),
            control_config(start.node_count, start.lease_terms),
            start.has_disk.then_some(&disk),
        )
        .expect("a consistent disk");
        SimulatedNode {
            control_node,
            id,
            clock: start.clock,
            state: ProcessState::Running,
            last_tick: start.now,
            limits: VecDeque::new(),
            inbox: VecDeque::new(),
            disk,
            unsynced: VecDeque::new(),
            shutdown_deadline: None,
        }
    }

    pub fn is_running(&self) -> bool {
        self.state == ProcessState::Running
    }

    pub fn freeze(&mut self) {
        if self.state == ProcessState::Running {
            self.state = ProcessState::Frozen;
        }
    }

    pub fn thaw(&mut self) {
        if self.state == ProcessState::Frozen {
            self.state = ProcessState::Running;
        }
    }

    pub fn kill(&mut self) {
        self.state = ProcessState::Stopped;
    }

    /// Shuts down gracefully.
    pub fn shut_down(&mut self, now: Duration) {
        self.control_node.begin_leaving(self.clock.read(now));
        self.shutdown_deadline = Some(now + SHUTDOWN_TIMEOUT);
    }

    /// The current content of the node's disk.
    pub fn disk(&self) -> &DurableState {
        &self.disk
    }

    pub fn receive(&mut self, from: MemberId, message: ControlMessage) {
        self.inbox.push_back(ReceivedMessage { from, message });
    }

    /// Starts a write that takes this long. It is not synced before earlier writes are.
    pub fn start_write(&mut self, now: Duration, duration: Duration, write: LogWrite) {
        let last_synced_at = self.unsynced.back().map_or(now, |last| last.synced_at);
        self.unsynced.push_back(UnsyncedWrite {
            synced_at: last_synced_at.max(now + duration),
            write,
        });
    }

    /// Advances the node to `now`. Returns the actions to carry out.
    pub fn step(
        &mut self,
        now: Duration,
        live_members: &BTreeMap<MemberId, Member>,
    ) -> Vec<Action> {
        if self.is_shutdown_complete(now) {
            self.kill();
            return Vec::new();
        }
        let local_time = self.clock.read(now);
        self.complete_writes(now);
        while let Some(received) = self.inbox.pop_front() {
            self.control_node
                .on_message(local_time, received.from, received.message);
        }
        if now.saturating_sub(self.last_tick) >= TICK_INTERVAL {
            self.last_tick = now;
            self.use_whole_limit();
            self.control_node.on_tick(local_time, live_members);
        }
        self.control_node.deliver_own_messages(local_time);
        let actions = self.control_node.take_actions();
        self.record_limit(now);
        actions
    }

    fn is_shutdown_complete(&self, now: Duration) -> bool {
        self.shutdown_deadline
            .is_some_and(|deadline| now >= deadline || self.control_node.has_left())
    }

    fn complete_writes(&mut self, now: Duration) {
        let local_time = self.clock.read(now);
        while self
            .unsynced
            .front()
            .is_some_and(|first| first.synced_at <= now)
        {
            let Some(UnsyncedWrite { write, .. }) = self.unsynced.pop_front() else {
                break;
            };
            self.disk.apply(&write);
            self.control_node
                .on_write_completed(local_time, write.sequence);
        }
    }

    /// Each node uses its whole limit and reports that the limit caused rejections.
    fn use_whole_limit(&mut self) {
        let highest = self.limits.iter().map(|recorded| recorded.limit).max();
        self.control_node.record_usage(BudgetUsage {
            peak: highest.unwrap_or(0),
            was_limited: true,
        });
    }

    /// Records the limit in force. The node is not frozen, so it reads the limit before using it.
    fn record_limit(&mut self, now: Duration) {
        let local_time = self.clock.read(now);
        let limit = self.control_node.lease_limit(local_time).limit;
        self.limits.push_back(RecordedLimit {
            recorded_at: now,
            limit,
        });
        while self.limits.len() > MAX_LIMITS {
            self.limits.pop_front();
        }
    }

    /// The maximum usage of the node within the last window.
    pub fn usage(&self, now: Duration) -> u32 {
        self.limits
            .iter()
            .filter(|recorded| is_within_window(now, recorded.recorded_at))
            .map(|recorded| recorded.limit)
            .max()
            .unwrap_or(0)
    }
}

/// Returns true if usage at the time `then` still counts.
pub fn is_within_window(now: Duration, then: Duration) -> bool {
    now.saturating_sub(then) <= BUDGET_WINDOW
}
