//! The state that a process has learned about its servers, for the successor process that takes over from it. Contains
//! durations instead of timestamps, because the two processes have different clocks.

use crate::state::fleet::Fleet;
use crate::state::server::Server;
use crate::{Health, ServerId, Settings, Timestamp};
use std::time::Duration;

/// Maximum difference between the start times that two clocks give for the same process of a server.
const START_TOLERANCE: Duration = Duration::from_secs(1);

/// The state learned about one server.
#[derive(Clone, Debug, PartialEq)]
pub struct LearnedServer {
    /// The server.
    pub server: ServerId,
    /// Time since the server started, if known.
    pub started_ago: Option<Duration>,
    /// The maximum load from this node, in units of work per second; `None` without a concurrency limit.
    pub concurrency_limit: Option<f64>,
    /// Time since the server was last overloaded.
    pub overloaded_ago: Option<Duration>,
    /// Remaining time of its ejection.
    pub ejected_for: Option<Duration>,
    /// Number of ejections since the server started.
    pub ejection_count: u32,
    /// Number of failures since the last success.
    pub consecutive_failures: u32,
    /// Whether the server probably restarted, so that it will be warming up when it accepts connections again.
    pub restart_suspected: bool,
}

impl LearnedServer {
    fn new(now: Timestamp, id: &ServerId, server: &Server) -> LearnedServer {
        let elapsed = |time: Timestamp| now.saturating_duration_since(time);
        let ejected_until = server.ejection.until;
        LearnedServer {
            server: id.clone(),
            started_ago: server.started_at.map(elapsed),
            concurrency_limit: Some(server.limit.max_load).filter(|limit| limit.is_finite()),
            overloaded_ago: server.limit.overloaded_at.map(elapsed),
            ejected_for: ejected_until.map(|until| until.saturating_duration_since(now)),
            ejection_count: server.ejection.count,
            consecutive_failures: server.ejection.consecutive_failures,
            restart_suspected: server.restart_suspected,
        }
    }

    fn apply_to(&self, settings: &Settings, now: Timestamp, server: &mut Server) {
        let started_at = self.started_ago.map(|elapsed| before(now, elapsed));
        let limit = self.concurrency_limit.filter(|limit| *limit >= 0.0);
        server.started_at = server.started_at.max(started_at);
        server.slow_start.is_active = server.is_in_slow_start(settings, now);
        server.limit.max_load = limit.unwrap_or(f64::INFINITY);
        server.limit.overloaded_at = self.overloaded_ago.map(|elapsed| before(now, elapsed));
        server.ejection.until = self.ejected_for.map(|span| now.saturating_add(span));
        server.ejection.count = self.ejection_count;
        server.ejection.consecutive_failures = self.consecutive_failures;
        server.restart_suspected |= self.restart_suspected;
    }

    /// Returns true if the server is known to have started later, so that the learned state is about an earlier
    /// process.
    fn is_outdated(&self, now: Timestamp, server: &Server) -> bool {
        let Some(known_start) = server.started_at else {
            return false;
        };
        let Some(started_ago) = self.started_ago else {
            return true;
        };
        let started_at = before(now, started_ago);
        known_start.saturating_duration_since(started_at) > START_TOLERANCE
    }
}

/// The time `span` before `now`.
fn before(now: Timestamp, span: Duration) -> Timestamp {
    let nanoseconds = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
    Timestamp(now.0.saturating_sub(nanoseconds))
}

impl Fleet {
    /// The learned state of the servers on the endpoint list, ordered by id.
    pub(crate) fn learned_state(&self, now: Timestamp) -> Vec<LearnedServer> {
        let mut learned: Vec<LearnedServer> = self
            .servers
            .slots()
            .into_iter()
            .filter_map(|slot| {
                let server = self.servers.get(slot)?;
                let id = self.servers.id(slot)?;
                (server.health != Health::Removed).then(|| LearnedServer::new(now, id, server))
            })
            .collect();
        learned.sort_by(|a, b| a.server.cmp(&b.server));
        learned
    }

    /// Applies the state that another process learned about the servers on the endpoint list.
    pub(crate) fn apply_learned_state(
        &mut self,
        settings: &Settings,
        now: Timestamp,
        learned_servers: &[LearnedServer],
    ) {
        for learned in learned_servers {
            let slot = self.servers.slot(&learned.server);
            self.update(slot, |server| {
                if server.health != Health::Removed && !learned.is_outdated(now, server) {
                    learned.apply_to(settings, now, server);
                }
            });
        }
    }
}

#[cfg(test)]
mod tests;
