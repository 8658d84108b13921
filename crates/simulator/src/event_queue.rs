//! The queue of scheduled events, in simulated time.

use lupincrank_placement::{Outcome, Timer};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A time or duration in simulated nanoseconds; times count from the start of the run. It never depends on the wall
/// clock.
pub type SimTime = u64;

/// Nanoseconds in a second.
pub const SECOND: SimTime = 1_000_000_000;

/// Converts a duration from seconds.
pub fn seconds(duration: f64) -> SimTime {
    (duration.max(0.0) * SECOND as f64) as SimTime
}

/// Converts a duration from milliseconds.
pub fn millis(duration: f64) -> SimTime {
    seconds(duration / 1e3)
}

/// Converts a time to seconds.
pub fn as_seconds(time: SimTime) -> f64 {
    time as f64 / SECOND as f64
}

/// The number of starts of a process or client. Events scheduled for an earlier incarnation are ignored.
pub type Incarnation = u32;

/// An event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SimulationEvent {
    /// A new client arrives.
    ClientArrival,
    /// A client opens a connection.
    ClientConnects(u32, Incarnation),
    /// A client leaves for good.
    ClientLeaves(u32, Incarnation),
    /// The load of an established connection changes.
    LoadChanges(u32, Incarnation),
    /// A client receives an answer without a connection. The flag is true for a rejection, and the last field is the
    /// rejection's Retry-After in ms.
    ClientAnswered(u32, u64, bool, u32),
    /// A node receives a request.
    RequestReceived(u64),
    /// An attempt's timeout expires.
    AttemptTimeout(u64, u32),
    /// The time limit of the final answer expires.
    AnswerOverdue(u64),
    /// An attempt's first line arrives at a server.
    AttemptArrives(u64, u32, u32, Incarnation),
    /// A setup is done.
    SetupDone(u64, u32, u32, Incarnation),
    /// A node learns how an attempt ended.
    AttemptEnded(u64, u32, Outcome),
    /// A node learns that the connection is established.
    ConnectionEstablished(u64, u32),
    /// A node's timer fires.
    NodeTimer(u32, Incarnation, Timer),
    /// The model of every server is brought up to date, every half second.
    ServerUpkeep,
    /// Metrics are sampled, once a second.
    MetricsSample,
    /// A server pauses.
    ServerPause(u32, Incarnation),
    /// Discovery learns of a change.
    DiscoveryUpdated(u32, Incarnation, ServerChange),
    /// A node is notified of changed endpoints.
    NodeNotified(u32, Incarnation),
    /// A node's call to discovery ends. The flag is true if discovery answered it.
    WatchCallEnded(u32, Incarnation, bool),
    /// A fault starts, or its next step does.
    FaultStep(u32, u32),
    /// A fault ends.
    FaultEnds(u32),
    /// A draining server asks one client to reconnect.
    DrainClient(u32, Incarnation),
    /// A server terminates.
    ServerStops(u32, Incarnation),
    /// The machine that replaces a server starts.
    ServerReplaced(u32),
    /// A node starts.
    NodeStarts(u32),
    /// The front load balancer adds a node if the flag is true, or removes it.
    FrontUpdated(u32, Incarnation, bool),
    /// Nodes detect that a server is unresponsive.
    UnresponsiveDetected(u32, Incarnation),
}

/// A change of a server that discovery learns of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerChange {
    /// The server started.
    Started,
    /// The server is draining.
    Draining,
    /// The server terminated or became unresponsive.
    Removed,
}

/// Events in time order; events of the same time are in the order in which they were scheduled.
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
    /// Schedules an event, in time logarithmic in the queue's length.
    pub fn schedule(&mut self, time: SimTime, event: SimulationEvent) {
        self.serial += 1;
        self.heap.push(Reverse(Entry {
            time,
            serial: self.serial,
            event,
        }));
        self.peak = self.peak.max(self.heap.len());
    }

    /// Removes and returns the next event, unless it is after `end`.
    pub fn pop_until(&mut self, end: SimTime) -> Option<(SimTime, SimulationEvent)> {
        if self.heap.peek().is_none_or(|next| next.0.time > end) {
            return None;
        }
        self.heap
            .pop()
            .map(|Reverse(entry)| (entry.time, entry.event))
    }

    /// Returns the peak length of the queue.
    pub fn peak(&self) -> usize {
        self.peak
    }
}
