use super::*;

/// Replies in a second to a client at full speed.
const FLOOD: u64 = 1_000_000;

fn milliseconds(values: impl Iterator<Item = u64>) -> DelaySample {
    let mut sample = DelaySample::default();
    values.for_each(|value| sample.record(Duration::from_millis(value)));
    sample
}

/// A client whose lines were answered at full speed made the node keep each delay for a second: 16 bytes a reply.
#[test]
fn replies_at_full_speed_keep_a_bounded_sample() {
    let sample = milliseconds(0..FLOOD);
    assert!(sample.delays.len() <= MAX_DELAYS);
    assert!(sample.delays.capacity() <= 2 * MAX_DELAYS);
}

#[test]
fn all_delays_are_kept_while_they_fit() {
    let mut sample = milliseconds(0..MAX_DELAYS as u64);
    let expected: Vec<_> = (0..MAX_DELAYS as u64).map(Duration::from_millis).collect();
    assert_eq!(sample.take(), expected);
}

#[test]
fn the_median_of_a_flood_is_that_of_all_delays() {
    for delays in [
        milliseconds(0..FLOOD),
        milliseconds((0..FLOOD).rev()),
        milliseconds((0..FLOOD).map(|number| number.wrapping_mul(7_919) % FLOOD)),
    ] {
        let mut delays = delays;
        let median = median(&mut delays.take()).unwrap().as_millis() as f64;
        let middle = FLOOD as f64 / 2.0;
        assert!((median / middle - 1.0).abs() < 0.1, "{median}");
    }
}

#[test]
fn a_new_period_keeps_all_delays_again() {
    let mut sample = milliseconds(0..FLOOD);
    sample.take();
    sample.record(Duration::from_millis(7));
    sample.record(Duration::from_millis(8));
    assert_eq!(sample.take(), [7, 8].map(Duration::from_millis));
    assert_eq!(median(&mut sample.take()), None);
}
