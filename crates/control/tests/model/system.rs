//! The states and events that the model checker explores.

use lupincrank_control::entry::Grant;
use lupincrank_control::lease::{GrantClocks, LeaseHolder, LeaseRequest};
use lupincrank_control::member::MemberId;
use lupincrank_control::state::ClusterState;
use lupincrank_placement::Timestamp;

/// A limit, and the last step at which it was in force.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Usage {
    pub limit: u32,
    pub last_step: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    /// The incarnation of the holder.
    pub id: MemberId,
    pub lease: LeaseHolder,
    pub request_count: u8,
    pub is_frozen: bool,
    /// The usage that may still count, by the perfect clock, of this incarnation and of earlier ones.
    pub usages: Vec<Usage>,
}

impl Holder {
    pub fn new(id: MemberId, lease: LeaseHolder, usages: Vec<Usage>) -> Holder {
        Holder {
            id,
            lease,
            request_count: 0,
            is_frozen: false,
            usages,
        }
    }

    pub fn peak_usage(&self) -> u32 {
        let limits = self.usages.iter().map(|usage| usage.limit);
        limits.max().unwrap_or(0)
    }

    /// Uses the whole limit unless the holder is frozen, and drops usage that no longer counts.
    pub fn record_usage(&mut self, now: Timestamp, step: u64) {
        if !self.is_frozen {
            self.usages.push(Usage {
                limit: self.lease.limit(now).limit,
                last_step: step,
            });
        }
        self.usages
            .retain(|usage| usage.limit > 0 && usage.last_step + 1 > step);
        self.usages.sort_unstable();
        self.usages.dedup();
    }
}

/// A message in flight.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InFlight {
    LeaseRequest {
        from: MemberId,
        request: LeaseRequest,
    },
    Grant {
        to: MemberId,
        grant: Grant,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SystemState {
    pub step: u64,
    pub cluster: ClusterState,
    pub grant_clocks: GrantClocks,
    /// The time since which the granter has led the group.
    pub leader_since: Timestamp,
    pub holders: Vec<Holder>,
    pub in_flight: Vec<InFlight>,
    pub fault_count: u8,
}

/// Events that the model checker explores. Holders and messages are identified by index.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    AdvanceTime,
    Request(usize),
    Deliver(usize),
    /// The granter grants less than is available.
    DeliverWithLimitOne(usize),
    Freeze(usize),
    Thaw(usize),
    Restart(usize),
    NewGranter,
    RecoverQuorum,
}

impl Event {
    pub fn is_fault(&self) -> bool {
        matches!(
            self,
            Event::Freeze(_) | Event::Restart(_) | Event::NewGranter | Event::RecoverQuorum
        )
    }
}
