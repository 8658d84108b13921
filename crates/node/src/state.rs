//! The state that the node's components share.

use crate::client::UnidentifiedClients;
use crate::cluster_agent::agent::ClusterAgent;
use crate::command::ExitScope;
use crate::config::Config;
use crate::handoff::peer_process::HandoffState;
use crate::placement_driver::{EndpointAvailabilityError, PlacementDriver};
use crate::upstream::open_health_checks::HealthChecks;
use lupincrank_reactor::Context;
use slog::Logger;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// New connections keep arriving for up to 0.4 s after SIGTERM: the listener stays at least this long.
const MIN_LISTEN_AFTER_SIGTERM: Duration = Duration::from_millis(800);

/// A graceful shutdown under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Shutdown {
    /// When SIGTERM came.
    pub(crate) started_at: Instant,
    /// When the process exits at the latest.
    pub(crate) deadline: Instant,
    /// The last step was made: nothing is left to be answered but what waits to be accepted.
    pub(crate) has_ended: bool,
}

/// Why clients cannot be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum NotServingError {
    /// SIGTERM has come.
    #[error("this process is ending")]
    ShuttingDown,
    /// Another process of this node may still hold connections, and has not been reached.
    #[error("the process before this one has not been reached yet")]
    PredecessorNotReached,
    /// The endpoint list lets no client in.
    #[error(transparent)]
    EndpointList(#[from] EndpointAvailabilityError),
}

/// What the callbacks of the node's components may use.
pub(crate) type NodeContext = Context<NodeState>;

/// The state of the node. Each field is changed by the module that its type comes from.
pub(crate) struct NodeState {
    /// The placement decisions and the active requests.
    pub(crate) placement: PlacementDriver,
    /// The configuration in use.
    pub(crate) config: Config,
    /// Where log lines go.
    pub(crate) log: Logger,
    /// Clients with a request; each may need a second descriptor for its server.
    pub(crate) client_count: Rc<Cell<usize>>,
    /// Clients without a request, or with their answer.
    pub(crate) unidentified_clients: UnidentifiedClients,
    /// When this process began.
    pub(crate) started_at: Instant,
    /// The graceful shutdown, once SIGTERM has come.
    pub(crate) shutdown: Option<Shutdown>,
    /// The other process of this node, if there is one.
    pub(crate) handoff: HandoffState,
    /// The open connections for health checks: one for each server at the most.
    pub(crate) health_checks: HealthChecks,
    /// The node's part in its cluster, once it has started; taken out while it works.
    pub(crate) cluster_agent: Option<Box<ClusterAgent>>,
    /// Set until the present callback ends: all connections are to be transferred to the successor.
    pub(crate) transfer_requested: bool,
    /// Accepting clients has failed for a moment and is tried again: connections may wait in the kernel's queue, and the
    /// process must not exit over them.
    pub(crate) is_accept_retry_pending: bool,
    /// Set until the present callback ends: these connections are to be answered, for the process exits.
    pub(crate) exit_answers_requested: Option<ExitScope>,
}

impl NodeState {
    /// The state of a node that begins.
    pub(crate) fn new(config: Config, log: Logger) -> NodeState {
        NodeState {
            placement: PlacementDriver::new(&config, log.clone()),
            handoff: HandoffState::new(config.listen_address, config.inherited_descriptor),
            config,
            log,
            client_count: Rc::default(),
            unidentified_clients: UnidentifiedClients::default(),
            started_at: Instant::now(),
            shutdown: None,
            health_checks: HealthChecks::default(),
            cluster_agent: None,
            transfer_requested: false,
            is_accept_retry_pending: false,
            exit_answers_requested: None,
        }
    }

    /// Whether clients can be served now.
    ///
    /// # Errors
    /// Says what is missing.
    pub(crate) fn check_serving(&self) -> Result<(), NotServingError> {
        if self.shutdown.is_some() {
            return Err(NotServingError::ShuttingDown);
        }
        if !self.handoff.is_startup_complete() {
            return Err(NotServingError::PredecessorNotReached);
        }
        self.placement.check_endpoint_list()?;
        Ok(())
    }

    /// Whether the process has accepted clients for long enough after SIGTERM.
    pub(crate) fn has_listened_long_enough(&self, shutdown: Shutdown, now: Instant) -> bool {
        // With a successor the listener is not this process's any more.
        self.handoff.is_handing_over() || now >= shutdown.started_at + MIN_LISTEN_AFTER_SIGTERM
    }

    /// Whether connections of clients are open or on their way to the successor.
    pub(crate) fn has_connections(&self) -> bool {
        self.client_count.get() > 0
            || !self.unidentified_clients.is_empty()
            || !self.handoff.is_idle()
    }

    /// Whether the cluster needs this node no more: it may need its vote to go on without it.
    pub(crate) fn has_left_cluster(&self) -> bool {
        self.cluster_agent
            .as_ref()
            .is_none_or(|agent| agent.has_left())
    }
}
