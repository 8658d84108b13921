//! The state that the node's components share.

use crate::client::UnidentifiedClients;
use crate::cluster_agent::agent::ClusterAgent;
use crate::config::Config;
use crate::handoff::peer_process::HandoffState;
use crate::placement_driver::{EndpointAvailabilityError, PlacementDriver};
use crate::upstream::open_health_checks::HealthChecks;
use lupincrank_reactor::Context;
use slog::Logger;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// A graceful shutdown under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// When SIGTERM came.
    pub started_at: Instant,
    /// When the process exits at the latest.
    pub deadline: Instant,
}

/// Why clients cannot be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotServingError {
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
pub type NodeContext = Context<NodeState>;

/// What the node keeps.
pub struct NodeState {
    /// The decisions and the request contexts.
    pub placement: PlacementDriver,
    /// What the node was told at its start.
    pub config: Config,
    /// Where log lines go.
    pub log: Logger,
    /// Clients held with their request; each may need a second descriptor for its peer.
    pub client_count: Rc<Cell<usize>>,
    /// The other connections held.
    pub unidentified_clients: UnidentifiedClients,
    /// When the node began.
    pub started_at: Instant,
    /// The graceful shutdown, once SIGTERM has come.
    pub shutdown: Option<Shutdown>,
    /// The other process of this node, if there is one.
    pub handoff: HandoffState,
    /// The open connections for health checks: one for each server at the most.
    pub health_checks: HealthChecks,
    /// The node's part in its cluster, once it has started; taken out while it works.
    pub cluster_agent: Option<Box<ClusterAgent>>,
    /// Set for a moment when all connections are to be handed over.
    pub transfer_requested: bool,
    /// Set for a moment when what still waits has to get its answer.
    pub answers_requested: bool,
}

impl NodeState {
    /// As the node begins.
    pub fn new(config: Config, log: Logger) -> NodeState {
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
            answers_requested: false,
        }
    }

    /// Whether clients can be served now.
    ///
    /// # Errors
    /// Says what is missing.
    pub fn check_serving(&self) -> Result<(), NotServingError> {
        if self.shutdown.is_some() {
            return Err(NotServingError::ShuttingDown);
        }
        if !self.handoff.is_settled() {
            return Err(NotServingError::PredecessorNotReached);
        }
        self.placement.check_endpoint_list()?;
        Ok(())
    }
}
