use super::*;

fn line(node: usize, at_us: u64, whole: u32, watched_lives: bool) -> Line {
    Line {
        node,
        at_us,
        whole,
        watched_lives,
        led: true,
        alive: 2,
        ..Line::default()
    }
}

#[test]
fn a_change_counts_from_when_each_node_first_held_it() {
    let mut ledger = Ledger::default();
    ledger.take(line(0, 900, 8, true));
    ledger.take(line(1, 900, 8, true));
    ledger.await_anew(Awaited::Whole(9));
    ledger.take(line(0, 3_000, 9, true));
    ledger.take(line(0, 5_000, 9, true));
    ledger.take(line(1, 5_000, 8, true));
    assert_eq!(ledger.held_after(1_000), (vec![2.0], vec![1]));
    ledger.take(line(1, 6_000, 9, true));
    assert_eq!(ledger.held_after(1_000), (vec![2.0, 5.0], vec![]));
    // What was held of the one before does not count for the next.
    ledger.await_anew(Awaited::Death);
    assert_eq!(ledger.held_after(1_000).1, [0, 1]);
    ledger.take(line(0, 7_000, 9, false));
    ledger.forget(1);
    assert_eq!(ledger.held_after(1_000), (vec![6.0], vec![]));
}

#[test]
fn a_node_that_said_nothing_or_counts_too_few_is_not_settled() {
    let mut ledger = Ledger::default();
    ledger.take(line(0, 1, 8, true));
    assert_eq!(ledger.unsettled(2), [1]);
    ledger.take(Line {
        alive: 1,
        ..line(1, 1, 8, true)
    });
    assert_eq!(ledger.unsettled(2), [1]);
    ledger.take(line(1, 2, 8, true));
    assert!(ledger.unsettled(2).is_empty());
}
