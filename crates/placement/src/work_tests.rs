//! What a decision costs, counted in rows of the server table that are read, not in time.

use crate::table::READS;
use crate::*;
use std::time::Duration;

const SECOND: u64 = 1_000_000_000;

pub(crate) fn settings() -> Settings {
    let second = Duration::from_secs(1);
    Settings {
        instances: 200,
        classes: vec![Class {
            aim: second,
            message_aim: second / 10,
            repeat: Repeat::Repeatable,
        }],
        tenants: Vec::new(),
        attempt_cap: 5,
        may_tell: true,
        may_probe: false,
        probe_price: 0.0,
        report_utilisation: None,
        list_must_be_asked: false,
        drain_grace: second,
        cold_for: second * 10,
        start_capacity: 0.2,
        fall_multiple: 3.0,
        fall_window: second * 2,
        longest_retry_after: second,
    }
}

fn incoming(id: u64) -> Incoming {
    Incoming {
        request: RequestId(id),
        class: 0,
        tenant: None,
        group: Some(format!("group:{}", id % 3)),
        key: Some(format!("client:{id}")),
        load: None,
        expires: Time(id * SECOND + 3 * SECOND),
        mid_flow: false,
        returned: false,
    }
}

/// A gateway that gets a connection a second for twenty seconds, late messages and resets among them.
fn rows_read(servers: u64) -> u64 {
    let mut balancer = Balancer::new(settings(), 1);
    let mut actions = Vec::new();
    let listed = |n: u64| Listed {
        server: format!("10.0.{}.{}:80", n / 250, n % 250).as_str().into(),
        health: Health::Ready,
        weight: 1.0,
        zone: 0,
        cell: 0,
        kind: 0,
        started: None,
    };
    let entries = (0..servers).map(listed).collect();
    balancer.handle(
        Time(0),
        Event::List {
            entries,
            cached: false,
        },
        &mut actions,
    );
    READS.set(0);
    for id in 1..=20 {
        let (now, request) = (Time(id * SECOND), RequestId(id));
        balancer.handle(now, Event::Request(incoming(id)), &mut actions);
        assert!(
            matches!(actions.last(), Some(Action::Place { .. })),
            "placed at once"
        );
        balancer.handle(
            now,
            Event::Established {
                request,
                took: Duration::from_millis(20),
            },
            &mut actions,
        );
        if id % 4 == 0 {
            balancer.handle(
                now,
                Event::DelayNote {
                    request,
                    delay: Duration::from_millis(90),
                },
                &mut actions,
            );
        }
        if id % 5 == 0 {
            let outcome = Outcome::Reset;
            balancer.handle(
                now,
                Event::Ended {
                    request,
                    attempt: 0,
                    outcome,
                    done: true,
                    report: None,
                },
                &mut actions,
            );
        }
        balancer.handle(now, Event::Timer(1), &mut actions);
    }
    READS.get()
}

/// Issue 13: at a request a second a gateway's upkeep cost as much as its requests, since both walked all
/// servers.
#[test]
fn what_a_gateway_reads_follows_what_it_holds_not_the_size_of_the_fleet() {
    let (small, large) = (rows_read(30), rows_read(900));
    assert!(small > 100, "{small} rows counted");
    assert!(
        large <= small * 5 / 4,
        "{small} rows with 30 servers, {large} with 900"
    );
}
