use super::*;

#[test]
fn the_mean_of_all_classes_covers_those_without_observations() {
    let mut estimates = LoadEstimates::new(2);
    assert!((estimates.mean() - DEFAULT_LOAD).abs() < 1e-9);
    estimates.record(0, 4.0);
    assert_eq!(estimates.class_mean(0), Some(4.0));
    assert_eq!(estimates.class_mean(1), None);
    assert!((estimates.mean() - 4.0).abs() < 1e-9);
}

#[test]
fn the_mean_follows_later_observations() {
    let mut estimates = LoadEstimates::new(1);
    for _ in 0..100 {
        estimates.record(0, 1.0);
    }
    for _ in 0..2_000 {
        estimates.record(0, 3.0);
    }
    assert!(estimates.mean() > 2.99);
}

#[test]
fn observations_follow_a_class_to_its_new_index() {
    let mut estimates = LoadEstimates::new(2);
    estimates.record(0, 2.0);
    estimates.record(1, 6.0);
    estimates.rearrange(&[None, Some(0)]);
    assert_eq!(estimates.class_mean(0), None);
    assert_eq!(estimates.class_mean(1), Some(2.0));
    assert!(
        (estimates.mean() - 2.0).abs() < 1e-9,
        "without the dropped class"
    );
}
