use super::*;

fn group(load: f64, connection_count: u64) -> ConnectionGroup {
    let connections = (0..connection_count)
        .map(|id| Connection {
            id: RequestId(id),
            load: load / connection_count as f64,
        })
        .collect();
    ConnectionGroup { load, connections }
}

fn budget(excess: f64, random: f64) -> ExcessLoadBudget {
    ExcessLoadBudget { excess, random }
}

#[test]
fn a_group_that_exceeds_the_excess_by_half_at_most_is_taken_whole() {
    assert!(budget(2.0, 0.9).take_group(&group(3.0, 3)));
    assert!(!budget(2.0, 0.9).take_group(&group(3.1, 3)));
}

#[test]
fn groups_are_taken_until_no_excess_is_left() {
    let mut budget = budget(2.0, 0.9);
    assert!(budget.take_group(&group(1.5, 2)));
    assert!(budget.take_group(&group(0.5, 2)));
    assert!(!budget.take_group(&group(0.1, 2)));
}

#[test]
fn a_heavy_single_connection_is_taken_in_proportion_to_the_excess() {
    assert!(budget(1.0, 0.2).take_group(&group(5.0, 1)));
    assert!(!budget(1.0, 0.3).take_group(&group(5.0, 1)));
    assert!(!budget(0.0, 0.0).take_group(&group(5.0, 1)), "no excess");
}

#[test]
fn connections_are_not_shed_until_they_are_old_enough() {
    let second = 1_000_000_000;
    let mut request = RequestState {
        in_flight: Some(crate::state::request::Attempt {
            server: crate::state::server_table::UNKNOWN,
            skips_setup: false,
            sent_at: Timestamp(0),
            is_established: true,
            is_migrated: false,
        }),
        ..RequestState::default()
    };
    assert!(!may_shed(Timestamp(2 * second), &request));
    assert!(may_shed(Timestamp(3 * second), &request));
    request.is_reconnect = true;
    assert!(!may_shed(Timestamp(8 * second), &request));
    assert!(may_shed(Timestamp(9 * second), &request));
    request.is_finished = true;
    assert!(!may_shed(Timestamp(9 * second), &request));
}
