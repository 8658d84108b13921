use super::*;
use rstest::rstest;

#[rstest]
#[case::no_number("demand much", "\"much\" is no demand")]
#[case::no_word("demands 3", "\"demands 3\" is neither demand nor watch")]
#[case::nothing("", "\"\" is neither demand nor watch")]
fn a_line_that_says_nothing_known_is_named(#[case] line: &str, #[case] why: &str) {
    let mut wanted = Wanted {
        demand: 0.5,
        watched: "a01".into(),
    };
    assert_eq!(wanted.take(line), Err(why.to_string()));
    assert_eq!(
        wanted,
        Wanted {
            demand: 0.5,
            watched: "a01".into()
        }
    );
}

/// What is used within any window stays within the limit, however much is wanted, and little is not held back.
#[rstest]
#[case::pressed(100.0, true)]
#[case::idle(1.0, false)]
fn no_window_has_more_uses_than_the_limit(#[case] demand: f64, #[case] pressed: bool) {
    let (window, limit) = (Duration::from_millis(1250), 5);
    let mut spender = Spender::new(3, 1, Arc::default());
    let begin = Instant::now();
    let (mut uses, mut refused) = (Vec::new(), false);
    for tick in 1..200u32 {
        let now = begin + LOOK * tick;
        let (used, most, turned_away) = spender.spend(now, demand, limit, window);
        uses.extend((0..used).map(|_| now));
        refused |= turned_away;
        let within = uses
            .iter()
            .filter(|at| now.duration_since(**at) < window)
            .count();
        assert!(
            within <= limit as usize && most as usize == within,
            "{within} in a window, {most} said"
        );
    }
    assert_eq!(refused, pressed);
    assert!(uses.len() >= 15, "{} were used in 20 s", uses.len());
}
