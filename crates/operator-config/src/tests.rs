use super::*;
use rstest::rstest;

const VALID_FILE: &str = "[fleet]\nname = \"guj\"\nnodes = [\"n0\", \"n1\"]\nlisten = \"127.0.0.1:7400\"\n\
                        [fleet.seeds]\nn0 = \"127.0.0.1:7400\"\n[budgets.cold]\ncapacity = 12\nfloor = 1\n";

#[rstest]
#[case::valid("", "", "")]
#[case::capacity_of_wrong_type("capacity = 12", "capacity = \"12\"", "line 8: invalid type")]
#[case::former_key("capacity = 12", "whole = 12", "")]
#[case::both_keys(
    "capacity = 12",
    "capacity = 12\nwhole = 12",
    "line 7: duplicate field `capacity`"
)]
#[case::unknown_key("floor = 1", "flor = 1", "line 9: unknown field `flor`")]
#[case::floors_over_capacity(
    "floor = 1",
    "floor = 7",
    "line 9: budgets.cold.floor: 7 for each of 2"
)]
#[case::no_capacity(
    "capacity = 12",
    "capacity = 0",
    "line 8: budgets.cold.capacity: 0 is not in 1"
)]
#[case::invalid_address("n0 = \"127.0.0.1:7400\"", "n0 = \"here\"", "line 6: ")]
#[case::unknown_seed("n0 = \"127", "n7 = \"127", "line 5: fleet.seeds: \"n7\" is not among")]
#[case::empty_state_directory("listen", "folder = \"\"\nlisten", "line 4: fleet.folder: a path")]
#[case::duplicate_node("\"n1\"]", "\"n0\"]", "line 3: fleet.nodes: a name")]
#[case::invalid_toml("[fleet]", "[fleet", "line 1: ")]
fn the_error_of_an_invalid_file_names_line_and_key(
    #[case] original: &str,
    #[case] replacement: &str,
    #[case] expected: &str,
) {
    let text = VALID_FILE.replacen(original, replacement, 1);
    match OperatorConfig::parse(&text) {
        Ok(_) => assert_eq!(expected, ""),
        Err(error) => {
            let error = error.to_string();
            assert!(
                !expected.is_empty() && error.starts_with(expected),
                "{error}"
            );
        }
    }
}

#[test]
fn an_empty_file_defines_no_fleet_and_a_budget_requires_one() {
    assert!(OperatorConfig::parse("").unwrap().fleet.is_none());
    assert!(OperatorConfig::parse("[budgets.cold]\ncapacity = 3\n")
        .unwrap_err()
        .to_string()
        .contains("no [fleet]"));
}

#[test]
fn every_key_reaches_the_configuration() {
    let text = "[fleet]\nname = \"guj\"\nnodes = [\"n0\", \"n1\"]\nlisten = \"127.0.0.1:7400\"\n\
                zone = \"z\"\nregion = \"r\"\nfolder = \"/state\"\n\
                [fleet.seeds]\nn0 = \"127.0.0.1:7401\"\n\
                [fleet.via]\n\"127.0.0.1:7402\" = \"127.0.0.1:7403\"\n\
                [budgets.cold]\ncapacity = 12\nfloor = 2\n";
    let config = OperatorConfig::parse(text).unwrap();
    let fleet = config.fleet.unwrap();
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    assert_eq!(fleet.name, "guj");
    assert_eq!(fleet.nodes, ["n0", "n1"]);
    assert_eq!(fleet.listen, Some(address(7400)));
    assert_eq!(fleet.zone, "z");
    assert_eq!(fleet.region, "r");
    assert_eq!(fleet.state_directory, Some(PathBuf::from("/state")));
    assert_eq!(
        fleet.seeds,
        BTreeMap::from([("n0".to_string(), address(7401))])
    );
    assert_eq!(
        fleet.address_overrides,
        BTreeMap::from([(address(7402), address(7403))])
    );
    let budget = config.budgets.slow_start.unwrap();
    assert_eq!(budget.capacity, 12);
    assert_eq!(budget.floor, 2);
}
