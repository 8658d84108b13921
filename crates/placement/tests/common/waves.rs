//! Reconnect waves, in which clients reconnect to all nodes within an overload window, and the request capacity of
//! servers in slow start.

use super::records::RequestRecord;
use lupincrank_placement::Settings;
use rand_core::RngCore;
use rand_pcg::Pcg32;
use std::time::Duration;

/// The number of groups of clients; the group of rank r is r times smaller than the first.
const GROUP_COUNT: u64 = 44;
/// The name prefix of servers in slow start.
const WARMING_PREFIX: &str = "cold";

/// A request that a node sent to a server.
pub struct SentRequest {
    pub server: String,
    pub sent_at: u64,
}

impl SentRequest {
    /// Returns true if it was sent to a server in slow start.
    pub fn is_to_warming_server(&self) -> bool {
        self.server.starts_with(WARMING_PREFIX)
    }
}

/// Returns all attempts of these requests.
pub fn sent_requests<'a>(records: impl Iterator<Item = &'a RequestRecord>) -> Vec<SentRequest> {
    let attempts = records.flat_map(|record| &record.attempts);
    attempts
        .map(|attempt| SentRequest {
            server: attempt.server.0.to_string(),
            sent_at: attempt.sent_at,
        })
        .collect()
}

/// Draws a number below `count`.
pub fn draw(rng: &mut Pcg32, count: u64) -> u64 {
    u64::from(rng.next_u32()) % count
}

/// Draws a group by Zipf's law; the first one is the largest.
pub fn draw_group(rng: &mut Pcg32) -> String {
    let weights = (1..=GROUP_COUNT).map(|rank| 1.0 / rank as f64);
    let total: f64 = weights.clone().sum();
    let mut remaining = total * draw(rng, 1 << 20) as f64 / (1u64 << 20) as f64;
    for (group, weight) in weights.enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return format!("group-{group}");
        }
    }
    "group-0".into()
}

/// Returns the number of requests that a server of this age can accept in an overload window, with a margin for random
/// variation. `capacity` is the number of connections that it can hold when it is warm.
pub fn max_requests(settings: &Settings, capacity: f64, age: Duration) -> f64 {
    let warm_up_seconds = settings.slow_start_duration.as_secs_f64();
    let progress = age.as_secs_f64() / warm_up_seconds;
    let initial_ratio = settings.initial_capacity_ratio;
    let capacity_ratio = initial_ratio + (1.0 - initial_ratio) * progress;
    // A warm server is assumed to accept requests at the rate that fills it within the duration of a warm-up, as in the
    // tests of steady demand.
    let rate = capacity / warm_up_seconds * capacity_ratio;
    let allowed = settings.overload_factor * rate * settings.overload_window.as_secs_f64();
    if allowed < 30.0 {
        allowed + 3.0 * allowed.sqrt() + 3.0
    } else {
        allowed + 2.0 * allowed.sqrt() + 2.0
    }
}

/// Returns the maximum load of a server in slow start: the requests sent to it in an overload window, as a fraction of
/// [`max_requests`].
pub fn max_load_ratio(
    settings: &Settings,
    capacity: f64,
    sent: &[SentRequest],
    started_at: u64,
) -> f64 {
    let window_length = settings.overload_window.as_nanos() as u64;
    let to_warming = sent.iter().filter(|request| request.is_to_warming_server());
    let ratios = to_warming.map(|first| {
        let window = first.sent_at..first.sent_at + window_length;
        let count = sent
            .iter()
            .filter(|request| request.server == first.server && window.contains(&request.sent_at))
            .count();
        let age = Duration::from_nanos(first.sent_at - started_at);
        count as f64 / max_requests(settings, capacity, age)
    });
    ratios.fold(0.0, f64::max)
}
