//! The queue of what is to happen, in simulated time.

use lupincrank_placement::{Outcome, Timer};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A moment of simulated time, in nanoseconds from the start. The machine's clock never enters.
pub type Moment = u64;

/// Nanoseconds in a second.
pub const SECOND: Moment = 1_000_000_000;

/// A span given in seconds.
pub fn seconds(span: f64) -> Moment {
    (span.max(0.0) * SECOND as f64) as Moment
}

/// A span given in milliseconds.
pub fn millis(span: f64) -> Moment {
    seconds(span / 1e3)
}

/// A moment in seconds.
pub fn as_seconds(at: Moment) -> f64 {
    at as f64 / SECOND as f64
}

/// Which life of a thing is meant: what was scheduled for an earlier one is void.
pub type Life = u32;

/// What can happen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Happening {
    /// A new client arrives.
    Arrival,
    /// A client opens a connection.
    Asks(u32, Life),
    /// A client no longer wants its connection.
    Leaves(u32, Life),
    /// A standing connection's load changes.
    Swings(u32, Life),
    /// A client hears that its try ended; whether it was a refusal, and the wait it was told in ms.
    Answered(u32, u64, bool, u32),
    /// A node takes a request.
    Taken(u64),
    /// An attempt's time is up.
    Patience(u64, u32),
    /// The time for the final answer is up.
    Overdue(u64),
    /// An attempt's first line arrives at a transcriber.
    Arrives(u64, u32, u32, Life),
    /// A set-up is done.
    SetUp(u64, u32, u32, Life),
    /// A node hears how an attempt ended.
    Ended(u64, u32, Outcome),
    /// A node hears that the connection stands.
    Stands(u64, u32),
    /// A node's timer.
    Timer(u32, Life, Timer),
    /// Half a second has passed for every transcriber.
    Pulse,
    /// A second has passed.
    Second,
    /// A transcriber pauses.
    Pause(u32, Life),
    /// Discovery learns of a change.
    Known(u32, Life, Change),
    /// A node is told what changed.
    Told(u32, Life),
    /// A call to discovery ends.
    Called(u32, Life, bool),
    /// A trouble begins, or goes on with a further step.
    Trouble(u32, u32),
    /// A trouble ends.
    Over(u32),
    /// A draining transcriber sends one client away.
    SendsAway(u32, Life),
    /// A transcriber ends.
    Stops(u32, Life),
    /// The machine that replaces a transcriber starts.
    Succeeds(u32),
    /// A node starts.
    Starts(u32),
    /// The front takes a node in, or leaves it out.
    Front(u32, Life, bool),
    /// Nodes notice that a transcriber answers nobody.
    Silence(u32, Life),
}

/// What discovery learns of a transcriber.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// It runs.
    Runs,
    /// It drains.
    Drains,
    /// It is gone.
    Gone,
}

/// Happenings in the order of time; of those at one moment the first put in comes first.
#[derive(Default)]
pub struct Queue {
    heap: BinaryHeap<Reverse<Entry>>,
    serial: u64,
    peak: usize,
}

struct Entry(Moment, u64, Happening);

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
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
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

impl Queue {
    /// Puts a happening in. Costs the logarithm of what is there.
    pub fn put(&mut self, at: Moment, happening: Happening) {
        self.serial += 1;
        self.heap.push(Reverse(Entry(at, self.serial, happening)));
        self.peak = self.peak.max(self.heap.len());
    }

    /// The next happening up to a moment.
    pub fn next(&mut self, end: Moment) -> Option<(Moment, Happening)> {
        if self.heap.peek().is_none_or(|next| next.0 .0 > end) {
            return None;
        }
        self.heap
            .pop()
            .map(|Reverse(Entry(at, _, happening))| (at, happening))
    }

    /// The most that ever waited.
    pub fn peak(&self) -> usize {
        self.peak
    }
}
