//! What a gateway has learnt of its servers, for a process that takes its place at once: spans instead of moments, since the
//! two have clocks of their own.

use crate::state::fleet::Fleet;
use crate::{Health, ServerId, Settings, Timestamp};
use std::time::Duration;

/// What was learnt of one server.
#[derive(Clone, Debug, PartialEq)]
pub struct LearnedServer {
    /// Which server.
    pub server: ServerId,
    /// How long ago it started, if that is known.
    pub started_ago: Option<Duration>,
    /// The most load of this gateway's that it may hold, in units of work a second; none if it was never crowded.
    pub concurrency_limit: Option<f64>,
    /// How long ago it was last crowded.
    pub overloaded_ago: Option<Duration>,
    /// For how long it is still barred.
    pub ejected_for: Option<Duration>,
    /// How often it was barred in a row, and its failures since.
    pub ejection_count: u32,
    /// See `bars`.
    pub consecutive_failures: u32,
    /// It will come back cold.
    pub restart_suspected: bool,
}

/// The moment a `span` before `now`.
fn before(now: Timestamp, span: Duration) -> Timestamp {
    Timestamp(
        now.0
            .saturating_sub(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)),
    )
}

impl Fleet {
    /// What was learnt of the servers that are listed.
    pub fn learned_state(&self, now: Timestamp) -> Vec<LearnedServer> {
        let listed = self.servers.slots().into_iter();
        let learnt = listed.filter_map(|at| Some((self.servers.id(at)?, self.servers.get(at)?)));
        let learnt = learnt
            .filter(|(_, server)| server.health != Health::Removed)
            .map(|(id, server)| LearnedServer {
                server: id.clone(),
                started_ago: server
                    .started_at
                    .map(|at| now.saturating_duration_since(at)),
                concurrency_limit: Some(server.concurrency_limit).filter(|cap| cap.is_finite()),
                overloaded_ago: server
                    .overloaded_at
                    .map(|at| now.saturating_duration_since(at)),
                ejected_for: server
                    .ejected_until
                    .map(|until| until.saturating_duration_since(now)),
                ejection_count: server.ejection_count,
                consecutive_failures: server.consecutive_failures,
                restart_suspected: server.restart_suspected,
            });
        let mut learnt: Vec<LearnedServer> = learnt.collect();
        learnt.sort_by(|a, b| a.server.cmp(&b.server));
        learnt
    }

    /// Takes over what another process learnt, as far as it is about listed servers. A later start that this one knows of
    /// makes it void: that was another process of the server.
    pub fn apply_learned_state(
        &mut self,
        settings: &Settings,
        now: Timestamp,
        learnt: Vec<LearnedServer>,
    ) {
        for learnt in learnt {
            let started = learnt.started_ago.map(|span| before(now, span));
            let at = self.servers.slot(&learnt.server);
            self.update(at, |server| {
                // The same start is told by both clocks within less than a second.
                let later = |at: Timestamp| {
                    started.is_none_or(|told| {
                        at.saturating_duration_since(told) > Duration::from_secs(1)
                    })
                };
                if server.health == Health::Removed || server.started_at.is_some_and(later) {
                    return;
                }
                server.started_at = server.started_at.max(started);
                server.is_warming_up = server.is_in_slow_start(settings, now);
                server.concurrency_limit = learnt
                    .concurrency_limit
                    .filter(|cap| *cap >= 0.0)
                    .unwrap_or(f64::INFINITY);
                server.overloaded_at = learnt.overloaded_ago.map(|span| before(now, span));
                server.ejected_until = learnt.ejected_for.map(|span| now.saturating_add(span));
                (server.ejection_count, server.consecutive_failures) =
                    (learnt.ejection_count, learnt.consecutive_failures);
                server.restart_suspected |= learnt.restart_suspected;
            });
        }
    }
}

#[cfg(test)]
mod tests;
