//! Two processes of one node: who else lives, what is out by hand, and the connections that the older one hands over. Without a
//! listener that the platform holds there is one process only, and no file, lock or socket is made.

mod admin_drain_file;
pub mod inherited_listener;
pub mod message;
pub mod peer_process;
mod transfer;

use crate::client::ClientConnection;
use crate::command::{HandoffCommand, ListenerCommand, Message, TransferCommand};
use crate::component::WellKnownComponent;
use crate::deadline::{DeadlineKind, HandoffDeadline};
use crate::state::{NodeContext, NodeState};
use crate::upstream::relay::Relay;

use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::{poller_key, Interest, Readiness};
use lupincrank_reactor::{Connection, Lifecycle};
use message::{Beat, Came, Said, VERSION};
use peer_process::{DOOR, LINK};
use slog::{debug, info, warn};
use std::io;
use std::time::{Duration, Instant};
use transfer::UNDER_WAY;

/// How often each process tells the other what it holds, looks who is out by hand, and who else lives.
const BEAT: Duration = Duration::from_millis(100);
/// While connections are handed over the queue is looked at this often, should nothing else happen.
const STEP: Duration = Duration::from_millis(10);
/// Reads again who is out by hand. A file that was damaged meanwhile is written anew by one that knows what it held.
fn reread(context: &mut NodeContext) {
    let Some(bans) = &context.handoff.bans else {
        return;
    };
    match bans.read() {
        Ok(out) => {
            context.handoff.read = true;
            context.placement.set_drained_servers(out);
        }
        Err(why) => {
            let mended =
                context.handoff.read && bans.mend(context.placement.drained_servers()).is_ok();
            warn!(context.log, "who is out by hand stays as it was"; "why" => why, "mended" => mended);
            if mended {
                context.handoff.say(&Said::Out);
            }
        }
    }
}

/// The first look, before anything is served.
pub fn begin(context: &mut NodeContext) {
    if context.handoff.stem.is_some() {
        reread(context);
        context.send(
            WellKnownComponent::ClientListener.id(),
            ListenerCommand::Pause,
        );
        beat(context);
    }
}

/// Takes clients in from now on, if this is the only process or can serve as well as the other one.
pub fn open(context: &mut NodeContext) {
    let may = context.handoff.lock.is_some() || context.check_serving().is_ok();
    if may && context.handoff.stem.is_some() && !std::mem::replace(&mut context.handoff.open, true)
    {
        context.send(
            WellKnownComponent::ClientListener.id(),
            ListenerCommand::Resume,
        );
        tell(context);
    }
}

/// Tells the other process how this one stands, and shares the budgets of one node with it while both take clients in.
fn tell(context: &mut NodeContext) {
    let open = context.handoff.open && !context.handoff.leaving;
    let (clients, strangers) = (
        context.client_count.get(),
        context.unidentified_clients.len(),
    );
    context.handoff.say(&Said::Beat(Beat {
        version: VERSION,
        clients,
        strangers,
        open,
    }));
    let both = context.handoff.link.is_some() && open && context.handoff.other.open;
    let NodeState {
        placement, config, ..
    } = &mut context.application;
    placement.set_process_count(config, if both { 2 } else { 1 });
}

fn beat(context: &mut NodeContext) {
    let had = context.handoff.lock.is_some();
    if let Err(error) = context.application.handoff.look(&context.poller) {
        debug!(context.log, "the other process is not reached yet"; "error" => %error);
    }
    if !had && context.handoff.lock.is_some() {
        info!(context.log, "the only process of this node");
    }
    if let Some(door) = &mut context.handoff.door {
        if let Err(error) = door.set_interest(Interest::READ) {
            debug!(context.log, "no successor can come for now"; "error" => %error);
        }
    }
    if context.handoff.link.is_some() {
        reread(context);
        tell(context);
    }
    open(context);
    context.deadlines.set(
        WellKnownComponent::Handoff.id(),
        HandoffDeadline::Heartbeat.into(),
        Instant::now() + BEAT,
    );
}

/// Begins to hand over all that this process holds.
pub fn leave(context: &mut NodeContext) {
    context.handoff.leaving = true;
    context.transfer_requested = true;
    context.send(
        WellKnownComponent::ClientListener.id(),
        ListenerCommand::Pause,
    );
    tell(context);
    let lessons = context
        .placement
        .learned_servers()
        .into_iter()
        .map(Into::into)
        .collect();
    if !context.handoff.say(&Said::Learnt(lessons)) {
        debug!(
            context.log,
            "what was learnt of transcribers does not go along"
        );
    }
    context.deadlines.set(
        WellKnownComponent::Handoff.id(),
        HandoffDeadline::TransferStep.into(),
        Instant::now(),
    );
}

fn step(context: &mut NodeContext) {
    for id in context.handoff.custody.turn() {
        context.send(id, TransferCommand::Start);
    }
}

/// The link broke: what was not taken stays here.
fn broke(context: &mut NodeContext, why: &str) {
    let handed = context.handoff.custody.handed();
    info!(context.log, "the other process is gone"; "why" => why.to_string(), "handed" => handed);
    context.handoff.link = None;
    context.handoff.other = Beat::default();
    for id in context.handoff.custody.broke() {
        context.send(id, TransferCommand::Cancelled);
    }
    if std::mem::take(&mut context.handoff.leaving) {
        // There is nobody else to take clients in.
        context.send(
            WellKnownComponent::ClientListener.id(),
            ListenerCommand::Resume,
        );
    }
    // What it wrote last may not have been read.
    reread(context);
    tell(context);
    beat(context);
}

