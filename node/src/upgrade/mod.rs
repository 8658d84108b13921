//! Two processes of one node: who else lives, what is out by hand, and the connections that the older hands over. Without a
//! listener that the platform holds there is one process only, and no file, lock or socket is made.

mod bans;
pub mod inherited;
pub mod link;

use crate::config::Config;
use crate::event_loop::{Connection, Flow, Id, Message, Node, LISTENER, UPGRADE};
use crate::line_front::Client;
use crate::poll::Watched;
use crate::relay::Relay;
use bans::Bans;
use link::{Came, Said, VERSION};
use lupincrank::ServerId;
use slog::{info, warn};
use socket2::Socket;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fs::{self, File};
use std::io;
use std::os::fd::BorrowedFd;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// How often each process tells the other what it holds, looks who is out by hand, and who else lives.
const BEAT: Duration = Duration::from_millis(100);
/// While connections are handed over the queue is looked at this often, should nothing else happen.
const STEP: Duration = Duration::from_millis(10);
/// A process that cannot be reached for this long is not waited for; yes is owed 6 s after the start.
const REACHED: Duration = Duration::from_secs(4);
/// Connections under way from one process to the other: each counts twice meanwhile.
const UNDER_WAY: usize = 4;
/// The sockets of this object: the one where a successor comes, and the link to the other process.
const DOOR: usize = 0;
const LINK: usize = 1;

/// What this process knows of the other one.
pub struct Upgrade {
    /// The path of the files, without their extension; `None` where no second process may come.
    stem: Option<PathBuf>,
    /// Held while this process is the older or the only one.
    lock: Option<File>,
    door: Option<Watched<Socket>>,
    link: Option<Watched<Socket>>,
    /// Clients that the other process holds.
    pub others: usize,
    bans: Option<Bans>,
    since: Instant,
    settled: bool,
    /// Clients are taken in: a newer process leaves them to the older one until it can serve.
    open: bool,
    /// The connections that are still to be handed over, and those under way by their number.
    queue: VecDeque<Id>,
    under_way: BTreeMap<u64, Id>,
    number: u64,
    handed: usize,
    /// This process is handing over.
    leaving: bool,
}

impl Upgrade {
    /// Not linked yet.
    pub fn new(config: &Config) -> Upgrade {
        let name = format!("lupincrank-{}", config.listen).replace([':', '[', ']'], "-");
        // The name is all of the stem: it holds dots, and what follows the last must not be taken for an extension.
        let stem = config.inherited.map(|_| std::env::temp_dir().join(name + ".node"));
        Upgrade {
            bans: stem.as_ref().map(|stem| Bans::new(stem.with_extension("out"))),
            stem,
            lock: None,
            door: None,
            link: None,
            others: 0,
            since: Instant::now(),
            settled: false,
            open: false,
            queue: VecDeque::new(),
            under_way: BTreeMap::new(),
            number: 0,
            handed: 0,
            leaving: false,
        }
    }

    /// Whether the process before this one is known to have ended, or is linked: until then this one is not ready.
    pub fn settled(&self) -> bool {
        self.stem.is_none() || self.settled || self.since.elapsed() > REACHED
    }

    /// Whether connections are being handed over.
    pub fn handing(&self) -> bool {
        self.leaving && self.link.is_some()
    }

    /// Whether nothing is under way to the other process any more.
    pub fn idle(&self) -> bool {
        self.under_way.is_empty()
    }

    /// Whether a process that is to end may hand over what it holds.
    pub fn has_successor(&self) -> bool {
        self.lock.is_some() && self.link.is_some()
    }

    /// Hands this connection over as soon as it is its turn.
    pub fn enqueue(&mut self, ids: impl IntoIterator<Item = Id>) {
        self.queue.extend(ids);
    }

