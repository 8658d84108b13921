//! The cluster agent. It owns the membership, the control node, the peer connections and the storage of this node, and
//! passes events between them.

use super::config::ClusterConfig;
use super::connections::PeerConnections;
use super::peer_connection::PeerError;
use super::sockets::ClusterSockets;
use super::storage::{StorageEvent, StorageWriteError, StorageWriter};
use lupincrank_cluster::membership::{jitter_factor, Identity, Membership, MembershipConfig};
use lupincrank_cluster::message::{Handshake, Message, Subject};
use lupincrank_control::durable::{DurableState, LogWrite};
use lupincrank_control::lease::LeaseTerms;
use lupincrank_control::member::Member;
use lupincrank_control::message::ControlMessage;
use lupincrank_control::{ControlConfig, ControlError, ControlNode};
use lupincrank_placement::Timestamp;
use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::ComponentId;
use slog::{info, warn, Logger};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The time for which a node searches for a control group before it bootstraps one.
const BOOTSTRAP_GRACE: Duration = Duration::from_millis(1500);
/// The time for which a member must be unreachable before it is removed from the control group.
const MEMBER_REMOVAL_DELAY: Duration = Duration::from_secs(2);
/// The longest time for which a leaving node waits until the control group has released it.
const MAX_LEAVE_DURATION: Duration = Duration::from_secs(3);
/// The shortest time between two log lines about rejected traffic.
const REJECTION_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// The name and the advertised address of an incarnation.
pub(super) struct PeerAddress {
    pub(super) name: String,
    pub(super) address: SocketAddr,
}

/// The traffic sent to other nodes since the start: datagrams and messages of the control group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct SentTraffic {
    pub(super) bytes: u64,
    pub(super) messages: u64,
}

impl SentTraffic {
    pub(super) fn record(&mut self, length: usize) {
        self.bytes += length as u64;
        self.messages += 1;
    }
}

/// Rejected messages and connections. Membership counts rejected datagrams.
#[derive(Default)]
struct Rejections {
    count: u64,
    last_logged: Option<Instant>,
}

/// The thread that writes to the storage file, and the socket that signals its events.
struct Storage {
    writer: StorageWriter,
    /// Stays registered with the event loop while the storage is in use.
    _wake_receiver: Registered<UnixStream>,
}

/// The identity with which an agent starts.
pub(super) struct LocalNode<'a> {
    pub(super) name: &'a str,
    /// Chosen at random for this process, or resumed from the stored state.
    pub(super) incarnation: u64,
    pub(super) settings_hash: u32,
    /// The state that earlier processes of this identity stored.
    pub(super) stored: Option<&'a DurableState>,
}

/// The participation of this node in its cluster.
pub struct ClusterAgent {
    pub(super) config: ClusterConfig,
    pub(super) control: ControlNode,
    pub(super) membership: Membership,
    /// `None` before the agent runs and after this node has left.
    pub(super) sockets: Option<ClusterSockets>,
    storage: Option<Storage>,
    pub(super) connections: PeerConnections,
    /// The names and addresses of other live nodes, by incarnation.
    pub(super) addresses: BTreeMap<u64, PeerAddress>,
    pub(super) sent: SentTraffic,
    pub(super) log: Logger,
    rejections: Rejections,
    /// Whether a later process of this name has started.
    is_replaced: bool,
    leaving_since: Option<Instant>,
    started_at: Instant,
}

impl ClusterAgent {
    /// Creates the agent of a process that starts now. It has no sockets and no storage yet.
    ///
    /// # Errors
    /// If the stored state is inconsistent.
    pub(super) fn new(
        config: ClusterConfig,
        local: &LocalNode,
        now: Timestamp,
        log: Logger,
    ) -> Result<ClusterAgent, ControlError> {
        let cluster_tag = lupincrank_cluster::cluster_tag(&config.cluster_name);
        let identity = local_identity(&config, local);
        let handshake = local_handshake(&identity, cluster_tag);
        let control = ControlNode::new(
            now,
            control_member(&identity),
            control_config(&config),
            local.stored,
        )?;
        let expected_node_count = config.expected_nodes.len();
        let membership_config = MembershipConfig {
            cluster_tag,
            expected_node_count,
            random_seed: local.incarnation,
            seed_nodes: config.seed_nodes.clone(),
        };
        let jitter = jitter_factor(local.incarnation);
        Ok(ClusterAgent {
            control,
            membership: Membership::new(identity, membership_config),
            sockets: None,
            storage: None,
            connections: PeerConnections::new(handshake, expected_node_count, jitter, log.clone()),
            addresses: BTreeMap::new(),
            sent: SentTraffic::default(),
            log,
            rejections: Rejections::default(),
            is_replaced: false,
            leaving_since: None,
            started_at: Instant::now(),
            config,
        })
    }

