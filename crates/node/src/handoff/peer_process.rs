//! The state of the handoff: the other process of the node, as far as it is known, and the role of this process.

use super::admin_drain_file::{apply_change, AdminDrainFile, AdminDrainFileError, DrainChange};
use super::connected_peer::ConnectedPeer;
use super::message::{HandoffMessage, Heartbeat};
use super::runtime_files::RuntimeFiles;
use super::socket::{HandoffListener, PeerConnection, SendOutcome};
use super::transfer::TransferQueue;
use super::unanswered_queries::UnansweredQueries;
use lupincrank_placement::ServerId;
use lupincrank_reactor::ComponentId;
use polling::Poller;
use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::os::fd::BorrowedFd;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time after startup for which this process waits to reach the other one. Readiness is due 6 s after startup.
const PEER_DISCOVERY_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after startup for which this process waits for the state of the other one, once it has reached it. A process may
/// be held up for fractions of a second.
const PREDECESSOR_STATE_TIMEOUT: Duration = Duration::from_secs(1);

/// The other process of this node.
pub(super) enum PeerProcess {
    /// No other process is connected.
    Absent,
    /// The other process is connected.
    Connected(ConnectedPeer),
    /// The other process uses a different version of the messages, so connecting again would fail as well.
    Incompatible,
}

/// The resources that only the older process, or the only process, of a node holds.
pub(super) struct PrimaryRole {
    /// The operating system releases this lock when the process terminates, also if it is killed.
    _lock: File,
    /// The socket to which a successor connects; `None` if the socket could not be opened.
    pub(super) listener: Option<HandoffListener>,
}

/// Progress of the steps that precede this process's readiness.
pub(super) struct Startup {
    pub(super) started_at: Instant,
    /// The search for another process has succeeded, whether or not there is one.
    pub(super) has_searched_peer: bool,
    /// The file of admin drains was read at least once, so this process has the stored drains.
    pub(super) has_read_admin_drains: bool,
    /// The older process has sent its endpoint list, if it has one from discovery, and what it has learned of the servers.
    pub(super) has_predecessor_state: bool,
}

/// The handoff between this process and the other process of its node.
pub(crate) struct HandoffState {
    /// The files that both processes share; `None` if no second process may start.
    pub(super) files: Option<RuntimeFiles>,
    pub(super) primary: Option<PrimaryRole>,
    /// Held by the one process that may become the next primary.
    next_lock: Option<File>,
    pub(super) peer: PeerProcess,
    pub(super) startup: Startup,
    /// This process accepts clients. A newer process leaves them to the older one until it can serve them.
    pub(super) accepts_clients: bool,
    /// This process is transferring its connections to its successor.
    pub(super) has_started_handover: bool,
    pub(super) transfers: TransferQueue,
    pub(super) claim_queries: UnansweredQueries,
}

impl HandoffState {
    /// Creates the state without a known other process. A second process may start only if the client listener is
    /// inherited.
    pub(crate) fn new(listen: SocketAddr, inherited_listener: Option<i32>) -> HandoffState {
        HandoffState {
            files: inherited_listener.map(|_| RuntimeFiles::new(listen)),
            primary: None,
            next_lock: None,
            peer: PeerProcess::Absent,
            startup: Startup {
                started_at: Instant::now(),
                has_searched_peer: false,
                has_read_admin_drains: false,
                has_predecessor_state: false,
            },
            accepts_clients: false,
            has_started_handover: false,
            transfers: TransferQueue::default(),
            claim_queries: UnansweredQueries::default(),
        }
    }

    /// Returns true if this process need not wait for a predecessor: none is running, or it was found, the admin drains
    /// were read and its state was received, or the time for this has passed.
    pub(crate) fn is_startup_complete(&self) -> bool {
        let is_known = self.startup.has_searched_peer
            && (self.startup.has_read_admin_drains || self.primary.is_some());
        let waited = self.startup.started_at.elapsed();
        let is_waiting_for_state =
            self.is_predecessor_state_due() && waited <= PREDECESSOR_STATE_TIMEOUT;
        let is_complete = is_known && !is_waiting_for_state;
        self.files.is_none() || is_complete || waited > PEER_DISCOVERY_TIMEOUT
    }

    /// Returns true if the older process is connected and may yet send its state. Builds that do not share their endpoint
    /// lists send it when they begin to hand over.
    fn is_predecessor_state_due(&self) -> bool {
        let PeerProcess::Connected(peer) = &self.peer else {
            return false;
        };
        let is_sent_later = peer.has_received_heartbeat() && !peer.heartbeat.shares_endpoint_lists;
        self.primary.is_none() && !self.startup.has_predecessor_state && !is_sent_later
    }

    /// Returns true while connections are being transferred to a successor.
    pub(crate) fn is_handing_over(&self) -> bool {
        self.has_started_handover && self.is_peer_connected()
    }

    /// Returns true if no connection is in flight to the other process, and no message waits that a successor needs.
    pub(crate) fn is_idle(&self) -> bool {
        let is_sending = self.is_handing_over() && self.has_queued_messages();
        self.transfers.is_idle() && !is_sending
    }

    /// Returns true if this connection is in flight to the other process.
    pub(crate) fn is_in_flight(&self, id: ComponentId) -> bool {
        self.transfers.is_in_flight(id)
    }

