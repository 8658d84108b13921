//! The outcome of a run, as written in JSON.

use hdrhistogram::Histogram;
use lupincrank_fault_injection::checker::BudgetReport;
use serde::Serialize;
use std::collections::BTreeMap;

const US_PER_SECOND: f64 = 1e6;
const US_PER_MS: f64 = 1000.0;
const KB_PER_MB: f64 = 1024.0;
/// Upper bound of the histogram of propagation times, in microseconds.
const MAX_PROPAGATION_US: u64 = 10_000_000_000;

/// Cost of one role.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RoleCost {
    /// Number of nodes with this role.
    pub processes: usize,
    /// Bytes sent per second: maximum over all nodes and seconds.
    pub bytes_out_per_s_max: f64,
    /// Bytes sent per second: mean over all nodes and seconds.
    pub bytes_out_per_s_mean: f64,
    /// Bytes sent per second: mean of the busiest node.
    pub bytes_out_per_s_busiest: f64,
    /// Bytes received per second: mean over all nodes and seconds.
    pub bytes_in_per_s_mean: f64,
    /// Messages sent per second: maximum over all nodes and seconds.
    pub messages_per_s_max: f64,
    /// Messages sent per second: mean over all nodes and seconds.
    pub messages_per_s_mean: f64,
    /// CPU usage as a fraction of a core: mean of the busiest node.
    pub cpu_share_max: f64,
    /// CPU usage as a fraction of a core: mean over all nodes.
    pub cpu_share_mean: f64,
    /// Resident memory of the largest node in MB; for a hollow node, that of its process divided by the number of nodes
    /// in the process.
    pub rss_mb_max: f64,
    /// Cost of each second, summed over the nodes.
    pub seconds: Vec<RoleSecond>,
}

/// Cost of one role in one second, summed over its nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RoleSecond {
    /// Bytes sent.
    pub bytes_out: u64,
    /// Messages sent.
    pub messages_out: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Messages received.
    pub messages_in: u64,
    /// Cores in use.
    pub cpu: f64,
    /// Resident memory in MB.
    pub rss_mb: f64,
}

/// Cumulative counters and memory of a node at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeReading {
    /// Bytes sent.
    pub bytes_out: u64,
    /// Messages sent.
    pub messages_out: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Messages received.
    pub messages_in: u64,
    /// CPU time in microseconds.
    pub cpu_us: u64,
    /// Resident memory in kB.
    pub rss_kb: u64,
}

impl NodeReading {
    /// Returns the increase since an earlier reading; memory is that of the later reading.
    fn since(&self, earlier: &NodeReading) -> NodeReading {
        NodeReading {
            bytes_out: self.bytes_out - earlier.bytes_out,
            messages_out: self.messages_out - earlier.messages_out,
            bytes_in: self.bytes_in - earlier.bytes_in,
            messages_in: self.messages_in - earlier.messages_in,
            cpu_us: self.cpu_us.saturating_sub(earlier.cpu_us),
            rss_kb: self.rss_kb,
        }
    }

    fn cpu_seconds(&self) -> f64 {
        self.cpu_us as f64 / US_PER_SECOND
    }

    fn rss_mb(&self) -> f64 {
        self.rss_kb as f64 / KB_PER_MB
    }
}

/// Readings of all nodes at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Seconds since the first sample.
    pub at_s: f64,
    /// Indexed by node number.
    pub nodes: Vec<NodeReading>,
}

impl RoleCost {
    /// Computes the cost of the nodes of one role; samples are a second apart.
    pub fn new(samples: &[Sample], nodes: &[usize]) -> RoleCost {
        let mut cost = RoleCost {
            processes: nodes.len(),
            ..RoleCost::default()
        };
        let (Some(first), Some(last)) = (samples.first(), samples.last()) else {
            return cost;
        };
        if nodes.is_empty() || last.at_s - first.at_s <= 0.0 {
            return cost;
        }
        for pair in samples.windows(2) {
            cost.add_second(&pair[0], &pair[1], nodes);
        }
        cost.add_span(first, last, nodes);
        cost
    }

    fn add_second(&mut self, before: &Sample, after: &Sample, nodes: &[usize]) {
        let seconds = after.at_s - before.at_s;
        let mut sum = RoleSecond::default();
        for &node in nodes {
            let added = after.nodes[node].since(&before.nodes[node]);
            let bytes_per_s = added.bytes_out as f64 / seconds;
            let messages_per_s = added.messages_out as f64 / seconds;
            self.bytes_out_per_s_max = self.bytes_out_per_s_max.max(bytes_per_s);
            self.messages_per_s_max = self.messages_per_s_max.max(messages_per_s);
            sum.bytes_out += added.bytes_out;
            sum.messages_out += added.messages_out;
            sum.bytes_in += added.bytes_in;
            sum.messages_in += added.messages_in;
            sum.cpu += added.cpu_seconds() / seconds;
            sum.rss_mb += added.rss_mb();
        }
        self.seconds.push(sum);
    }

