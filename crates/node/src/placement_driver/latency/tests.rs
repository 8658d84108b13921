use super::*;

/// As many replies in a second as one client at full speed causes.
const FLOOD: u64 = 1_000_000;
const SLOW_DELAY: Duration = Duration::from_millis(50);

/// One connection at full speed made the node keep all delays until the next report: 27 MB, more than a limit of 24.
#[test]
fn replies_at_full_speed_keep_a_bounded_sample_until_the_report() {
    let mut latency = UpstreamLatency::default();
    let now = Instant::now();
    for number in 0..FLOOD {
        latency.record_answer(Duration::from_millis(number), now);
        latency.record_setup_wait(Duration::from_millis(number));
    }
    for sample in [&mut latency.delays, &mut latency.setup_waits] {
        let length = sample.take().len();
        assert!((128..=256).contains(&length), "{length} delays");
    }
}

#[test]
fn a_report_is_the_median_of_all_replies_since_the_last_one() {
    let mut latency = UpstreamLatency::default();
    let start = Instant::now();
    let mut report = |delays: [u64; 3], now: Instant| {
        for delay in delays {
            latency.record_answer(Duration::from_millis(delay), now);
        }
        latency.delay_to_report(&[], now, SLOW_DELAY)
    };
    let slow = Some(Duration::from_millis(90));
    assert_eq!(report([10, 100, 90], start), slow);
    assert_eq!(report([200, 200, 200], start), None, "reported just now");
    let next = start + DELAY_REPORT_INTERVAL;
    let both = Some(Duration::from_millis(200));
    assert_eq!(report([1, 2, 200], next), both, "with the earlier three");
    let recovered = Some(Duration::from_millis(2));
    assert_eq!(report([1, 2, 3], next + DELAY_REPORT_INTERVAL), recovered);
    assert_eq!(report([1, 2, 3], next + 2 * DELAY_REPORT_INTERVAL), None);
}
