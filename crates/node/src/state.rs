//! The state that the node's components share.

use crate::client::UnidentifiedClients;
use crate::cluster_agent::agent::ClusterAgent;
use crate::command::ExitScope;
use crate::config::Config;
use crate::discovery::endpoint_list_state::EndpointListState;
use crate::handoff::client_counts::SharedClientCounts;
use crate::handoff::peer_process::HandoffState;
use crate::handoff::request_claims::RequestClaims;
use crate::handoff::request_table::ClientCounts;
use crate::placement_driver::{EndpointAvailabilityError, PlacementDriver};
use crate::upstream::open_health_checks::HealthChecks;
use lupincrank_reactor::Context;
use slog::Logger;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// New connections arrive for up to 0.4 s after SIGTERM, so the listener stays open for at least this long.
const MIN_LISTEN_AFTER_SIGTERM: Duration = Duration::from_millis(800);

/// A graceful shutdown in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Shutdown {
    /// The time at which SIGTERM was received.
    pub(crate) started_at: Instant,
    /// The time by which the process is to exit.
    pub(crate) deadline: Instant,
    /// Whether the last step is done: only connections in the accept queue are still to be answered.
    pub(crate) is_last_step_done: bool,
}

/// The reason why clients cannot be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum NotServingError {
    /// SIGTERM was received.
    #[error("this process is ending")]
    ShuttingDown,
    /// Another process of this node may still have connections, and has not been reached.
    #[error("the process before this one has not been reached yet")]
    PredecessorNotReached,
    /// The endpoint list has not been received, or contains no ready server.
    #[error(transparent)]
    EndpointList(#[from] EndpointAvailabilityError),
}

/// The context that is passed to callbacks of the node's components.
pub(crate) type NodeContext = Context<NodeState>;

/// The state of the node. Each field is modified only by the module that defines its type.
pub(crate) struct NodeState {
    /// The placement module and the active requests.
    pub(crate) placement: PlacementDriver,
    /// The endpoint list of this process.
    pub(crate) endpoint_list: EndpointListState,
    /// The configuration in use.
    pub(crate) config: Config,
    /// The logger.
    pub(crate) log: Logger,
    /// The number of clients with a request; each may need a second descriptor, for its server.
    pub(crate) client_count: Rc<Cell<usize>>,
    /// Client connections that have not sent a request yet or have received their answer.
    pub(crate) unidentified_clients: UnidentifiedClients,
    /// The time at which this process started.
    pub(crate) started_at: Instant,
    /// The graceful shutdown, after SIGTERM.
    pub(crate) shutdown: Option<Shutdown>,
    /// The handoff with the other process of this node, if there is one.
    pub(crate) handoff: HandoffState,
    /// The request ids in use.
    pub(crate) claims: RequestClaims,
    /// The numbers of clients of the node's processes.
    pub(crate) shared_client_counts: SharedClientCounts,
    /// The open health check connections: at most one for each server.
    pub(crate) health_checks: HealthChecks,
    /// The cluster agent, after its start; `None` while one of its callbacks runs.
    pub(crate) cluster_agent: Option<Box<ClusterAgent>>,
    /// Requests the transfer of all connections to the successor after the current callback.
    pub(crate) is_transfer_requested: bool,
    /// Whether accepting clients has failed and will be retried: connections may wait in the kernel's accept queue, and
    /// the process must not exit before they are answered.
    pub(crate) is_accept_retry_pending: bool,
    /// Requests answers to the connections in this scope after the current callback, because the process exits.
    pub(crate) exit_answers_requested: Option<ExitScope>,
}

impl NodeState {
    /// Creates the state of a starting node.
    pub(crate) fn new(config: Config, log: Logger) -> NodeState {
        let claims = RequestClaims::default();
        NodeState {
            shared_client_counts: SharedClientCounts::new(claims.tables()),
            placement: PlacementDriver::new(&config, log.clone()),
            endpoint_list: EndpointListState::new(&config),
            handoff: HandoffState::new(config.listen_address, config.inherited_descriptor),
            config,
            log,
            client_count: Rc::default(),
            unidentified_clients: UnidentifiedClients::default(),
            started_at: Instant::now(),
            shutdown: None,
            claims,
            health_checks: HealthChecks::default(),
            cluster_agent: None,
            is_transfer_requested: false,
            is_accept_retry_pending: false,
            exit_answers_requested: None,
        }
    }

    /// Publishes the numbers of this process's clients for the other process.
    pub(crate) fn publish_client_counts(&self) {
        self.shared_client_counts.publish(ClientCounts {
            clients: self.client_count.get(),
            unidentified: self.unidentified_clients.len(),
        });
    }

    /// The number of clients with a request of all processes of the node.
    pub(crate) fn node_client_count(&self) -> usize {
        self.client_count.get() + self.other_client_counts().clients
    }

    /// The numbers of the other process's clients. Those of this process are published first, so that two processes that
    /// compare the sum with a limit in the same moment do not both overlook the other's latest client.
    pub(crate) fn other_client_counts(&self) -> ClientCounts {
        if !self.handoff.is_peer_connected() {
            return ClientCounts::default();
        }
        self.publish_client_counts();
        let published = self.shared_client_counts.of_other_processes();
        // Earlier builds report their numbers by heartbeat only.
        published.unwrap_or_else(|| self.handoff.peer_heartbeat().into())
    }

    /// Checks that clients can be served.
    ///
    /// # Errors
    /// The reason why clients cannot be served.
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

    /// Returns true if the process has accepted clients for long enough after SIGTERM.
    pub(crate) fn has_listened_long_enough(&self, shutdown: Shutdown, now: Instant) -> bool {
        // A successor accepts the clients instead.
        self.handoff.is_handing_over() || now >= shutdown.started_at + MIN_LISTEN_AFTER_SIGTERM
    }

    /// Returns true if client connections are open or in transfer to the successor.
    pub(crate) fn has_connections(&self) -> bool {
        self.client_count.get() > 0
            || !self.unidentified_clients.is_empty()
            || !self.handoff.is_idle()
    }

    /// Returns true if the node has left the cluster or is in none. Until then, the other nodes may need its vote to
    /// continue without it.
    pub(crate) fn has_left_cluster(&self) -> bool {
        self.cluster_agent
            .as_ref()
            .is_none_or(|agent| agent.has_left())
    }
}
