use super::*;

#[test]
fn a_setup_has_queued_only_if_it_took_far_longer_than_the_median() {
    let (mut setup_times, ms) = (SetupTimes::default(), Duration::from_millis);
    assert!(
        (0..8).all(|_| setup_times.record(ms(900)).is_none()),
        "there is no median yet"
    );
    assert_eq!(
        (0..MAX_SETUPS)
            .filter_map(|_| setup_times.record(ms(10)))
            .count(),
        0
    );
    assert_eq!(
        (setup_times.record(ms(30)), setup_times.record(ms(31))),
        (None, Some(ms(21)))
    );
}
