use super::*;
use std::time::Duration;

#[test]
fn the_earliest_comes_first_and_a_forgotten_owner_gets_none() {
    let (mut deadlines, start) = (Deadlines::default(), Instant::now());
    let at = |n| start + Duration::from_millis(n);
    deadlines.set(1, 0, at(5));
    deadlines.set(2, 0, at(3));
    deadlines.set(2, 1, at(1));
    deadlines.set(1, 0, at(2));
    assert_eq!(deadlines.next(), Some(at(1)));
    assert_eq!(deadlines.due(at(0)), None);
    assert_eq!(deadlines.due(at(9)), Some((2, 1)));
    deadlines.forget(2);
    assert_eq!(
        (deadlines.due(at(9)), deadlines.due(at(9))),
        (Some((1, 0)), None)
    );
}
