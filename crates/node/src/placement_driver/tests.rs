use super::*;

#[test]
fn a_set_up_has_waited_only_if_it_took_far_longer_than_the_usual_one() {
    let config = Config::read(include_str!("../../../../examples/config.json"), |_| None).unwrap();
    let (mut core, ms) = (
        Core::new(&config, Logger::root(slog::Discard, slog::o!())),
        Duration::from_millis,
    );
    assert!(
        (0..8).all(|_| core.wait_of(ms(900)).is_none()),
        "nothing is usual yet"
    );
    assert_eq!(
        (0..MOST_SETUPS)
            .filter_map(|_| core.wait_of(ms(10)))
            .count(),
        0
    );
    assert_eq!(
        (core.wait_of(ms(30)), core.wait_of(ms(31))),
        (None, Some(ms(21)))
    );
}
