//! SIGTERM: the node goes on answering, sends its clients away at a steady pace and ends before it is killed.

use crate::event_loop::{Connection, Flow, Message, Node, SIGNALS};
use crate::poll::Watched;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::low_level::pipe;
use slog::info;
use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

/// SIGKILL may come this long after the longest deadline, which counts as `LONGEST` at the most.
const AFTER_DEADLINE: Duration = Duration::from_millis(700);
const LONGEST: Duration = Duration::from_secs(3);
/// All must be done this long before that, and the last clients sent away this long before.
const SPARE: Duration = Duration::from_millis(300);
const LAST_MOVE: Duration = Duration::from_millis(1200);
/// New connections keep arriving for up to 0.4 s: the listener stays at least this long.
const STAYS: Duration = Duration::from_millis(800);
const STEP: Duration = Duration::from_millis(50);

/// Waits for signals.
pub struct Signals {
    pipe: Watched<UnixStream>,
    began: Option<Instant>,
}

impl Signals {
    /// Takes SIGTERM and SIGINT over.
    pub fn new(node: &Node) -> io::Result<Signals> {
        let (read, write) = UnixStream::pair()?;
        read.set_nonblocking(true)?;
        write.set_nonblocking(true)?;
        for signal in [SIGTERM, SIGINT] {
            pipe::register(signal, write.try_clone()?)?;
        }
        let pipe = Watched::new(&node.poller, read, SIGNALS as usize * 2, true, false)?;
        Ok(Signals { pipe, began: None })
    }
}

/// Whether a node that is to be gone at `until` may end now.
pub fn may_exit(node: &Node, until: Instant) -> bool {
    let now = Instant::now();
    let stayed = now + total(node.config.longest_deadline) >= until + STAYS;
    now >= until || (stayed && node.clients.get() == 0)
}

fn total(longest_deadline: Duration) -> Duration {
    longest_deadline.min(LONGEST) + AFTER_DEADLINE - SPARE
}

impl Connection for Signals {
    fn ready(&mut self, node: &mut Node, _side: usize, _readable: bool, _writable: bool) -> Flow {
        while matches!(self.pipe.read(&mut [0; 64]), Ok(read) if read > 0) {}
        if self.began.is_none() {
            let now = Instant::now();
            self.began = Some(now);
            let until = now + total(node.config.longest_deadline);
            info!(node.log, "leaving"; "clients" => node.clients.get());
            node.leaving = Some(until);
            node.core.leave();
            node.deadlines.set(SIGNALS, 0, now);
        }
        Flow::Keep
    }

    fn due(&mut self, node: &mut Node, _purpose: u64) -> Flow {
        let Some(until) = node.leaving else { return Flow::Keep };
        let now = Instant::now();
        let left = (until - LAST_MOVE).saturating_duration_since(now);
        let steps = (left.as_millis() / STEP.as_millis()) as usize + 1;
        // What still waits is ended together with the last moves: nothing may be left without an answer.
        node.core.send_away(steps);
        node.deadlines.set(SIGNALS, 0, now + STEP);
        Flow::Keep
    }

    fn told(&mut self, _node: &mut Node, _message: Message) -> Flow {
        Flow::Keep
    }
}
