//! A hollow node: the cluster agent of a node (membership, connections, control group, leases) without a data path. It
//! is configured by the same two files as a full node and runs the same code in its own event loop. One process can run
//! many hollow nodes, each in a thread. `crates/scale` uses them to measure large clusters.

mod observer;

pub use lupincrank_budgets::demand::BudgetUsage;
pub use observer::{ClusterStatus, Observer};

use crate::cluster_agent::config::{ClusterConfig, ClusterConfigError};
use crate::cluster_agent::{self, StartError};
use crate::command::Message;
use crate::component::LAST_WELL_KNOWN_ID;
use crate::config::{Config, ConfigError};
use crate::deadline::DeadlineKind;
use crate::state::{NodeContext, NodeState};
use lupincrank_control::lease::LeaseTerms;
use lupincrank_operator_config::{OperatorConfig, ParseError};
use lupincrank_reactor::{ComponentId, Connection, Lifecycle, Reactor, Readiness};
use slog::{o, Discard, Logger};
use std::io;
use std::time::Instant;

/// The observer's id in the event loop.
const OBSERVER: ComponentId = LAST_WELL_KNOWN_ID + 1;

/// Why a hollow node can't run. Each message includes that of its source.
#[derive(Debug, thiserror::Error)]
pub enum HollowNodeError {
    /// The configuration is invalid.
    #[error("configuration: {0}")]
    Config(#[from] ConfigError),
    /// The operator's file is invalid.
    #[error("operator's file: {0}")]
    OperatorFile(#[from] ParseError),
    /// The cluster settings are invalid for this node.
    #[error("operator's file: {0}")]
    Cluster(#[from] ClusterConfigError),
    /// The operator's file configures no cluster.
    #[error("operator's file: no [fleet] section, which a hollow node requires")]
    NoCluster,
    /// The event loop can't be created.
    #[error(transparent)]
    EventLoop(#[from] io::Error),
    /// The cluster agent can't start.
    #[error(transparent)]
    Start(#[from] StartError),
}

/// Creates a hollow node and returns the function that runs it. `config` and `operator` are the texts of the two files,
/// and `variable` looks up environment variables.
///
/// # Errors
/// If a file is invalid, or the cluster agent can't start.
pub fn start(
    config: &str,
    operator: &str,
    variable: impl Fn(&str) -> Option<String>,
    observer: Box<dyn Observer>,
) -> Result<impl FnOnce() -> io::Result<()>, HollowNodeError> {
    let config = read_config(config, operator, &variable)?;
    let state = NodeState::new(config, Logger::root(Discard, o!()));
    let mut reactor = Reactor::new(state, OBSERVER)?;
    let context = &mut reactor.context;
    cluster_agent::start(context)?;
    context.register(OBSERVER, Box::new(ObserverComponent { observer }));
    context
        .deadlines
        .set(OBSERVER, DeadlineKind::Observer, Instant::now());
    Ok(move || reactor.run())
}

fn read_config(
    config: &str,
    operator: &str,
    variable: &impl Fn(&str) -> Option<String>,
) -> Result<Config, HollowNodeError> {
    let mut config = Config::parse(config, variable)?;
    let operator = OperatorConfig::parse(operator)?;
    config.cluster = ClusterConfig::from_operator(&operator, &config.name, variable)?;
    if config.cluster.is_none() {
        return Err(HollowNodeError::NoCluster);
    }
    Ok(config)
}

/// The component that calls the observer.
struct ObserverComponent {
    observer: Box<dyn Observer>,
}

fn cluster_status(context: &NodeContext) -> ClusterStatus {
    let now = context.placement.now();
    // The agent may still be waiting for its address or storage.
    let Some(agent) = &context.cluster_agent else {
        return ClusterStatus::default();
    };
    let control = agent.control();
    let state = control.state();
    ClusterStatus {
        epoch: state.map_or(0, |state| state.applied_entries),
        capacity: state.map_or(0, |state| state.capacity),
        has_leader: control.has_leader(),
        is_leader: control.is_leader(),
        is_voter: control.is_voter(),
        live_count: agent.membership().live_members().count() + 1,
        lease_limit: control.lease_limit(now).limit,
    }
}

fn is_live(context: &NodeContext, name: &str) -> bool {
    let Some(agent) = &context.cluster_agent else {
        return false;
    };
    agent
        .membership()
        .live_members()
        .any(|member| member.name == name)
}

impl Connection<NodeState> for ObserverComponent {
    fn on_ready(
        &mut self,
        _context: &mut NodeContext,
        _socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut NodeContext, _kind: DeadlineKind) -> Lifecycle {
        let window = LeaseTerms::default().accounting_window;
        let status = cluster_status(context);
        let usage = self
            .observer
            .observe(&status, window, &|name| is_live(context, name));
        if let Some(agent) = &mut context.cluster_agent {
            agent.control_mut().record_usage(usage);
        }
        let next = Instant::now() + self.observer.interval();
        context
            .deadlines
            .set(OBSERVER, DeadlineKind::Observer, next);
        Lifecycle::Continue
    }

    fn on_message(&mut self, _context: &mut NodeContext, _message: Message) -> Lifecycle {
        Lifecycle::Continue
    }
}
