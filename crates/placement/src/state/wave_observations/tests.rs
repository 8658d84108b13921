use super::*;

const MAX_AGE: Duration = Duration::from_secs(2);

fn at_millis(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000_000)
}

#[test]
fn events_count_until_they_are_too_old() {
    let mut observations = WaveObservations::default();
    for millis in [1_000, 1_000, 1_900] {
        observations.record_broken_connection(at_millis(millis), MAX_AGE);
    }
    let broken = |millis| observations.broken_connections(at_millis(millis), MAX_AGE);
    assert!((broken(2_999) - 3.0).abs() < 1e-9);
    assert!((broken(3_000) - 1.0).abs() < 1e-9);
    assert!(broken(3_900).abs() < 1e-9);
    assert!(
        observations
            .returned_requests(at_millis(2_000), MAX_AGE)
            .abs()
            < 1e-9
    );
}

#[test]
fn a_bounded_number_of_moments_is_remembered_and_no_event_is_lost() {
    let mut observations = WaveObservations::default();
    for millis in 0..1_000 {
        observations.record_returned_request(at_millis(millis), MAX_AGE);
    }
    assert_eq!(observations.returned_requests.counts.len(), MAX_MOMENTS);
    let returned = observations.returned_requests(at_millis(1_000), MAX_AGE);
    assert!((returned - 1_000.0).abs() < 1e-9);
    let returned = observations.returned_requests(at_millis(2_900), MAX_AGE);
    assert!(returned >= 900.0, "late events are not forgotten early");
}
