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
    for gateways in [3, 30, 100, 300, 400, 2100] {
        let (most, longest) = most_calls(gateways);
        let all_at_once = f64::from(gateways) / LONGEST_SPREAD * 4.0;
        let allowed = (CALLS_PER_S * 2.0 * 1.25).max(all_at_once).min(f64::from(gateways) * 2.0);
        assert!(
            most as f64 <= allowed,
            "{gateways} gateways: {most} calls in two seconds, {allowed} allowed"
        );
        assert!(longest <= LONGEST_SPREAD, "{gateways} gateways: one waits for {longest} s");
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

/// What discovery has to tell counts as told 6 s after it could be reached: it may have been back since the last call failed.
#[test]
fn after_a_call_that_failed_the_next_one_leaves_time_for_its_answer() {
    for gateways in [1, 3, 30, 100, 300, 2100] {
        for random in [0.0, 0.5, 1.0] {
            let mut asking = Asking::new(gateways);
            assert!(asking.first(random) <= Duration::from_millis(4500));
            for failures in 0..20 {
                let wait = asking.again(random);
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
    let mut asking = Asking::new(1);
    asking.share(300);
    assert_eq!(asking.first(0.5), Asking::new(300).first(0.5));
    assert_eq!(asking.again(0.5), Asking::new(300).again(0.5));
}

/// However long ago the last contact was when a call is made, and though no call is ever answered: a further one is made in time to
/// be answered within 6 s after the contact, and fresh ones follow at less than 6 s, but never a storm.
#[test]
fn calls_that_are_never_answered_are_followed_by_fresh_ones_in_time() {
    for tenths in 0..=45u64 {
        let mut calls = vec![Duration::from_millis(tenths * 100)];
        for at in 0..10 {
            calls.push(calls[at] + alone(calls[at], at > 0));
        }
        let last_in_time = calls.iter().filter(|at| **at <= Duration::from_millis(5500)).count();
        assert!(last_in_time >= 2, "{tenths}: {calls:?}");
        let gaps: Vec<Duration> = calls.windows(2).map(|two| two[1] - two[0]).collect();
        assert!(gaps.iter().all(|gap| (ALONE..=FRESH_EVERY).contains(gap)), "{calls:?}");
        assert!(gaps.iter().filter(|gap| **gap < FRESH_EVERY).count() <= 1, "{calls:?}");
    }
}