    /// The control group's state machine.
    pub fn control(&self) -> &ControlNode {
        &self.control
    }

    /// The control group's state machine.
    pub fn control_mut(&mut self) -> &mut ControlNode {
        &mut self.control
    }

    /// The gossip membership of this node.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    pub(super) fn connections(&self) -> &PeerConnections {
        &self.connections
    }

    pub(super) fn connections_mut(&mut self) -> &mut PeerConnections {
        &mut self.connections
    }

    /// The time since this agent started, which is membership's clock.
    pub(super) fn uptime(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// The time at which membership has to be called next.
    pub(super) fn next_membership_deadline(&self) -> Instant {
        self.started_at + self.membership.next_deadline()
    }

    /// The number of rejected messages and connections.
    pub(super) fn rejection_count(&self) -> u64 {
        self.rejections.count
    }

    /// Counts rejected traffic, and logs it at a limited rate.
    pub(super) fn record_rejection(
        &mut self,
        subject: &'static str,
        error: &dyn std::fmt::Display,
    ) {
        self.rejections.count += 1;
        let last_logged = self.rejections.last_logged;
        if last_logged.is_none_or(|time| time.elapsed() >= REJECTION_LOG_INTERVAL) {
            self.rejections.last_logged = Some(Instant::now());
            warn!(self.log, "cluster traffic rejected"; "subject" => subject, "error" => %error,
                "count" => self.rejections.count);
        }
    }

    /// Starts to use a storage.
    pub(super) fn attach_storage(
        &mut self,
        writer: StorageWriter,
        wake_receiver: Registered<UnixStream>,
    ) {
        self.storage = Some(Storage {
            writer,
            _wake_receiver: wake_receiver,
        });
    }

    /// Handles the events that the storage has reported.
    pub(super) fn on_storage_ready(&mut self, now: Timestamp) {
        if let Some(storage) = &mut self.storage {
            storage.writer.clear_wake_up();
        }
        while let Some(storage) = &mut self.storage {
            match storage.writer.next_event() {
                Ok(Some(StorageEvent::Completed(sequence))) => {
                    self.control.on_write_completed(now, sequence);
                }
                Ok(Some(StorageEvent::Failing(error))) => {
                    warn!(self.log, "control storage failing, writing again"; "error" => %error);
                }
                Ok(None) => return,
                Err(error) => self.on_storage_lost(now, &error),
            }
        }
    }

    pub(super) fn write(&mut self, now: Timestamp, write: LogWrite) {
        let Some(storage) = &self.storage else {
            return;
        };
        if let Err(error) = storage.writer.write(write) {
            self.on_storage_lost(now, &error);
        }
    }

    /// Stops participating in the control group. All earlier promises (votes, acknowledged log entries) are stored;
    /// without storage, this process must not make further ones.
    fn on_storage_lost(&mut self, now: Timestamp, error: &StorageWriteError) {
        warn!(self.log, "control storage lost"; "error" => %error);
        self.storage = None;
        self.control.on_storage_lost(now);
    }

    /// Handles readiness of a connection's socket.
    ///
    /// # Errors
    /// If the connection must be closed.
    pub(super) fn on_connection_ready(
        &mut self,
        now: Timestamp,
        id: ComponentId,
        is_readable: bool,
    ) -> Result<(), PeerError> {
        let peer = self.connections.get_mut(id).ok_or(PeerError::Removed)?;
        let messages = peer.connection_mut().on_ready(is_readable)?;
        for message in messages {
            self.on_peer_message(now, id, message)?;
        }
        Ok(())
    }

    fn on_peer_message(
        &mut self,
        now: Timestamp,
        id: ComponentId,
        message: Message,
    ) -> Result<(), PeerError> {
        let peer = self.connections.get_mut(id).ok_or(PeerError::Removed)?;
        match (message, peer.peer_incarnation()) {
            (Message::Handshake(handshake), None) => self.connections.on_handshake(id, handshake),
            (Message::Handshake(_), Some(_)) => Err(PeerError::RepeatedHandshake),
            (_, None) => Err(PeerError::MissingHandshake),
            (Message::Ping, Some(_)) => Ok(()),
            (Message::Replaced, Some(_)) => {
                // The sender may not know a process that has joined recently. If this process was really replaced, the
                // notice is repeated.
                if !self.membership.has_joined_recently(self.uptime()) {
                    self.on_replaced();
                }
                Ok(())
            }
            (Message::Payload(Subject::Control, bytes), Some(incarnation)) => {
                let message = postcard::from_bytes::<ControlMessage>(&bytes)
                    .map_err(PeerError::UndecodableControlMessage)?;
                self.control.on_message(now, incarnation, message);
                Ok(())
            }
        }
    }

    /// Withdraws from the cluster, because a later process of this name has started. The floor of the budget belongs to
    /// the name: two processes that both used it would exceed the budget.
    pub(super) fn on_replaced(&mut self) {
        if self.is_replaced {
            return;
        }
        self.is_replaced = true;
        self.membership.yield_to_newer();
        warn!(
            self.log,
            "replaced by a later process of this name; out of the cluster until the next start"
        );
    }

    pub(super) fn is_replaced(&self) -> bool {
        self.is_replaced
    }

    /// Starts to leave: leases are returned, and the node stays for a limited time because its vote may be needed.
    pub(super) fn begin_leaving(&mut self, now: Timestamp) {
        self.leaving_since.get_or_insert_with(Instant::now);
        self.control.begin_leaving(now);
    }

    /// Returns true if this node has left the cluster, so that its process may exit.
    pub fn has_left(&self) -> bool {
        self.sockets.is_none()
    }

    /// Leaves once the control group has released this node or [`MAX_LEAVE_DURATION`] has passed. Returns true if this
    /// node has left.
    pub(super) fn leave_if_due(&mut self) -> bool {
        let Some(since) = self.leaving_since else {
            return false;
        };
        let is_released = self.control.has_left();
        if !self.has_left() && (is_released || since.elapsed() >= MAX_LEAVE_DURATION) {
            let waited_ms = since.elapsed().as_millis() as u64;
            info!(self.log, "left the cluster"; "is_released" => is_released, "waited_ms" => waited_ms);
            self.membership.leave(self.uptime());
            self.process_membership_outputs();
            self.connections.close_all();
            self.sockets = None;
            self.storage = None;
        }
        self.has_left()
    }
}

