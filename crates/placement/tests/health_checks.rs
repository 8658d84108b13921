//! What probes tell, where a gateway may probe: zones that are cut off, reports from before a load, late servers.

mod common;
use common::*;
use lupincrank_placement::*;

fn probing() -> Settings {
    Settings {
        health_checks_allowed: true,
        health_check_cost: 0.001,
        utilization_field: Some(0),
        node_count: 3,
        ..settings(RetrySafety::Idempotent)
    }
}

fn ask(world: &mut World, id: u64) {
    let group = Some(format!("c:{}", id % 17));
    world.ask(RequestInfo {
        group,
        ..request(id, &format!("client:{id}"), world.now + 2_000 * MS)
    });
}

fn zone(server: &str) -> u32 {
    u32::from(server > "s2")
}

/// Lets 100 ms pass: what reaches a zone that is not cut off is answered at once.
fn pass(world: &mut World, cut: bool) {
    for _ in 0..10 {
        world.advance(world.now + 10 * MS);
        for server in std::mem::take(&mut world.probes) {
            let passed = !cut || zone(&server.0) == 0;
            let report = passed.then(|| vec![0.3]);
            world.tell(Event::HealthCheckCompleted {
                server,
                passed,
                report,
            });
        }
        let waits = |book: &Book| !book.stands && book.finals == 0;
        let open: Vec<u64> = world
            .books
            .iter()
            .filter(|(_, book)| waits(book))
            .map(|(id, _)| *id)
            .collect();
        for id in open {
            let out = world.books[&id]
                .attempts
                .last()
                .filter(|(_, _, end)| end.is_none());
            if out.is_some_and(|(server, _, _)| !cut || zone(&server.0) == 0) {
                world.stands(id);
            }
        }
    }
}

/// A gateway in a zone that is cut off: of ten servers it reached four, and tried the other six one after the other, all
/// else behind that, for eighteen seconds. Time-outs there passed for a fault behind all servers.
#[test]
fn a_zone_cut_off_does_not_hold_up_what_can_be_reached() {
    let mut world = World::new(probing(), 1);
    let names = ["s1", "s2", "s3", "s4", "s5", "s6"];
    world.list(
        names
            .iter()
            .map(|name| Endpoint {
                zone: zone(name),
                ..listed(name)
            })
            .collect(),
    );
    let mut id = 0;
    let mut play = |world: &mut World, cut: bool, spans: u64| {
        let from = id;
        for _ in 0..spans {
            ask(world, id);
            id += 1;
            pass(world, cut);
        }
        from..id
    };
    play(&mut world, false, 50);
    play(&mut world, true, 30); // time to find out
    let cut = play(&mut world, true, 50);
    pass(&mut world, true);
    let far = cut
        .clone()
        .flat_map(|id| &world.books[&id].attempts)
        .filter(|(at, _, _)| zone(&at.0) == 1);
    assert_eq!(far.count(), 0, "sent to a zone that is out of reach");
    let served = cut.clone().filter(|id| world.books[id].stands).count();
    assert!(served >= 45, "{served} of 50 served within reach");
    play(&mut world, false, 30);
    let back = play(&mut world, false, 50);
    let far = back
        .filter(|id| world.at(*id).is_some_and(|at| zone(&at) == 1))
        .count();
    assert!(far >= 20, "{far} of 50 to a zone that is back");
}

/// A report of no load at all, made before its connections came, let all gateways send there until the next one.
#[test]
fn a_report_from_before_the_load_does_not_open_a_server() {
    let reported = |values: Vec<f64>| {
        let mut world = World::with_servers(probing(), &["s1"]);
        for id in 0..8 {
            ask(&mut world, id);
            pass(&mut world, false);
        }
        let answer = |used| Event::HealthCheckCompleted {
            server: "s1".into(),
            passed: true,
            report: Some(vec![used]),
        };
        values.into_iter().for_each(|used| world.tell(answer(used)));
        ask(&mut world, 100);
        world.at(100)
    };
    assert_eq!(
        reported(vec![1.2]),
        None,
        "sent to a server that is over its capacity"
    );
    assert_eq!(
        reported(vec![1.2, 0.0]),
        None,
        "an empty report was believed"
    );
}

/// Nobody wanted to place on a server that was known to be full, so its report grew old while messages on it took 1.6 s,
/// and only a fresh report relieves it.
#[test]
fn a_late_server_with_an_old_report_is_asked_anew() {
    let mut world = World::with_servers(probing(), &["s1", "s2"]);
    for id in 0..20 {
        ask(&mut world, id);
        pass(&mut world, false);
    }
    let at = world.at(0).unwrap();
    world.advance(world.now + 1_500 * MS);
    world.probes.clear();
    world.tell(Event::DelayObserved {
        request: RequestId(0),
        delay: ms(400),
    });
    assert!(
        world.probes.iter().any(|server| *server.0 == *at),
        "{:?}",
        world.probes
    );
}
