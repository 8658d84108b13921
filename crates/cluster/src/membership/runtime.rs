//! The environment of the SWIM implementation. It queues the outputs and timers, which [`super::Membership`] processes.

use super::datagram;
use super::{Identity, MembershipOutput};
use foca::{Notification, Runtime, Timer};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// More rejoins than this within [`REJOIN_WINDOW`] indicate that another incarnation uses this name. An ordinary rejoin
/// takes longer, because a suspicion precedes it, whereas each rejoin under a contested name is rejected immediately.
pub(super) const MAX_REJOINS_PER_WINDOW: u32 = 3;
const REJOIN_WINDOW: Duration = Duration::from_secs(1);
/// The number of timers that may be pending: a few for each member. Further timers are dropped.
const MAX_PENDING_TIMERS: usize = 16 << 10;

/// Orders timers by due time, and then in the order in which they were set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    due_at: Duration,
    sequence: u64,
}

/// Counts the rejoins of this incarnation within one window.
#[derive(Default)]
struct RejoinCounter {
    window_start: Duration,
    count: u32,
}

impl RejoinCounter {
    /// Records a rejoin. Returns true if there were too many in the window.
    fn record(&mut self, now: Duration) -> bool {
        if now.saturating_sub(self.window_start) >= REJOIN_WINDOW {
            self.window_start = now;
            self.count = 0;
        }
        self.count += 1;
        self.count > MAX_REJOINS_PER_WINDOW
    }
}

/// The queues between the SWIM implementation and [`super::Membership`].
#[derive(Default)]
pub(super) struct SwimRuntime {
    pub(super) now: Duration,
    outputs: VecDeque<MembershipOutput>,
    timers: BTreeMap<TimerKey, Timer<Identity>>,
    timer_count: u64,
    cluster_tag: u32,
    rejoins: RejoinCounter,
    is_name_contested: bool,
    is_leaving: bool,
}

impl SwimRuntime {
    pub(super) fn new(cluster_tag: u32) -> SwimRuntime {
        SwimRuntime {
            cluster_tag,
            ..SwimRuntime::default()
        }
    }

    pub(super) fn cluster_tag(&self) -> u32 {
        self.cluster_tag
    }

    pub(super) fn push_output(&mut self, output: MembershipOutput) {
        self.outputs.push_back(output);
    }

    pub(super) fn next_output(&mut self) -> Option<MembershipOutput> {
        self.outputs.pop_front()
    }

    /// The due time of the earliest timer.
    pub(super) fn next_timer(&self) -> Option<Duration> {
        self.timers.keys().next().map(|key| key.due_at)
    }

    /// Removes and returns the earliest timer that is due now.
    pub(super) fn pop_due_timer(&mut self) -> Option<Timer<Identity>> {
        let earliest = self.timers.first_entry()?;
        if earliest.key().due_at > self.now {
            return None;
        }
        Some(earliest.remove())
    }

    pub(super) fn clear_timers(&mut self) {
        self.timers.clear();
    }

    /// Records that this node leaves the cluster voluntarily.
    pub(super) fn begin_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Returns true if the rejoins since the last call indicate that another incarnation uses this name.
    pub(super) fn take_name_contested(&mut self) -> bool {
        std::mem::take(&mut self.is_name_contested)
    }
}

impl Runtime<Identity> for SwimRuntime {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        match notification {
            Notification::MemberUp(member) => {
                self.push_output(MembershipOutput::MemberUp(member.clone()));
            }
            Notification::MemberDown(member) => {
                self.push_output(MembershipOutput::MemberDown(member.clone()));
            }
            // Another incarnation of a name replaces the previous one.
            Notification::Rename(before, after) => {
                self.push_output(MembershipOutput::MemberDown(before.clone()));
                self.push_output(MembershipOutput::MemberUp(after.clone()));
            }
            Notification::Rejoin(local) => {
                self.is_name_contested |= self.rejoins.record(self.now);
                self.push_output(MembershipOutput::Rejoined {
                    generation: local.generation,
                });
            }
            // A voluntary leave and a later incarnation of this node's name cause the same notification.
            Notification::Defunct if self.is_leaving => {}
            Notification::Defunct => self.push_output(MembershipOutput::Replaced),
            Notification::Active | Notification::Idle => {}
        }
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        let bytes = datagram::encode(self.cluster_tag, data);
        self.push_output(MembershipOutput::Datagram {
            to: to.address,
            bytes,
        });
    }

    fn submit_after(&mut self, timer: Timer<Identity>, after: Duration) {
        self.timer_count += 1;
        if self.timers.len() < MAX_PENDING_TIMERS {
            let key = TimerKey {
                due_at: self.now + after,
                sequence: self.timer_count,
            };
            self.timers.insert(key, timer);
        }
    }
}
