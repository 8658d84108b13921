use super::*;

/// The most calls in any two seconds that `gateways` make whose calls all fail, two seconds after they were made.
fn most_calls(gateways: u32) -> (usize, f64) {
    let random = |n: u32, k: u32| f64::from((n * 31 + k * 17) % gateways) / f64::from(gateways);
    let (mut calls, mut last) = (Vec::new(), 0.0f64);
    for n in 0..gateways {
        let mut asking = PollSchedule::new(gateways);
        let mut at = asking.initial_delay(random(n, 0)).as_secs_f64();
        for k in 1.. {
            calls.push(at);
            let wait = asking.retry_delay(random(n, k)).as_secs_f64();
            last = last.max(wait);
            at += 2.0 + wait;
            if at > 40.0 {
                break;
            }
        }
    }
    let within = |from: &f64| {
        calls
            .iter()
            .filter(|at| (*from..*from + 2.0).contains(at))
            .count()
    };
    (calls.iter().map(within).max().unwrap_or(0), last)
}

/// herd+vast: 61 calls that failed together came again within half a second, and so on for ten seconds.
#[test]
fn calls_to_a_discovery_that_fails_spread_out_and_never_stop() {
    for gateways in [3, 30, 100, 300, 400, 2100] {
        let (most, longest) = most_calls(gateways);
        let all_at_once = f64::from(gateways) / LONGEST_SPREAD * 4.0;
        let allowed = (CALLS_PER_S * 2.0 * 1.25)
            .max(all_at_once)
            .min(f64::from(gateways) * 2.0);
        assert!(
            most as f64 <= allowed,
            "{gateways} gateways: {most} calls in two seconds, {allowed} allowed"
        );
        assert!(
            longest <= LONGEST_SPREAD,
            "{gateways} gateways: one waits for {longest} s"
        );
    }
}

#[test]
fn after_silence_many_ask_within_a_second_and_few_at_once() {
    assert_eq!(
        [0.0, 0.99].map(|random| PollSchedule::new(3).silent_watch_delay(random)),
        [Duration::ZERO; 2]
    );
    let mut many = PollSchedule::new(300);
    assert_eq!(
        [0.0, 0.5].map(|random| many.silent_watch_delay(random).as_secs_f64()),
        [0.0, 0.5]
    );
    // A call that fails after that waits like any first one.
    assert_eq!(
        many.retry_delay(0.5),
        PollSchedule::new(300).retry_delay(0.5)
    );
}

#[test]
fn an_answer_starts_the_waits_anew_and_a_kept_list_does_not() {
    let mut asking = PollSchedule::new(3);
    let waits: Vec<f64> = (0..4)
        .map(|_| asking.retry_delay(0.5).as_secs_f64())
        .collect();
    assert_eq!(waits, [0.5, 1.0, 2.0, 2.0]);
    asking.record_answer(true);
    assert_eq!(asking.retry_delay(0.5).as_secs_f64(), 2.0);
    asking.record_answer(false);
    assert_eq!(asking.retry_delay(0.5).as_secs_f64(), 0.5);
}

/// What discovery has to tell counts as told 6 s after it could be reached: it may have been back since the last call failed.
#[test]
fn after_a_call_that_failed_the_next_one_leaves_time_for_its_answer() {
    for gateways in [1, 3, 30, 100, 300, 2100] {
        for random in [0.0, 0.5, 1.0] {
            let mut asking = PollSchedule::new(gateways);
            assert!(asking.initial_delay(random) <= Duration::from_millis(4500));
            for failures in 0..20 {
                let wait = asking.retry_delay(random);
                assert!(
                    wait <= Duration::from_millis(4500),
                    "{gateways} gateways, {failures} failures: {wait:?}"
                );
            }
        }
    }
}

#[test]
fn other_settings_may_name_another_number_of_gateways() {
    let mut asking = PollSchedule::new(1);
    asking.set_node_count(300);
    assert_eq!(
        asking.initial_delay(0.5),
        PollSchedule::new(300).initial_delay(0.5)
    );
    assert_eq!(
        asking.retry_delay(0.5),
        PollSchedule::new(300).retry_delay(0.5)
    );
}

/// However long ago the last contact was when a call is made, and though no call is ever answered: a further one is made in time to
/// be answered within 6 s after the contact, and fresh ones follow at less than 6 s, but never a storm.
#[test]
fn calls_that_are_never_answered_are_followed_by_fresh_ones_in_time() {
    for tenths in 0..=45u64 {
        let mut calls = vec![Duration::from_millis(tenths * 100)];
        for at in 0..10 {
            calls.push(calls[at] + unanswered_call_timeout(calls[at], at > 0));
        }
        let last_in_time = calls
            .iter()
            .filter(|at| **at <= Duration::from_millis(5500))
            .count();
        assert!(last_in_time >= 2, "{tenths}: {calls:?}");
        let gaps: Vec<Duration> = calls
            .windows(2)
            .map(|two| two[1].checked_sub(two[0]).unwrap())
            .collect();
        assert!(
            gaps.iter().all(|gap| (ALONE..=FRESH_EVERY).contains(gap)),
            "{calls:?}"
        );
        assert!(
            gaps.iter().filter(|gap| **gap < FRESH_EVERY).count() <= 1,
            "{calls:?}"
        );
    }
}

