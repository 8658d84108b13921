use super::*;
use rstest::rstest;

/// The capacity reserved for floors in these tests.
const RESERVED: u32 = 6;

#[test]
fn a_change_names_the_total_capacity_and_leases_get_the_rest() {
    assert_eq!(parse_change(Some("cold=60"), RESERVED), Ok(54));
    assert_eq!(parse_change(Some("cold=6"), RESERVED), Ok(0));
}

#[rstest]
#[case::none(None, "missing argument NAME=CAPACITY, for example cold=60")]
#[case::no_capacity(Some("cold"), "\"cold\" is not of the form NAME=CAPACITY")]
#[case::other_budget(Some("warm=60"), "unknown budget \"warm\"; the only budget is cold")]
#[case::no_number(
    Some("cold=many"),
    "\"cold=many\": the capacity must be a number from 1 to 1000000"
)]
#[case::zero(
    Some("cold=0"),
    "\"cold=0\": the capacity must be a number from 1 to 1000000"
)]
#[case::too_much(
    Some("cold=1000001"),
    "\"cold=1000001\": the capacity must be a number from 1 to 1000000"
)]
#[case::below_the_floors(
    Some("cold=5"),
    "\"cold=5\": the capacity is below the 6 reserved for floors"
)]
fn an_invalid_change_is_rejected_with_the_reason(
    #[case] change: Option<&str>,
    #[case] message: &str,
) {
    let error = parse_change(change, RESERVED).unwrap_err();
    assert_eq!(error.to_string(), message);
}

#[rstest]
#[case::show_takes_no_change("show", Some("cold=60"))]
#[case::unknown("list", None)]
fn an_unknown_command_is_rejected(#[case] command: &str, #[case] change: Option<&str>) {
    let error = BudgetCommand::parse(command, change, RESERVED).err();
    assert_eq!(error, Some(BudgetCommandError::UnknownCommand));
}
