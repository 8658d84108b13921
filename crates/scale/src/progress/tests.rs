use super::*;

fn report(node: usize, at_us: u64, budget_limit: u32, is_watched_node_live: bool) -> NodeReport {
    NodeReport {
        node,
        at_us,
        budget_limit,
        is_watched_node_live,
        has_leader: true,
        live_count: 2,
        ..NodeReport::default()
    }
}

fn reach_times(reached_ms: Vec<f64>, missing: Vec<usize>) -> ReachTimes {
    ReachTimes {
        reached_ms,
        missing,
    }
}

#[test]
fn the_first_report_that_reaches_the_goal_counts() {
    let mut progress = ClusterProgress::default();
    progress.record(report(0, 900, 8, true));
    progress.record(report(1, 900, 8, true));
    progress.set_goal(Goal::BudgetLimit(9));
    progress.record(report(0, 3_000, 9, true));
    progress.record(report(0, 5_000, 9, true));
    progress.record(report(1, 5_000, 8, true));
    assert_eq!(progress.reach_times(1_000), reach_times(vec![2.0], vec![1]));
    progress.record(report(1, 6_000, 9, true));
    assert_eq!(
        progress.reach_times(1_000),
        reach_times(vec![2.0, 5.0], vec![])
    );
    // Times of the previous goal do not count for the next goal.
    progress.set_goal(Goal::FailureKnown);
    assert_eq!(progress.reach_times(1_000).missing, [0, 1]);
    progress.record(report(0, 7_000, 9, false));
    progress.remove_node(1);
    assert_eq!(progress.reach_times(1_000), reach_times(vec![6.0], vec![]));
}

#[test]
fn a_node_without_report_or_with_too_few_live_nodes_is_not_settled() {
    let mut progress = ClusterProgress::default();
    progress.record(report(0, 1, 8, true));
    assert_eq!(progress.unsettled_nodes(2), [1]);
    progress.record(NodeReport {
        live_count: 1,
        ..report(1, 1, 8, true)
    });
    assert_eq!(progress.unsettled_nodes(2), [1]);
    progress.record(report(1, 2, 8, true));
    assert!(progress.unsettled_nodes(2).is_empty());
}
