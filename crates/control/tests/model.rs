//! The lease's machines (`State`, `Holder`, `Clocks`) under every order of events, by exhaustive search: two holders, messages
//! that wait for as long as they like, a holder that freezes or starts from nothing, a granter that starts anew, a reseeded council, and
//! clocks that run apart.

use lupincrank_budgets::demand::BudgetUsage;
use lupincrank_control::entry::{Entry, Grant};
use lupincrank_control::lease::{GrantClocks, LeaseHolder, LeaseRequest, LeaseTerms};
use lupincrank_control::member::{Bootstrap, ClusterId, Member};
use lupincrank_control::state::ClusterState;
use lupincrank_placement::Timestamp;
use rstest::rstest;
use stateright::{Checker, Model, Property};
use std::time::Duration;

/// Time goes in steps of this many milliseconds, as a perfect clock shows them.
const STEP: u64 = 500;
const CAPACITY: u32 = 2;
/// The incarnations of each holder ask so often at the most.
const ASKS: [u8; 2] = [2, 1];

/// One holder: its incarnation's id, its machine, and what it may have used, by the perfect clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Incarnation {
    id: u64,
    machine: LeaseHolder,
    asked: u8,
    frozen: bool,
    /// Limits and when each was last in force; also those of the incarnations before.
    used: Vec<(u32, u64)>,
}

/// A message that is on its way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Wire {
    LeaseRequest(u64, LeaseRequest),
    Grant(u64, Grant),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    state: ClusterState,
    clocks: GrantClocks,
    /// Since when the granter leads a council that has granted nothing.
    leads: Timestamp,
    incarnations: Vec<Incarnation>,
    wire: Vec<Wire>,
    faults: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Pass,
    LeaseRequest(usize),
    Deliver(usize),
    DeliverLess(usize),
    Freeze(usize),
    Wake(usize),
    Restart(usize),
    NewGranter,
    Reseed,
}

/// What is searched, and which of its rules are left out.
#[derive(Clone, Copy)]
struct Leases {
    until: u64,
    faults: u8,
    /// The holders' clocks against the perfect one; the granter's is fast by as much.
    slow: f64,
    drift: f64,
    /// An incarnation from nothing takes the id that the one before had.
    same_id: bool,
    /// A reseeded council hands out at once.
    no_wait: bool,
    /// What an earlier slice may still have in use is not counted.
    no_using: bool,
}

const GOOD: Leases = Leases {
    until: 4,
    faults: 1,
    slow: 0.4,
    drift: 1.1,
    same_id: false,
    no_wait: false,
    no_using: false,
};

impl Leases {
    fn terms(&self) -> LeaseTerms {
        LeaseTerms {
            lease_duration: Duration::from_millis(2 * STEP),
            accounting_window: Duration::from_millis(STEP),
            max_clock_drift: self.drift,
            renew_interval: Duration::from_millis(STEP),
            renew_interval_under_pressure: Duration::from_millis(STEP),
        }
    }
    fn holder(&self, now: u64) -> Timestamp {
        Timestamp(((now * STEP) as f64 * 1e6 * (1.0 - self.slow)) as u64)
    }
    fn granter(&self, now: u64) -> Timestamp {
        Timestamp(((now * STEP) as f64 * 1e6 * (1.0 + self.slow)) as u64)
    }
    fn found(&self, epoch: u64, incarnations: &[Incarnation]) -> ClusterState {
        let member = |incarnation: &Incarnation| Member {
            id: incarnation.id,
            name: String::new(),
            zone: String::new(),
            region: String::new(),
            build: String::new(),
        };
        let stamp = ClusterId {
            epoch,
            bootstrap_id: 1,
        };
        ClusterState::bootstrap(&Bootstrap {
            cluster_id: stamp,
            voters: vec![],
            members: incarnations.iter().map(member).collect(),
            capacity: CAPACITY,
        })
    }

    /// The granter frees what is surely over, as it does each tick.
    fn upkeep(&self, world: &mut World) {
        let at = self.granter(world.now);
        world.clocks.follow(at, &world.state);
        let over = world.clocks.expired_grants(at, &self.terms());
        world.state.apply(Entry::LeasesExpired(over));
        world.clocks.follow(at, &world.state);
        let at = self.holder(world.now);
        for incarnation in &mut world.incarnations {
            if !incarnation.frozen {
                let limit = incarnation.machine.limit(at).limit;
                incarnation.used.push((limit, world.now));
            }
            incarnation
                .used
                .retain(|(limit, last)| *limit > 0 && last + 1 > world.now);
            incarnation.used.sort_unstable();
            incarnation.used.dedup();
        }
    }

    fn grant(&self, world: &mut World, from: u64, ask: LeaseRequest, most: u32) {
        let at = self.granter(world.now);
        let waits =
            !self.no_wait && at.saturating_duration_since(world.leads) < self.terms().safe_expiry();
        if world.state.grant_count == 0 && waits {
            return;
        }
        let using = if self.no_using { 0 } else { ask.in_use };
        let slice = world.state.available_to(from).min(most);
        let made = world.state.apply(Entry::LeasesGranted(vec![Grant {
            holder: from,
            request_number: ask.request_number,
            in_use: using,
            limit: slice,
        }]));
        world
            .wire
            .extend(made.into_iter().map(|grant| Wire::Grant(from, grant)));
    }
}

