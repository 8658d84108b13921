//! Load reports of servers in slow start.

mod common;
use common::*;
use lupincrank_placement::*;
use std::time::Duration;

/// Connections that a warm server can hold.
const WARM_CAPACITY: f64 = 60.0;

/// Returns the number of connections that a server can hold `age` nanoseconds after its start.
fn capacity_at_age(settings: &Settings, age: u64) -> f64 {
    let progress = age as f64 / 1e9 / settings.slow_start_duration.as_secs_f64();
    WARM_CAPACITY
        * (settings.initial_capacity_ratio + (1.0 - settings.initial_capacity_ratio) * progress)
            .min(1.0)
}

/// Returns the start time of three servers and the times of one node's requests to each of them, for eight seconds.
/// Reports include the connections of a second node, assumed to be as many.
fn send_times(has_reports: bool) -> (u64, Vec<Vec<u64>>) {
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
        if let Some(index) = names
            .iter()
            .position(|name| harness.server_of(id).as_deref() == Some(name))
        {
            sent[index].push(harness.now);
            harness.establish(id);
        }
        if has_reports && id % 25 == 0 {
            for (name, sent) in names.iter().zip(&sent) {
                let utilization =
                    2.0 * sent.len() as f64 / capacity_at_age(&settings, harness.now - start);
                harness.deliver(Event::HealthCheckCompleted {
                    server: (*name).into(),
                    passed: true,
                    report: Some(vec![utilization]),
                });
            }
        }
        harness.advance_ms(20);
    }
    (start, sent)
}

/// Guards against servers in slow start that get only what the weakest can accept although they report more capacity.
#[test]
fn servers_that_warm_up_and_report_capacity_get_more_but_not_too_much() {
    let count = |sent: &[Vec<u64>]| sent.iter().map(Vec::len).sum::<usize>();
    let ((_, without), (start, with)) = (send_times(false), send_times(true));
    assert!(
        count(&with) * 2 > count(&without) * 3,
        "{} requests with reports, {} without",
        count(&with),
        count(&without)
    );
    let settings = settings(RetrySafety::Idempotent);
    let window = settings.overload_window;
    for sent in with {
        for (index, from) in sent.iter().enumerate() {
            let until = from + window.as_nanos() as u64;
            let within = sent[index..]
                .iter()
                .take_while(|time| **time < until)
                .count();
            // Both nodes send as many requests, and each may have accumulated one unused attempt.
            let rate = capacity_at_age(&settings, until - start)
                / settings.slow_start_duration.as_secs_f64();
            let overload_limit = settings.overload_factor * rate * window.as_secs_f64();
            assert!(
                2 * within <= overload_limit as usize + 2,
                "{within} requests at a limit of {overload_limit}, from {:?}",
                Duration::from_nanos(*from)
            );
        }
    }
}
