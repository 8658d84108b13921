//! A hollow node: a node's part in its fleet (membership, links, council, leases) without a data path. It is told what a
//! real one is told, by the same two files, and runs the same code in a loop of its own; many of them fit into a process,
//! each in a thread. `scale/` measures fleets with them.

use crate::cluster_agent::{self, config::Setup};
use crate::command::Message;
use crate::component::LAST_WELL_KNOWN_ID;
use crate::config::Config;
use crate::deadline::DeadlineKind;
use crate::state::{NodeContext, NodeState};
use lupincrank_budgets::demand::BudgetUsage;
use lupincrank_operator_config::OperatorConfig;
use lupincrank_reactor::Readiness;
use lupincrank_reactor::{ComponentId, Connection, Lifecycle, Reactor};
use slog::{o, Discard, Logger};
use std::time::{Duration, Instant};

/// The observer's place in the loop.
const OBSERVER: ComponentId = LAST_WELL_KNOWN_ID + 1;

/// How a hollow node stands in its fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// The council that it takes part in has entries up to this epoch; 0 for no council.
    pub epoch: u64,
    /// The capacity of the cold budget that its control group hands out.
    pub capacity: u32,
    /// It knows a leader, and is it itself.
    pub led: bool,
    /// See `led`.
    pub leads: bool,
    /// It votes.
    pub votes: bool,
    /// Nodes that live as far as it knows, itself among them.
    pub alive: usize,
    /// What it may use of the cold budget now, in new connections in any window of the budget.
    pub limit: u32,
}

/// Stands where the data path would: it is shown how its node stands, and says what it used of the cold budget since.
pub trait Observer {
    /// How often it looks.
    fn every(&self) -> Duration;
    /// Looks: what was used, the most in any window, and whether something was turned away for lack of a slice. `lives` tells
    /// whether the node of that name lives as far as this one knows.
    fn look(&mut self, seen: &Seen, window: Duration, lives: &dyn Fn(&str) -> bool) -> (u32, bool);
}

/// A hollow node, ready to run. `config` and `operator` are the texts of a real node's files, and `variable` looks up what
/// its environment would say.
pub fn start(
    config: &str,
    operator: &str,
    variable: impl Fn(&str) -> Option<String>,
    observer: Box<dyn Observer>,
) -> Result<impl FnOnce() -> std::io::Result<()>, String> {
    let mut config =
        Config::read(config, &variable).map_err(|why| format!("the configuration: {why}"))?;
    let operator =
        OperatorConfig::parse(operator).map_err(|why| format!("the operator's file: {why}"))?;
    let setup = Setup::read(&operator, &config.name, &variable);
    config.fleet = setup.map_err(|why| format!("the operator's file: {why}"))?;
    if config.fleet.is_none() {
        return Err(
            "the operator's file: there is no [fleet], and a hollow node has nothing else".into(),
        );
    }
    let state = NodeState::new(config, Logger::root(Discard, o!()));
    let mut reactor = Reactor::new(state, OBSERVER).map_err(|error| error.to_string())?;
    cluster_agent::begin(&mut reactor.context)?;
    reactor
        .context
        .register(OBSERVER, Box::new(Watch { observer }));
    reactor
        .context
        .deadlines
        .set(OBSERVER, DeadlineKind::Observer, Instant::now());
    Ok(move || reactor.run())
}

struct Watch {
    observer: Box<dyn Observer>,
}

fn seen(context: &NodeContext) -> Seen {
    let now = context.placement.now();
    // Its place may be another process's still.
    let Some(carry) = &context.cluster_agent else {
        return Seen::default();
    };
    let (epoch, capacity) = carry
        .council
        .state()
        .map_or((0, 0), |state| (state.applied_entries, state.capacity));
    let alive = carry.membership.alive().count() + 1;
    let (led, leads, votes) = (
        carry.council.has_leader(),
        carry.council.is_leader(),
        carry.council.is_voter(),
    );
    Seen {
        epoch,
        capacity,
        led,
        leads,
        votes,
        alive,
        limit: carry.council.lease_limit(now).limit,
    }
}

impl Connection<NodeState> for Watch {
    fn on_ready(
        &mut self,
        _node: &mut NodeContext,
        _socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut NodeContext, _kind: DeadlineKind) -> Lifecycle {
        let window = lupincrank_control::lease::LeaseTerms::default().accounting_window;
        let members = context
            .cluster_agent
            .as_ref()
            .map(|carry| &carry.membership);
        let lives = |name: &str| members.is_some_and(|all| all.alive().any(|who| who.name == name));
        let (most, turned_away) = self.observer.look(&seen(context), window, &lives);
        if let Some(carry) = &mut context.cluster_agent {
            carry.council.record_usage(BudgetUsage {
                peak: most,
                was_limited: turned_away,
            });
        }
        context.deadlines.set(
            OBSERVER,
            DeadlineKind::Observer,
            Instant::now() + self.observer.every(),
        );
        Lifecycle::Continue
    }

    fn on_message(&mut self, _node: &mut NodeContext, _message: Message) -> Lifecycle {
        Lifecycle::Continue
    }
}