impl Model for Leases {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let incarnation = |id| Incarnation {
            id,
            machine: LeaseHolder::new(&self.terms(), Timestamp(0), 0, 0),
            asked: 0,
            frozen: false,
            used: vec![],
        };
        let incarnations = vec![incarnation(1), incarnation(2)];
        let mut state = self.found(1, &incarnations);
        // A council that has been at work for a while.
        state.grant_count = 1;
        let (clocks, leads) = (GrantClocks::default(), Timestamp(0));
        vec![World {
            now: 0,
            state,
            clocks,
            leads,
            incarnations,
            wire: vec![],
            faults: 0,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Step>) {
        if world.now < self.until {
            actions.push(Step::Pass);
        }
        let at = self.holder(world.now);
        for (n, incarnation) in world.incarnations.iter().enumerate() {
            if incarnation.frozen {
                actions.push(Step::Wake(n));
            } else if incarnation
                .machine
                .should_request(&self.terms(), at, &BudgetUsage::default())
                && world.wire.len() < 2
                && incarnation.asked < ASKS[n]
            {
                actions.push(Step::LeaseRequest(n));
            }
        }
        for at in 0..world.wire.len() {
            actions.push(Step::Deliver(at));
            if matches!(world.wire[at], Wire::LeaseRequest(..)) {
                actions.push(Step::DeliverLess(at));
            }
        }
        if world.faults < self.faults {
            for n in 0..world.incarnations.len() {
                actions.extend([Step::Freeze(n), Step::Restart(n)]);
            }
            actions.extend([Step::NewGranter, Step::Reseed]);
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        let at = self.holder(next.now);
        match step {
            Step::Pass => next.now += 1,
            Step::LeaseRequest(n) => {
                next.incarnations[n].asked += 1;
                let ask = next.incarnations[n]
                    .machine
                    .next_request(&self.terms(), at, 0);
                next.wire
                    .push(Wire::LeaseRequest(next.incarnations[n].id, ask));
            }
            Step::DeliverLess(n) => {
                let Wire::LeaseRequest(from, ask) = next.wire.remove(n) else {
                    return None;
                };
                self.grant(&mut next, from, ask, 1);
            }
            Step::Deliver(n) => match next.wire.remove(n) {
                Wire::LeaseRequest(from, ask) => self.grant(&mut next, from, ask, CAPACITY),
                Wire::Grant(to, grant) => {
                    let incarnation = next
                        .incarnations
                        .iter_mut()
                        .find(|incarnation| incarnation.id == to)?;
                    if incarnation.frozen {
                        return None;
                    }
                    incarnation.machine.on_grant(
                        &self.terms(),
                        at,
                        grant.request_number,
                        grant.limit,
                    );
                }
            },
            Step::Freeze(n) => {
                next.faults += 1;
                next.incarnations[n].frozen = true;
            }
            Step::Wake(n) => next.incarnations[n].frozen = false,
            Step::Restart(n) => {
                next.faults += 1;
                let used = next.incarnations[n].used.clone();
                let id = next.incarnations[n].id + if self.same_id { 0 } else { 10 };
                let mut machine = LeaseHolder::new(&self.terms(), at, 0, 0);
                if self.same_id {
                    // The mutant: it goes on as the one it was, and has forgotten what that one was granted.
                    next.state.leases.remove(&id);
                    machine.next_request(&self.terms(), at, 0);
                }
                next.incarnations[n] = Incarnation {
                    id,
                    machine,
                    asked: 0,
                    frozen: false,
                    used,
                };
                // The council lets the new incarnation in once the old one is out.
                let member = Member {
                    id,
                    ..next.state.members.values().next()?.clone()
                };
                next.state.members.insert(id, member);
            }
            Step::NewGranter => {
                next.faults += 1;
                // It counts all that it finds from now on.
                next.clocks = GrantClocks::default();
            }
            Step::Reseed => {
                next.faults += 1;
                next.state = self.found(next.state.cluster_id.epoch + 1, &next.incarnations);
                (next.clocks, next.leads) = (GrantClocks::default(), self.granter(next.now));
                // Messages of the old council answer nothing any more; leases that are held run on.
                next.wire.clear();
            }
        }
        // Any of them may come next: their order says nothing.
        next.wire.sort();
        self.upkeep(&mut next);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Leases>> {
        vec![Property::always(
            "the sum is within the capacity",
            |_: &Leases, world: &World| {
                let most = |incarnation: &Incarnation| {
                    incarnation
                        .used
                        .iter()
                        .map(|(limit, _)| *limit)
                        .max()
                        .unwrap_or(0)
                };
                world.incarnations.iter().map(most).sum::<u32>() <= CAPACITY
            },
        )]
    }
}

#[rstest]
#[case::as_it_is(GOOD, false)]
#[case::without_the_bound_on_drift(Leases { drift: 0.0, ..GOOD }, true)]
#[case::without_a_new_identity(Leases { same_id: true, ..GOOD }, true)]
#[case::without_the_wait_after_a_reseeding(Leases { no_wait: true, ..GOOD }, true)]
#[case::without_what_is_still_in_use(Leases { no_using: true, ..GOOD }, true)]
fn leases_never_pass_the_whole(#[case] model: Leases, #[case] breaks: bool) {
    let until = std::env::var("MODEL_STEPS")
        .ok()
        .and_then(|steps| steps.parse().ok())
        .unwrap_or(model.until);
    let checker = Leases { until, ..model }
        .checker()
        .threads(4)
        .spawn_bfs()
        .join();
    println!(
        "{} states, {} of them different, {} steps deep",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    let found = checker.discovery("the sum is within the capacity");
    assert_eq!(
        found.is_some(),
        breaks,
        "{:?}",
        found.map(stateright::Path::into_actions)
    );
}
