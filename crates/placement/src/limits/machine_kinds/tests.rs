use super::*;

fn observe(kinds: &mut MachineKindOverload, kind: u32, seconds: usize, overloaded: usize) {
    for second in 0..seconds {
        kinds.record(kind, second < overloaded);
    }
}

#[test]
fn the_kind_with_the_lowest_overload_rate_has_no_excess() {
    let mut kinds = MachineKindOverload::default();
    observe(&mut kinds, 1, 200, 0);
    observe(&mut kinds, 2, 200, 100);
    assert!(kinds.excess_overload_rate(1).abs() < 1e-9);
    let excess = kinds.excess_overload_rate(2);
    assert!((0.4..0.5).contains(&excess), "{excess}");
}

#[test]
fn a_few_overloaded_seconds_cause_little_excess() {
    let mut kinds = MachineKindOverload::default();
    observe(&mut kinds, 1, 200, 0);
    observe(&mut kinds, 2, 2, 2);
    let excess = kinds.excess_overload_rate(2);
    assert!(excess < 0.1, "{excess}");
}

#[test]
fn a_kind_without_observations_has_no_excess() {
    let mut kinds = MachineKindOverload::default();
    observe(&mut kinds, 1, 20, 20);
    assert!(kinds.excess_overload_rate(7).abs() < 1e-9);
}

#[test]
fn old_observations_count_less() {
    let mut kinds = MachineKindOverload::default();
    observe(&mut kinds, 1, 100, 0);
    observe(&mut kinds, 2, 100, 100);
    let before = kinds.excess_overload_rate(2);
    for _ in 0..100 {
        kinds.decay();
    }
    assert!(kinds.excess_overload_rate(2) < before / 2.0);
}
