//! The queue of scheduled events, in simulated time.

use lupincrank_placement::{Outcome, Timer};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A moment of simulated time, in nanoseconds from the start. The machine's clock never enters.
pub type SimTime = u64;

/// Nanoseconds in a second.
pub const SECOND: SimTime = 1_000_000_000;

/// A span given in seconds.
pub fn seconds(duration: f64) -> SimTime {
    (duration.max(0.0) * SECOND as f64) as SimTime
}

/// A span given in milliseconds.
pub fn millis(duration: f64) -> SimTime {
    seconds(duration / 1e3)
}

/// A moment in seconds.
pub fn as_seconds(time: SimTime) -> f64 {
    time as f64 / SECOND as f64
}

/// Counts the starts of a process or client: what was scheduled for an earlier incarnation is void.
pub type Incarnation = u32;

/// An event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SimulationEvent {
    /// A new client arrives.
    ClientArrival,
    /// A client opens a connection.
    ClientConnects(u32, Incarnation),
    /// A client no longer wants its connection.
    ClientLeaves(u32, Incarnation),
    /// A standing connection's load changes.
    LoadChanges(u32, Incarnation),
    /// A client is answered without a connection; whether it was rejected, and its Retry-After in ms.
    ClientAnswered(u32, u64, bool, u32),
    /// A node takes a request.
    RequestReceived(u64),
    /// An attempt's timeout expires.
    AttemptTimeout(u64, u32),
    /// The deadline of the final answer expires.
    AnswerOverdue(u64),
    /// An attempt's first line arrives at a transcriber.
    AttemptArrives(u64, u32, u32, Incarnation),
    /// A set-up is done.
    SetupDone(u64, u32, u32, Incarnation),
    /// A node learns how an attempt ended.
    AttemptEnded(u64, u32, Outcome),
    /// A node learns that the connection is established.
    ConnectionEstablished(u64, u32),
    /// A node's timer.
    NodeTimer(u32, Incarnation, Timer),
    /// The accounts of every server are brought up to date, each half second.
    ServerUpkeep,
    /// Metrics are sampled, once a second.
    MetricsSample,
    /// A transcriber pauses.
    ServerPause(u32, Incarnation),
    /// Discovery learns of a change.
    DiscoveryUpdated(u32, Incarnation, ServerChange),
    /// A node is notified of changed endpoints.
    NodeNotified(u32, Incarnation),
    /// A call to discovery ends; whether it was answered.
    WatchCallEnded(u32, Incarnation, bool),
    /// A fault begins, or takes its next step.
    FaultStep(u32, u32),
    /// A fault ends.
    FaultEnds(u32),
    /// A draining transcriber sends one client away.
    DrainClient(u32, Incarnation),
    /// A transcriber ends.
    ServerStops(u32, Incarnation),
    /// The machine that replaces a transcriber starts.
    ServerReplaced(u32),
    /// A node starts.
    NodeStarts(u32),
    /// The front adds or removes a node.
    FrontUpdated(u32, Incarnation, bool),
    /// Nodes notice that a server is unresponsive.
    UnresponsiveDetected(u32, Incarnation),
}

/// A change of a server that discovery learns of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerChange {
    /// It runs.
    Started,
    /// It drains.
    Draining,
    /// It is gone.
    Removed,
}

/// Events in the order of time; of those at one moment the first put in comes first.
#[derive(Default)]
pub struct EventQueue {
    heap: BinaryHeap<Reverse<Entry>>,
    serial: u64,
    peak: usize,
}

struct Entry {
    time: SimTime,
    serial: u64,
    event: SimulationEvent,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.time, self.serial) == (other.time, other.serial)
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.time, self.serial).cmp(&(other.time, other.serial))
    }
}

impl EventQueue {
    /// Schedules an event. Costs the logarithm of what is there.
    pub fn schedule(&mut self, time: SimTime, event: SimulationEvent) {
        self.serial += 1;
        self.heap.push(Reverse(Entry {
            time,
            serial: self.serial,
            event,
        }));
        self.peak = self.peak.max(self.heap.len());
    }

    /// Removes the next event up to a moment.
    pub fn pop_until(&mut self, end: SimTime) -> Option<(SimTime, SimulationEvent)> {
        if self.heap.peek().is_none_or(|next| next.0.time > end) {
            return None;
        }
        self.heap
            .pop()
            .map(|Reverse(entry)| (entry.time, entry.event))
    }

    /// Returns the most events that ever waited.
    pub fn peak(&self) -> usize {
        self.peak
    }
}
