//! Sets up nodes and transcribers with their links, and writes what each node is told.

use crate::links::Party;
use crate::processes::Node;
use crate::stage::Stage;
use crate::{hop, proxy};
use lupincrank_reactor::Context;
use lupincrank_test_servers::{discovery, transcriber};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Instant;

/// The settings that nodes are given.
fn settings(stage: &Stage) -> serde_json::Value {
    let scenario = &stage.scenario;
    let ns = |ms: u64| ms * 1_000_000;
    let zones: Vec<String> = (0..scenario.zones).map(zone).collect();
    let strength = &stage.fleet.strength;
    serde_json::json!({
        "Instances": scenario.instances.unwrap_or(*scenario.nodes.get_ref()),
        "Categories": [{"Name": "chat", "DeadlineNs": ns(scenario.clients.wait_ms), "PromiseNs": ns(500),
            "Repeat": "repeatable", "Group": "all", "Stream": true, "WindowNs": ns(5000), "Value": 1.0}],
        "FamilyInfo": {"Groups": true, "MessageAimNs": [ns(100)], "Mode": "proxy"},
        "Kinds": ["m"], "Localities": zones,
        "Limits": {"SendCap": 3, "MayProbe": false, "Peers": false, "RetryAfter": true,
            "MaxRetryAfterNs": ns(2000), "ConnectTimeoutNs": ns(150)},
        "Obligations": {"AnswerSlackNs": ns(20), "AskWithinNs": ns(10_000),
            "ColdNs": strength.cold.as_nanos() as u64, "DrainGraceNs": ns(500), "FallMultiple": strength.fall,
            "OverloadForNs": strength.fall_for.as_nanos() as u64, "StartCapacity": strength.start},
        "RegistryMode": "subscribe", "Tenants": [], "Report": {"Fields": [], "How": "off"},
    })
}

fn zone(number: usize) -> String {
    format!("zone{number}")
}

/// The operator's file of one node: the others are reached by the addresses that are its own.
fn operator(
    stage: &Stage,
    node: usize,
    via: &BTreeMap<usize, std::net::SocketAddr>,
    expected: usize,
) -> String {
    let names = |n: usize| format!("\"n{n}\"");
    let nodes: Vec<String> = (0..expected).map(names).collect();
    let one = &stage.nodes[node];
    let fleet = if one.foreign { "another" } else { "trial" };
    let mut text = format!(
        "[fleet]\nname = \"{fleet}\"\nnodes = [{}]\n",
        nodes.join(", ")
    );
    if stage.scenario.folder {
        text.push_str(&format!("folder = {:?}\n", one.keeps()));
    }
    text.push_str(&format!(
        "listen = \"{}\"\nzone = \"{}\"\n",
        one.fleet(),
        one.zone
    ));
    text.push_str("[fleet.seeds]\n");
    // Three others, and itself where it is alone: whoever is a seed starts with nobody to ask.
    let mut seeds: Vec<usize> = via
        .keys()
        .copied()
        .filter(|other| *other < expected)
        .take(3)
        .collect();
    if seeds.is_empty() {
        seeds.push(node.min(expected - 1));
    }
    for other in seeds {
        let at = via.get(&other).copied().unwrap_or_else(|| one.fleet());
        text.push_str(&format!("n{other} = \"{at}\"\n"));
    }
    text.push_str("[fleet.via]\n");
    for (other, at) in via {
        text.push_str(&format!("\"{}\" = \"{at}\"\n", stage.nodes[*other].fleet()));
    }
    if let Some(cold) = &stage.scenario.cold {
        text.push_str(&format!(
            "[budgets.cold]\nwhole = {}\nfloor = {}\n",
            cold.whole, cold.floor
        ));
    }
    text
}

