//! Two processes of one node: who else lives, what is out by hand, and the connections that the older context over. Without a
//! listener that the platform holds there is one process only, and no file, lock or socket is made.

mod admin_drain_file;
pub mod inherited_listener;
pub mod message;
pub mod peer_process;
mod transfer;

use crate::client::ClientConnection;
use crate::state::{Message, Node, NodeState, LISTENER};
use crate::upstream::relay::Relay;
use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::{poller_key, Interest, Readiness};
use lupincrank_reactor::{Connection, Lifecycle};
use message::{Beat, Came, Said, VERSION};
use peer_process::{DOOR, LINK, UPGRADE};
use slog::{debug, info, warn};
use std::io;
use std::time::{Duration, Instant};
use transfer::UNDER_WAY;

/// How often each process tells the other what it holds, looks who is out by hand, and who else lives.
const BEAT: Duration = Duration::from_millis(100);
/// While connections are handed over the queue is looked at this often, should nothing else happen.
const STEP: Duration = Duration::from_millis(10);
/// Reads again who is out by hand. A file that was damaged meanwhile is written anew by one that knows what it held.
fn reread(node: &mut Node) {
    let Some(bans) = &node.upgrade.bans else {
        return;
    };
    match bans.read() {
        Ok(out) => {
            node.upgrade.read = true;
            node.core.set_out(out);
        }
        Err(why) => {
            let mended = node.upgrade.read && bans.mend(node.core.out()).is_ok();
            warn!(node.log, "who is out by hand stays as it was"; "why" => why, "mended" => mended);
            if mended {
                node.upgrade.say(&Said::Out);
            }
        }
    }
}

/// The first look, before anything is served.
pub fn begin(node: &mut Node) {
    if node.upgrade.stem.is_some() {
        reread(node);
        node.send(LISTENER, Message::Rest);
        beat(node);
    }
}

/// Takes clients in from now on, if this is the only process or can serve as well as the other one.
pub fn open(node: &mut Node) {
    let may = node.upgrade.lock.is_some() || node.serves().is_ok();
    if may && node.upgrade.stem.is_some() && !std::mem::replace(&mut node.upgrade.open, true) {
        node.send(LISTENER, Message::Begin);
        tell(node);
    }
}

/// Tells the other process how this one stands, and shares the budgets of one node with it while both take clients in.
fn tell(node: &mut Node) {
    let open = node.upgrade.open && !node.upgrade.leaving;
    let (clients, strangers) = (node.clients.get(), node.strangers.len());
    node.upgrade.say(&Said::Beat(Beat {
        version: VERSION,
        clients,
        strangers,
        open,
    }));
    let both = node.upgrade.link.is_some() && open && node.upgrade.other.open;
    let NodeState { core, config, .. } = &mut node.application;
    core.share(config, if both { 2 } else { 1 });
}

fn beat(node: &mut Node) {
    let had = node.upgrade.lock.is_some();
    if let Err(error) = node.application.upgrade.look(&node.poller) {
        debug!(node.log, "the other process is not reached yet"; "error" => %error);
    }
    if !had && node.upgrade.lock.is_some() {
        info!(node.log, "the only process of this node");
    }
    if let Some(door) = &mut node.upgrade.door {
        if let Err(error) = door.set_interest(Interest::READ) {
            debug!(node.log, "no successor can come for now"; "error" => %error);
        }
    }
    if node.upgrade.link.is_some() {
        reread(node);
        tell(node);
    }
    open(node);
    node.deadlines.set(UPGRADE, 0, Instant::now() + BEAT);
}

/// Begins to hand over all that this process holds.
pub fn leave(node: &mut Node) {
    node.upgrade.leaving = true;
    node.hand_over = true;
    node.send(LISTENER, Message::Rest);
    tell(node);
    let lessons = node.core.learnt().into_iter().map(Into::into).collect();
    if !node.upgrade.say(&Said::Learnt(lessons)) {
        debug!(
            node.log,
            "what was learnt of transcribers does not go along"
        );
    }
    node.deadlines.set(UPGRADE, 1, Instant::now());
}

fn step(node: &mut Node) {
    for id in node.upgrade.custody.turn() {
        node.send(id, Message::HandOver);
    }
}

/// The link broke: what was not taken stays here.
fn broke(node: &mut Node, why: &str) {
    let handed = node.upgrade.custody.handed();
    info!(node.log, "the other process is gone"; "why" => why.to_string(), "handed" => handed);
    node.upgrade.link = None;
    node.upgrade.other = Beat::default();
    for id in node.upgrade.custody.broke() {
        node.send(id, Message::Kept);
    }
    if std::mem::take(&mut node.upgrade.leaving) {
        // There is nobody else to take clients in.
        node.send(LISTENER, Message::Begin);
    }
    // What it wrote last may not have been read.
    reread(node);
    tell(node);
    beat(node);
}

