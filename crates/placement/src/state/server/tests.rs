use super::*;

const GROUP: Option<u32> = Some(5);
const GROUP_OVERHEAD: f64 = 2.0;

fn at_seconds(seconds: u64) -> Timestamp {
    Timestamp(seconds * 1_000_000_000)
}

fn endpoint(health: Health, started_at: Option<Timestamp>) -> Endpoint {
    Endpoint {
        server: "s".into(),
        health,
        weight: 3.0,
        zone: 1,
        cell: 2,
        machine_kind: 4,
        started_at,
    }
}

fn listed_server() -> Server {
    let settings = crate::cost_tests::settings();
    let mut server = Server::new(9, at_seconds(0));
    let entry = endpoint(Health::Ready, None);
    server.apply_endpoint(&settings, at_seconds(0), &entry);
    server
}

#[test]
fn only_a_server_that_is_removed_while_ready_is_lost() {
    let mut drained = listed_server();
    let lost = drained.set_health(at_seconds(1), Health::Draining);
    assert!(lost.abs() < 1e-9);
    assert_eq!(drained.draining_since, at_seconds(1));
    let lost = drained.set_health(at_seconds(2), Health::Removed);
    assert!(lost.abs() < 1e-9);
    assert_eq!(drained.draining_since, at_seconds(1));
    let lost = listed_server().set_health(at_seconds(2), Health::Removed);
    assert!((lost - 3.0).abs() < 1e-9);
}

#[test]
fn a_later_start_is_a_new_process_without_evidence_against_it() {
    let settings = crate::cost_tests::settings();
    let mut server = listed_server();
    server.ejection.consecutive_failures = 1;
    server.restart_suspected = true;
    server.limit.max_load = 4.0;
    let unchanged = endpoint(Health::Ready, None);
    let effect = server.apply_endpoint(&settings, at_seconds(5), &unchanged);
    assert!(!effect.begins_slow_start);
    assert_eq!(server.ejection.consecutive_failures, 1);
    let restarted = endpoint(Health::Ready, Some(at_seconds(6)));
    let effect = server.apply_endpoint(&settings, at_seconds(7), &restarted);
    assert!(effect.begins_slow_start);
    assert_eq!(server.ejection.consecutive_failures, 0);
    assert!(!server.restart_suspected);
    assert!(server.limit.max_load.is_infinite());
}

#[test]
fn a_server_suspected_of_a_restart_warms_up_once_it_accepts_a_connection() {
    let settings = crate::cost_tests::settings();
    let mut server = listed_server();
    server.record_success(&settings, at_seconds(5));
    assert!(!server.slow_start.is_active);
    server.restart_suspected = true;
    server.record_success(&settings, at_seconds(6));
    assert!(server.slow_start.is_active);
    assert_eq!(server.started_at, Some(at_seconds(6)));
    assert!(!server.slow_start.has_token());
}

#[test]
fn capacity_rises_from_its_initial_ratio_over_the_slow_start() {
    let settings = crate::cost_tests::settings();
    let mut server = listed_server();
    assert!((server.capacity_ratio(&settings, at_seconds(1)) - 1.0).abs() < 1e-9);
    server.started_at = Some(at_seconds(10));
    for (seconds, ratio) in [(10, 0.2), (15, 0.6), (20, 1.0), (40, 1.0)] {
        let capacity_ratio = server.capacity_ratio(&settings, at_seconds(seconds));
        assert!((capacity_ratio - ratio).abs() < 1e-9, "at {seconds} s");
    }
}

#[test]
fn the_overhead_of_a_group_counts_once() {
    let mut server = listed_server();
    server.add_connection(RequestId(1), 1.0, GROUP, GROUP_OVERHEAD);
    assert!(server.serves_group(GROUP));
    server.add_connection(RequestId(2), 1.5, GROUP, GROUP_OVERHEAD);
    assert!((server.load - 4.5).abs() < 1e-9);
    server.remove_connection(RequestId(1), 1.0, GROUP, GROUP_OVERHEAD);
    assert!((server.load - 3.5).abs() < 1e-9);
    server.remove_connection(RequestId(2), 1.5, GROUP, GROUP_OVERHEAD);
    assert!(server.load.abs() < 1e-9);
    assert!(!server.serves_group(GROUP));
}

#[test]
fn a_full_server_exceeds_its_limit_only_without_recent_overload_and_once_per_interval() {
    let min_overload_age = Duration::from_secs(4);
    let interval = Duration::from_secs(1);
    let mut server = listed_server();
    server.limit.overloaded_at = Some(at_seconds(10));
    assert!(!server.may_exceed_limit(at_seconds(14), min_overload_age, interval));
    assert!(server.may_exceed_limit(at_seconds(15), min_overload_age, interval));
    server.limit.raise_to(at_seconds(15), 1.0);
    assert!(!server.may_exceed_limit(at_seconds(16), min_overload_age, interval));
    assert!(server.may_exceed_limit(at_seconds(17), min_overload_age, interval));
    server.ejection.extend_until(at_seconds(18));
    assert!(!server.may_exceed_limit(at_seconds(17), min_overload_age, interval));
}

#[test]
fn a_recent_report_gives_the_number_of_connections_at_capacity() {
    let max_age = Duration::from_secs(4);
    let mut server = listed_server();
    for (utilization, connections, expected) in
        [(0.5, 10, Some(20.0)), (0.05, 10, None), (0.5, 1, None)]
    {
        server.report = Some(UtilizationReport {
            received_at: at_seconds(10),
            utilization,
            connections,
            load_since: 0.0,
        });
        let estimate = server.connections_at_capacity(at_seconds(11), max_age);
        assert_eq!(estimate, expected);
        let outdated = server.connections_at_capacity(at_seconds(14), max_age);
        assert_eq!(outdated, None);
    }
}