    /// Returns true if a successor is connected that can serve the connections of this process when it shuts down.
    pub(crate) fn has_successor(&self) -> bool {
        self.primary.is_some() && self.peer_heartbeat().accepts_clients
    }

    /// The last heartbeat of the other process; the default heartbeat if no other process is connected.
    pub(crate) fn peer_heartbeat(&self) -> Heartbeat {
        match &self.peer {
            PeerProcess::Connected(peer) => peer.heartbeat,
            PeerProcess::Absent | PeerProcess::Incompatible => Heartbeat::default(),
        }
    }

    /// Queues connections for transfer.
    pub(crate) fn enqueue(&mut self, ids: impl IntoIterator<Item = ComponentId>) {
        self.transfers.enqueue(ids);
    }

    /// Offers a connection to the other process, in the message that `message` creates from the connection's number. The
    /// connection's component must not use the connection until the answer. If the socket buffer is full, the connection
    /// returns to the queue and its component will be asked again to transfer it.
    ///
    /// # Errors
    /// If no other process is connected or the message can't be sent.
    pub(crate) fn transfer(
        &mut self,
        id: ComponentId,
        message: impl FnOnce(u64) -> HandoffMessage,
        payload: &[u8],
        descriptors: &[BorrowedFd<'_>],
    ) -> io::Result<SendOutcome> {
        let PeerProcess::Connected(peer) = &self.peer else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        let message = message(self.transfers.next_number());
        let outcome = peer.connection.send(&message, payload, descriptors)?;
        self.transfers.record_send(id, outcome);
        Ok(outcome)
    }

    /// Drains or releases a server, also in the file if there is one, and returns the drained servers.
    ///
    /// # Errors
    /// If the file can't be read or written; the drained servers are unchanged in this case.
    pub(crate) fn change_drained_servers(
        &self,
        server: &ServerId,
        change: DrainChange,
        drained: &BTreeSet<ServerId>,
    ) -> Result<BTreeSet<ServerId>, AdminDrainFileError> {
        if let Some(file) = self.admin_drain_file() {
            return file.update(server, change, drained);
        }
        let mut drained = drained.clone();
        apply_change(&mut drained, server, change);
        Ok(drained)
    }

    /// Notifies the other process, if one is connected, of a change of the admin drains.
    pub(crate) fn announce_drained_servers(&self) {
        self.send(&HandoffMessage::AdminDrainChanged);
    }

    /// Sends a message without descriptors. Returns true if it was sent.
    pub(super) fn send(&self, message: &HandoffMessage) -> bool {
        let PeerProcess::Connected(peer) = &self.peer else {
            return false;
        };
        matches!(
            peer.connection.send(message, &[], &[]),
            Ok(SendOutcome::Sent)
        )
    }

    /// The other process, if it is connected.
    pub(super) fn connected_peer(&mut self) -> Option<&mut ConnectedPeer> {
        match &mut self.peer {
            PeerProcess::Connected(peer) => Some(peer),
            PeerProcess::Absent | PeerProcess::Incompatible => None,
        }
    }

    /// Returns true if messages wait for space in the buffer of the socket to the other process.
    pub(super) fn has_queued_messages(&self) -> bool {
        match &self.peer {
            PeerProcess::Connected(peer) => peer.has_queued_messages(),
            PeerProcess::Absent | PeerProcess::Incompatible => false,
        }
    }

    pub(super) fn admin_drain_file(&self) -> Option<AdminDrainFile> {
        self.files.as_ref().map(RuntimeFiles::admin_drain_file)
    }

    /// Returns true if the other process is connected.
    pub(crate) fn is_peer_connected(&self) -> bool {
        matches!(self.peer, PeerProcess::Connected(_))
    }

    /// Looks for another process: acquires the lock and listens for a successor, or connects to the process that holds
    /// the lock.
    pub(super) fn find_peer(&mut self, poller: &Rc<Poller>) -> io::Result<()> {
        if self.primary.is_some() {
            return Ok(());
        }
        let Some(files) = self.files.clone() else {
            return Ok(());
        };
        if self.next_lock.is_none() {
            self.next_lock = files.try_next_lock()?;
        }
        let lock = match &self.next_lock {
            Some(_) => files.try_lock()?,
            None => None,
        };
        match lock {
            Some(lock) => self.become_primary(lock, &files, poller)?,
            None => self.connect_to_primary(&files, poller)?,
        }
        self.startup.has_searched_peer = true;
        Ok(())
    }

    fn become_primary(
        &mut self,
        lock: File,
        files: &RuntimeFiles,
        poller: &Rc<Poller>,
    ) -> io::Result<()> {
        let primary = self.primary.insert(PrimaryRole {
            _lock: lock,
            listener: None,
        });
        self.next_lock = None;
        let socket_path = files.socket_path();
        // A killed process does not remove its socket file.
        let _ = fs::remove_file(&socket_path);
        primary.listener = Some(HandoffListener::bind(poller, &socket_path)?);
        Ok(())
    }

    fn connect_to_primary(&mut self, files: &RuntimeFiles, poller: &Rc<Poller>) -> io::Result<()> {
        if matches!(self.peer, PeerProcess::Absent) {
            let connection = PeerConnection::connect(poller, &files.socket_path())?;
            self.peer = PeerProcess::Connected(ConnectedPeer::new(connection));
        }
        Ok(())
    }
}