/// What comes is not understood: the two go on without each other.
fn strange(node: &mut Node, why: &str) {
    node.upgrade.foreign = true;
    broke(node, why);
}

fn take(node: &mut Node, came: Came) {
    let Came { said, bytes, fds } = came;
    match said {
        Said::Beat(other) if other.version != VERSION => strange(node, "it speaks another version"),
        Said::Beat(other) => {
            let opens = other.open != node.upgrade.other.open;
            node.upgrade.other = other;
            if opens {
                tell(node);
            }
            // It was told to end before its successor could serve.
            if node.leaving.is_some() && !node.upgrade.leaving && node.upgrade.has_successor() {
                leave(node);
            }
        }
        Said::Out => reread(node),
        Said::Learnt(lessons) => node
            .core
            .learn(lessons.into_iter().map(Into::into).collect()),
        // What is taken is said to be before anything is read or written: were this process to die now, the other knows
        // whose it is. If it cannot be said the link is given up, which tells the other to keep it.
        Said::Standing(number, record) => {
            let sockets = <[_; 2]>::try_from(fds)
                .ok()
                .filter(|_| Relay::can_resume(node, &record, &bytes));
            if answer(node, number, sockets.is_some()) {
                if let Some(sockets) = sockets {
                    let clients = &mut node.upgrade.other.clients;
                    *clients = clients.saturating_sub(1);
                    Relay::resume_transferred(node, record, &bytes, sockets);
                }
            }
        }
        Said::First(number, left_ms) => {
            let socket = fds.into_iter().next();
            if answer(node, number, socket.is_some()) {
                if let Some(socket) = socket {
                    ClientConnection::resume_transferred(
                        node,
                        socket,
                        bytes,
                        Duration::from_millis(left_ms),
                    );
                }
            }
        }
        Said::Took(number) => answered(node, number, true),
        Said::Refused(number) => answered(node, number, false),
    }
}

/// Says whether a connection is this process's from now on, and gives that. If it cannot be said it is not, unless there is nobody
/// left to hear it.
fn answer(node: &mut Node, number: u64, takes: bool) -> bool {
    let said = node.upgrade.say(&if takes {
        Said::Took(number)
    } else {
        Said::Refused(number)
    });
    let takes = said || (takes && orphaned(node));
    if !said && !takes {
        broke(node, "no answer can be given");
    }
    takes
}

/// Whether the other process has died, so that what it had sent is nobody else's: the lock goes with its last breath, and with a
/// link alone that it closed it would go on with what it sent. What else it sent is taken before the link's end is noticed.
fn orphaned(node: &mut Node) -> bool {
    let looked = node.application.upgrade.look(&node.poller);
    if node.upgrade.lock.is_some() {
        info!(node.log, "taken from a process that has died");
    }
    looked.is_ok() && node.upgrade.lock.is_some()
}

fn answered(node: &mut Node, number: u64, took: bool) {
    if let Some(id) = node.upgrade.custody.answered(number, took) {
        node.send(id, if took { Message::Handed } else { Message::Kept });
    }
    step(node);
}

/// Watches for the other process.
pub struct Watch;

impl Connection<NodeState> for Watch {
    fn on_ready(&mut self, node: &mut Node, socket: usize, _readiness: Readiness) -> Lifecycle {
        if socket == DOOR {
            let Some(door) = &mut node.upgrade.door else {
                return Lifecycle::Continue;
            };
            let Ok((link, _)) = door.accept() else {
                // With no descriptor left it would be ready again and again: it rests till the next beat.
                let _ = door.set_interest(Interest::NONE);
                return Lifecycle::Continue;
            };
            // One successor at a time; a second one comes again once the first has gone.
            if node.upgrade.link.is_none() && link.set_nonblocking(true).is_ok() {
                let key = poller_key(UPGRADE, 0) + LINK;
                node.upgrade.link = Registered::new(&node.poller, link, key, Interest::READ).ok();
                info!(node.log, "a successor has come");
                beat(node);
            }
            return Lifecycle::Continue;
        }
        // A turn takes a bounded number: clients go on meanwhile.
        for _ in 0..UNDER_WAY * 2 {
            let Some(link) = &node.upgrade.link else {
                break;
            };
            match message::receive(link) {
                Ok(Some(came)) => take(node, came),
                Ok(None) => break,
                Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                    strange(node, &error.to_string());
                    break;
                }
                Err(error) => {
                    broke(node, &error.to_string());
                    break;
                }
            }
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, node: &mut Node, kind: u64) -> Lifecycle {
        if kind == 0 {
            beat(node);
        } else if node.upgrade.handing() {
            step(node);
            node.deadlines.set(UPGRADE, 1, Instant::now() + STEP);
        }
        Lifecycle::Continue
    }

    fn on_message(&mut self, node: &mut Node, message: Message) -> Lifecycle {
        if matches!(message, Message::Begin) {
            open(node);
        }
        Lifecycle::Continue
    }
}
