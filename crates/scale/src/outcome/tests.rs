use super::*;

#[test]
#[expect(clippy::float_cmp, reason = "quotients of these numbers are exact")]
fn a_role_cost_covers_only_the_nodes_of_the_role() {
    let reading = |bytes: u64, cpu_us: u64| NodeReading {
        bytes_out: bytes,
        messages_out: bytes / 100,
        cpu_us,
        rss_kb: 2048,
        ..NodeReading::default()
    };
    let sample = |at_s, nodes| Sample { at_s, nodes };
    let samples = [
        sample(0.0, vec![reading(0, 0), reading(500, 0), reading(0, 0)]),
        sample(
            1.0,
            vec![
                reading(1000, 10_000),
                reading(900, 50_000),
                reading(9_999, 0),
            ],
        ),
        sample(
            2.0,
            vec![
                reading(1000, 20_000),
                reading(1500, 100_000),
                reading(99_999, 0),
            ],
        ),
    ];
    let role = RoleCost::new(&samples, &[0, 1]);
    assert_eq!((role.processes, role.seconds.len()), (2, 2));
    assert_eq!(role.bytes_out_per_s_max, 1000.0);
    assert_eq!(
        (role.bytes_out_per_s_mean, role.bytes_out_per_s_busiest),
        (500.0, 500.0)
    );
    assert_eq!((role.cpu_share_max, role.rss_mb_max), (0.05, 2.0));
    assert_eq!(
        (role.seconds[0].bytes_out, role.seconds[1].bytes_out),
        (1400, 600)
    );
    assert_eq!(RoleCost::new(&samples, &[]), RoleCost::default());
}

#[test]
fn the_worst_of_several_measurements_counts_and_missing_nodes_add_up() {
    let mut times = PropagationTimes::default();
    times.add(&(1..=100).map(f64::from).collect::<Vec<_>>(), 0);
    times.add(&[10.0, 300.0], 3);
    assert_eq!((times.measurement_count, times.missing_count), (2, 3));
    assert!(
        (times.p50_ms - 50.0).abs() < 0.1 && (times.all_ms - 300.0).abs() < 1.0,
        "{times:?}"
    );
}
