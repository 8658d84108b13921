use super::*;
use rstest::rstest;

/// The list of discovery after version 5, whose last change was the drain of `s-1`.
const VERSION: u64 = 5;

fn endpoint(server: &str, health: &str) -> ListedEndpoint {
    ListedEndpoint {
        server: server.to_string(),
        address: "127.0.0.1:1".to_string(),
        zone: None,
        machine_kind: None,
        cell: None,
        health: health.to_string(),
        weight: None,
        started_at_ms: None,
    }
}

fn endpoints(health: &[(&str, &str)]) -> Vec<Arc<ListedEndpoint>> {
    health
        .iter()
        .map(|(server, health)| Arc::new(endpoint(server, health)))
        .collect()
}

fn complete(version: u64, health: &[(&str, &str)]) -> EndpointListUpdate {
    EndpointListUpdate {
        version,
        is_complete: true,
        endpoints: endpoints(health),
    }
}

fn changes(version: u64, health: &[(&str, &str)]) -> EndpointListUpdate {
    EndpointListUpdate {
        is_complete: false,
        ..complete(version, health)
    }
}

fn position(generation: u32, version: u64) -> ListPosition {
    ListPosition {
        generation,
        version,
    }
}

fn watch_from(list: &MergedEndpointList, is_generation_known: bool) -> WatchPosition {
    WatchPosition {
        list: list.position(),
        is_generation_known,
    }
}

fn shared(
    position: ListPosition,
    previous_version: Option<u64>,
    health: &[(&str, &str)],
) -> SharedUpdate {
    SharedUpdate {
        position,
        previous_version,
        endpoints: endpoints(health),
    }
}

/// The list as text, such as `s-0 SERVING, s-1 DRAINING`.
fn text(list: &MergedEndpointList) -> String {
    let entries = list.endpoints.values();
    let texts: Vec<String> = entries
        .map(|endpoint| format!("{} {}", endpoint.server, endpoint.health))
        .collect();
    texts.join(", ")
}

/// A source of a list. The version of its list is the higher one of two, unless its name says otherwise.
#[derive(Clone, Copy, Debug)]
enum Source {
    Known,
    Discovery,
    Peer,
}

/// Merges a list whose servers and version are told by `version`.
fn merge(list: &mut MergedEndpointList, source: Source, version: u64, asked: &mut WatchPosition) {
    let health: &[(&str, &str)] = if version == VERSION {
        &[("s-0", "SERVING"), ("s-1", "DRAINING")]
    } else {
        &[("s-0", "SERVING"), ("s-1", "SERVING"), ("s-2", "SERVING")]
    };
    match source {
        Source::Known => list.merge_known(&complete(version, health)),
        Source::Discovery => list.merge_discovery(&complete(version, health), asked),
        Source::Peer => list.merge_shared(&shared(position(0, version), None, health), false),
    };
}

/// A list that arrived late took the place of a newer one of another source.
#[rstest]
fn the_newer_of_two_lists_remains_in_either_order(
    #[values(Source::Known, Source::Discovery, Source::Peer)] newer: Source,
    #[values(Source::Known, Source::Discovery, Source::Peer)] older: Source,
    #[values(false, true)] newer_is_first: bool,
) {
    let mut list = MergedEndpointList::default();
    // The call to discovery was made before any list had arrived.
    let mut asked = watch_from(&list, true);
    let order = [(newer, VERSION), (older, 3)];
    let order = if newer_is_first {
        order
    } else {
        [order[1], order[0]]
    };
    if matches!((newer, older), (Source::Discovery, Source::Discovery)) && newer_is_first {
        // On one watch, this order shows that the versions have begun anew.
        return;
    }
    for (source, version) in order {
        merge(&mut list, source, version, &mut asked);
    }
    assert_eq!(list.position(), position(0, VERSION));
    assert_eq!(text(&list), "s-0 SERVING, s-1 DRAINING");
}

#[test]
fn a_change_that_the_other_process_was_told_before_is_not_undone_by_a_late_watch() {
    let mut list = MergedEndpointList::default();
    let mut watch = watch_from(&list, true);
    list.merge_discovery(&complete(2, &[("s-0", "SERVING")]), &mut watch);
    let drain = shared(position(0, 3), Some(2), &[("s-0", "DRAINING")]);
    let release = shared(position(0, 4), Some(3), &[("s-0", "SERVING")]);
    assert_eq!(list.merge_shared(&drain, false), MergeOutcome::Merged);
    assert_eq!(list.merge_shared(&release, false), MergeOutcome::Merged);
    let late = changes(3, &[("s-0", "DRAINING")]);
    let outcome = list.merge_discovery(&late, &mut watch);
    assert_eq!(outcome, MergeOutcome::Outdated);
    assert_eq!(watch.list.version, 3);
    let next = changes(5, &[("s-0", "DRAINING")]);
    let outcome = list.merge_discovery(&next, &mut watch);
    assert_eq!(outcome, MergeOutcome::Merged);
    assert_eq!(text(&list), "s-0 DRAINING");
}

/// The version of a list with a gap would be asked for, so that the changes in the gap would never come.
#[test]
fn changes_whose_predecessors_are_missing_are_not_merged() {
    let mut list = MergedEndpointList::default();
    list.merge_known(&complete(2, &[("s-0", "SERVING")]));
    let gap = shared(position(0, 7), Some(6), &[("s-0", "DRAINING")]);
    assert_eq!(list.merge_shared(&gap, false), MergeOutcome::Outdated);
    assert_eq!(list.position(), position(0, 2));
}

