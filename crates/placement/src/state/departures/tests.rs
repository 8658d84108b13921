use super::*;

const WINDOW: Duration = Duration::from_secs(1);

fn at_millis(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000_000)
}

fn departures(times: &[u64]) -> Departures {
    let mut departures = Departures::default();
    for millis in times {
        departures.record(at_millis(*millis), 1.0);
    }
    departures
}

fn max_weight(departures: &Departures, now_millis: u64) -> f64 {
    departures.max_weight_within(at_millis(now_millis), WINDOW)
}

#[test]
fn servers_that_depart_together_count_for_two_windows() {
    let departures = departures(&[1_000, 1_000, 1_900]);
    assert!((max_weight(&departures, 2_900) - 3.0).abs() < 1e-9);
    assert!((max_weight(&departures, 3_899) - 3.0).abs() < 1e-9);
    assert!(max_weight(&departures, 3_900).abs() < 1e-9);
}

#[test]
fn servers_that_depart_one_after_another_count_by_the_window() {
    let times: Vec<u64> = (0..10).map(|step| step * 500).collect();
    let departures = departures(&times);
    assert!((max_weight(&departures, 4_600) - 2.0).abs() < 1e-9);
}

#[test]
fn the_number_of_remembered_departures_is_bounded() {
    let times: Vec<u64> = (0..1_000).collect();
    let departures = departures(&times);
    assert_eq!(departures.recent.len(), MAX_DEPARTURES);
}
