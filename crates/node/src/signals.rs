//! SIGTERM: the node goes on answering, sends its clients away at a steady pace and ends before it is killed.
//! SIGHUP: it reads its configuration again.

use crate::state::{Message, Node, State, DISCOVERY, SIGNALS};
use lupincrank_reactor::poll::Watched;
use lupincrank_reactor::{Connection, Flow};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;
use slog::{info, warn};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

/// SIGKILL may come this long after the longest deadline, which counts as `LONGEST` at the most.
const AFTER_DEADLINE: Duration = Duration::from_millis(700);
const LONGEST: Duration = Duration::from_secs(3);
/// All must be done this long before that. The first clients are sent away and the last ones at these spans before
/// all must be done; till then the node serves as ever, new clients too. Guards against clients that have nowhere to
/// go: in a rolling restart the node that went before may not be back when this one is told to end.
const SPARE: Duration = Duration::from_millis(300);
const FIRST_MOVE: Duration = Duration::from_millis(1400);
const LAST_MOVE: Duration = Duration::from_millis(400);
const STEP: Duration = Duration::from_millis(50);
/// The pipe of SIGHUP.
const RELOAD: usize = 1;

/// Waits for signals.
pub struct Signals {
    /// For the end and for a new configuration: a byte from a pipe does not tell which signal it stands for.
    pipes: [Watched<UnixStream>; 2],
    began: Option<Instant>,
}

fn pipe_of(node: &Node, signals: &[i32], side: usize) -> io::Result<Watched<UnixStream>> {
    let (read, write) = UnixStream::pair()?;
    read.set_nonblocking(true)?;
    write.set_nonblocking(true)?;
    for signal in signals {
        pipe::register(*signal, write.try_clone()?)?;
    }
    Watched::new(&node.poller, read, SIGNALS as usize * 2 + side, true, false)
}

impl Signals {
    /// Takes SIGTERM, SIGINT and SIGHUP over.
    pub fn new(node: &Node) -> io::Result<Signals> {
        let pipes = [
            pipe_of(node, &[SIGTERM, SIGINT], 0)?,
            pipe_of(node, &[SIGHUP], RELOAD)?,
        ];
        Ok(Signals { pipes, began: None })
    }
}

/// Reads the configuration again and follows discovery. One that does not hold changes nothing: guards against
/// a file that is wrong, or half written, on a node that serves.
fn reload(node: &mut Node) {
    let fresh = match node.config.reread(|name| std::env::var(name).ok()) {
        Ok(fresh) => fresh,
        Err(why) => return warn!(node.log, "the old configuration stays"; "why" => why),
    };
    let moved = fresh.discovery != node.config.discovery;
    let (later, from) = node.config.replace(fresh);
    let later = later.join(", ");
    let State { core, config, .. } = &mut node.world;
    core.renew(config, from);
    let classes = node.config.classes.join(", ");
    info!(node.log, "configuration read again"; "classes" => classes, "attempts" => node.config.settings.attempt_cap,
        "discovery" => %node.config.discovery, "sockets" =>
        node.config.sockets, "memory_mb" => node.config.memory_mb, "waits for the next start" => later);
    if moved {
        node.tell(DISCOVERY, Message::Moved);
    }
}

fn total(longest_deadline: Duration) -> Duration {
    longest_deadline.min(LONGEST) + AFTER_DEADLINE - SPARE
}

impl Connection<State> for Signals {
    fn ready(&mut self, node: &mut Node, side: usize, _readable: bool, _writable: bool) -> Flow {
        while matches!(self.pipes[side].read(&mut [0; 64]), Ok(read) if read > 0) {}
        if side == RELOAD {
            reload(node);
        } else if self.began.is_none() {
            let now = Instant::now();
            self.began = Some(now);
            let until = now + total(node.config.longest_deadline);
            info!(node.log, "leaving"; "clients" => node.clients.get());
            node.leaving = Some((now, until));
            crate::fleet::leave(node);
            if node.upgrade.has_successor() {
                crate::upgrade::leave(node);
            }
            node.deadlines
                .set(SIGNALS, 0, until.checked_sub(FIRST_MOVE).unwrap_or(now));
        }
        Flow::Keep
    }

    fn due(&mut self, node: &mut Node, _purpose: u64) -> Flow {
        let Some((_, until)) = node.leaving else {
            return Flow::Keep;
        };
        let now = Instant::now();
        node.core.leave();
        let left = until.saturating_duration_since(now + LAST_MOVE);
        let steps = (left.as_millis() / STEP.as_millis()) as usize + 1;
        // What still waits is ended together with the last moves: nothing may be left without an answer.
        node.core.send_away(steps);
        node.ending = steps <= 1;
        node.deadlines.set(SIGNALS, 0, now + STEP);
        Flow::Keep
    }

    fn told(&mut self, _node: &mut Node, _message: Message) -> Flow {
        Flow::Keep
    }
}
