use super::*;
use std::time::Duration;

#[test]
fn the_earliest_deadline_fires_first_and_cleared_ones_do_not() {
    let (mut deadlines, start) = (Deadlines::default(), Instant::now());
    let instant = |ms| start + Duration::from_millis(ms);
    let due = |deadlines: &mut Deadlines<u64>, ms| {
        let deadline = deadlines.pop_due(instant(ms))?;
        Some((deadline.owner, deadline.kind))
    };
    deadlines.set(1, 0, instant(5));
    deadlines.set(2, 0, instant(3));
    deadlines.set(2, 1, instant(1));
    deadlines.set(1, 0, instant(2));
    assert_eq!(deadlines.next(), Some(instant(1)));
    assert_eq!(due(&mut deadlines, 0), None);
    assert_eq!(due(&mut deadlines, 9), Some((2, 1)));
    deadlines.clear_all(2);
    assert_eq!(
        (due(&mut deadlines, 9), due(&mut deadlines, 9)),
        (Some((1, 0)), None)
    );
}
