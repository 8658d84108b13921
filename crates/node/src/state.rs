//! The state that the node's components share.

use crate::cluster_agent::ClusterAgent;
use crate::config::Config;
use crate::handoff::message::Said;
use crate::handoff::peer_process::Upgrade;
use crate::placement_driver::{EndpointListError, PlacementDriver};
use lupincrank_placement::ServerId;
use lupincrank_reactor::{ComponentId, Context};
use slog::Logger;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// A client's place among those held; given back when dropped.
pub struct ClientSlot(Rc<Cell<usize>>);

impl ClientSlot {
    /// Takes a place.
    pub fn take(taken: &Rc<Cell<usize>>) -> ClientSlot {
        taken.set(taken.get() + 1);
        ClientSlot(Rc::clone(taken))
    }
}

impl Drop for ClientSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Connections that ask for nothing yet or have their answer, the one that has to go first in front.
pub type UnidentifiedClients = Rc<RefCell<BTreeSet<(Instant, ComponentId)>>>;

/// The open connection for health checks of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthCheckConnection {
    /// The connection's component.
    pub id: ComponentId,
    /// Where it is connected to.
    pub address: SocketAddr,
}

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
    EndpointList(#[from] EndpointListError),
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
    pub handoff: Upgrade,
    /// The open connections for health checks: one for each server at the most.
    pub health_checks: HashMap<ServerId, HealthCheckConnection>,
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
            handoff: Upgrade::new(config.listen, config.inherited),
            config,
            log,
            client_count: Rc::default(),
            unidentified_clients: UnidentifiedClients::default(),
            started_at: Instant::now(),
            shutdown: None,
            health_checks: HashMap::new(),
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
        if !self.handoff.settled() {
            return Err(NotServingError::PredecessorNotReached);
        }
        self.placement.check_endpoint_list()?;
        Ok(())
    }

    /// Takes a transcriber out by hand or back in.
    pub fn by_hand(&mut self, server: &str, down: bool) -> Result<(), String> {
        let id = ServerId::from(server);
        if !self.placement.knows_server(&id) {
            return Err(format!("no transcriber {server:?}"));
        }
        // Written before it is obeyed: what was answered with yes holds across any end of this process.
        let out = self
            .handoff
            .change(&id, down, self.placement.drained_servers())?;
        self.placement.set_drained_servers(out);
        self.handoff.say(&Said::Out);
        Ok(())
    }
}
