use super::*;
use rstest::rstest;

const LOAD: char = 'l';

/// Lines as (milliseconds, number), and the kind of each: a load (`l`) or a delay (`d`).
#[rstest]
#[case::loads(&[(0, 38_699.2), (4_200, 313.0), (9_000, 7_529.0), (9_400, 753.0)], "llll")]
#[case::a_series(&[(0, 38_699.2), (1_000, 211.9), (2_001, 240.5), (3_000, 287.7), (4_002, 325.9)], "llddd")]
#[case::its_end(&[(0, 211.9), (1_000, 180.0), (2_000, 9.5), (3_000, 400.0)], "lddl")]
#[case::a_load_between(&[(0, 211.9), (1_000, 240.5), (1_290, 20_204.0), (2_000, 287.7)], "ldld")]
#[case::a_gap(&[(0, 211.9), (1_000, 240.5), (3_500, 287.7), (4_500, 301.0)], "ldld")]
#[case::too_large(&[(0, 90_000.0), (1_000, 80_000.0), (2_000, 85_000.0)], "lll")]
#[case::too_small(&[(0, 12.0), (1_000, 11.0), (2_000, 3.0)], "lll")]
fn a_delay_is_recognized_by_its_interval(#[case] lines: &[(u64, f64)], #[case] expected: &str) {
    let (start, mut reports, mut kinds) = (
        Instant::now(),
        LoadReportClassifier::default(),
        String::new(),
    );
    for (ms, value) in lines {
        match reports.record(
            start + Duration::from_millis(*ms),
            *value,
            Duration::from_millis(16),
        ) {
            LoadReport::Load(load) => {
                assert_eq!(load.to_bits(), value.to_bits());
                kinds.push(LOAD);
            }
            LoadReport::Delay { delay, .. } => {
                assert!((delay.as_secs_f64() * 1e3 - value).abs() < 0.01);
                kinds.push('d');
            }
        }
    }
    assert_eq!(kinds, expected);
}

#[test]
fn the_load_before_the_first_delay_is_restored() {
    let (start, mut reports, min_delay) = (
        Instant::now(),
        LoadReportClassifier::default(),
        Duration::from_millis(16),
    );
    reports.record(start, 38_699.0, min_delay);
    reports.record(start + Duration::from_secs(3), 211.0, min_delay);
    let reported = reports.record(start + Duration::from_secs(4), 240.0, min_delay);
    assert_eq!(
        reported,
        LoadReport::Delay {
            delay: Duration::from_millis(240),
            load: Some(38_699.0)
        }
    );
}
