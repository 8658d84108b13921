use super::budget_consumer::OBSERVE_INTERVAL;
use super::*;
use rstest::rstest;
use std::time::{Duration, Instant};

#[rstest]
#[case::not_a_number("demand much", "invalid demand \"much\"")]
#[case::unknown_word("demands 3", "unknown command \"demands 3\": expected demand or watch")]
#[case::empty("", "unknown command \"\": expected demand or watch")]
fn an_invalid_command_is_rejected_and_named(#[case] line: &str, #[case] message: &str) {
    let mut settings = HostSettings {
        demand: 0.5,
        watched_node: "a01".into(),
    };
    let applied = line
        .parse()
        .map(|command: HostCommand| settings.apply(command));
    assert_eq!(
        applied.map_err(|error| error.to_string()),
        Err(message.to_string())
    );
    assert_eq!(
        settings,
        HostSettings {
            demand: 0.5,
            watched_node: "a01".into()
        }
    );
}

/// Uses within any window stay within the limit under any demand, and low demand is not limited.
#[rstest]
#[case::saturated(100.0, true)]
#[case::idle(1.0, false)]
fn no_window_has_more_uses_than_the_limit(#[case] demand: f64, #[case] is_saturated: bool) {
    let window = Duration::from_millis(1250);
    let limit = 5;
    let mut consumer = BudgetConsumer::new(3, 1, Arc::default());
    let begin = Instant::now();
    let mut uses = Vec::new();
    let mut was_limited = false;
    for tick in 1..200u32 {
        let now = begin + OBSERVE_INTERVAL * tick;
        let consumption = consumer.consume(now, demand, limit, window);
        uses.extend((0..consumption.use_count).map(|_| now));
        was_limited |= consumption.was_limited;
        let within = uses
            .iter()
            .filter(|used_at| now.duration_since(**used_at) < window)
            .count();
        let reported = consumption.window_count;
        assert!(
            within <= limit as usize && reported as usize == within,
            "{within} uses in a window, {reported} reported"
        );
    }
    assert_eq!(was_limited, is_saturated);
    assert!(uses.len() >= 15, "{} uses in 20 s", uses.len());
}
