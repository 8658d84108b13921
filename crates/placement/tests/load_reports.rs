//! Load reports of servers that warm up.

mod common;
use common::*;
use lupincrank_placement::*;
use std::time::Duration;

/// Connections that a warm server can hold.
const WARM_CAPACITY: f64 = 60.0;

/// What a server that fills up with `WARM_CAPACITY` connections when it is warm can hold, so long after its start.
fn capacity_at_age(settings: &Settings, age: u64) -> f64 {
    let part = age as f64 / 1e9 / settings.slow_start_duration.as_secs_f64();
    WARM_CAPACITY
        * (settings.initial_capacity_ratio + (1.0 - settings.initial_capacity_ratio) * part)
            .min(1.0)
}

/// When one of two nodes sent something to each of three servers that all start at once, for eight seconds. Reports count
/// what the other node holds too, as much.
fn sent(reports: bool) -> (u64, Vec<Vec<u64>>) {
    let settings = Settings {
        utilization_field: Some(0),
        ..settings(RetrySafety::Idempotent)
    };
    let mut harness = Harness::new(settings.clone(), 1);
    let start = harness.now;
    let names = ["a", "b", "c"];
    harness.set_endpoints(
        names
            .iter()
            .map(|name| Endpoint {
                started_at: Some(Timestamp(start)),
                ..endpoint(name)
            })
            .collect(),
    );
    let mut sent = vec![Vec::new(); names.len()];
    for id in 1..=400 {
        harness.receive(request(id, &format!("user:{id}"), harness.now + 3_000 * MS));
        if let Some(at) = names
            .iter()
            .position(|name| harness.server_of(id).as_deref() == Some(name))
        {
            sent[at].push(harness.now);
            harness.establish(id);
        }
        if reports && id % 25 == 0 {
            for (name, sent) in names.iter().zip(&sent) {
                let used =
                    2.0 * sent.len() as f64 / capacity_at_age(&settings, harness.now - start);
                harness.deliver(Event::HealthCheckCompleted {
                    server: (*name).into(),
                    passed: true,
                    report: Some(vec![used]),
                });
            }
        }
        harness.advance_ms(20);
    }
    (start, sent)
}

/// Guards against a fleet of cold servers that is sent the least that any could bear though it reports room for more.
#[test]
fn servers_that_warm_up_and_report_capacity_get_more_but_not_too_much() {
    let count = |sent: &[Vec<u64>]| sent.iter().map(Vec::len).sum::<usize>();
    let ((_, without), (start, with)) = (sent(false), sent(true));
    assert!(
        count(&with) * 2 > count(&without) * 3,
        "{} against {}",
        count(&with),
        count(&without)
    );
    let settings = settings(RetrySafety::Idempotent);
    let window = settings.overload_window;
    for sent in with {
        for (place, from) in sent.iter().enumerate() {
            let until = from + window.as_nanos() as u64;
            let within = sent[place..].iter().take_while(|at| **at < until).count();
            // Both nodes, and one more of each that was saved up.
            let rate = capacity_at_age(&settings, until - start)
                / settings.slow_start_duration.as_secs_f64();
            let falls = settings.overload_factor * rate * window.as_secs_f64();
            assert!(
                2 * within <= falls as usize + 2,
                "{within} of {falls} at {:?}",
                Duration::from_nanos(*from)
            );
        }
    }
}
