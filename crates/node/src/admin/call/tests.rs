use super::*;
use rstest::rstest;

#[rstest]
#[case(b"check", Ok(AdminCall::Check))]
#[case(b"set-down s-1", Ok(AdminCall::SetDown("s-1")))]
#[case(b"  set-up   s-1 ", Ok(AdminCall::SetUp("s-1")))]
#[case(b"fleet status", Ok(AdminCall::Cluster("status")))]
#[case(b"fleet", Err("needs one of"))]
#[case(b"budgets show", Ok(budgets("show", None)))]
#[case(b"budgets set cold=4", Ok(budgets("set", Some("cold=4"))))]
#[case(b"budgets set cold=4 now", Err("too many"))]
#[case(b"", Err("empty"))]
#[case(b"check now", Err("too many"))]
#[case(b"set-down", Err("needs the id"))]
#[case(b"set-up a b", Err("too many"))]
#[case(b"Check", Err("no call \"Check\""))]
#[case(b"set-down \xff", Err("UTF-8"))]
fn a_call_is_parsed_or_the_error_says_what_is_wrong(
    #[case] line: &[u8],
    #[case] expected: Result<AdminCall<'_>, &str>,
) {
    match (parse(line), expected) {
        (Err(error), Err(part)) => {
            let text = error.to_string();
            assert!(text.contains(part), "{text}");
        }
        (read, expected) => assert_eq!(
            read.map_err(|error| error.to_string()),
            expected.map_err(str::to_string)
        ),
    }
}
