//! What a gateway has learnt of its servers, for a process that takes its place at once: spans instead of moments, since the
//! two have clocks of their own.

use crate::fleet::Fleet;
use crate::interface::*;
use std::time::Duration;

/// What was learnt of one server.
#[derive(Clone, Debug, PartialEq)]
pub struct Learnt {
    /// Which server.
    pub server: ServerId,
    /// How long ago it started, if that is known.
    pub started: Option<Duration>,
    /// The most load of this gateway's that it may hold, in units of work a second; none if it was never crowded.
    pub cap: Option<f64>,
    /// How long ago it was last crowded.
    pub crowded: Option<Duration>,
    /// For how long it is still barred.
    pub barred: Option<Duration>,
    /// How often it was barred in a row, and its failures since.
    pub bars: u32,
    /// See `bars`.
    pub strikes: u32,
    /// It will come back cold.
    pub crashed: bool,
}

/// The moment a `span` before `now`.
fn before(now: Time, span: Duration) -> Time {
    Time(
        now.0
            .saturating_sub(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)),
    )
}

impl Fleet {
    /// What was learnt of the servers that are listed.
    pub fn learnt(&self, now: Time) -> Vec<Learnt> {
        let listed = self.servers.slots().into_iter();
        let learnt = listed.filter_map(|at| Some((self.servers.id(at)?, self.servers.get(at)?)));
        let learnt = learnt
            .filter(|(_, server)| server.health != Health::Gone)
            .map(|(id, server)| Learnt {
                server: id.clone(),
                started: server.started.map(|at| now.since(at)),
                cap: Some(server.cap).filter(|cap| cap.is_finite()),
                crowded: server.crowded_at.map(|at| now.since(at)),
                barred: server.barred_until.map(|until| until.since(now)),
                bars: server.bars,
                strikes: server.strikes,
                crashed: server.crashed,
            });
        let mut learnt: Vec<Learnt> = learnt.collect();
        learnt.sort_by(|a, b| a.server.cmp(&b.server));
        learnt
    }

    /// Takes over what another process learnt, as far as it is about listed servers. A later start that this one knows of
    /// makes it void: that was another process of the server.
    pub fn take_learnt(&mut self, settings: &Settings, now: Time, learnt: Vec<Learnt>) {
        for learnt in learnt {
            let started = learnt.started.map(|span| before(now, span));
            let at = self.servers.slot(&learnt.server);
            self.change(at, |server| {
                // The same start is told by both clocks within less than a second.
                let later =
                    |at: Time| started.map_or(true, |told| at.since(told) > Duration::from_secs(1));
                if server.health == Health::Gone || server.started.is_some_and(later) {
                    return;
                }
                server.started = server.started.max(started);
                server.cold = server.is_cold(settings, now);
                server.cap = learnt
                    .cap
                    .filter(|cap| *cap >= 0.0)
                    .unwrap_or(f64::INFINITY);
                server.crowded_at = learnt.crowded.map(|span| before(now, span));
                server.barred_until = learnt.barred.map(|span| now.after(span));
                (server.bars, server.strikes) = (learnt.bars, learnt.strikes);
                server.crashed |= learnt.crashed;
            });
        }
    }
}

#[cfg(test)]
mod tests;
