use super::*;

fn endpoint(name: &str, health: Health, started_at: Option<Timestamp>) -> Endpoint {
    Endpoint {
        server: name.into(),
        health,
        weight: 1.0,
        zone: 0,
        cell: 0,
        machine_kind: 0,
        started_at,
    }
}

fn servers(names: &[&str]) -> BTreeSet<ServerId> {
    names.iter().map(|name| ServerId::from(*name)).collect()
}

/// The parts of the entries that an administrator's drain may change.
fn shown(entries: Vec<Endpoint>) -> Vec<(String, Health, Option<Timestamp>)> {
    entries
        .into_iter()
        .map(|entry| (entry.server.0.to_string(), entry.health, entry.started_at))
        .collect()
}

#[test]
fn a_drained_server_is_shown_draining_whatever_the_list_says_until_it_is_released() {
    use Health::{Draining, Ready, Removed};
    let mut drain = AdminDrain::default();
    let s = || "s".to_string();
    drain.apply_endpoints(
        vec![endpoint("s", Ready, None), endpoint("t", Ready, None)],
        true,
    );
    assert_eq!(
        shown(drain.set_drained_servers(Timestamp(5), servers(&["s"]))),
        [(s(), Draining, None)]
    );
    assert_eq!(
        shown(drain.set_drained_servers(Timestamp(6), servers(&["s"]))),
        [],
        "a repeated drain changes nothing"
    );
    // It is restarted: removed, back, and told again by a complete list.
    assert_eq!(
        shown(drain.apply_endpoints(vec![endpoint("s", Removed, None)], false)),
        [(s(), Removed, None)]
    );
    assert!(drain.knows(&"s".into()), "may be released meanwhile");
    for is_complete in [false, true] {
        let entries =
            drain.apply_endpoints(vec![endpoint("s", Ready, Some(Timestamp(8)))], is_complete);
        assert_eq!(shown(entries), [(s(), Draining, Some(Timestamp(8)))]);
    }
    assert!(
        !drain.knows(&"t".into()),
        "the complete list has it no more"
    );
    // It started at 8, so it is warm the sooner.
    assert_eq!(
        shown(drain.set_drained_servers(Timestamp(9), servers(&[]))),
        [(s(), Ready, Some(Timestamp(8)))]
    );
    // That start says nothing of what was done while it was drained for the second time.
    drain.set_drained_servers(Timestamp(10), servers(&["s"]));
    assert_eq!(
        shown(drain.set_drained_servers(Timestamp(12), servers(&[]))),
        [(s(), Ready, Some(Timestamp(12)))]
    );
}

#[test]
fn the_steps_left_are_counted_from_the_time_of_the_drain() {
    let mut drain = AdminDrain::default();
    let ms = Duration::from_millis;
    drain.set_drained_servers(Timestamp(0), servers(&["s"]));
    let steps_after = |drain: &AdminDrain, millis: u64| {
        drain
            .progress(Timestamp(millis * 1_000_000), ms(300), ms(100))
            .into_iter()
            .map(|progress| (progress.server, progress.remaining_steps))
            .collect::<Vec<(ServerId, usize)>>()
    };
    assert_eq!(
        [0, 100, 250, 900].map(|millis| steps_after(&drain, millis)[0].1),
        [4, 3, 1, 1]
    );
    drain.set_drained_servers(Timestamp(200_000_000), servers(&["s", "t"]));
    assert_eq!(steps_after(&drain, 200), [("s".into(), 2), ("t".into(), 4)]);
}

#[test]
fn a_released_server_keeps_a_later_start_and_a_drain_that_the_list_tells() {
    let mut drain = AdminDrain::default();
    drain.set_drained_servers(Timestamp(1), servers(&["s", "t", "u"]));
    drain.apply_endpoints(
        vec![
            endpoint("s", Health::Ready, Some(Timestamp(20))),
            endpoint("t", Health::Draining, None),
        ],
        true,
    );
    let released = shown(drain.set_drained_servers(Timestamp(9), servers(&[])));
    assert_eq!(
        released,
        [
            ("s".into(), Health::Ready, Some(Timestamp(20))),
            ("t".into(), Health::Draining, Some(Timestamp(9)))
        ],
        "a server that is not on the list has no entry"
    );
}