fn local_identity(config: &ClusterConfig, local: &LocalNode) -> Identity {
    let started_at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Identity {
        name: local.name.to_string(),
        incarnation: local.incarnation,
        started_at_ms: u64::try_from(started_at.as_millis()).unwrap_or(u64::MAX),
        generation: 0,
        address: config.listen_address,
        zone: config.zone.clone(),
        region: config.region.clone(),
        build: env!("CARGO_PKG_VERSION").to_string(),
        settings_hash: local.settings_hash,
    }
}

/// The first message that this node sends on each connection.
fn local_handshake(identity: &Identity, cluster_tag: u32) -> Handshake {
    Handshake {
        cluster_tag,
        name: identity.name.clone(),
        incarnation: identity.incarnation,
        started_at_ms: identity.started_at_ms,
        build: identity.build.clone(),
    }
}

fn control_config(config: &ClusterConfig) -> ControlConfig {
    let budget = config.slow_start_budget;
    ControlConfig {
        lease_terms: LeaseTerms::default(),
        expected_nodes: config.expected_nodes.clone(),
        capacity: budget.map_or(0, |budget| budget.leased_capacity),
        floor: budget.map_or(0, |budget| budget.floor),
        bootstrap_grace: BOOTSTRAP_GRACE,
        member_removal_delay: MEMBER_REMOVAL_DELAY,
    }
}

/// The control group's description of a node.
pub(super) fn control_member(identity: &Identity) -> Member {
    Member {
        id: identity.incarnation,
        name: identity.name.clone(),
        zone: identity.zone.clone(),
        region: identity.region.clone(),
        build: identity.build.clone(),
    }
}
