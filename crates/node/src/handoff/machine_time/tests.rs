use super::*;

#[test]
fn an_instant_survives_the_conversion_in_both_directions() {
    let instant = Instant::now()
        .checked_sub(Duration::from_millis(1_500))
        .unwrap();
    let converted = MachineTime::from(instant).to_instant();
    let difference = converted.max(instant) - converted.min(instant);
    assert!(difference < Duration::from_millis(100), "{difference:?}");
}

#[test]
fn a_time_to_come_is_the_present() {
    let converted = MachineTime(u64::MAX).to_instant();
    assert!(converted <= Instant::now());
    assert!(converted.elapsed() < Duration::from_secs(1));
}
