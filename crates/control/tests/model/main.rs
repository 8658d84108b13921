//! Model checking of the lease state machines ([`ClusterState`], [`LeaseHolder`], [`GrantClocks`]) under every order
//! of events: two holders, messages with unbounded delay, a holder that freezes or restarts without stored state, a
//! new granter, a quorum recovery, and clocks that drift apart.

mod system;

use lupincrank_budgets::demand::BudgetUsage;
use lupincrank_control::entry::{Entry, Grant};
use lupincrank_control::lease::{GrantClocks, LeaseHolder, LeaseRequest, LeaseTerms};
use lupincrank_control::member::{Bootstrap, ClusterId, Member, MemberId};
use lupincrank_control::state::ClusterState;
use lupincrank_placement::Timestamp;
use rstest::rstest;
use stateright::{Checker, Model, Property};
use std::time::Duration;
use system::{Event, Holder, InFlight, SystemState};

/// The length of a time step in milliseconds, by a perfect clock.
const STEP_MILLIS: u64 = 500;
const CAPACITY: u32 = 2;
/// The maximum number of requests of each incarnation of a holder.
const MAX_REQUESTS: [u8; 2] = [2, 1];
/// A holder makes a request only if fewer messages than this are in flight.
const MAX_IN_FLIGHT: usize = 2;
/// Added to the id of a holder that restarts without stored state.
const RESTART_ID_OFFSET: MemberId = 10;
const WITHIN_CAPACITY: &str = "the usage is within the capacity";

/// A rule to omit, to show that the search finds the violation that the rule prevents.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Mutant {
    /// An incarnation without stored state reuses the id of its predecessor.
    ReusedId,
    /// A group grants leases immediately after a quorum recovery.
    NoWaitAfterRecovery,
    /// Units that may still be in use under earlier leases are not counted.
    UsageNotCounted,
}

/// The parameters of the search.
#[derive(Clone, Copy)]
struct LeaseModel {
    last_step: u64,
    max_fault_count: u8,
    /// The holders' clocks are slow by this ratio, and the granter's clock is fast by the same ratio.
    clock_error: f64,
    /// The bound on clock drift that the granter assumes.
    max_clock_drift: f64,
    mutant: Option<Mutant>,
}

const ALL_RULES: LeaseModel = LeaseModel {
    last_step: 4,
    max_fault_count: 1,
    clock_error: 0.4,
    max_clock_drift: 1.1,
    mutant: None,
};

fn with_mutant(mutant: Mutant) -> LeaseModel {
    LeaseModel {
        mutant: Some(mutant),
        ..ALL_RULES
    }
}

/// The reading of a clock with this rate.
fn clock_time(step: u64, rate: f64) -> Timestamp {
    let nanos = (step * STEP_MILLIS) as f64 * 1e6;
    Timestamp((nanos * rate) as u64)
}

fn form_cluster(epoch: u64, holders: &[Holder]) -> ClusterState {
    let member = |holder: &Holder| Member {
        id: holder.id,
        name: String::new(),
        zone: String::new(),
        region: String::new(),
        build: String::new(),
    };
    ClusterState::bootstrap(&Bootstrap {
        cluster_id: ClusterId {
            epoch,
            bootstrap_id: 1,
        },
        voters: vec![],
        members: holders.iter().map(member).collect(),
        capacity: CAPACITY,
    })
}

