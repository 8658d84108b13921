//! Selectors of scenario files, and the parties that they select.

use crate::harness::{Harness, HarnessContext};
use crate::link::Party;
use rand::Rng;

/// Returns the parties that a selector currently selects.
pub(super) fn select(context: &mut HarnessContext, selector: &str) -> Vec<Party> {
    let harness = &mut context.application;
    match selector {
        "" | "all" => all_parties(harness),
        "nodes" => all_nodes(harness).collect(),
        "transcribers" => all_servers(harness).collect(),
        "discovery" => vec![Party::Discovery],
        "leader" => harness.leader().map(Party::Node).into_iter().collect(),
        "follower" => choose_follower(harness).into_iter().collect(),
        _ => select_numbered(harness, selector),
    }
}

fn all_nodes(harness: &Harness) -> impl Iterator<Item = Party> {
    (0..harness.nodes.len()).map(Party::Node)
}

fn all_servers(harness: &Harness) -> impl Iterator<Item = Party> {
    (0..harness.servers.len()).map(Party::UpstreamServer)
}

fn all_parties(harness: &Harness) -> Vec<Party> {
    all_nodes(harness)
        .chain(all_servers(harness))
        .chain([Party::Discovery])
        .collect()
}

/// Chooses a random running node that is not the leader.
fn choose_follower(harness: &mut Harness) -> Option<Party> {
    let leader = harness.leader();
    let followers: Vec<usize> = (0..harness.nodes.len())
        .filter(|node| Some(*node) != leader && harness.nodes[*node].is_running())
        .collect();
    if followers.is_empty() {
        return None;
    }
    let index = harness.rng.random_range(0..followers.len());
    Some(Party::Node(followers[index]))
}

/// Returns the number that follows this prefix in a selector.
fn parse_number(selector: &str, prefix: &str) -> Option<usize> {
    selector.strip_prefix(prefix)?.parse().ok()
}

fn select_numbered(harness: &Harness, selector: &str) -> Vec<Party> {
    if let Some(zone) = parse_number(selector, "zone") {
        return select_zone(harness, zone);
    }
    let node = parse_number(selector, "n")
        .filter(|node| *node < harness.nodes.len())
        .map(Party::Node);
    let server = parse_number(selector, "t")
        .filter(|server| *server < harness.servers.len())
        .map(Party::UpstreamServer);
    node.or(server).into_iter().collect()
}

fn select_zone(harness: &Harness, zone: usize) -> Vec<Party> {
    let zone_count = harness.scenario.zone_count;
    let is_in_zone = |party: &Party| match party {
        Party::Node(number) | Party::UpstreamServer(number) => number % zone_count == zone,
        Party::Discovery => false,
    };
    let parties = all_parties(harness).into_iter();
    parties.filter(is_in_zone).collect()
}

/// Returns the numbers of the nodes among the parties.
pub(super) fn nodes_of(parties: &[Party]) -> Vec<usize> {
    let number = |party: &Party| match party {
        Party::Node(node) => Some(*node),
        _ => None,
    };
    parties.iter().filter_map(number).collect()
}

/// Returns the numbers of the upstream servers among the parties.
pub(super) fn servers_of(parties: &[Party]) -> Vec<usize> {
    let number = |party: &Party| match party {
        Party::UpstreamServer(server) => Some(*server),
        _ => None,
    };
    parties.iter().filter_map(number).collect()
}