#[test]
fn a_list_that_discovery_has_begun_anew_replaces_higher_versions() {
    let mut list = MergedEndpointList::default();
    list.merge_known(&complete(100, &[("s-0", "SERVING"), ("s-1", "SERVING")]));
    let mut watch = watch_from(&list, true);
    let mut other = MergedEndpointList::default();
    other.merge_known(&complete(100, &[("s-0", "SERVING"), ("s-1", "SERVING")]));
    list.merge_discovery(&complete(2, &[("s-1", "DRAINING")]), &mut watch);
    assert_eq!(list.position(), position(1, 2));
    // The other process's list from before, which was on its way.
    let outcome = list.merge_shared(&other.complete_update(), true);
    assert_eq!(outcome, MergeOutcome::Outdated);
    // The other process learns it from this one, and answers to its own call are no further beginning.
    let mut call_from_before = watch_from(&other, true);
    let outcome = other.merge_shared(&list.complete_update(), false);
    assert_eq!(outcome, MergeOutcome::Merged);
    let answer = complete(3, &[("s-1", "SERVING")]);
    other.merge_discovery(&answer, &mut call_from_before);
    assert_eq!(other.position(), position(1, 3));
    assert_eq!(call_from_before.list, position(1, 3));
    list.merge_shared(&other.complete_update(), false);
    assert_eq!(text(&list), "s-1 SERVING");
}

/// Each process sees on its own that the versions have begun anew, before it has heard of the other.
#[test]
fn two_processes_that_see_the_same_beginning_keep_the_later_list() {
    let mut lists = [2, 3].map(|version| {
        let mut list = MergedEndpointList::default();
        list.merge_known(&complete(100, &[("s-0", "SERVING")]));
        let mut watch = watch_from(&list, true);
        let health = if version == 3 { "DRAINING" } else { "SERVING" };
        list.merge_discovery(&complete(version, &[("s-0", health)]), &mut watch);
        list
    });
    let [first, second] = lists.each_ref().map(MergedEndpointList::complete_update);
    lists[0].merge_shared(&second, false);
    lists[1].merge_shared(&first, false);
    for list in &lists {
        assert_eq!(list.position(), position(1, 3));
        assert_eq!(text(list), "s-0 DRAINING");
    }
}

/// An older process may still watch at a former address of discovery, whose versions are others.
#[test]
fn changes_on_a_watch_of_an_earlier_generation_count_without_a_version() {
    let mut list = MergedEndpointList::default();
    let mut watch = watch_from(&list, true);
    list.merge_discovery(&complete(45, &[("s-0", "SERVING")]), &mut watch);
    let other = shared(position(1, 2), None, &[("s-0", "SERVING")]);
    assert_eq!(list.merge_shared(&other, false), MergeOutcome::Merged);
    let outcome = list.merge_discovery(&changes(46, &[("s-0", "DRAINING")]), &mut watch);
    assert_eq!(outcome, MergeOutcome::Merged);
    assert_eq!(list.position(), position(1, 2));
    assert_eq!(text(&list), "s-0 DRAINING");
}

#[test]
fn removed_servers_are_not_in_the_list() {
    let mut list = MergedEndpointList::default();
    let mut watch = watch_from(&list, true);
    list.merge_discovery(
        &complete(2, &[("s-0", "SERVING"), ("s-1", "SERVING")]),
        &mut watch,
    );
    list.merge_discovery(&changes(3, &[("s-0", "DELETED")]), &mut watch);
    assert_eq!(text(&list), "s-1 SERVING");
    let other = shared(position(0, 4), None, &[("s-2", "SERVING")]);
    list.merge_shared(&other, false);
    assert_eq!(text(&list), "s-2 SERVING");
}

#[test]
fn a_list_of_the_same_position_replaces_that_of_the_file_only() {
    let mut list = MergedEndpointList::default();
    list.merge_known(&complete(2, &[("s-0", "SERVING")]));
    let same = shared(position(0, 2), None, &[("s-0", "SERVING")]);
    assert_eq!(list.merge_shared(&same, false), MergeOutcome::Outdated);
    assert_eq!(list.merge_shared(&same, true), MergeOutcome::Merged);
}

/// The file is of the present versions, which discovery began anew before. A process that had called from the file's version
/// applied what it was told without a version, so that the other process's older changes undid it.
#[test]
fn a_watch_from_the_version_of_the_file_counts_in_the_generation_of_the_other_process() {
    let mut list = MergedEndpointList::default();
    list.merge_known(&complete(5, &[("s-0", "SERVING")]));
    let mut watch = watch_from(&list, false);
    let other = shared(position(1, 5), None, &[("s-0", "SERVING")]);
    list.merge_shared(&other, true);
    list.merge_discovery(&changes(7, &[("s-0", "DRAINING")]), &mut watch);
    assert_eq!(list.position(), position(1, 7));
    let late = shared(position(1, 6), Some(5), &[("s-0", "SERVING")]);
    assert_eq!(list.merge_shared(&late, false), MergeOutcome::Outdated);
    assert_eq!(text(&list), "s-0 DRAINING");
}

/// Copies of the list of a large fleet, for the other process and in each merge, took two processes over the least limit of
/// memory.
#[test]
fn a_list_is_merged_and_passed_on_without_copies() {
    let update = complete(2, &[("s-0", "SERVING")]);
    let mut list = MergedEndpointList::default();
    list.merge_known(&update);
    let mut other = MergedEndpointList::default();
    other.merge_shared(&list.complete_update(), false);
    let passed_on = other.complete_update();
    assert!(Arc::ptr_eq(&update.endpoints[0], &passed_on.endpoints[0]));
}
