//! What comes of a run, as its file has it.

use hdrhistogram::Histogram;
use lupincrank_fault_injection::checker::BudgetReport;
use serde::Serialize;
use std::collections::BTreeMap;

/// What one role costs.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Role {
    /// Nodes that had this role.
    pub processes: usize,
    /// The busiest second of any of them.
    pub bytes_out_per_s_max: f64,
    /// Over all of them and all seconds.
    pub bytes_out_per_s_mean: f64,
    /// The largest mean of any of them.
    pub bytes_out_per_s_busiest: f64,
    /// See `bytes_out_per_s_mean`.
    pub bytes_in_per_s_mean: f64,
    /// See `bytes_out_per_s_max`.
    pub messages_per_s_max: f64,
    /// See `bytes_out_per_s_mean`.
    pub messages_per_s_mean: f64,
    /// The part of a core over the whole span, of the busiest, and of all.
    pub cpu_share_max: f64,
    /// See `cpu_share_max`.
    pub cpu_share_mean: f64,
    /// Resident memory of the largest; a hollow node's is its process's, divided by the nodes in it.
    pub rss_mb_max: f64,
    /// By second: sums over the role.
    pub seconds: Vec<Second>,
}

/// One second of one role, summed up over its nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Bytes and messages sent and received.
    pub bytes_out: u64,
    /// See `bytes_out`.
    pub messages_out: u64,
    /// See `bytes_out`.
    pub bytes_in: u64,
    /// See `bytes_out`.
    pub messages_in: u64,
    /// Cores in use.
    pub cpu: f64,
    /// Resident memory in MB.
    pub rss_mb: f64,
}

/// What one node had cost by some moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reading {
    /// Sent and received, in bytes and messages.
    pub bytes_out: u64,
    /// See `bytes_out`.
    pub messages_out: u64,
    /// See `bytes_out`.
    pub bytes_in: u64,
    /// See `bytes_out`.
    pub messages_in: u64,
    /// Processor time in microseconds.
    pub cpu_us: u64,
    /// Resident memory in kB.
    pub rss_kb: u64,
}

/// One role's costs. `readings` are of all nodes, a second apart, with the seconds since the first.
pub fn role(readings: &[(f64, Vec<Reading>)], nodes: &[usize]) -> Role {
    let mut role = Role {
        processes: nodes.len(),
        ..Role::default()
    };
    let (Some(first), Some(last)) = (readings.first(), readings.last()) else {
        return role;
    };
    let span = last.0 - first.0;
    if nodes.is_empty() || span <= 0.0 {
        return role;
    }
    for pair in readings.windows(2) {
        let seconds = pair[1].0 - pair[0].0;
        let mut sum = Second::default();
        for node in nodes {
            let (before, after) = (&pair[0].1[*node], &pair[1].1[*node]);
            let (bytes, messages) = (
                after.bytes_out - before.bytes_out,
                after.messages_out - before.messages_out,
            );
            role.bytes_out_per_s_max = role.bytes_out_per_s_max.max(bytes as f64 / seconds);
            role.messages_per_s_max = role.messages_per_s_max.max(messages as f64 / seconds);
            sum.bytes_out += bytes;
            sum.messages_out += messages;
            sum.bytes_in += after.bytes_in - before.bytes_in;
            sum.messages_in += after.messages_in - before.messages_in;
            sum.cpu += after.cpu_us.saturating_sub(before.cpu_us) as f64 / 1e6 / seconds;
            sum.rss_mb += after.rss_kb as f64 / 1024.0;
        }
        role.seconds.push(sum);
    }
    let all = nodes.len() as f64;
    for node in nodes {
        let (before, after) = (&first.1[*node], &last.1[*node]);
        let bytes = (after.bytes_out - before.bytes_out) as f64 / span;
        let cpu = after.cpu_us.saturating_sub(before.cpu_us) as f64 / 1e6 / span;
        role.bytes_out_per_s_busiest = role.bytes_out_per_s_busiest.max(bytes);
        role.bytes_out_per_s_mean += bytes / all;
        role.bytes_in_per_s_mean += (after.bytes_in - before.bytes_in) as f64 / span / all;
        role.messages_per_s_mean += (after.messages_out - before.messages_out) as f64 / span / all;
        role.cpu_share_max = role.cpu_share_max.max(cpu);
        role.cpu_share_mean += cpu / all;
        role.rss_mb_max = role.rss_mb_max.max(after.rss_kb as f64 / 1024.0);
    }
    role
}

/// How long something took to hold at 50 and 99 in 100 nodes, and at all of them, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Held {
    /// How often it was measured; what follows is the worst of those.
    pub times: usize,
    /// At 50 in 100.
    pub p50: f64,
    /// At 99 in 100.
    pub p99: f64,
    /// At all.
    pub all: f64,
    /// Nodes that did not hold it before the run gave up, over all times.
    pub missing: usize,
}

impl Held {
    /// One more measurement.
    pub fn add(&mut self, after_ms: &[f64], missing: usize) {
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, 10_000_000_000, 3) else {
            return;
        };
        for ms in after_ms {
            histogram.saturating_record((ms * 1000.0) as u64);
        }
        let at = |part: f64| histogram.value_at_quantile(part) as f64 / 1000.0;
        self.times += 1;
        self.missing += missing;
        self.p50 = self.p50.max(at(0.5));
        self.p99 = self.p99.max(at(0.99));
        self.all = self.all.max(histogram.max() as f64 / 1000.0);
    }
}

/// See the module.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// All nodes, and those of them that are processes of the program.
    pub nodes: usize,
    /// See `nodes`.
    pub real: usize,
    /// How many of them the operator's file names.
    pub expected: usize,
    /// The seed, the part that is lost, and the seconds that were measured.
    pub seed: u64,
    /// See `seed`.
    pub loss: f64,
    /// See `seed`.
    pub seconds: f64,
    /// The commit of neither: this build's version.
    pub version: &'static str,
    /// How long it took until all took part, in seconds.
    pub settle_s: f64,
    /// The same until no more votes were to change.
    pub votes_s: f64,
    /// Voters at the end, and the leader.
    pub voters: Vec<String>,
    /// See `voters`.
    pub leader: String,
    /// By role.
    pub roles: BTreeMap<&'static str, Role>,
    /// Until a change of the whole held.
    pub change_ms: Held,
    /// Until a death was known.
    pub death_ms: Held,
    /// As uses arrived.
    pub budgets: Vec<BudgetReport>,
    /// Rules of the budget that were broken.
    pub broken: Vec<String>,
    /// Datagrams lost on purpose and parts of streams held back; what the doors could not tell apart.
    pub lost: u64,
    /// See `lost`.
    pub unknown: u64,
}

#[cfg(test)]
mod tests;
