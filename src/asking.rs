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
const LONGEST_SPREAD: f64 = 6.0;
/// A few gateways may ask at once: the last of them waits for this long at the most.
const AT_ONCE: f64 = 0.25;
/// A subscription that has fallen silent is asked for anew within this: what it misses counts as told 6 s after it fell
/// silent, and half of that is gone by the time that it is noticed.
const SILENT_SPREAD: f64 = 1.0;
/// Those that fail at once are a part of all: their first calls after that come in this part of the spread.
const FAIL_AT_ONCE: f64 = 0.5;

/// The calls of one gateway.
pub struct Asking {
    spread: f64,
    failures: i32,
}

impl Asking {
    /// For one of so many gateways.
    pub fn new(gateways: u32) -> Asking {
        let spread = (f64::from(gateways) / CALLS_PER_S).min(LONGEST_SPREAD);
        Asking { spread, failures: 0 }
    }

    /// When to ask first: a list is known from the start, and all gateways may have started at once. `random` lies
    /// between 0 and 1. Zero for few gateways.
    pub fn first(&self, random: f64) -> Duration {
        let spread = if self.spread <= AT_ONCE { 0.0 } else { self.spread };
        Duration::from_secs_f64(spread * random)
    }

    /// A call failed or the subscription broke: when to ask again.
    pub fn again(&mut self, random: f64) -> Duration {
        let doubled = 2f64.powi(self.failures.min(8));
        self.failures += 1;
        let spread = (self.spread * FAIL_AT_ONCE * doubled).min(self.spread);
        Duration::from_secs_f64((FIRST_WAIT * doubled).min(LONGEST_WAIT).max(spread) * (0.5 + random))
    }

    /// The subscription has fallen silent: when to ask anew. Zero for few gateways. It is no failed call: discovery may be
    /// well, and gateways whose subscriptions fell silent together notice it spread over the time between two signs of life.
    pub fn silent(&self, random: f64) -> Duration {
        let spread = if self.spread <= AT_ONCE { 0.0 } else { self.spread.min(SILENT_SPREAD) };
        Duration::from_secs_f64(spread * random)
    }

    /// A list has come: from discovery, or one that was `cached`, which tells nothing of it.
    pub fn answered(&mut self, cached: bool) {
        self.failures *= i32::from(cached);
    }
}

#[cfg(test)]
mod tests;