    fn add_span(&mut self, first: &Sample, last: &Sample, nodes: &[usize]) {
        let span_s = last.at_s - first.at_s;
        let node_count = nodes.len() as f64;
        for &node in nodes {
            let added = last.nodes[node].since(&first.nodes[node]);
            let bytes_out_per_s = added.bytes_out as f64 / span_s;
            let bytes_in_per_s = added.bytes_in as f64 / span_s;
            let messages_per_s = added.messages_out as f64 / span_s;
            let cpu_share = added.cpu_seconds() / span_s;
            self.bytes_out_per_s_busiest = self.bytes_out_per_s_busiest.max(bytes_out_per_s);
            self.bytes_out_per_s_mean += bytes_out_per_s / node_count;
            self.bytes_in_per_s_mean += bytes_in_per_s / node_count;
            self.messages_per_s_mean += messages_per_s / node_count;
            self.cpu_share_max = self.cpu_share_max.max(cpu_share);
            self.cpu_share_mean += cpu_share / node_count;
            self.rss_mb_max = self.rss_mb_max.max(added.rss_mb());
        }
    }
}

/// Times until a change reached 50% and 99% of the nodes, and all nodes, in milliseconds: the maximum of several
/// measurements.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PropagationTimes {
    /// Number of measurements.
    #[serde(rename = "times")]
    pub measurement_count: usize,
    /// Time until the change reached 50% of the nodes.
    #[serde(rename = "p50")]
    pub p50_ms: f64,
    /// Time until the change reached 99% of the nodes.
    #[serde(rename = "p99")]
    pub p99_ms: f64,
    /// Time until the change reached all nodes.
    #[serde(rename = "all")]
    pub all_ms: f64,
    /// Number of nodes not reached within the time limit, summed over all measurements.
    #[serde(rename = "missing")]
    pub missing_count: usize,
}

impl PropagationTimes {
    /// Adds a measurement: the times of the nodes reached, and the number of the others.
    pub fn add(&mut self, reached_ms: &[f64], missing_count: usize) {
        let histogram = Histogram::<u64>::new_with_bounds(1, MAX_PROPAGATION_US, 3);
        let Ok(mut histogram) = histogram else {
            return;
        };
        for ms in reached_ms {
            histogram.saturating_record((ms * US_PER_MS) as u64);
        }
        let quantile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / US_PER_MS;
        let max_ms = histogram.max() as f64 / US_PER_MS;
        self.measurement_count += 1;
        self.missing_count += missing_count;
        self.p50_ms = self.p50_ms.max(quantile_ms(0.5));
        self.p99_ms = self.p99_ms.max(quantile_ms(0.99));
        self.all_ms = self.all_ms.max(max_ms);
    }
}

/// Outcome of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Number of all nodes.
    #[serde(rename = "nodes")]
    pub node_count: usize,
    /// Number of real nodes, each a process of the program.
    #[serde(rename = "real")]
    pub real_count: usize,
    /// Number of nodes that the operator's file lists.
    #[serde(rename = "expected")]
    pub expected_count: usize,
    /// Seed of the run.
    pub seed: u64,
    /// Fraction of datagrams that the proxies drop, and of stream chunks that they delay.
    #[serde(rename = "loss")]
    pub loss_ratio: f64,
    /// Duration of the cost measurement in seconds.
    #[serde(rename = "seconds")]
    pub measured_s: f64,
    /// Version of this program.
    pub version: &'static str,
    /// Seconds from the start of the nodes until all of them had a leader and reported all nodes as live.
    pub settle_s: f64,
    /// Seconds from the start of the nodes until the number of voters was reduced to its maximum.
    pub votes_s: f64,
    /// Names of the voters at the end.
    pub voters: Vec<String>,
    /// Name of the leader at the end.
    pub leader: String,
    /// Cost by role. The leader also counts as `control`, the role of all voters; the other roles contain no voters.
    pub roles: BTreeMap<&'static str, RoleCost>,
    /// Times until nodes knew a new limit of the budget.
    #[serde(rename = "change_ms")]
    pub change_times: PropagationTimes,
    /// Times until nodes detected the failure of a node.
    #[serde(rename = "death_ms")]
    pub failure_times: PropagationTimes,
    /// Usage of the budgets, from the reports of nodes.
    pub budgets: Vec<BudgetReport>,
    /// Violations of the budgets' rules.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
    /// Number of injected losses: datagrams dropped, and retransmission delays added to stream chunks.
    #[serde(rename = "lost")]
    pub lost_count: u64,
    /// Number of datagrams of unknown senders, undecodable directions of streams, and streams that could not be opened.
    #[serde(rename = "unknown")]
    pub unknown_count: u64,
}

#[cfg(test)]
mod tests;
