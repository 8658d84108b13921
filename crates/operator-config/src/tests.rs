use super::*;
use rstest::rstest;

const GOOD: &str = "[fleet]\nname = \"guj\"\nnodes = [\"n0\", \"n1\"]\nlisten = \"127.0.0.1:7400\"\n\
                        [fleet.seeds]\nn0 = \"127.0.0.1:7400\"\n[budgets.cold]\ncapacity = 12\nfloor = 1\n";

#[rstest]
#[case::good("", "", "")]
#[case::no_number("capacity = 12", "capacity = \"12\"", "line 8: invalid type")]
#[case::former_name("capacity = 12", "whole = 12", "")]
#[case::both_names(
    "capacity = 12",
    "capacity = 12\nwhole = 12",
    "line 7: duplicate field `capacity`"
)]
#[case::unknown_key("floor = 1", "flor = 1", "line 9: unknown field `flor`")]
#[case::too_much_set_aside(
    "floor = 1",
    "floor = 7",
    "line 9: budgets.cold.floor: 7 for each of 2"
)]
#[case::nothing_to_share(
    "capacity = 12",
    "capacity = 0",
    "line 8: budgets.cold.capacity: 0 is not in 1"
)]
#[case::no_address("n0 = \"127.0.0.1:7400\"", "n0 = \"here\"", "line 6: ")]
#[case::seed_unknown("n0 = \"127", "n7 = \"127", "line 5: fleet.seeds: \"n7\" is not among")]
#[case::no_folder("listen", "folder = \"\"\nlisten", "line 4: fleet.folder: a path")]
#[case::twice("\"n1\"]", "\"n0\"]", "line 3: fleet.nodes: a name")]
#[case::not_toml("[fleet]", "[fleet", "line 1: ")]
fn a_wrong_file_names_line_and_key(#[case] from: &str, #[case] to: &str, #[case] why: &str) {
    let text = GOOD.replacen(from, to, 1);
    match Operator::read(&text) {
        Ok(_) => assert_eq!(why, ""),
        Err(error) => assert!(!why.is_empty() && error.starts_with(why), "{error}"),
    }
}

#[test]
fn no_file_and_an_empty_one_change_nothing() {
    assert!(Operator::read("").unwrap().fleet.is_none());
    assert!(Operator::read("[budgets.cold]\ncapacity = 3\n")
        .unwrap_err()
        .contains("no [fleet]"));
}