/// What comes is not understood: the two go on without each other.
fn strange(context: &mut NodeContext, why: &str) {
    context.handoff.foreign = true;
    broke(context, why);
}

fn take(context: &mut NodeContext, came: Came) {
    let Came { said, bytes, fds } = came;
    match said {
        Said::Beat(other) if other.version != VERSION => {
            strange(context, "it speaks another version");
        }
        Said::Beat(other) => {
            let opens = other.open != context.handoff.other.open;
            context.handoff.other = other;
            if opens {
                tell(context);
            }
            // It was told to end before its successor could serve.
            if context.shutdown.is_some()
                && !context.handoff.leaving
                && context.handoff.has_successor()
            {
                leave(context);
            }
        }
        Said::Out => reread(context),
        Said::Learnt(lessons) => context
            .placement
            .import_learned_servers(lessons.into_iter().map(Into::into).collect()),
        // What is taken is said to be before anything is read or written: were this process to die now, the other knows
        // whose it is. If it cannot be said the link is given up, which tells the other to keep it.
        Said::Standing(number, record) => {
            let sockets = <[_; 2]>::try_from(fds)
                .ok()
                .filter(|_| Relay::can_resume(context, &record, &bytes));
            if answer(context, number, sockets.is_some()) {
                if let Some(sockets) = sockets {
                    let clients = &mut context.handoff.other.clients;
                    *clients = clients.saturating_sub(1);
                    Relay::resume_transferred(context, record, &bytes, sockets);
                }
            }
        }
        Said::First(number, left_ms) => {
            let socket = fds.into_iter().next();
            if answer(context, number, socket.is_some()) {
                if let Some(socket) = socket {
                    ClientConnection::resume_transferred(
                        context,
                        socket,
                        bytes,
                        Duration::from_millis(left_ms),
                    );
                }
            }
        }
        Said::Took(number) => answered(context, number, true),
        Said::Refused(number) => answered(context, number, false),
    }
}

/// Says whether a connection is this process's from now on, and gives that. If it cannot be said it is not, unless there is nobody
/// left to hear it.
fn answer(context: &mut NodeContext, number: u64, takes: bool) -> bool {
    let said = context.handoff.say(&if takes {
        Said::Took(number)
    } else {
        Said::Refused(number)
    });
    let takes = said || (takes && orphaned(context));
    if !said && !takes {
        broke(context, "no answer can be given");
    }
    takes
}

/// Whether the other process has died, so that what it had sent is nobody else's: the lock goes with its last breath, and with a
/// link alone that it closed it would go on with what it sent. What else it sent is taken before the link's end is noticed.
fn orphaned(context: &mut NodeContext) -> bool {
    let looked = context.application.handoff.look(&context.poller);
    if context.handoff.lock.is_some() {
        info!(context.log, "taken from a process that has died");
    }
    looked.is_ok() && context.handoff.lock.is_some()
}

fn answered(context: &mut NodeContext, number: u64, took: bool) {
    if let Some(id) = context.handoff.custody.answered(number, took) {
        context.send(
            id,
            if took {
                TransferCommand::Completed
            } else {
                TransferCommand::Cancelled
            },
        );
    }
    step(context);
}

/// Watches for the other process.
pub struct Watch;

impl Connection<NodeState> for Watch {
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        if socket == DOOR {
            let Some(door) = &mut context.handoff.door else {
                return Lifecycle::Continue;
            };
            let Ok((link, _)) = door.accept() else {
                // With no descriptor left it would be ready again and again: it rests till the next beat.
                let _ = door.set_interest(Interest::NONE);
                return Lifecycle::Continue;
            };
            // One successor at a time; a second one comes again once the first has gone.
            if context.handoff.link.is_none() && link.set_nonblocking(true).is_ok() {
                let key = poller_key(WellKnownComponent::Handoff.id(), 0) + LINK;
                context.handoff.link =
                    Registered::new(&context.poller, link, key, Interest::READ).ok();
                info!(context.log, "a successor has come");
                beat(context);
            }
            return Lifecycle::Continue;
        }
        // A turn takes a bounded number: clients go on meanwhile.
        for _ in 0..UNDER_WAY * 2 {
            let Some(link) = &context.handoff.link else {
                break;
            };
            match message::receive(link) {
                Ok(Some(came)) => take(context, came),
                Ok(None) => break,
                Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                    strange(context, &error.to_string());
                    break;
                }
                Err(error) => {
                    broke(context, &error.to_string());
                    break;
                }
            }
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut NodeContext, kind: DeadlineKind) -> Lifecycle {
        match kind {
            DeadlineKind::Handoff(HandoffDeadline::Heartbeat) => beat(context),
            DeadlineKind::Handoff(HandoffDeadline::TransferStep) if context.handoff.handing() => {
                step(context);
                context.deadlines.set(
                    WellKnownComponent::Handoff.id(),
                    HandoffDeadline::TransferStep.into(),
                    Instant::now() + STEP,
                );
            }
            _ => {}
        }
        Lifecycle::Continue
    }

    fn on_message(&mut self, context: &mut NodeContext, message: Message) -> Lifecycle {
        if let Message::Handoff(HandoffCommand::OpenListener) = message {
            open(context);
        }
        Lifecycle::Continue
    }
}