/// One discovery and the calls of a fleet, in seconds: it is down until 10, then answers so many calls a second, one after another, and
/// fails those that would wait for more than 2 s, which costs it nothing. Or it hangs until 10: it takes calls and never answers.
struct Fleet {
    gateways: u32,
    a_second: f64,
    hangs: bool,
}

/// What is to happen, in microseconds: of which gateway, and which call of it: a call, its end, or the time for a further one.
type Happening = (u64, u32, u32, u8);

impl Fleet {
    /// When each gateway is heard, and the most calls in a second.
    fn plays(&self) -> (Vec<f64>, usize) {
        const BACK: u64 = 10_000_000;
        let random = |n: u32, k: u32| key_hash_of(n, k);
        let micros = |span: Duration| span.as_micros() as u64;
        let mut asking: Vec<PollSchedule> = (0..self.gateways)
            .map(|_| PollSchedule::new(self.gateways))
            .collect();
        // Of each: its calls so far, the last contact, its calls that are out, and when it was heard.
        let mut made = vec![0u32; asking.len()];
        let mut contact = vec![0u64; asking.len()];
        let mut out = vec![0u32; asking.len()];
        let mut heard: Vec<Option<u64>> = vec![None; asking.len()];
        let (mut calls, mut free) = (Vec::new(), 0u64);
        let mut queue = std::collections::BTreeSet::<Happening>::new();
        for n in 0..self.gateways {
            queue.insert((
                micros(asking[n as usize].initial_delay(random(n, 0))),
                n,
                0,
                0,
            ));
        }
        while let Some((now, n, call, what)) = queue.pop_first() {
            let at = n as usize;
            if heard[at].is_some() || now > 60_000_000 {
                continue;
            }
            match what {
                // A call, or a further one if nothing newer has been made.
                0 | 1 => {
                    if what == 1 && (call != made[at] || out[at] == 0) {
                        continue;
                    }
                    made[at] += 1;
                    out[at] += 1;
                    calls.push(now);
                    let quiet = Duration::from_micros(now - contact[at]);
                    queue.insert((
                        now + micros(unanswered_call_timeout(quiet, out[at] > 1)),
                        n,
                        made[at],
                        1,
                    ));
                    let begins = free.max(now);
                    let (ends, how) = if now < BACK && self.hangs {
                        (now + 4_500_000, 3)
                    } else if now < BACK {
                        (now + 50_000, 3)
                    } else if begins - now > 2_000_000 {
                        (now + 2_000_000, 3)
                    } else {
                        free = begins + (1e6 / self.a_second) as u64;
                        (free, 2)
                    };
                    queue.insert((ends, n, made[at], how));
                }
                2 => heard[at] = Some(now),
                _ => {
                    out[at] -= 1;
                    if !self.hangs || now >= BACK + 4_500_000 {
                        contact[at] = now;
                    }
                    if out[at] == 0 {
                        let after = asking[at].retry_delay(random(n, made[at]));
                        queue.insert((now + micros(after), n, 0, 0));
                    }
                }
            }
        }
        calls.sort_unstable();
        let within = |from: &u64| {
            calls
                .iter()
                .filter(|at| (*from..*from + 1_000_000).contains(at))
                .count()
        };
        let mut heard: Vec<f64> = heard
            .iter()
            .map(|at| at.map_or(60.0, |at| at.saturating_sub(BACK) as f64 / 1e6))
            .collect();
        heard.sort_by(f64::total_cmp);
        (heard, calls.iter().map(within).max().unwrap_or(0))
    }
}

fn key_hash_of(n: u32, k: u32) -> f64 {
    let mixed = ((u64::from(n) << 32) | u64::from(k))
        .wrapping_add(1)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    ((mixed ^ (mixed >> 29)) >> 11) as f64 / (1u64 << 53) as f64
}

/// Whatever discovery did before it was back, a fleet that it can carry is heard within 6 s, and one that it can't carry does not bury
/// it: it goes on answering as many as it can.
#[test]
fn a_fleet_is_heard_in_time_by_a_discovery_that_carries_it_and_buries_none_that_does_not() {
    for gateways in [3, 30, 300, 2100] {
        for hangs in [false, true] {
            let enough = f64::from(gateways) / 3.0 + 20.0;
            let (heard, most) = Fleet {
                gateways,
                a_second: enough,
                hangs,
            }
            .plays();
            println!("{gateways} gateways, hangs {hangs}, {enough:.0} a second: last heard after {:.2} s, {most} calls in a second at the most", heard.last().unwrap());
            assert!(
                heard.last().is_some_and(|at| *at <= 6.0),
                "{gateways}, hangs {hangs}: {heard:?}"
            );
            assert!(
                most as f64 <= (f64::from(gateways) * 0.9).max(CALLS_PER_S * 2.0),
                "{gateways}, hangs {hangs}: {most}"
            );
            let few = (f64::from(gateways) / 15.0).max(1.0);
            let (heard, most) = Fleet {
                gateways,
                a_second: few,
                hangs,
            }
            .plays();
            let answered = heard.iter().filter(|at| **at <= 15.0).count();
            println!("{gateways} gateways, hangs {hangs}, {few:.1} a second: {answered} heard in 15 s, all after {:.2} s, {most} calls in a second at the most", heard.last().unwrap());
            assert!(
                answered as f64 >= f64::from(gateways) * 0.8,
                "{gateways}, hangs {hangs}: {answered}"
            );
        }
    }
}
