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
