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

/// The server of each entry and the fields that a drain by an administrator may change.
fn drain_fields(entries: Vec<Endpoint>) -> Vec<(String, Health, Option<Timestamp>)> {
    entries
        .into_iter()
        .map(|entry| (entry.server.0.to_string(), entry.health, entry.started_at))
        .collect()
}

#[test]
fn a_drained_server_is_draining_whatever_the_list_reports_until_it_is_released() {
    use Health::{Draining, Ready, Removed};
    let mut drain = AdminDrain::default();
    let s = || "s".to_string();
    drain.apply_endpoints(
        vec![endpoint("s", Ready, None), endpoint("t", Ready, None)],
        true,
    );
    assert_eq!(
        drain_fields(drain.set_drained_servers(Timestamp(5), servers(&["s"]))),
        [(s(), Draining, None)]
    );
    assert_eq!(
        drain_fields(drain.set_drained_servers(Timestamp(6), servers(&["s"]))),
        [],
        "a repeated drain changes nothing"
    );
    // The server restarts: it is removed, added again, and reported once more by a complete list.
    assert_eq!(
        drain_fields(drain.apply_endpoints(vec![endpoint("s", Removed, None)], false)),
        [(s(), Removed, None)]
    );
    assert!(
        drain.knows(&"s".into()),
        "can be released while it is removed"
    );
    for is_complete in [false, true] {
        let entries =
            drain.apply_endpoints(vec![endpoint("s", Ready, Some(Timestamp(8)))], is_complete);
        assert_eq!(drain_fields(entries), [(s(), Draining, Some(Timestamp(8)))]);
    }
    assert!(!drain.knows(&"t".into()), "not in the complete list");
    // The reported start is later than the drain, so slow start counts from it.
    assert_eq!(
        drain_fields(drain.set_drained_servers(Timestamp(9), servers(&[]))),
        [(s(), Ready, Some(Timestamp(8)))]
    );
    // The reported start is before the second drain, so the server may have restarted since: it counts as just started.
    drain.set_drained_servers(Timestamp(10), servers(&["s"]));
    assert_eq!(
        drain_fields(drain.set_drained_servers(Timestamp(12), servers(&[]))),
        [(s(), Ready, Some(Timestamp(12)))]
    );
}

#[test]
fn remaining_steps_are_counted_from_the_time_of_the_drain() {
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
fn a_released_server_keeps_a_later_start_and_a_drain_reported_by_the_list() {
    let mut drain = AdminDrain::default();
    drain.set_drained_servers(Timestamp(1), servers(&["s", "t", "u"]));
    drain.apply_endpoints(
        vec![
            endpoint("s", Health::Ready, Some(Timestamp(20))),
            endpoint("t", Health::Draining, None),
        ],
        true,
    );
    let released = drain_fields(drain.set_drained_servers(Timestamp(9), servers(&[])));
    assert_eq!(
        released,
        [
            ("s".into(), Health::Ready, Some(Timestamp(20))),
            ("t".into(), Health::Draining, Some(Timestamp(9)))
        ],
        "a server that the list does not contain has no entry"
    );
}
