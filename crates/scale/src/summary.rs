//! What is printed of outcomes and fits.

use lupincrank_scale::outcome::{Outcome, PropagationTimes, RoleCost};
use lupincrank_scale::regression::{Figure, LinearFit, QuadraticFit, FITTED_FIGURES};
use serde_json::Value;

/// Prints an outcome.
pub(crate) fn print_outcome(outcome: &Outcome) {
    println!(
        "{} nodes ({} real, {} in the file), loss {}, seed {}: all took part after {:.1} s, {} votes after {:.1} s, leader {}",
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
    print_times("a change holds", &outcome.change_times);
    print_times("a death is known", &outcome.death_times);
    for budget in &outcome.budgets {
        println!(
            "  budget {}: {} in a second at the most, {} are the whole, {:.2} of it in use when pressed",
            budget.name,
            budget.peak,
            budget.limit,
            budget.usage_ratio.unwrap_or(0.0)
        );
    }
    println!(
        "  lost on purpose {}, unknown {}",
        outcome.lost_count, outcome.unknown_count
    );
    for violation in &outcome.violations {
        println!("  BROKEN {violation}");
    }
}

fn print_role(name: &str, cost: &RoleCost) {
    println!(
        "  {name:12} {:4} of them: {:9.0} bytes/s out (mean; busiest {:.0}, busiest second {:.0}), {:7.0} in, \
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
        "  {event} after {:.0} ms at 50 in 100, {:.0} at 99, {:.0} at all ({} times, the worst; {} nodes never)",
        times.p50_ms, times.p99_ms, times.all_ms, times.measurement_count, times.missing_count
    );
}

/// Prints that a figure exceeds its bound.
pub(crate) fn print_exceeded(figure: &str, value: f64, max: f64) {
    println!("  BROKEN {figure}: {value:.1}, {max} are the most");
}

/// Prints the laws fitted to all figures, and their values at a size.
pub(crate) fn print_fits(outcomes: &[Value], size: f64) {
    for figure in FITTED_FIGURES {
        print_fit(figure, outcomes, size);
    }
}

fn print_fit(figure: Figure, outcomes: &[Value], size: f64) {
    let Figure { role, name } = figure;
    let points = figure.points(outcomes);
    let Some(linear) = LinearFit::new(&points) else {
        println!("{role} {name}: {} sizes are too few", points.len());
        return;
    };
    let power = match linear.power_law {
        Some(law) => format!(
            "n^{:.2} (misses {:.1}%)",
            law.exponent,
            law.residual * 100.0
        ),
        None => "no power".to_string(),
    };
    println!(
        "{role} {name}: {:.6} + {:.6} n (misses {:.1}%), {power}; at {size}: {:.4}",
        linear.base,
        linear.slope,
        linear.residual * 100.0,
        linear.at(size)
    );
    if let Some(quadratic) = QuadraticFit::new(&points) {
        println!(
            "    or n ({:.6} + {:.6} n) (misses {:.1}%); at {size}: {:.4}",
            quadratic.base,
            quadratic.slope,
            quadratic.residual * 100.0,
            quadratic.at(size)
        );
    }
}
