//! What a process knows of the other one of its node, and what it may do by that.

use super::admin_drain_file::Bans;
use super::message::{self, Beat, Said};
use super::transfer::Custody;
use crate::component::WellKnownComponent;
use lupincrank_placement::admin_drain::set_drained;
use lupincrank_placement::ServerId;
use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::ComponentId;
use lupincrank_reactor::{poller_key, Interest};
use socket2::Socket;
use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::os::fd::BorrowedFd;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A process that cannot be reached for this long is not waited for; yes is owed 6 s after the start.
const REACHED: Duration = Duration::from_secs(4);
/// The sockets of this object: the one where a successor comes, and the link to the other process.
pub(crate) const DOOR: usize = 0;
pub(crate) const LINK: usize = 1;

/// What this process knows of the other one.
pub struct Upgrade {
    /// The path of the files, without their extension; `None` where no second process may come.
    pub(crate) stem: Option<PathBuf>,
    /// Held while this process is the older or the only one.
    pub(crate) lock: Option<File>,
    pub(crate) door: Option<Registered<Socket>>,
    pub(crate) link: Option<Registered<Socket>>,
    /// What the other process holds and does, as it last said.
    pub other: Beat,
    /// It speaks another form of messages: there is no use in reaching it again.
    pub(crate) foreign: bool,
    pub(crate) bans: Option<Bans>,
    /// The file of who is out was read well once: what this process holds is right.
    pub(crate) read: bool,
    pub(crate) since: Instant,
    pub(crate) settled: bool,
    /// Clients are taken in: a newer process leaves them to the older one until it can serve.
    pub(crate) open: bool,
    pub(crate) custody: Custody,
    /// This process is handing over.
    pub(crate) leaving: bool,
}

impl Upgrade {
    /// Not linked yet.
    pub fn new(listen: SocketAddr, inherited: Option<i32>) -> Upgrade {
        let name = format!("lupincrank-{listen}").replace([':', '[', ']'], "-");
        // The name is all of the stem: it holds dots, and what follows the last must not be taken for an extension.
        let stem = inherited.map(|_| std::env::temp_dir().join(name + ".node"));
        Upgrade {
            bans: stem
                .as_ref()
                .map(|stem| Bans::new(stem.with_extension("out"))),
            stem,
            lock: None,
            door: None,
            link: None,
            other: Beat::default(),
            foreign: false,
            read: false,
            since: Instant::now(),
            settled: false,
            open: false,
            custody: Custody::default(),
            leaving: false,
        }
    }

    /// Whether the process before this one is known to have ended, or is linked and has left a file of who is out that can
    /// be read: until then this one is not ready.
    pub fn settled(&self) -> bool {
        let known = self.settled && (self.read || self.lock.is_some());
        self.stem.is_none() || known || self.since.elapsed() > REACHED
    }

    /// Whether connections are being handed over.
    pub fn handing(&self) -> bool {
        self.leaving && self.link.is_some()
    }

    /// Whether nothing is under way to the other process any more.
    pub fn idle(&self) -> bool {
        self.custody.idle()
    }

    /// Whether a process that is to end may hand over what it holds: the other one can serve.
    pub fn has_successor(&self) -> bool {
        self.lock.is_some() && self.link.is_some() && self.other.open
    }

    /// Context this connection over as soon as it is its turn.
    pub fn enqueue(&mut self, ids: impl IntoIterator<Item = ComponentId>) {
        self.custody.enqueue(ids);
    }

    /// Sends a connection on its way; its object keeps it untouched until it is told how that went. False if there is no
    /// room yet: it will be asked again.
    pub fn hand(
        &mut self,
        id: ComponentId,
        said: impl FnOnce(u64) -> Said,
        bytes: &[u8],
        fds: &[BorrowedFd<'_>],
    ) -> io::Result<bool> {
        let Some(link) = &self.link else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        let sent = message::send(link, &said(self.custody.number()), bytes, fds)?;
        self.custody.sent(id, sent);
        Ok(sent)
    }

    /// Takes a transcriber out by hand or back in, in the file too where there is one.
    pub fn change(
        &self,
        server: &ServerId,
        down: bool,
        present: &BTreeSet<ServerId>,
    ) -> Result<BTreeSet<ServerId>, String> {
        if let Some(bans) = &self.bans {
            bans.change(server, down, present)
        } else {
            let mut out = present.clone();
            set_drained(&mut out, server, down);
            Ok(out)
        }
    }

    /// Says something that comes without descriptors; whether it went out.
    pub fn say(&self, said: &Said) -> bool {
        self.link
            .as_ref()
            .is_some_and(|link| matches!(message::send(link, said, &[], &[]), Ok(true)))
    }

    /// Looks who else lives: takes the lock and waits for a successor, or reaches the process that has the lock.
    pub(crate) fn look(&mut self, poller: &Rc<polling::Poller>) -> io::Result<()> {
        let Some(stem) = self.stem.clone().filter(|_| self.lock.is_none()) else {
            return Ok(());
        };
        let path = stem.with_extension("socket");
        let lock = stem.with_extension("lock");
        let file = File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(lock)?;
        match file.try_lock() {
            Ok(()) => {
                self.lock = Some(file);
                let _ = fs::remove_file(&path);
                let door = message::listen(&path)?;
                self.door = Some(Registered::new(
                    poller,
                    door,
                    poller_key(WellKnownComponent::Handoff.id(), 0) + DOOR,
                    Interest::READ,
                )?);
            }
            Err(fs::TryLockError::WouldBlock) if self.link.is_none() && !self.foreign => {
                let link = message::connect(&path)?;
                self.link = Some(Registered::new(
                    poller,
                    link,
                    poller_key(WellKnownComponent::Handoff.id(), 0) + LINK,
                    Interest::READ,
                )?);
            }
            Err(fs::TryLockError::WouldBlock) => {}
            Err(error) => return Err(error.into()),
        }
        self.settled = true;
        Ok(())
    }
}
