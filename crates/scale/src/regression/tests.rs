use super::*;
use rstest::rstest;
use serde_json::json;

fn points_of(sizes: &[f64], model: impl Fn(f64) -> f64) -> Vec<Point> {
    sizes
        .iter()
        .map(|size| Point::new(*size, model(*size)))
        .collect()
}

#[rstest]
#[case::linear(|n| 3.0 + 2.0 * n, 2.0, None)]
#[case::quadratic(|n| 0.5 * n * n, 0.0, Some(2.0))]
#[case::constant(|_| 7.0, 0.0, Some(0.0))]
fn a_fit_recovers_the_model(
    #[case] model: fn(f64) -> f64,
    #[case] slope: f64,
    #[case] exponent: Option<f64>,
) {
    let points = points_of(&[25.0, 50.0, 100.0, 400.0], model);
    let line = LinearFit::new(&points).unwrap();
    match exponent {
        None => assert!(
            (line.slope - slope).abs() < 1e-9 && line.residual < 1e-9,
            "{line:?}"
        ),
        Some(exponent) => assert!(
            (line.power_law.unwrap().exponent - exponent).abs() < 1e-9
                && line.power_law.unwrap().residual < 1e-9,
            "{line:?}"
        ),
    }
}

#[test]
fn a_quadratic_fit_recovers_a_cost_per_node_that_grows_with_the_size() {
    let points = points_of(&[10.0, 25.0, 50.0, 100.0], |n| n * (900.0 + 18.0 * n));
    let fit = QuadraticFit::new(&points).unwrap();
    assert!(
        (fit.base - 900.0).abs() < 1e-6 && (fit.slope - 18.0).abs() < 1e-9 && fit.residual < 1e-9
    );
    assert!(
        LinearFit::new(&points).unwrap().residual > 0.1,
        "the linear fit must have a large residual"
    );
}

#[test]
fn one_size_gives_no_fit_and_outcomes_without_the_role_are_skipped() {
    assert_eq!(
        LinearFit::new(&[Point::new(25.0, 1.0), Point::new(25.0, 2.0)]),
        None
    );
    let runs = [
        json!({"nodes": 10, "roles": {"node": {"processes": 0, "cpu_share_mean": 0.0}}}),
        json!({"nodes": 20, "roles": {"node": {"processes": 2, "cpu_share_mean": 0.5}}}),
    ];
    assert_eq!(
        Metric::new("node", "cpu_share_mean").points(&runs),
        [Point::new(20.0, 0.5)]
    );
    assert_eq!(Metric::new("control", "cpu_share_mean").points(&runs), []);
}
