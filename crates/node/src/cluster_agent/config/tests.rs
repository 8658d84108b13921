use super::*;
use rstest::rstest;

const OPERATOR_FILE: &str = r#"
[fleet]
name = "guj"
nodes = ["n0", "n1", "n2"]
listen = "127.0.0.1:7000"
zone = "a"
folder = "/var/lib/lupincrank"
[fleet.seeds]
n1 = "127.0.0.1:7001"
[fleet.via]
"127.0.0.1:7001" = "127.0.0.1:9001"
[budgets.cold]
whole = 60
floor = 2
"#;

fn config_of(
    node_name: &str,
    variables: &[(&str, &str)],
) -> Result<ClusterConfig, ClusterConfigError> {
    let operator = OperatorConfig::parse(OPERATOR_FILE).unwrap();
    let variable = |name: &str| {
        let found = variables.iter().find(|(variable, _)| *variable == name);
        found.map(|(_, value)| (*value).to_string())
    };
    let config = ClusterConfig::from_operator(&operator, node_name, variable)?;
    Ok(config.expect("the file has a cluster"))
}

#[test]
fn the_file_is_used_if_no_variable_is_set() {
    let config = config_of("n0", &[]).unwrap();
    assert_eq!(config.cluster_name, "guj");
    assert_eq!(config.listen_address, "127.0.0.1:7000".parse().unwrap());
    assert_eq!(config.zone, "a");
    let storage_file = PathBuf::from("/var/lib/lupincrank/council-n0.redb");
    assert_eq!(config.storage_file, Some(storage_file));
}

#[test]
fn variables_take_precedence_over_the_file() {
    let variables = [("RELAY_FLEET", "127.0.0.1:7009"), ("RELAY_ZONE", "b")];
    let config = config_of("n0", &variables).unwrap();
    assert_eq!(config.listen_address, "127.0.0.1:7009".parse().unwrap());
    assert_eq!(config.zone, "b");
}

#[rstest]
#[case::expected_node("n0", 2)]
#[case::unexpected_node("n9", 0)]
fn the_floors_of_expected_nodes_are_reserved(#[case] node_name: &str, #[case] floor: u32) {
    let config = config_of(node_name, &[]).unwrap();
    let budget = SlowStartBudget {
        leased_capacity: 54,
        floor,
        reserved_capacity: 6,
    };
    assert_eq!(config.slow_start_budget, Some(budget));
}

#[test]
fn an_advertised_address_may_be_overridden() {
    let config = config_of("n0", &[]).unwrap();
    let reachable = |address: &str| config.reachable_address(address.parse().unwrap());
    assert_eq!(reachable("127.0.0.1:7001").to_string(), "127.0.0.1:9001");
    assert_eq!(reachable("127.0.0.1:7002").to_string(), "127.0.0.1:7002");
}

#[rstest]
#[case::address("n0", &[("RELAY_FLEET", "here")], "RELAY_FLEET: \"here\" is not an address:port")]
#[case::name(
    "n/0",
    &[],
    "fleet.folder: node name \"n/0\" is invalid in a file name; allowed are letters, digits, . _ -"
)]
fn an_invalid_value_is_rejected_with_its_name_and_value(
    #[case] node_name: &str,
    #[case] variables: &[(&str, &str)],
    #[case] message: &str,
) {
    let error = config_of(node_name, variables).unwrap_err();
    assert_eq!(error.to_string(), message);
}
