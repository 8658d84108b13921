//! The budget of sends to cold servers that this gateway has: its guess of what they bear, and, where the gateways divide
//! a budget among themselves, the slice that it holds of that.

use crate::{SlowStartLease, Timestamp};
use std::collections::VecDeque;

/// Sends that all gateways together may have saved up for a cold server.
pub const COLD_SAVED: f64 = 3.0;
/// The most sends that are kept in mind of one window: a slice beyond it is cut down to it.
const MOST_SENT: u32 = 1 << 16;

/// See the module.
#[derive(Default)]
pub struct SlowStartBudget {
    budget: f64,
    /// Above this it lets a send go: drawn anew after each, so that parts of a send add up over all gateways.
    pub mark: f64,
    slice: Option<SlowStartLease>,
    /// The sends of the last window, where there is a slice.
    sent: VecDeque<Timestamp>,
    /// The slice is used up, and that alone stands against a send.
    full: bool,
    /// The most sends in a window, and whether one was turned away, since it was last asked.
    most: usize,
    turned_away: bool,
}

impl SlowStartBudget {
    /// Nothing to send yet.
    pub fn new(mark: f64) -> SlowStartBudget {
        SlowStartBudget {
            mark,
            ..SlowStartBudget::default()
        }
    }

    /// How likely an unused send to a cold server is kept: what all gateways have saved up is the same however many
    /// there are. Guards against hundreds of them that spend one saved send each at the same moment.
    pub fn saved_per_node(&self, now: Timestamp, instances: u32) -> f64 {
        let slice = self
            .slice
            .as_ref()
            .filter(|slice| slice.expires_at.is_some_and(|until| now < until));
        slice.map_or(COLD_SAVED / f64::from(instances.max(1)), |slice| {
            COLD_SAVED * slice.fleet_share
        })
    }

    /// From now on this slice holds, or none: then the number of gateways decides alone.
    pub fn set_lease(&mut self, slice: Option<SlowStartLease>) {
        if slice.is_none() {
            self.sent.clear();
        }
        self.slice = slice;
    }

    /// So much more may be sent.
    pub fn add(&mut self, more: f64) {
        self.budget += more;
    }

    /// Upkeep: so much more, but never over `most` in all.
    pub fn refill(&mut self, more: f64, most: f64) {
        self.budget = (self.budget + more).min(most);
    }

    /// One was sent.
    pub fn record_send(&mut self, now: Timestamp) {
        self.budget -= 1.0;
        if self.slice.is_some() {
            self.sent.push_back(now);
            self.most = self.most.max(self.sent.len());
        }
    }

    /// A request looks for a server.
    pub fn note_demand(&mut self) {
        self.turned_away |= self.full;
    }

    /// The most sends in any window, and whether one was turned away for lack of a slice, since the last call.
    pub fn take_usage(&mut self) -> (u32, bool) {
        let most = std::mem::replace(&mut self.most, self.sent.len()).max(self.sent.len());
        (
            u32::try_from(most).unwrap_or(u32::MAX),
            std::mem::take(&mut self.turned_away),
        )
    }

    /// Whether a cold server may be sent something now. A slice that has run out is no slice: its clock is looked at here,
    /// before anything goes out, so that a process that was frozen finds out in time.
    pub fn is_open(&mut self, now: Timestamp) -> bool {
        let own = self.budget > self.mark;
        let Some(slice) = &self.slice else { return own };
        while self
            .sent
            .front()
            .is_some_and(|sent| now.saturating_duration_since(*sent) >= slice.window)
        {
            self.sent.pop_front();
        }
        let holds = slice.expires_at.is_some_and(|until| now < until);
        let sends = if holds { slice.limit } else { slice.floor };
        self.full = own && self.sent.len() >= sends.min(MOST_SENT) as usize;
        own && !self.full
    }

    /// Whether there is a slice at all, and with it a moment between two upkeeps at which more may go.
    pub fn has_lease(&self) -> bool {
        self.slice.is_some()
    }
}
