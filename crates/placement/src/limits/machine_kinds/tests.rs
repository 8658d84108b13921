use super::*;

fn observe(kinds: &mut MachineKindOverload, kind: u32, seconds: usize, overloaded: usize) {
    for second in 0..seconds {
        kinds.record(kind, second < overloaded);
    }
}

#[test]
fn the_kind_that_is_overloaded_least_has_no_excess() {
    let mut kinds = MachineKindOverload::default();
    observe(&mut kinds, 1, 200, 0);
    observe(&mut kinds, 2, 200, 100);
    assert!(kinds.excess_overload_rate(1).abs() < 1e-9);
    let excess = kinds.excess_overload_rate(2);
    assert!((0.4..0.5).contains(&excess), "{excess}");
}

#[test]
fn a_few_seconds_tell_little_of_a_kind() {
    let mut kinds = MachineKindOverload::default();
    observe(&mut kinds, 1, 200, 0);
    observe(&mut kinds, 2, 2, 2);
    let excess = kinds.excess_overload_rate(2);
    assert!(excess < 0.1, "{excess}");
}

#[test]
fn a_kind_that_was_not_observed_has_no_excess() {
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
