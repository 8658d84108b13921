use super::budget_consumer::LOOK_INTERVAL;
use super::*;
use rstest::rstest;
use std::time::{Duration, Instant};

#[rstest]
#[case::no_number("demand much", "\"much\" is no demand")]
#[case::no_word("demands 3", "\"demands 3\" is neither demand nor watch")]
#[case::nothing("", "\"\" is neither demand nor watch")]
fn a_line_that_is_no_command_is_named(#[case] line: &str, #[case] why: &str) {
    let mut settings = HostSettings {
        demand: 0.5,
        watched_node: "a01".into(),
    };
    let applied = line
        .parse()
        .map(|command: HostCommand| settings.apply(command));
    assert_eq!(
        applied.map_err(|error| error.to_string()),
        Err(why.to_string())
    );
    assert_eq!(
        settings,
        HostSettings {
            demand: 0.5,
            watched_node: "a01".into()
        }
    );
}

/// What is used within any window stays within the limit, however great the demand, and little demand is not limited.
#[rstest]
#[case::pressed(100.0, true)]
#[case::idle(1.0, false)]
fn no_window_has_more_uses_than_the_limit(#[case] demand: f64, #[case] pressed: bool) {
    let window = Duration::from_millis(1250);
    let limit = 5;
    let mut consumer = BudgetConsumer::new(3, 1, Arc::default());
    let begin = Instant::now();
    let mut uses = Vec::new();
    let mut was_limited = false;
    for tick in 1..200u32 {
        let now = begin + LOOK_INTERVAL * tick;
        let consumption = consumer.consume(now, demand, limit, window);
        uses.extend((0..consumption.use_count).map(|_| now));
        was_limited |= consumption.was_limited;
        let within = uses
            .iter()
            .filter(|at| now.duration_since(**at) < window)
            .count();
        let reported = consumption.window_count;
        assert!(
            within <= limit as usize && reported as usize == within,
            "{within} in a window, {reported} reported"
        );
    }
    assert_eq!(was_limited, pressed);
    assert!(uses.len() >= 15, "{} were used in 20 s", uses.len());
}
