//! Printed summaries of outcomes and fits.

use lupincrank_scale::outcome::{Outcome, PropagationTimes, RoleCost};
use lupincrank_scale::regression::{LinearFit, Metric, QuadraticFit, FITTED_METRICS};
use serde_json::Value;

/// Prints an outcome.
pub(crate) fn print_outcome(outcome: &Outcome) {
    println!(
        "{} nodes ({} real, {} in the operator's file), loss {}, seed {}: settled after {:.1} s, {} voters after {:.1} s, leader {}",
        outcome.node_count,
        outcome.real_count,
        outcome.expected_count,
        outcome.loss_ratio,
        outcome.seed,
        outcome.settle_s,
        outcome.voters.len(),
        outcome.votes_s,
        outcome.leader
    );
    for (name, cost) in &outcome.roles {
        print_role(name, cost);
    }
    print_times("limit change", &outcome.change_times);
    print_times("node failure", &outcome.failure_times);
    for budget in &outcome.budgets {
        println!(
            "  budget {}: peak {} uses in a second, limit {}, fraction used under saturation {:.2}",
            budget.name,
            budget.peak,
            budget.limit,
            budget.usage_ratio.unwrap_or(0.0)
        );
    }
    println!(
        "  injected losses {}, unknown {}",
        outcome.lost_count, outcome.unknown_count
    );
    for violation in &outcome.violations {
        println!("  BROKEN {violation}");
    }
}

fn print_role(name: &str, cost: &RoleCost) {
    println!(
        "  {name:12} {:4} nodes: {:9.0} bytes/s out (mean; busiest {:.0}, busiest second {:.0}), {:7.0} in, \
         {:6.1} messages/s (busiest second {:.0}), {:.2}% of a core (busiest {:.2}%), {:.1} MB",
        cost.processes,
        cost.bytes_out_per_s_mean,
        cost.bytes_out_per_s_busiest,
        cost.bytes_out_per_s_max,
        cost.bytes_in_per_s_mean,
        cost.messages_per_s_mean,
        cost.messages_per_s_max,
        cost.cpu_share_mean * 100.0,
        cost.cpu_share_max * 100.0,
        cost.rss_mb_max
    );
}

fn print_times(event: &str, times: &PropagationTimes) {
    println!(
        "  {event} known after {:.0} ms by 50% of nodes, {:.0} by 99%, {:.0} by all (worst of {} measurements; {} nodes not reached)",
        times.p50_ms, times.p99_ms, times.all_ms, times.measurement_count, times.missing_count
    );
}

/// Prints that a metric exceeds its bound or was not measured.
pub(crate) fn print_exceeded(metric: &str, value: f64, max: f64) {
    println!("  BROKEN {metric}: {value:.1}, maximum {max}");
}

/// Prints the models fitted to all metrics, and their values at a size.
pub(crate) fn print_fits(outcomes: &[Value], size: f64) {
    for metric in FITTED_METRICS {
        print_fit(metric, outcomes, size);
    }
}

fn print_fit(metric: Metric, outcomes: &[Value], size: f64) {
    let Metric { role, name } = metric;
    let points = metric.points(outcomes);
    let Some(linear) = LinearFit::new(&points) else {
        println!(
            "{role} {name}: {} outcomes are not enough: at least two cluster sizes are needed",
            points.len()
        );
        return;
    };
    let power = match linear.power_law {
        Some(model) => format!(
            "n^{:.2} (residual {:.1}%)",
            model.exponent,
            model.residual * 100.0
        ),
        None => "no power law".to_string(),
    };
    println!(
        "{role} {name}: {:.6} + {:.6} n (residual {:.1}%), {power}; at {size}: {:.4}",
        linear.base,
        linear.slope,
        linear.residual * 100.0,
        linear.value_at(size)
    );
    if let Some(quadratic) = QuadraticFit::new(&points) {
        println!(
            "    or n ({:.6} + {:.6} n) (residual {:.1}%); at {size}: {:.4}",
            quadratic.base,
            quadratic.slope,
            quadratic.residual * 100.0,
            quadratic.value_at(size)
        );
    }
}
