use super::*;
use rstest::rstest;

#[rstest]
#[case("UP 5dd1bfe9ee25db25\r\n", Said::Up)]
#[case("UP\r\n", Said::Other)]
#[case("UPPER x\r\n", Said::Other)]
#[case("BUSY\r\n", Said::Busy)]
#[case("BUSY 20\r\n", Said::Busy)]
#[case("BUSY x\r\n", Said::Other)]
#[case("UP \u{1}\u{fffd}\r\n", Said::Other)]
#[case("SYNTAX\r\n", Said::Syntax)]
#[case("ERR out of order\r\n", Said::Err)]
#[case("MOVE\r\n", Said::Move)]
#[case("BYE\r\n", Said::Bye)]
#[case("LOAD 12.5\r\n", Said::Load(12.5))]
#[case("LOAD -1\r\n", Said::Other)]
#[case("LOAD NaN\r\n", Said::Other)]
#[case("\r\n", Said::Other)]
fn a_line_is_known_by_its_first_word(#[case] line: &str, #[case] expected: Said) {
    assert_eq!(said(line.as_bytes()), expected);
}
