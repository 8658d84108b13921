//! What this process knows of the other process of its node, and what it may do for that reason.

use super::admin_drain_file::{apply_change, AdminDrainFile, AdminDrainFileError, DrainChange};
use super::message::{HandoffMessage, Heartbeat};
use super::runtime_files::RuntimeFiles;
use super::socket::{HandoffListener, PeerConnection, SendOutcome};
use super::transfer::TransferQueue;
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

/// A process that can't be reached for this long after the start is not waited for: readiness is due 6 s after the start.
const PEER_DISCOVERY_TIMEOUT: Duration = Duration::from_secs(4);

/// The other process of this node.
pub(super) enum PeerProcess {
    /// None is connected.
    Absent,
    /// It is connected.
    Connected(ConnectedPeer),
    /// It speaks another version of the messages: there is no use in connecting again.
    Incompatible,
}

/// The other process, connected.
pub(super) struct ConnectedPeer {
    pub(super) connection: PeerConnection,
    /// What it holds and does, as it last reported.
    pub(super) heartbeat: Heartbeat,
}

impl ConnectedPeer {
    pub(super) fn new(connection: PeerConnection) -> ConnectedPeer {
        ConnectedPeer {
            connection,
            heartbeat: Heartbeat::default(),
        }
    }
}

/// What only the older or the only process of a node holds.
pub(super) struct PrimaryRole {
    /// Released by the system when this process ends, however it ends.
    _lock: File,
    /// Where a successor connects; `None` where that socket could not be opened.
    pub(super) listener: Option<HandoffListener>,
}

/// What has to be known before this process is ready.
pub(super) struct Startup {
    pub(super) started_at: Instant,
    /// This process has found out whether another one runs.
    pub(super) has_searched_peer: bool,
    /// The file of admin drains was read: the drains that this process holds are right.
    pub(super) knows_drained_servers: bool,
}

/// The handoff between this process and the other process of its node.
pub(crate) struct HandoffState {
    /// The files that both processes share; `None` where no second process may start.
    pub(super) files: Option<RuntimeFiles>,
    pub(super) primary: Option<PrimaryRole>,
    /// Held by the one process that may take the primary's place.
    next_lock: Option<File>,
    pub(super) peer: PeerProcess,
    pub(super) startup: Startup,
    /// Clients are accepted: a newer process leaves them to the older one until it can serve them.
    pub(super) accepts_clients: bool,
    /// This process is transferring its connections to its successor.
    pub(super) is_leaving: bool,
    pub(super) transfers: TransferQueue,
}

impl HandoffState {
    /// No other process is known yet. A second process may start only where the clients' listener is inherited.
    pub(crate) fn new(listen: SocketAddr, inherited_listener: Option<i32>) -> HandoffState {
        HandoffState {
            files: inherited_listener.map(|_| RuntimeFiles::new(listen)),
            primary: None,
            next_lock: None,
            peer: PeerProcess::Absent,
            startup: Startup {
                started_at: Instant::now(),
                has_searched_peer: false,
                knows_drained_servers: false,
            },
            accepts_clients: false,
            is_leaving: false,
            transfers: TransferQueue::default(),
        }
    }

    /// Whether this process need not wait for the one before it: that one is known to have ended, or it is connected and
    /// its file of admin drains was read, or it was waited for long enough.
    pub(crate) fn is_settled(&self) -> bool {
        let is_known = self.startup.has_searched_peer
            && (self.startup.knows_drained_servers || self.primary.is_some());
        let waited = self.startup.started_at.elapsed();
        self.files.is_none() || is_known || waited > PEER_DISCOVERY_TIMEOUT
    }

    /// Whether connections are being transferred to a successor.
    pub(crate) fn is_handing_over(&self) -> bool {
        self.is_leaving && self.is_peer_connected()
    }

    /// Whether no connection is in flight to the other process.
    pub(crate) fn is_idle(&self) -> bool {
        self.transfers.is_idle()
    }

    /// Whether a process that shuts down may transfer its connections: the other one can serve them.
    pub(crate) fn has_successor(&self) -> bool {
        self.primary.is_some() && self.peer_heartbeat().accepts_clients
    }

    /// What the other process holds and does, as it last reported; nothing where none is connected.
    pub(crate) fn peer_heartbeat(&self) -> Heartbeat {
        match &self.peer {
            PeerProcess::Connected(peer) => peer.heartbeat,
            PeerProcess::Absent | PeerProcess::Incompatible => Heartbeat::default(),
        }
    }

    /// Queues connections for the transfer.
    pub(crate) fn enqueue(&mut self, ids: impl IntoIterator<Item = ComponentId>) {
        self.transfers.enqueue(ids);
    }

    /// Offers a connection to the other process, in the message that `message` makes of its number. The connection's
    /// component leaves it untouched until the answer; where there is no space now, it is asked to transfer again.
    ///
    /// # Errors
    /// Where no other process is connected or it can't be sent to.
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

    /// Drains or releases a server, in the file too where there is one, and returns the drained servers.
    ///
    /// # Errors
    /// Where the file can't be written; nothing has changed then.
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

    /// Tells the other process, if one is connected, that the admin drains have changed.
    pub(crate) fn announce_drained_servers(&self) {
        self.send(&HandoffMessage::AdminDrainChanged);
    }

    /// Sends a message without descriptors; whether it was sent.
    pub(super) fn send(&self, message: &HandoffMessage) -> bool {
        let PeerProcess::Connected(peer) = &self.peer else {
            return false;
        };
        matches!(
            peer.connection.send(message, &[], &[]),
            Ok(SendOutcome::Sent)
        )
    }

    pub(super) fn admin_drain_file(&self) -> Option<AdminDrainFile> {
        self.files.as_ref().map(RuntimeFiles::admin_drain_file)
    }

    pub(super) fn is_peer_connected(&self) -> bool {
        matches!(self.peer, PeerProcess::Connected(_))
    }

    /// Finds out which other process runs: takes the lock and listens for a successor, or connects to the process that
    /// has the lock.
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
        // A process that was killed leaves its socket behind.
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
