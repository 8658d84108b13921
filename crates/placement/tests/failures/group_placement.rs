//! Placement of the members of a group.

use crate::common::*;
use crate::fixtures::*;
use lupincrank_placement::*;
use std::collections::BTreeSet;

/// Guards against a large group on one server because each of a hundred nodes sees only two of its connections.
#[test]
fn a_group_larger_than_a_server_is_spread_over_several() {
    let spread = |node_count: u32, group_interval: u64| {
        let settings = Settings {
            node_count,
            slow_start_duration: ms(0),
            ..idempotent_settings()
        };
        let names: Vec<String> = (0..60).map(|n| format!("10.0.0.{n}:80")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut servers = std::collections::BTreeSet::new();
        for node in 0..node_count {
            let mut harness = Harness::new(settings.clone(), u64::from(node));
            harness.set_endpoints(names.iter().map(|name| endpoint(name)).collect());
            for n in 0..12 {
                let id = u64::from(node) * 100 + n;
                let group = if n % group_interval == 0 {
                    "large".to_string()
                } else {
                    format!("c:{id}")
                };
                let info = RequestInfo {
                    group: Some(group.clone()),
                    ..request(id, &format!("u:{id}"), u64::MAX / 2)
                };
                harness.receive(info);
                harness.establish(id);
                if group == "large" {
                    servers.insert(harness.server_of(id));
                }
            }
        }
        servers.len()
    };
    assert!(
        spread(30, 3) >= 10,
        "a third of all connections on {} of 60 servers",
        spread(30, 3)
    );
    assert_eq!(
        spread(30, 12),
        1,
        "one connection of a node says nothing about the size of its group"
    );
}

/// Guards against splitting every group over several servers if each of nine nodes has few connections on a server.
#[test]
fn a_node_with_a_small_part_of_the_traffic_keeps_groups_together() {
    let spread = |node_count| {
        let mut harness = with_established_connections(
            Settings {
                node_count,
                ..idempotent_settings()
            },
            &SERVERS,
            24,
            4,
        );
        harness.advance_ms(2_000);
        let pairs: BTreeSet<(u64, String)> = (0..24)
            .filter_map(|id| harness.server_of(id).map(|server| (id % 4, server)))
            .collect();
        pairs.len()
    };
    let (alone, many) = (spread(1), spread(9));
    assert!(
        many < alone,
        "{many} pairs of group and server with nine nodes, {alone} with one"
    );
}

/// Guards against full servers that exceed their limits for any group and end up with a few connections of each, as in
/// most overloads.
#[test]
fn a_full_server_admits_only_groups_that_it_has() {
    let mut harness = with_established_connections(idempotent_settings(), &SERVERS, 120, 30);
    for _ in 0..2 {
        for server in SERVERS {
            report_delay(&mut harness, server, 40);
        }
        harness.advance_ms(1_000);
    }
    harness.advance_ms(4_000);
    (200..206).for_each(|id| receive(&mut harness, id, "c:new"));
    assert!(
        (200..206).all(|id| harness.server_of(id).is_none()),
        "a new group was admitted before the limits rose"
    );
    (0..6).for_each(|group| receive(&mut harness, 210 + group, &format!("c:{group}")));
    assert!(
        (210..216).any(|id| harness.server_of(id).is_some()),
        "no connection of a group on the server was admitted"
    );
}

/// Guards against rejections in an idle fleet: a single node with ten idle servers placed 10 to 15 of 200 requests and
/// rejected all others, because one group on a server exceeded its fair share of very little load.
#[test]
fn an_idle_fleet_rejects_no_request_whatever_the_number_of_nodes() {
    for node_count in [1, 2, 3, 50] {
        let names: Vec<String> = (0..10).map(|n| format!("s{n}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut harness = Harness::with_servers(
            Settings {
                node_count,
                ..idempotent_settings()
            },
            &names,
        );
        for id in 0..400 {
            receive(&mut harness, id, &format!("c:{}", id / 3));
            assert!(
                harness.server_of(id).is_some(),
                "{node_count} nodes: request {id} was not placed"
            );
            harness.establish(id);
            harness.advance_ms(50);
        }
    }
}