impl LeaseModel {
    fn is_mutant(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    fn terms(&self) -> LeaseTerms {
        LeaseTerms {
            lease_duration: Duration::from_millis(2 * STEP_MILLIS),
            accounting_window: Duration::from_millis(STEP_MILLIS),
            max_clock_drift: self.max_clock_drift,
            renew_interval: Duration::from_millis(STEP_MILLIS),
            renew_interval_under_pressure: Duration::from_millis(STEP_MILLIS),
        }
    }

    fn holder_time(&self, step: u64) -> Timestamp {
        clock_time(step, 1.0 - self.clock_error)
    }

    fn granter_time(&self, step: u64) -> Timestamp {
        clock_time(step, 1.0 + self.clock_error)
    }

    /// The granter removes expired leases, as at each tick, and holders use their whole limits.
    fn run_upkeep(&self, system: &mut SystemState) {
        let now = self.granter_time(system.step);
        system.grant_clocks.follow(now, &system.cluster);
        let expired = system.grant_clocks.expired_grants(now, &self.terms());
        system.cluster.apply(Entry::LeasesExpired(expired));
        system.grant_clocks.follow(now, &system.cluster);
        let now = self.holder_time(system.step);
        for holder in &mut system.holders {
            holder.record_usage(now, system.step);
        }
    }

    fn must_delay_grants(&self, system: &SystemState) -> bool {
        let now = self.granter_time(system.step);
        !self.is_mutant(Mutant::NoWaitAfterRecovery)
            && system.cluster.grant_count == 0
            && now.saturating_duration_since(system.leader_since) < self.terms().safe_expiry()
    }

    fn grant(
        &self,
        system: &mut SystemState,
        from: MemberId,
        request: LeaseRequest,
        max_limit: u32,
    ) {
        if self.must_delay_grants(system) {
            return;
        }
        let in_use = if self.is_mutant(Mutant::UsageNotCounted) {
            0
        } else {
            request.in_use
        };
        let limit = system.cluster.available_to(from).min(max_limit);
        let grants = system.cluster.apply(Entry::LeasesGranted(vec![Grant {
            holder: from,
            request_number: request.request_number,
            in_use,
            limit,
        }]));
        let sent = grants
            .into_iter()
            .map(|grant| InFlight::Grant { to: from, grant });
        system.in_flight.extend(sent);
    }

    fn request(&self, system: &mut SystemState, index: usize) {
        let now = self.holder_time(system.step);
        let holder = &mut system.holders[index];
        holder.request_count += 1;
        let request = holder.lease.next_request(&self.terms(), now, 0);
        let from = holder.id;
        system
            .in_flight
            .push(InFlight::LeaseRequest { from, request });
    }

    /// Returns `None` if the event has no effect.
    fn deliver(&self, system: &mut SystemState, index: usize, max_limit: u32) -> Option<()> {
        match system.in_flight.remove(index) {
            InFlight::LeaseRequest { from, request } => {
                self.grant(system, from, request, max_limit);
            }
            InFlight::Grant { to, grant } => {
                let now = self.holder_time(system.step);
                let holder = system.holders.iter_mut().find(|holder| holder.id == to)?;
                if holder.is_frozen {
                    return None;
                }
                holder
                    .lease
                    .on_grant(&self.terms(), now, grant.request_number, grant.limit);
            }
        }
        Some(())
    }

    fn restart(&self, system: &mut SystemState, index: usize) -> Option<()> {
        let now = self.holder_time(system.step);
        let usages = system.holders[index].usages.clone();
        let mut lease = LeaseHolder::new(&self.terms(), now, 0, 0);
        let mut id = system.holders[index].id;
        if self.is_mutant(Mutant::ReusedId) {
            // The holder continues under the same id, and its lease is forgotten.
            system.cluster.leases.remove(&id);
            lease.next_request(&self.terms(), now, 0);
        } else {
            id += RESTART_ID_OFFSET;
        }
        system.holders[index] = Holder::new(id, lease, usages);
        // The group adds the new incarnation after the old one is removed.
        let member = Member {
            id,
            ..system.cluster.members.values().next()?.clone()
        };
        system.cluster.members.insert(id, member);
        Some(())
    }

    fn recover_quorum(&self, system: &mut SystemState) {
        let epoch = system.cluster.cluster_id.epoch + 1;
        system.cluster = form_cluster(epoch, &system.holders);
        system.grant_clocks = GrantClocks::default();
        system.leader_since = self.granter_time(system.step);
        // Messages of the old group are dropped, but held leases remain valid.
        system.in_flight.clear();
    }

    /// Returns `None` if the event has no effect.
    fn apply(&self, system: &mut SystemState, event: &Event) -> Option<()> {
        match *event {
            Event::AdvanceTime => system.step += 1,
            Event::Request(index) => self.request(system, index),
            Event::DeliverWithLimitOne(index) => self.deliver(system, index, 1)?,
            Event::Deliver(index) => self.deliver(system, index, CAPACITY)?,
            Event::Freeze(index) => system.holders[index].is_frozen = true,
            Event::Thaw(index) => system.holders[index].is_frozen = false,
            Event::Restart(index) => self.restart(system, index)?,
            // The new granter counts the duration of all leases from now on.
            Event::NewGranter => system.grant_clocks = GrantClocks::default(),
            Event::RecoverQuorum => self.recover_quorum(system),
        }
        Some(())
    }
}

impl Model for LeaseModel {
    type State = SystemState;
    type Action = Event;

