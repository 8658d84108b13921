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
mod tests {
    use super::*;

    /// The most calls in any two seconds that `gateways` make whose calls all fail, two seconds after they were made.
    fn most_calls(gateways: u32) -> (usize, f64) {
        let random = |n: u32, k: u32| f64::from((n * 31 + k * 17) % gateways) / f64::from(gateways);
        let (mut calls, mut last) = (Vec::new(), 0.0f64);
        for n in 0..gateways {
            let mut asking = Asking::new(gateways);
            let mut at = asking.first(random(n, 0)).as_secs_f64();
            for k in 1.. {
                calls.push(at);
                let wait = asking.again(random(n, k)).as_secs_f64();
                last = last.max(wait);
                at += 2.0 + wait;
                if at > 40.0 {
                    break;
                }
            }
        }
        let within = |from: &f64| calls.iter().filter(|at| (*from..*from + 2.0).contains(at)).count();
        (calls.iter().map(within).max().unwrap_or(0), last)
    }

    /// herd+vast: 61 calls that failed together came again within half a second, and so on for ten seconds.
    #[test]
    fn calls_to_a_discovery_that_fails_spread_out_and_never_stop() {
        for gateways in [3, 30, 100, 400] {
            let (most, longest) = most_calls(gateways);
            let all_at_once = f64::from(gateways) / LONGEST_SPREAD * 4.0;
            let allowed = (CALLS_PER_S * 2.0 * 1.25).max(all_at_once).min(f64::from(gateways) * 2.0);
            assert!(
                most as f64 <= allowed,
                "{gateways} gateways: {most} calls in two seconds, {allowed} allowed"
            );
            assert!(longest <= LONGEST_SPREAD * 1.5, "{gateways} gateways: one waits for {longest} s");
        }
    }

    #[test]
    fn after_silence_many_ask_within_a_second_and_few_at_once() {
        assert_eq!([0.0, 0.99].map(|random| Asking::new(3).silent(random)), [Duration::ZERO; 2]);
        let mut many = Asking::new(300);
        assert_eq!([0.0, 0.5].map(|random| many.silent(random).as_secs_f64()), [0.0, 0.5]);
        // A call that fails after that waits like any first one.
        assert_eq!(many.again(0.5), Asking::new(300).again(0.5));
    }

    #[test]
    fn an_answer_starts_the_waits_anew_and_a_kept_list_does_not() {
        let mut asking = Asking::new(3);
        let waits: Vec<f64> = (0..4).map(|_| asking.again(0.5).as_secs_f64()).collect();
        assert_eq!(waits, [0.5, 1.0, 2.0, 2.0]);
        asking.answered(true);
        assert_eq!(asking.again(0.5).as_secs_f64(), 2.0);
        asking.answered(false);
        assert_eq!(asking.again(0.5).as_secs_f64(), 0.5);
    }
}
