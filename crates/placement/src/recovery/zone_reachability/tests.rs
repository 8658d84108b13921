use super::*;
use crate::state::server_table::ServerTable;

const ZONE: u32 = 7;
const OTHER_ZONE: u32 = 8;
const WINDOW: Duration = Duration::from_secs(2);

fn at_millis(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000_000)
}

fn slots() -> [ServerSlot; 3] {
    let mut table: ServerTable<()> = ServerTable::default();
    ["a", "b", "c"].map(|name| table.insert(name.into(), ()))
}

#[test]
fn a_zone_may_be_unreachable_from_its_second_server_on() {
    let [a, b, _] = slots();
    let mut zones = ZoneReachability::default();
    assert!(!zones.record_unreachable(at_millis(0), ZONE, a, WINDOW));
    assert!(!zones.record_unreachable(at_millis(100), ZONE, a, WINDOW));
    assert!(!zones.record_unreachable(at_millis(100), OTHER_ZONE, b, WINDOW));
    assert!(zones.record_unreachable(at_millis(200), ZONE, b, WINDOW));
}

#[test]
fn a_failure_counts_for_its_window() {
    let [a, b, _] = slots();
    let mut zones = ZoneReachability::default();
    zones.record_unreachable(at_millis(0), ZONE, a, WINDOW);
    assert!(!zones.record_unreachable(at_millis(2_000), ZONE, b, WINDOW));
    assert_eq!(zones.unreachable_servers(ZONE), [b]);
}

#[test]
fn connections_at_other_servers_of_the_zone_put_two_failures_in_doubt() {
    let [a, b, c] = slots();
    let mut zones = ZoneReachability::default();
    zones.record_unreachable(at_millis(0), ZONE, a, WINDOW);
    zones.record_unreachable(at_millis(0), ZONE, b, WINDOW);
    assert!(zones.confirms_outage(ZONE, false));
    assert!(!zones.confirms_outage(ZONE, true));
    zones.record_unreachable(at_millis(0), ZONE, c, WINDOW);
    assert!(zones.confirms_outage(ZONE, true));
}

#[test]
fn an_unreachable_zone_stays_so_until_something_in_it_answers() {
    let [a, _, _] = slots();
    let mut zones = ZoneReachability::default();
    zones.mark_unreachable(ZONE);
    assert_eq!(zones.unreachable_zones(), [ZONE]);
    assert!(zones.record_unreachable(at_millis(9_000), ZONE, a, WINDOW));
    assert!(zones.record_answer(at_millis(9_500), ZONE));
    assert!(zones.unreachable_zones().is_empty());
    assert!(
        !zones.record_answer(at_millis(9_600), ZONE),
        "the zone is reachable already"
    );
}

#[test]
fn answers_of_a_zone_do_not_count_as_answers_outside_it() {
    let mut zones = ZoneReachability::default();
    zones.record_answer(at_millis(0), ZONE);
    assert!(!zones.answered_outside(at_millis(100), ZONE, WINDOW));
    assert!(zones.answered_outside(at_millis(100), OTHER_ZONE, WINDOW));
    assert!(!zones.answered_outside(at_millis(2_000), OTHER_ZONE, WINDOW));
}