    fn init_states(&self) -> Vec<SystemState> {
        let holder = |id| {
            let lease = LeaseHolder::new(&self.terms(), Timestamp(0), 0, 0);
            Holder::new(id, lease, vec![])
        };
        let holders = vec![holder(1), holder(2)];
        let mut cluster = form_cluster(1, &holders);
        // The group has granted leases before.
        cluster.grant_count = 1;
        vec![SystemState {
            step: 0,
            cluster,
            grant_clocks: GrantClocks::default(),
            leader_since: Timestamp(0),
            holders,
            in_flight: vec![],
            fault_count: 0,
        }]
    }

    fn actions(&self, system: &SystemState, events: &mut Vec<Event>) {
        if system.step < self.last_step {
            events.push(Event::AdvanceTime);
        }
        let now = self.holder_time(system.step);
        for (index, holder) in system.holders.iter().enumerate() {
            if holder.is_frozen {
                events.push(Event::Thaw(index));
            } else if holder
                .lease
                .should_request(&self.terms(), now, &BudgetUsage::default())
                && system.in_flight.len() < MAX_IN_FLIGHT
                && holder.request_count < MAX_REQUESTS[index]
            {
                events.push(Event::Request(index));
            }
        }
        for (index, message) in system.in_flight.iter().enumerate() {
            events.push(Event::Deliver(index));
            if matches!(message, InFlight::LeaseRequest { .. }) {
                events.push(Event::DeliverWithLimitOne(index));
            }
        }
        if system.fault_count < self.max_fault_count {
            for index in 0..system.holders.len() {
                events.extend([Event::Freeze(index), Event::Restart(index)]);
            }
            events.extend([Event::NewGranter, Event::RecoverQuorum]);
        }
    }

    fn next_state(&self, system: &SystemState, event: Event) -> Option<SystemState> {
        let mut next = system.clone();
        next.fault_count += u8::from(event.is_fault());
        self.apply(&mut next, &event)?;
        // Messages may be delivered in any order, so states that differ only in their order are the same.
        next.in_flight.sort();
        self.run_upkeep(&mut next);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<LeaseModel>> {
        vec![Property::always(
            WITHIN_CAPACITY,
            |_: &LeaseModel, system: &SystemState| {
                let peaks = system.holders.iter().map(Holder::peak_usage);
                peaks.sum::<u32>() <= CAPACITY
            },
        )]
    }
}

#[rstest]
#[case::with_all_rules(ALL_RULES, false)]
#[case::without_the_drift_bound(LeaseModel { max_clock_drift: 0.0, ..ALL_RULES }, true)]
#[case::without_a_new_identity(with_mutant(Mutant::ReusedId), true)]
#[case::without_the_wait_after_quorum_recovery(with_mutant(Mutant::NoWaitAfterRecovery), true)]
#[case::without_units_still_in_use(with_mutant(Mutant::UsageNotCounted), true)]
fn leases_never_exceed_the_capacity(#[case] model: LeaseModel, #[case] exceeds: bool) {
    let last_step = std::env::var("MODEL_STEPS")
        .ok()
        .and_then(|steps| steps.parse().ok())
        .unwrap_or(model.last_step);
    let checker = LeaseModel { last_step, ..model }
        .checker()
        .threads(4)
        .spawn_bfs()
        .join();
    println!(
        "{} states, {} unique, depth {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    let found = checker.discovery(WITHIN_CAPACITY);
    assert_eq!(
        found.is_some(),
        exceeds,
        "{:?}",
        found.map(stateright::Path::into_actions)
    );
}
