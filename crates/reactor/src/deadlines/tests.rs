use super::*;
use std::time::Duration;

#[test]
fn the_earliest_comes_first_and_a_cleared_owner_gets_none() {
    let (mut deadlines, start) = (Deadlines::default(), Instant::now());
    let at = |n| start + Duration::from_millis(n);
    let due = |deadlines: &mut Deadlines<u64>, n| {
        let deadline = deadlines.pop_due(at(n))?;
        Some((deadline.owner, deadline.kind))
    };
    deadlines.set(1, 0, at(5));
    deadlines.set(2, 0, at(3));
    deadlines.set(2, 1, at(1));
    deadlines.set(1, 0, at(2));
    assert_eq!(deadlines.next(), Some(at(1)));
    assert_eq!(due(&mut deadlines, 0), None);
    assert_eq!(due(&mut deadlines, 9), Some((2, 1)));
    deadlines.clear_all(2);
    assert_eq!(
        (due(&mut deadlines, 9), due(&mut deadlines, 9)),
        (Some((1, 0)), None)
    );
}
