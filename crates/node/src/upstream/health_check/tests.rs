use super::*;
use rstest::rstest;

#[rstest]
#[case("PONG", true, None)]
#[case("NO", true, None)]
#[case("ERR", false, None)]
#[case("", false, None)]
#[case("BUSY", false, None)]
#[case("PONG rate=3,x0=0.61", true, Some([3.0, 0.61]))]
#[case("PONG x0=0.61,rate=3,more=8", true, Some([3.0, 0.61]))]
#[case("ERR rate=3,x0=1.5", false, Some([3.0, 1.5]))]
fn a_response_is_parsed_with_its_fields_in_the_order_of_the_settings(
    #[case] line: &str,
    #[case] passed: bool,
    #[case] report: Option<[f64; 2]>,
) {
    let fields = ["rate".to_string(), "x0".to_string()];
    assert_eq!(
        HealthCheckResponse::parse(line, &fields),
        HealthCheckResponse {
            has_passed: passed,
            load_report: report.map(Vec::from)
        }
    );
}

#[rstest]
#[case("PONG rate=3")]
#[case("PONG rate=3,x0=")]
#[case("PONG rate=3,x0=-1")]
#[case("PONG rate=3,x0=inf")]
#[case("PONG rate=3,x0=nan")]
#[case("PONG rate=3,xx0=1")]
#[case("PONG rate=3,x00=1")]
fn a_malformed_report_is_ignored(#[case] line: &str) {
    let fields = ["rate".to_string(), "x0".to_string()];
    assert_eq!(
        HealthCheckResponse::parse(line, &fields),
        HealthCheckResponse {
            has_passed: true,
            load_report: None
        }
    );
}