    /// Sends a connection on its way; its object keeps it untouched until it is told how that went. False if there is no
    /// room yet: it will be asked again.
    pub fn hand(
        &mut self,
        id: Id,
        said: impl FnOnce(u64) -> Said,
        bytes: &[u8],
        fds: &[BorrowedFd<'_>],
    ) -> io::Result<bool> {
        let Some(link) = &self.link else { return Err(io::ErrorKind::NotConnected.into()) };
        self.number += 1;
        let sent = link::send(link, &said(self.number), bytes, fds)?;
        if sent {
            self.under_way.insert(self.number, id);
        } else {
            self.queue.push_back(id);
        }
        Ok(sent)
    }

    /// Takes a transcriber out by hand or back in, in the file too where there is one.
    pub fn change(
        &self,
        server: &ServerId,
        down: bool,
        present: &BTreeSet<ServerId>,
    ) -> Result<BTreeSet<ServerId>, String> {
        match &self.bans {
            Some(bans) => bans.change(server, down, present),
            None => {
                let mut out = present.clone();
                let _ = if down { out.insert(server.clone()) } else { out.remove(server) };
                Ok(out)
            }
        }
    }

    /// Says something that comes without descriptors; whether it went out.
    pub fn say(&self, said: &Said) -> bool {
        self.link.as_ref().is_some_and(|link| matches!(link::send(link, said, &[], &[]), Ok(true)))
    }

    /// Looks who else lives: takes the lock and waits for a successor, or reaches the process that has the lock.
    fn look(&mut self, poller: &std::rc::Rc<polling::Poller>) -> io::Result<()> {
        let Some(stem) = self.stem.clone().filter(|_| self.lock.is_none()) else { return Ok(()) };
        let path = stem.with_extension("socket");
        let lock = stem.with_extension("lock");
        let file = File::options().create(true).truncate(false).write(true).open(lock)?;
        match file.try_lock() {
            Ok(()) => {
                self.lock = Some(file);
                let _ = fs::remove_file(&path);
                let door = link::listen(&path)?;
                self.door = Some(Watched::new(poller, door, UPGRADE as usize * 2 + DOOR, true, false)?);
            }
            Err(fs::TryLockError::WouldBlock) if self.link.is_none() => {
                let link = link::connect(&path)?;
                self.link = Some(Watched::new(poller, link, UPGRADE as usize * 2 + LINK, true, false)?);
            }
            Err(fs::TryLockError::WouldBlock) => {}
            Err(error) => return Err(error.into()),
        }
        self.settled = true;
        Ok(())
    }
}

/// Reads again who is out by hand.
fn reread(node: &mut Node) {
    match node.upgrade.bans.as_ref().map(Bans::read) {
        Some(Ok(out)) => node.core.set_out(out),
        Some(Err(why)) => warn!(node.log, "who is out by hand stays as it was"; "why" => why),
        None => {}
    }
}

/// The first look, before anything is served.
pub fn begin(node: &mut Node) {
    if node.upgrade.stem.is_some() {
        reread(node);
        node.tell(LISTENER, Message::Rest);
        beat(node);
    }
}

/// Takes clients in from now on, if this is the only process or can serve as well as the other one.
fn open(node: &mut Node) {
    let may = node.upgrade.lock.is_some() || node.serves().is_ok();
    if may && node.upgrade.stem.is_some() && !std::mem::replace(&mut node.upgrade.open, true) {
        node.tell(LISTENER, Message::Begin);
    }
}

fn beat(node: &mut Node) {
    let had = node.upgrade.lock.is_some();
    if let Err(error) = node.upgrade.look(&node.poller) {
        slog::debug!(node.log, "the other process is not reached yet"; "error" => %error);
    }
    if !had && node.upgrade.lock.is_some() {
        info!(node.log, "the only process of this node");
    }
    if node.upgrade.link.is_some() {
        reread(node);
        let clients = node.clients.get();
        node.upgrade.say(&Said::Beat { version: VERSION, clients });
    }
    open(node);
    node.deadlines.set(UPGRADE, 0, Instant::now() + BEAT);
}

/// Begins to hand over all that this process holds.
pub fn leave(node: &mut Node) {
    node.upgrade.leaving = true;
    node.hand_over = true;
    node.tell(LISTENER, Message::Rest);
    node.deadlines.set(UPGRADE, 1, Instant::now());
}

fn step(node: &mut Node) {
    let room = UNDER_WAY.saturating_sub(node.upgrade.under_way.len());
    for _ in 0..room {
        let Some(id) = node.upgrade.queue.pop_front() else { break };
        node.tell(id, Message::HandOver);
    }
}

/// The link broke: what was not taken stays here.
fn broke(node: &mut Node, why: &str) {
    info!(node.log, "the other process is gone"; "why" => why.to_string(), "handed" => node.upgrade.handed);
    node.upgrade.link = None;
    node.upgrade.others = 0;
    node.upgrade.queue.clear();
    for (_, id) in std::mem::take(&mut node.upgrade.under_way) {
        node.tell(id, Message::Kept);
    }
    if node.upgrade.leaving {
        // There is nobody else to take clients in.
        node.tell(LISTENER, Message::Begin);
    }
    beat(node);
}

fn take(node: &mut Node, came: Came) {
    let Came { said, bytes, fds } = came;
    match said {
        Said::Beat { version, clients } => {
            if version != VERSION {
                return broke(node, "it speaks another version");
            }
            node.upgrade.others = clients;
        }
        Said::Out => reread(node),
        // What is taken is said to be before anything is read or written: were this process to die now, the other knows
        // whose it is. If it cannot be said the link is given up, which tells the other to keep it.
        Said::Standing(number, record) => {
            let sockets = <[_; 2]>::try_from(fds).ok().filter(|_| Relay::may_take(node, &record, &bytes));
            let answer = if sockets.is_some() { Said::Took(number) } else { Said::Refused(number) };
            if !node.upgrade.say(&answer) {
                return broke(node, "no answer can be given");
            }
            if let Some(sockets) = sockets {
                node.upgrade.others = node.upgrade.others.saturating_sub(1);
                Relay::take_over(node, record, &bytes, sockets);
            }
        }
        Said::First(number, left_ms) => {
            let socket = fds.into_iter().next();
            let answer = if socket.is_some() { Said::Took(number) } else { Said::Refused(number) };
            if !node.upgrade.say(&answer) {
                return broke(node, "no answer can be given");
            }
            if let Some(socket) = socket {
                Client::take_over(node, socket, bytes, Duration::from_millis(left_ms));
            }
        }
        Said::Took(number) => {
            if let Some(id) = node.upgrade.under_way.remove(&number) {
                node.upgrade.handed += 1;
                node.tell(id, Message::Handed);
            }
            step(node);
        }
        Said::Refused(number) => {
            if let Some(id) = node.upgrade.under_way.remove(&number) {
                node.tell(id, Message::Kept);
            }
            step(node);
        }
    }
}

/// Watches for the other process.
pub struct Watch;

impl Connection for Watch {
    fn ready(&mut self, node: &mut Node, side: usize, _readable: bool, _writable: bool) -> Flow {
        if side == DOOR {
            let Some(door) = &node.upgrade.door else { return Flow::Keep };
            let Ok((link, _)) = door.accept() else { return Flow::Keep };
            // One successor at a time; a second one comes again once the first has gone.
            if node.upgrade.link.is_none() && link.set_nonblocking(true).is_ok() {
                let key = UPGRADE as usize * 2 + LINK;
                node.upgrade.link = Watched::new(&node.poller, link, key, true, false).ok();
                info!(node.log, "a successor has come");
                beat(node);
            }
            return Flow::Keep;
        }
        // A turn takes a bounded number: clients go on meanwhile.
        for _ in 0..UNDER_WAY * 2 {
            let Some(link) = &node.upgrade.link else { break };
            match link::receive(link) {
                Ok(Some(came)) => take(node, came),
                Ok(None) => break,
                Err(error) => {
                    broke(node, &error.to_string());
                    break;
                }
            }
        }
        Flow::Keep
    }

    fn due(&mut self, node: &mut Node, purpose: u64) -> Flow {
        if purpose == 0 {
            beat(node);
        } else if node.upgrade.handing() {
            step(node);
            node.deadlines.set(UPGRADE, 1, Instant::now() + STEP);
        }
        Flow::Keep
    }

    fn told(&mut self, node: &mut Node, message: Message) -> Flow {
        if matches!(message, Message::Begin) {
            open(node);
        }
        Flow::Keep
    }
}
