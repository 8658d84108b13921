use super::*;

fn fleet(servers: &[(&str, Option<Timestamp>)]) -> Fleet {
    let mut fleet = Fleet::default();
    for (name, started) in servers {
        let slot = fleet.servers.insert((*name).into(), Server::default());
        fleet.update(slot, |server| server.started_at = *started);
    }
    fleet
}

#[test]
fn learned_state_is_restored_on_another_clock_unless_the_server_is_a_new_process() {
    let (second, settings) = (1_000_000_000, crate::cost_tests::settings());
    let mut older = fleet(&[("a", None), ("b", Some(Timestamp(5 * second))), ("c", None)]);
    for name in ["a", "b"] {
        let slot = older.servers.slot(&name.into());
        older.update(slot, |server| {
            server.limit.max_load = 4.5;
            server.ejection.count = 2;
            server.ejection.consecutive_failures = 1;
            server.limit.overloaded_at = Some(Timestamp(7 * second));
            server.ejection.until = Some(Timestamp(12 * second));
        });
    }
    let learned = older.learned_state(Timestamp(10 * second));
    // The new clock is 90 s ahead: b has the same start on it, or a later one.
    for (start, is_same_start) in [(95, true), (98, false)] {
        let mut newer = fleet(&[("a", None), ("b", Some(Timestamp(start * second)))]);
        newer.apply_learned_state(&settings, Timestamp(100 * second), &learned);
        let restored = newer.learned_state(Timestamp(100 * second));
        assert_eq!(
            (restored.len(), &restored[0]),
            (2, &learned[0]),
            "the new process does not know server c"
        );
        assert_eq!(
            restored[1] == learned[1],
            is_same_start,
            "{:?}",
            restored[1]
        );
    }
}
