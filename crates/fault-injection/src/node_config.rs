//! The configuration and the operator's file of a run's nodes.

use crate::harness::Harness;
use crate::scenario::zone_name;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

/// Maximum number of seed nodes in a node's configuration.
const MAX_SEED_COUNT: usize = 3;
/// Names of the cluster under test and of the foreign cluster.
const CLUSTER_NAME: &str = "trial";
const FOREIGN_CLUSTER_NAME: &str = "another";
/// Keeps the random seeds of nodes in different runs apart: a node's seed is the multiplied seed of the run plus the
/// node's number.
const NODE_SEED_MULTIPLIER: u64 = 1_000_003;
const NS_PER_MS: u64 = 1_000_000;

/// Returns the settings, which are the same for all nodes.
fn settings(harness: &Harness) -> Value {
    let scenario = &harness.scenario;
    let ns = |ms: u64| ms * NS_PER_MS;
    let zones: Vec<String> = (0..scenario.zone_count).map(zone_name).collect();
    let capacity = harness.servers.capacity_model();
    json!({
        "Instances": scenario.settings_node_count.unwrap_or(scenario.node_count()),
        "Categories": [{
            "Name": "chat", "DeadlineNs": ns(scenario.clients.answer_timeout_ms), "PromiseNs": ns(500),
            "Repeat": "repeatable", "Group": "all", "Stream": true, "WindowNs": ns(5000), "Value": 1.0,
        }],
        "FamilyInfo": {"Groups": true, "MessageAimNs": [ns(100)], "Mode": "proxy"},
        "Kinds": ["m"],
        "Localities": zones,
        "Limits": {
            "SendCap": 3, "MayProbe": false, "Peers": false, "RetryAfter": true,
            "MaxRetryAfterNs": ns(2000), "ConnectTimeoutNs": ns(150),
        },
        "Obligations": {
            "AnswerSlackNs": ns(20), "AskWithinNs": ns(10_000),
            "ColdNs": capacity.warm_up_duration.as_nanos() as u64, "DrainGraceNs": ns(500),
            "FallMultiple": capacity.crash_load_ratio,
            "OverloadForNs": capacity.crash_delay.as_nanos() as u64,
            "StartCapacity": capacity.initial_capacity_ratio,
        },
        "RegistryMode": "subscribe",
        "Tenants": [],
        "Report": {"Fields": [], "How": "off"},
    })
}

/// Returns the configuration of one node, with its initial endpoint list.
pub(crate) fn node_config(
    harness: &Harness,
    node: usize,
    discovery: SocketAddr,
    initial_list: &Value,
) -> Value {
    let process = &harness.nodes[node];
    let run_seed = harness.plan.seed.wrapping_mul(NODE_SEED_MULTIPLIER);
    json!({
        "name": process.name(),
        "listen": process.client_address().to_string(),
        "discovery": discovery.to_string(),
        "management": process.admin_address().to_string(),
        "seed": format!("{:x}", run_seed.wrapping_add(node as u64)),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096},
        "known": initial_list,
        "settings": settings(harness),
    })
}

/// Returns the operator's file of one node, which names the first `expected_count` nodes. The node reaches its peers at
/// their proxy addresses, which the file lists.
pub(crate) fn operator_file(harness: &Harness, node: usize, expected_count: usize) -> String {
    let mut text = String::new();
    // Writing to a string can't fail.
    let _ = write_cluster(&mut text, harness, node, expected_count);
    let _ = write_addresses(&mut text, harness, node, expected_count);
    let _ = write_budget(&mut text, harness);
    text
}

fn write_cluster(
    text: &mut String,
    harness: &Harness,
    node: usize,
    expected_count: usize,
) -> std::fmt::Result {
    let process = &harness.nodes[node];
    let cluster = if process.is_foreign() {
        FOREIGN_CLUSTER_NAME
    } else {
        CLUSTER_NAME
    };
    let names: Vec<String> = (0..expected_count).map(|n| format!("\"n{n}\"")).collect();
    writeln!(text, "[fleet]\nname = \"{cluster}\"")?;
    writeln!(text, "nodes = [{}]", names.join(", "))?;
    if harness.scenario.has_persistent_folders {
        let folder = process.persistent_folder().display().to_string();
        writeln!(text, "folder = {}", toml::Value::from(folder))?;
    }
    writeln!(text, "listen = \"{}\"", process.cluster_address())?;
    writeln!(text, "zone = \"{}\"", process.zone())
}

fn write_addresses(
    text: &mut String,
    harness: &Harness,
    node: usize,
    expected_count: usize,
) -> std::fmt::Result {
    let no_addresses = BTreeMap::new();
    let addresses = harness.peer_addresses.get(&node).unwrap_or(&no_addresses);
    let expected_peers = addresses.keys().filter(|peer| **peer < expected_count);
    let mut seeds: Vec<usize> = expected_peers.copied().take(MAX_SEED_COUNT).collect();
    // A node without peers is its own seed, because there is no other node to contact.
    if seeds.is_empty() {
        seeds.push(node.min(expected_count - 1));
    }
    writeln!(text, "[fleet.seeds]")?;
    for seed in seeds {
        let own_address = harness.nodes[node].cluster_address();
        let address = addresses.get(&seed).copied().unwrap_or(own_address);
        writeln!(text, "n{seed} = \"{address}\"")?;
    }
    writeln!(text, "[fleet.via]")?;
    for (peer, address) in addresses {
        let peer_address = harness.nodes[*peer].cluster_address();
        writeln!(text, "\"{peer_address}\" = \"{address}\"")?;
    }
    Ok(())
}

fn write_budget(text: &mut String, harness: &Harness) -> std::fmt::Result {
    let Some(budget) = &harness.scenario.slow_start_budget else {
        return Ok(());
    };
    writeln!(text, "[budgets.cold]")?;
    writeln!(text, "whole = {}", budget.limit)?;
    writeln!(text, "floor = {}", budget.node_floor)
}
