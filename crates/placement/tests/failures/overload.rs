//! Servers that answer late: concurrency limits and load shedding.

use crate::common::*;
use crate::fixtures::*;
use lupincrank_placement::*;
use std::collections::BTreeSet;

/// Guards against a fleet that answers all messages late because it rejects no request.
#[test]
fn a_late_server_is_limited_and_requests_are_rejected_when_all_are_late() {
    let mut harness = with_established_connections(idempotent_settings(), &SERVERS, 60, 20);
    let server = busiest_server(&harness);
    report_delay(&mut harness, server, 40);
    let initial_count = open_requests_on(&harness, server).len();
    assert_eq!(
        migrations(&harness),
        vec![],
        "a slight delay limits a server and migrates nothing"
    );
    for id in 1_000..1_040 {
        receive(&mut harness, id, &format!("n:{id}"));
        harness.establish(id);
    }
    assert!(open_requests_on(&harness, server).len() <= initial_count);
    for server in SERVERS {
        report_delay(&mut harness, server, 40);
    }
    let rejected = (2_000..2_040).filter(|id| {
        receive(&mut harness, *id, &format!("m:{id}"));
        if harness.server_of(*id).is_some() {
            harness.establish(*id);
        }
        harness.requests[id].final_answer_count == 1
    });
    assert!(rejected.count() >= 35);
    // Without further overload, a server's limit may be exceeded, first for groups that the server already has, and the
    // limit rises over time. Otherwise an outdated limit would refuse requests forever.
    harness.advance_ms(6_000);
    receive(&mut harness, 3_000, "c:1");
    assert!(harness.server_of(3_000).is_some());
    harness.establish(3_000);
    harness.advance_ms(60_000);
    receive(&mut harness, 3_001, "m:1");
    assert!(harness.server_of(3_001).is_some());
}

/// Guards against load shedding that splits every group over the fleet, as shedding the heaviest connections first did.
#[test]
fn an_overloaded_server_sheds_whole_groups() {
    let mut harness = with_established_connections(idempotent_settings(), &SERVERS, 120, 24);
    let server = busiest_server(&harness);
    let group = |id: &u64| id % 24;
    let before: BTreeSet<u64> = open_requests_on(&harness, server)
        .iter()
        .map(group)
        .collect();
    report_delay(&mut harness, server, 300);
    let migrated = migrations(&harness);
    assert!(!migrated.is_empty());
    let shed_groups: BTreeSet<u64> = migrated.iter().map(group).collect();
    let remaining_groups: BTreeSet<u64> = open_requests_on(&harness, server)
        .iter()
        .map(group)
        .collect();
    assert!(
        shed_groups.intersection(&remaining_groups).count() <= 1,
        "more than one group is split"
    );
    assert!(remaining_groups.len() < before.len());
}

/// Guards against groups spread over too many servers: the connections of 214 groups formed 1,799 pairs of group and
/// server, and a server does as much shared work for a few connections of a group as for many.
#[test]
fn small_parts_of_groups_are_shed_before_large_ones() {
    // Four groups of one connection and six of ten.
    let mut harness = Harness::with_servers(idempotent_settings(), &["s1"]);
    for id in 0..64 {
        let group = if id < 4 { id } else { 10 + id % 6 };
        receive(&mut harness, id, &format!("c:{group}"));
        harness.establish(id);
    }
    harness.advance_ms(9_000);
    report_delay(&mut harness, "s1", 90);
    let migrated = migrations(&harness);
    assert!(!migrated.is_empty());
    assert!(
        migrated.iter().all(|id| *id < 4),
        "{migrated:?}: single connections of a group are not shed first"
    );
}

/// Guards against endless migrations while one node alone keeps observing long delays.
#[test]
fn migrations_are_limited() {
    let mut harness = with_established_connections(idempotent_settings(), &SERVERS, 300, 60);
    let mut migrated = 0;
    for _ in 0..10 {
        for server in SERVERS {
            if !open_requests_on(&harness, server).is_empty() {
                report_delay(&mut harness, server, 2_000);
                migrated += migrations(&harness).len();
            }
        }
    }
    assert!(
        (1..=91).contains(&migrated),
        "{migrated} of 300 migrated at once"
    );
}

