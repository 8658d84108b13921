use super::*;
use rstest::rstest;

#[rstest]
#[case(b"check", Ok(Call::Check))]
#[case(b"set-down s-1", Ok(Call::SetDown("s-1")))]
#[case(b"  set-up   s-1 ", Ok(Call::SetUp("s-1")))]
#[case(b"fleet status", Ok(Call::Fleet("status")))]
#[case(b"fleet", Err("needs one of"))]
#[case(b"budgets show", Ok(Call::Budgets("show", None)))]
#[case(b"budgets set cold=4", Ok(Call::Budgets("set", Some("cold=4"))))]
#[case(b"budgets set cold=4 now", Err("too many"))]
#[case(b"", Err("empty"))]
#[case(b"check now", Err("too many"))]
#[case(b"set-down", Err("needs the id"))]
#[case(b"set-up a b", Err("too many"))]
#[case(b"Check", Err("no call \"Check\""))]
#[case(b"set-down \xff", Err("UTF-8"))]
fn a_call_is_read_or_what_is_wrong_is_named(
    #[case] line: &[u8],
    #[case] expected: Result<Call<'_>, &str>,
) {
    match (call(line), expected) {
        (Err(why), Err(part)) => assert!(why.contains(part), "{why}"),
        (read, expected) => assert_eq!(read, expected.map_err(str::to_string)),
    }
}
