use super::*;
use rstest::rstest;

#[rstest]
#[case("UP 5dd1bfe9ee25db25\r\n", ServerLine::Up)]
#[case("UP\r\n", ServerLine::Unknown)]
#[case("UPPER x\r\n", ServerLine::Unknown)]
#[case("BUSY\r\n", ServerLine::Busy)]
#[case("BUSY 20\r\n", ServerLine::Busy)]
#[case("BUSY x\r\n", ServerLine::Unknown)]
#[case("UP \u{1}\u{fffd}\r\n", ServerLine::Unknown)]
#[case("SYNTAX\r\n", ServerLine::SyntaxError)]
#[case("ERR out of order\r\n", ServerLine::Error)]
#[case("MOVE\r\n", ServerLine::Move)]
#[case("BYE\r\n", ServerLine::Bye)]
#[case("LOAD 12.5\r\n", ServerLine::Load(12.5))]
#[case("LOAD -1\r\n", ServerLine::Unknown)]
#[case("LOAD NaN\r\n", ServerLine::Unknown)]
#[case("\r\n", ServerLine::Unknown)]
fn a_line_is_parsed_by_its_first_word(#[case] line: &str, #[case] expected: ServerLine) {
    assert_eq!(ServerLine::parse(line.as_bytes()), expected);
}

#[rstest]
#[case("BUSY rate=2,x0=0.3\r\n", ServerLine::Busy)]
#[case("BUSY x0=0.3,more=1,rate=2\r\n", ServerLine::Busy)]
#[case("BUSY 20\r\n", ServerLine::Busy)]
#[case("BUSY rate=2\r\n", ServerLine::Unknown)]
#[case("BUSY rate=2,x0=\r\n", ServerLine::Unknown)]
#[case("UP rate=2,x0=0.3\r\n", ServerLine::Up)]
fn a_rejection_may_end_with_a_complete_report(#[case] line: &str, #[case] expected: ServerLine) {
    let fields = ["rate".to_string(), "x0".to_string()];
    assert_eq!(ServerLine::parse_answer(line.as_bytes(), &fields), expected);
}