/// Adds a node with all of its links, and writes what it is told. It is not started.
pub fn add(
    context: &mut Context<Stage>,
    program: Vec<String>,
    name: Option<String>,
) -> Result<usize, String> {
    let named = |error: std::io::Error| error.to_string();
    let node = context.nodes.len();
    let (high, low) = context.block;
    let ip = IpAddr::V4(Ipv4Addr::new(127, high, low, 1 + node as u8));
    let zone = zone(node % context.scenario.zones);
    let folder = context.folder.join(format!("n{node}"));
    let name = name.unwrap_or_else(|| format!("n{node}"));
    context
        .application
        .nodes
        .push(Node::new(name, zone, program, ip, folder));
    let party = Party::Node(node);
    let list = discovery::listen(context, node).map_err(named)?;
    let discovery = proxy::open(context, party, Party::Discovery, list).map_err(named)?;
    for one in 0..context.fleet.all.len() {
        let at = context.fleet.all[one].at;
        let dial = proxy::open(context, party, Party::Transcriber(one), at).map_err(named)?;
        context.list.dial(one, dial);
    }
    if context.scenario.talk {
        for other in 0..node {
            for (from, to) in [(node, other), (other, node)] {
                let target = context.nodes[to].fleet();
                let (from, to) = (Party::Node(from), Party::Node(to));
                let at = proxy::open(context, from, to, target).map_err(named)?;
                hop::open(context, from, to, at, target).map_err(named)?;
                context.application.ways.insert((from, to), at);
            }
        }
    }
    let (_, known, _) = context.list.told(node, 0, true);
    let known: serde_json::Value =
        serde_json::from_str(&known).map_err(|error| error.to_string())?;
    let one = &context.application.nodes[node];
    let config = serde_json::json!({
        "name": one.name, "listen": one.listen().to_string(), "discovery": discovery.to_string(),
        "management": one.management().to_string(),
        "seed": format!("{:x}", context.application.plan.seed.wrapping_mul(1_000_003).wrapping_add(node as u64)),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096},
        "known": known, "settings": settings(&context.application),
    });
    context.application.configs.insert(node, config);
    Ok(node)
}

/// Writes what a node is told at its start, by the links that there are now.
pub fn tell(context: &mut Context<Stage>, node: usize, expected: usize) -> Result<(), String> {
    let ways = context
        .application
        .ways
        .iter()
        .filter_map(|((from, to), at)| match (from, to) {
            (Party::Node(from), Party::Node(to)) if *from == node => Some((*to, *at)),
            _ => None,
        });
    let via: BTreeMap<usize, _> = ways.collect();
    let text = context
        .scenario
        .talk
        .then(|| operator(&context.application, node, &via, expected));
    let config = context
        .application
        .configs
        .get(&node)
        .cloned()
        .unwrap_or_default();
    context.application.nodes[node]
        .tell(&config, text.as_deref())
        .map_err(|error| error.to_string())
}

/// A node that nobody announced begins, or one with another one's name: the others have no way to it but the one that it opens, and do not expect it.
pub fn join(context: &mut Context<Stage>, name: Option<String>) -> Result<(), String> {
    let program = context.program.clone();
    let node = add(context, program, name)?;
    let expected = *context.scenario.nodes.get_ref();
    tell(context, node, expected)?;
    let verbose = context.verbose;
    context.nodes[node]
        .start(verbose)
        .map_err(|error| error.to_string())
}

/// One more transcriber.
pub fn release(context: &mut Context<Stage>, cold: bool) -> Result<(), String> {
    let named = |error: std::io::Error| error.to_string();
    let now = Instant::now();
    let one = transcriber::start(context, cold.then_some(now)).map_err(named)?;
    let at = context.fleet.all[one].at;
    let mut dials = Vec::new();
    for node in 0..context.nodes.len() {
        dials.push(
            proxy::open(context, Party::Node(node), Party::Transcriber(one), at).map_err(named)?,
        );
    }
    let zone = zone(one % context.scenario.zones);
    // Names that say nothing of the order: hashes of short ones lie close together.
    let name = format!(
        "s-{:08x}",
        crc32fast::hash(format!("{} {one}", context.plan.seed).as_bytes())
    );
    context.list.add(name, zone, 0, dials);
    if cold {
        context.list.started(one);
    }
    Ok(())
}
