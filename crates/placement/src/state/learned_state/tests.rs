use super::*;

fn fleet(servers: &[(&str, Option<Timestamp>)]) -> Fleet {
    let mut fleet = Fleet::default();
    for (name, started) in servers {
        let at = fleet.servers.insert((*name).into(), Server::default());
        fleet.update(at, |server| server.started_at = *started);
    }
    fleet
}

#[test]
fn what_was_learnt_comes_back_on_another_clock_unless_the_server_is_a_new_process() {
    let (second, settings) = (1_000_000_000, crate::cost_tests::settings());
    let mut older = fleet(&[("a", None), ("b", Some(Timestamp(5 * second))), ("c", None)]);
    for name in ["a", "b"] {
        let at = older.servers.slot(&name.into());
        older.update(at, |server| {
            server.limit.max_load = 4.5;
            server.ejection.count = 2;
            server.ejection.consecutive_failures = 1;
            server.limit.overloaded_at = Some(Timestamp(7 * second));
            server.ejection.until = Some(Timestamp(12 * second));
        });
    }
    let learnt = older.learned_state(Timestamp(10 * second));
    // This clock is 90 s ahead: b has the same start here, or a later one.
    for (start, same) in [(95, true), (98, false)] {
        let mut newer = fleet(&[("a", None), ("b", Some(Timestamp(start * second)))]);
        newer.apply_learned_state(&settings, Timestamp(100 * second), &learnt);
        let told = newer.learned_state(Timestamp(100 * second));
        assert_eq!(
            (told.len(), &told[0]),
            (2, &learnt[0]),
            "c is not listed here"
        );
        assert_eq!(told[1] == learnt[1], same, "{:?}", told[1]);
    }
}
