use super::*;
use rstest::rstest;

const GOOD: &str = "about = \"a\"\nnodes = 3\ntranscribers = 4\nseconds = 10.0\n\
                        [[fault]]\nat_s = 1.0\nkind = \"freeze\"\non = \"n1\"\nfor_s = 2.0\n";

#[rstest]
#[case::good("", "", "")]
#[case::too_many("nodes = 3", "nodes = 300", "line 2: nodes: 300 is not in 1 to 60")]
#[case::unknown(
    "kind = \"freeze\"",
    "kind = \"melt\"",
    "line 7: unknown variant `melt`"
)]
#[case::no_end(
    "for_s = 2.0",
    "for_s = 0.0",
    "line 5: for_s: a fault of this kind needs a duration"
)]
#[case::unknown_party("on = \"n1\"", "on = \"n99\"", "line 5: on: \"n99\" selects no party")]
#[case::late("at_s = 1.0", "at_s = 11.0", "line 5: at_s: 11 is not in 0 to 10")]
#[case::no_link(
    "for_s = 2.0",
    "for_s = 2.0\nto = \"n0\"",
    "line 5: to and one_way are only for link faults"
)]
#[case::missing("nodes = 3\n", "", "line 1: missing field `nodes`")]
fn an_invalid_file_is_reported_with_line_and_reason(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected_error: &str,
) {
    match Scenario::parse(&GOOD.replacen(from, to, 1)) {
        Ok(_) => assert_eq!(expected_error, ""),
        Err(error) => assert!(
            !expected_error.is_empty() && error.to_string().starts_with(expected_error),
            "{error}"
        ),
    }
}
