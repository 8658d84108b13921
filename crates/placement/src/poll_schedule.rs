//! When discovery is asked, thought as what all gateways do at once.
//!
//! Discovery is one service of fixed capacity. Calls that wait too long there fail and have to be made again: past its
//! capacity every call is made twice and more, and none is answered (100 gateways whose 61 failed calls came again
//! after a quarter to three quarters of a second were not answered for ten seconds). So the calls of all gateways
//! together keep to `CALLS_PER_S`, at the start, when all begin, as well as after a failure, which most meet together.

use std::time::Duration;

/// What all gateways together ask of discovery in a second at the most. Small ones answer some 20.
const CALLS_PER_S: f64 = 20.0;
/// The mean wait after a first failure, and the longest mean wait however many gateways there are and however often
/// it failed: what discovery has to tell must not go unseen for much longer.
const FIRST_WAIT: f64 = 0.5;
const LONGEST_WAIT: f64 = 2.0;
/// However many gateways there are, and whatever became of its last call, one asks again within this: what discovery has
/// to tell counts as told 6 s after it could be reached, and the answer may have to wait for its turn there. 300
/// gateways that keep to this make 72 calls a second at the most while discovery is down, 2,100 make 510.
const LONGEST_SPREAD: f64 = 4.5;
/// Calls that fail again and again keep the places that the first failure spread them over, but for this part.
const LEAST_PART: f64 = 0.85;
/// The shortest wait after a first failure.
const SHORTEST_WAIT: f64 = 0.25;
/// A few gateways may ask at once: the last of them waits for this long at the most.
const AT_ONCE: f64 = 0.25;
/// A subscription that has fallen silent is asked for anew within this: what it misses counts as told 6 s after it fell
/// silent, and half of that is gone by the time that it is noticed.
const SILENT_SPREAD: f64 = 1.0;

/// What may have been missed is overdue this long after the last contact: later than that there is nothing to be in time for.
const OVERDUE: Duration = Duration::from_millis(5250);
/// A call may be waiting for its turn at a busy discovery: so long it is always alone.
const ALONE: Duration = Duration::from_secs(1);
/// While discovery takes calls and answers none, a fresh one is made so often: the one that comes when it answers again
/// is heard in time, though all before it may be lost.
const FRESH_EVERY: Duration = Duration::from_secs(4);

/// How long a call may go unanswered before a further one is made beside it. The one that waits is kept: it may have a place in
/// a queue, and a call given up for a later one in the same queue buries a discovery that is merely busy. `quiet` is the
/// time since the last contact when the call is made: since something whole came, or a call was refused, failed or ended
/// by discovery itself. Calls that are made 0 to 4.5 s after a contact get the further one 4 to 5.5 s after it, in their
/// order: gateways that lost contact together keep spread out. After the `further` one, and when it is too late anyway,
/// calls keep a slow pace.
pub fn unanswered_call_timeout(quiet: Duration, further: bool) -> Duration {
    if further || quiet > OVERDUE {
        FRESH_EVERY
    } else {
        FRESH_EVERY.saturating_sub(quiet * 2 / 3).max(ALONE)
    }
}

/// Whether a connection that did not come up is tried again at once: while a change that it may miss is not overdue. Each try
/// takes over a second, so these are few.
pub fn reconnects_immediately(quiet: Duration) -> bool {
    quiet <= OVERDUE
}

/// The calls of one gateway.
pub struct PollSchedule {
    spread: f64,
    failures: i32,
}

impl PollSchedule {
    /// For one of so many gateways.
    pub fn new(gateways: u32) -> PollSchedule {
        let mut asking = PollSchedule {
            spread: 0.0,
            failures: 0,
        };
        asking.set_node_count(gateways);
        asking
    }

    /// There are so many gateways from now on.
    pub fn set_node_count(&mut self, gateways: u32) {
        self.spread = (f64::from(gateways) / CALLS_PER_S).min(LONGEST_SPREAD);
    }

    /// When to ask first: a list is known from the start, and all gateways may have started at once. `random` lies
    /// between 0 and 1. Zero for few gateways.
    pub fn initial_delay(&self, random: f64) -> Duration {
        let spread = if self.spread <= AT_ONCE {
            0.0
        } else {
            self.spread
        };
        Duration::from_secs_f64(spread * random)
    }

    /// A call failed or the subscription broke: when to ask again.
    pub fn retry_delay(&mut self, random: f64) -> Duration {
        let (least, most) = if self.failures == 0 {
            // Most fail together: the first wait spreads them evenly.
            (SHORTEST_WAIT, self.spread.max(FIRST_WAIT * 1.5))
        } else {
            let mean = (FIRST_WAIT * 2f64.powi(self.failures.min(8)))
                .min(LONGEST_WAIT)
                .max(self.spread);
            let most = (mean * 1.5).min(LONGEST_SPREAD);
            ((2.0 * mean - most).min(most * LEAST_PART), most)
        };
        self.failures += 1;
        Duration::from_secs_f64(least + (most - least) * random)
    }

    /// The subscription has fallen silent: when to ask anew. Zero for few gateways. It is no failed call: discovery may be
    /// well, and gateways whose subscriptions fell silent together notice it spread over the time between two signs of life.
    pub fn silent_watch_delay(&self, random: f64) -> Duration {
        let spread = if self.spread <= AT_ONCE {
            0.0
        } else {
            self.spread.min(SILENT_SPREAD)
        };
        Duration::from_secs_f64(spread * random)
    }

    /// A list has come: from discovery, or one that was `cached`, which tells nothing of it.
    pub fn record_answer(&mut self, cached: bool) {
        self.failures *= i32::from(cached);
    }
}

#[cfg(test)]
mod tests;
