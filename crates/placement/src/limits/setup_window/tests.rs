use super::*;
use rand_core::SeedableRng;

const QUICK: Duration = Duration::from_millis(20);
const SLOW: Duration = Duration::from_secs(1);

fn at_millis(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000_000)
}

fn rng() -> Pcg32 {
    Pcg32::seed_from_u64(1)
}

fn setups_until_closed(window: &mut SetupWindow, now: Timestamp) -> usize {
    let mut count = 0;
    while window.is_open(now) && count < 1_000 {
        window.begin_setup();
        count += 1;
    }
    count
}

#[test]
fn the_nodes_of_a_fleet_divide_the_initial_window() {
    for (node_count, expected) in [(1, 24), (8, 3), (100, 1)] {
        let mut window = SetupWindow::new(node_count);
        let setups = setups_until_closed(&mut window, at_millis(0));
        assert_eq!(setups, expected, "{node_count} nodes");
    }
}

#[test]
fn quick_setups_widen_the_window_only_while_it_is_used() {
    let mut window = SetupWindow::new(8);
    window.begin_setup();
    window.record_success(at_millis(1_000), QUICK, &mut rng());
    assert_eq!(setups_until_closed(&mut window, at_millis(1_000)), 3);
    for _ in 0..2 {
        window.record_success(at_millis(1_000), QUICK, &mut rng());
        window.begin_setup();
    }
    assert!(window.is_open(at_millis(1_000)), "wider than before");
}

#[test]
fn a_slow_setup_shrinks_the_window_once_within_its_interval() {
    let mut window = SetupWindow::new(1);
    for _ in 0..24 {
        window.begin_setup();
    }
    window.record_success(at_millis(1_000), SLOW, &mut rng());
    window.record_success(at_millis(1_050), SLOW, &mut rng());
    while window.in_progress > 0 {
        window.end_setup();
    }
    let setups = setups_until_closed(&mut window, at_millis(2_000));
    assert_eq!(setups, 17, "24 * 0.7, rounded up");
}

#[test]
fn a_window_of_less_than_a_setup_pauses_and_reopens() {
    let mut window = SetupWindow::new(1_000);
    let mut now = 0;
    for _ in 0..20 {
        now += 200;
        window.record_shared_failure(at_millis(now), SLOW, &mut rng());
    }
    assert!(!window.is_open(at_millis(now)), "paused");
    window.reopen(at_millis(now));
    assert!(window.is_open(at_millis(now)));
}