/// Guards against nodes that keep sending requests to a late server because they have no connections there. A node that
/// has some informs them by gossip.
#[test]
fn gossip_about_a_late_server_keeps_other_nodes_away_for_a_while() {
    let gossip_settings = Settings {
        gossip_allowed: true,
        node_count: 2,
        ..idempotent_settings()
    };
    let mut holder = with_established_connections(gossip_settings.clone(), &SERVERS, 60, 20);
    let server = busiest_server(&holder);
    let mut gossip = None;
    for _ in 0..60 {
        let Some(connection) = open_requests_on(&holder, server).first().copied() else {
            break;
        };
        holder.deliver(Event::DelayObserved {
            request: RequestId(connection),
            delay: ms(200),
        });
        gossip = gossip.or(holder.last_actions.iter().find_map(|action| match action {
            Action::Gossip(message) => Some(message.clone()),
            _ => None,
        }));
        holder.advance_ms(1_000);
    }
    let message = gossip.expect("gossip of the node with connections");
    assert!(
        message.len() <= 4,
        "the message is too long: every other node receives it"
    );
    let mut other = Harness::with_servers(gossip_settings, &SERVERS);
    other.deliver(Event::Gossip(message));
    other.deliver(Event::Gossip("nobody knows what".into()));
    let count_on_server = |harness: &mut Harness, from: u64| {
        (from..from + 60)
            .filter(|id| {
                receive(harness, *id, &format!("n:{id}"));
                let placed = harness.server_of(*id);
                if placed.is_some() {
                    harness.establish(*id);
                }
                placed.as_deref() == Some(server)
            })
            .count()
    };
    assert_eq!(count_on_server(&mut other, 1_000), 0);
    other.advance_ms(6_000);
    assert!(
        count_on_server(&mut other, 2_000) > 0,
        "gossip does not expire"
    );
}

/// Returns how many of sixty new groups a node with few connections places on the second machine kind, after half a
/// minute in which servers of that kind were late every third second, or never.
fn count_placed_on_second_kind(is_second_kind_late: bool) -> usize {
    let (mut harness, names) = large_fleet(|n| n % 2 == 1);
    for second in 0..30 {
        for name in names
            .iter()
            .skip(1)
            .step_by(2)
            .filter(|_| is_second_kind_late && second % 3 == 0)
        {
            if !open_requests_on(&harness, name).is_empty() {
                report_delay(&mut harness, name, 40);
            }
        }
        harness.advance_ms(1_000);
    }
    let placed = (100..160).filter(|id| {
        receive(&mut harness, *id, &format!("d:{id}"));
        let server = harness.server_of(*id).unwrap();
        harness.establish(*id);
        names.iter().position(|name| *name == server).unwrap() % 2 == 1
    });
    placed.count()
}

/// Guards against overload of a machine kind that has half the speed of another at the same listed weight: it dropped
/// three quarters of the connections that it accepted, the other kind half.
#[test]
fn a_machine_kind_that_is_late_more_often_gets_fewer_keys() {
    let (baseline, late) = (
        count_placed_on_second_kind(false),
        count_placed_on_second_kind(true),
    );
    assert!(
        (20..=40).contains(&baseline),
        "{baseline} of 60 on half of the servers"
    );
    assert!(
        late > 0 && late * 3 < baseline * 2,
        "{late} of 60, {baseline} if none is late"
    );
}

/// Guards against overload without reported delays, seen on real sockets: servers dropped one connection after another
/// and kept the rest. If every connection that the network breaks counted as overload, no server would have capacity
/// left.
#[test]
fn a_server_that_drops_several_connections_at_once_sheds_others_but_not_after_single_losses() {
    let mut harness = with_established_connections(idempotent_settings(), &SERVERS, 60, 20);
    let server = busiest_server(&harness);
    for _ in 0..3 {
        harness.end_attempt(open_requests_on(&harness, server)[0], Outcome::Reset);
        assert_eq!(migrations(&harness), []);
        harness.advance_ms(2_000);
    }
    harness.end_attempt(open_requests_on(&harness, server)[0], Outcome::Reset);
    harness.end_attempt(open_requests_on(&harness, server)[0], Outcome::Reset);
    assert!(!migrations(&harness).is_empty());
}
