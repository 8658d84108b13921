use super::*;
use rstest::rstest;

/// The fixtures were printed by revision c925b3d. They fix the format of the tables, which operators' scripts parse.
#[rstest]
#[case::status("status", include_str!("fixtures/status.json"), include_str!("fixtures/status.txt"))]
#[case::members("members", include_str!("fixtures/members.json"), include_str!("fixtures/members.txt"))]
#[case::log("log", include_str!("fixtures/log.json"), include_str!("fixtures/log.txt"))]
#[case::other("reseed", "{\"epoch\":5}", "{\"epoch\":5}\n")]
fn an_answer_about_the_cluster_is_laid_out_as_before(
    #[case] query: &str,
    #[case] answer: &str,
    #[case] expected: &str,
) {
    let table = cluster_table(query, answer).unwrap();
    assert_eq!(format!("{table}\n"), expected);
}

/// As above, for budgets.
#[rstest]
#[case::show(include_str!("fixtures/budgets.json"), include_str!("fixtures/budgets.txt"))]
#[case::plan(include_str!("fixtures/plan.json"), include_str!("fixtures/plan.txt"))]
fn an_answer_about_budgets_is_laid_out_as_before(#[case] answer: &str, #[case] expected: &str) {
    let table = budgets_table(answer).unwrap();
    assert_eq!(format!("{table}\n"), expected);
}

#[test]
fn an_answer_that_is_not_json_is_an_error() {
    let expected =
        "answer of the node is not valid JSON: EOF while parsing a value at line 1 column 9";
    for error in [
        cluster_table("status", "{\"fleet\":").unwrap_err(),
        budgets_table("{\"fleet\":").unwrap_err(),
    ] {
        assert_eq!(error.to_string(), expected);
    }
}
