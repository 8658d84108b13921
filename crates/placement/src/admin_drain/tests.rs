use super::*;

fn listed(name: &str, health: Health, started: Option<Timestamp>) -> Endpoint {
    Endpoint {
        server: name.into(),
        health,
        weight: 1.0,
        zone: 0,
        cell: 0,
        machine_kind: 0,
        started_at: started,
    }
}

fn out(names: &[&str]) -> BTreeSet<ServerId> {
    names.iter().map(|name| ServerId::from(*name)).collect()
}

fn shown(entries: Vec<Endpoint>) -> Vec<(String, Health, Option<Timestamp>)> {
    entries
        .into_iter()
        .map(|e| (e.server.0.to_string(), e.health, e.started_at))
        .collect()
}

#[test]
fn what_is_out_drains_whatever_the_list_tells_until_it_is_called_back() {
    use Health::{Draining, Gone, Ready};
    let (mut by_hand, s) = (AdminDrain::default(), || "s".to_string());
    by_hand.apply_endpoints(
        vec![listed("s", Ready, None), listed("t", Ready, None)],
        true,
    );
    assert_eq!(
        shown(by_hand.set_drained_servers(Timestamp(5), out(&["s"]))),
        [(s(), Draining, None)]
    );
    assert_eq!(
        shown(by_hand.set_drained_servers(Timestamp(6), out(&["s"]))),
        [],
        "once is enough"
    );
    // It is restarted: gone, back, and told again by a whole list.
    assert_eq!(
        shown(by_hand.apply_endpoints(vec![listed("s", Gone, None)], false)),
        [(s(), Gone, None)]
    );
    assert!(by_hand.knows(&"s".into()), "may be called back meanwhile");
    for whole in [false, true] {
        let told = by_hand.apply_endpoints(vec![listed("s", Ready, Some(Timestamp(8)))], whole);
        assert_eq!(shown(told), [(s(), Draining, Some(Timestamp(8)))]);
    }
    assert!(!by_hand.knows(&"t".into()), "the whole list has it no more");
    // It started at 8, so it is warm the sooner.
    assert_eq!(
        shown(by_hand.set_drained_servers(Timestamp(9), out(&[]))),
        [(s(), Ready, Some(Timestamp(8)))]
    );
    // That start says nothing of what was done while it was out for the second time.
    by_hand.set_drained_servers(Timestamp(10), out(&["s"]));
    assert_eq!(
        shown(by_hand.set_drained_servers(Timestamp(12), out(&[]))),
        [(s(), Ready, Some(Timestamp(12)))]
    );
}

#[test]
fn it_is_emptied_in_steps_counted_from_when_it_was_taken_out() {
    let (mut by_hand, ms) = (AdminDrain::default(), Duration::from_millis);
    by_hand.set_drained_servers(Timestamp(0), out(&["s"]));
    let at = |by_hand: &AdminDrain, n: u64| {
        by_hand.remaining_steps(Timestamp(n * 1_000_000), ms(300), ms(100))
    };
    assert_eq!(
        [0, 100, 250, 900].map(|n| at(&by_hand, n)[0].1),
        [4, 3, 1, 1]
    );
    by_hand.set_drained_servers(Timestamp(200_000_000), out(&["s", "t"]));
    assert_eq!(at(&by_hand, 200), [("s".into(), 2), ("t".into(), 4)]);
}

#[test]
fn a_later_start_and_a_drain_go_before_the_call_back() {
    let mut by_hand = AdminDrain::default();
    by_hand.set_drained_servers(Timestamp(1), out(&["s", "t", "u"]));
    by_hand.apply_endpoints(
        vec![
            listed("s", Health::Ready, Some(Timestamp(20))),
            listed("t", Health::Draining, None),
        ],
        true,
    );
    let back = shown(by_hand.set_drained_servers(Timestamp(9), out(&[])));
    assert_eq!(
        back,
        [
            ("s".into(), Health::Ready, Some(Timestamp(20))),
            ("t".into(), Health::Draining, Some(Timestamp(9)))
        ],
        "one that is not listed has nothing to show"
    );
}
