use super::*;
use rstest::rstest;
use serde_json::json;

#[rstest]
#[case::straight(|n| 3.0 + 2.0 * n, 2.0, None)]
#[case::square(|n| 0.5 * n * n, 0.0, Some(2.0))]
#[case::flat(|_| 7.0, 0.0, Some(0.0))]
fn a_law_is_found_again(
    #[case] law: fn(f64) -> f64,
    #[case] slope: f64,
    #[case] power: Option<f64>,
) {
    let points: Vec<_> = [25.0, 50.0, 100.0, 400.0].map(|n| (n, law(n))).into();
    let line = line(&points).unwrap();
    match power {
        None => assert!(
            (line.slope - slope).abs() < 1e-9 && line.residual < 1e-9,
            "{line:?}"
        ),
        Some(power) => assert!(
            (line.power.unwrap() - power).abs() < 1e-9 && line.power_residual.unwrap() < 1e-9,
            "{line:?}"
        ),
    }
}

#[test]
fn what_each_adds_by_the_size_is_found_again() {
    let points: Vec<_> = [10.0, 25.0, 50.0, 100.0]
        .map(|n| (n, n * (900.0 + 18.0 * n)))
        .into();
    let (base, slope, missed) = square(&points).unwrap();
    assert!((base - 900.0).abs() < 1e-6 && (slope - 18.0).abs() < 1e-9 && missed < 1e-9);
    assert!(
        line(&points).unwrap().residual > 0.1,
        "a straight line does not hold"
    );
}

#[test]
fn one_size_makes_no_line_and_a_role_that_nobody_had_is_left_out() {
    assert_eq!(line(&[(25.0, 1.0), (25.0, 2.0)]), None);
    let runs = [
        json!({"nodes": 10, "roles": {"node": {"processes": 0, "cpu_share_mean": 0.0}}}),
        json!({"nodes": 20, "roles": {"node": {"processes": 2, "cpu_share_mean": 0.5}}}),
    ];
    assert_eq!(points(&runs, "node", "cpu_share_mean"), [(20.0, 0.5)]);
    assert_eq!(points(&runs, "control", "cpu_share_mean"), []);
}
