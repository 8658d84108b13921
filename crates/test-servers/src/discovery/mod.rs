//! Discovery: one list, a listener for each node, watches that bring what changes. It can be stale, slow or down, and tell
//! different news at different nodes.

use crate::lines::Lines;
use crate::seen::Seen;
use crate::{key, Note, Stage};
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::{ComponentId, Connection, Context, Lifecycle};
use lupincrank_reactor::{Interest, Readiness};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// An empty line comes on a watch so often.
const BEAT: Duration = Duration::from_secs(2);
/// How often a watch looks for news.
const LOOK: Duration = Duration::from_millis(20);

/// How discovery is towards one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// News come after this.
    Fine(Duration),
    /// Watches stand and bring nothing new.
    Stale,
    /// Calls end with 503, watches break.
    Down,
}

/// One entry.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The transcriber's name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// As listed: `SERVING`, `DRAINING`, or `DELETED`.
    pub health: &'static str,
    /// When it last started, as Unix time in milliseconds; 0 for long ago.
    pub born_ms: u64,
    /// Where each node reaches it.
    pub dials: Vec<SocketAddr>,
    changed: (u64, Option<Instant>),
}

/// The list.
#[derive(Default)]
pub struct List {
    entries: Vec<Entry>,
    seq: u64,
    modes: BTreeMap<usize, Mode>,
}

impl List {
    /// One more entry.
    pub fn add(&mut self, name: String, zone: String, born_ms: u64, dials: Vec<SocketAddr>) {
        self.seq += 1;
        let changed = (self.seq, Some(Instant::now()));
        self.entries.push(Entry {
            name,
            zone,
            health: "SERVING",
            born_ms,
            dials,
            changed,
        });
    }

    /// One more node reaches this transcriber there.
    pub fn dial(&mut self, number: usize, at: SocketAddr) {
        if let Some(entry) = self.entries.get_mut(number) {
            entry.dials.push(at);
        }
    }

    /// It is listed like this from now on.
    pub fn set(&mut self, number: usize, health: &'static str) {
        self.seq += 1;
        if let Some(entry) = self.entries.get_mut(number) {
            (entry.health, entry.changed) = (health, (self.seq, Some(Instant::now())));
        }
    }

    /// It has just started anew.
    pub fn started(&mut self, number: usize) {
        let now = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        if let Some(entry) = self.entries.get_mut(number) {
            entry.born_ms = now.as_millis() as u64;
        }
        self.set(number, "SERVING");
    }

    /// How it is towards a node from now on.
    pub fn turn(&mut self, node: usize, mode: Mode) {
        self.modes.insert(node, mode);
    }

    fn mode(&self, node: usize) -> Mode {
        self.modes
            .get(&node)
            .copied()
            .unwrap_or(Mode::Fine(Duration::ZERO))
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The list as JSON for this node, entries changed after `from` only, and what is told by it.
    pub fn told(&self, node: usize, from: u64, whole: bool) -> (u64, String, Vec<(usize, bool)>) {
        let lag = match self.mode(node) {
            Mode::Fine(lag) => lag,
            Mode::Stale | Mode::Down => Duration::MAX,
        };
        let ripe = |entry: &Entry| entry.changed.1.is_none_or(|at| at.elapsed() >= lag);
        let fresh = self
            .entries
            .iter()
            .enumerate()
            .filter(|(_, entry)| whole || entry.changed.0 > from);
        let fresh: Vec<(usize, &Entry)> = fresh.filter(|(_, entry)| whole || ripe(entry)).collect();
        let seq = fresh
            .iter()
            .map(|(_, entry)| entry.changed.0)
            .max()
            .unwrap_or(from)
            .max(from);
        let hosts: Vec<serde_json::Value> = fresh
            .iter()
            .filter(|(_, entry)| !whole || entry.health != "DELETED")
            .filter_map(|(_, entry)| {
                Some(serde_json::json!({"host": entry.name, "dial": entry.dials.get(node)?.to_string(),
                    "site": entry.zone, "class": "m", "block": 0, "health": entry.health, "share": 1.0,
                    "born_ms": entry.born_ms}))
            })
            .collect();
        let news = fresh
            .iter()
            .map(|(number, entry)| (*number, entry.health == "SERVING"))
            .collect();
        (
            seq,
            serde_json::json!({"seq": seq, "whole": whole, "hosts": hosts}).to_string(),
            news,
        )
    }
}

/// Listens for one node.
pub fn listen<W: Stage>(context: &mut Context<W>, node: usize) -> io::Result<SocketAddr> {
    let id = context.allocate_id();
    let listener = poll::listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let at = listener.local_addr()?;
    let listener = Registered::new(&context.poller, listener, key(id, 0), Interest::READ)?;
    context.register(id, Box::new(Door { node, listener }));
    Ok(at)
}

struct Door {
    node: usize,
    listener: Registered<TcpListener>,
}

impl<W: Stage> Connection<W> for Door {
    fn on_ready(
        &mut self,
        context: &mut Context<W>,
        _socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        while let Ok((stream, _)) = self.listener.accept() {
            let id = context.allocate_id();
            if stream.set_nonblocking(true).is_err() {
                continue;
            }
            let Ok(stream) = Registered::new(&context.poller, stream, key(id, 0), Interest::READ)
            else {
                continue;
            };
            let watch = Watch {
                id,
                node: self.node,
                lines: Lines::new(stream),
                from: None,
                beat: Instant::now(),
            };
            context.register(id, Box::new(watch));
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, _context: &mut Context<W>, _kind: u64) -> Lifecycle {
        Lifecycle::Continue
    }

    fn on_message(&mut self, _context: &mut Context<W>, _note: Note) -> Lifecycle {
        Lifecycle::Continue
    }
}

struct Watch {
    id: ComponentId,
    node: usize,
    lines: Lines,
    /// The version that was told last, once the call is read.
    from: Option<u64>,
    beat: Instant,
}

impl Watch {
    fn tell<W: Stage>(&mut self, context: &mut Context<W>, whole: bool) -> io::Result<()> {
        let from = self.from.unwrap_or(0);
        let (seq, json, news) = context.application.list().told(self.node, from, whole);
        self.from = Some(seq);
        for (transcriber, ready) in news {
            context.application.saw(Seen::Told {
                node: self.node,
                transcriber,
                ready,
            });
        }
        self.lines
            .say(&format!("{:x}\r\n{json}\n\r\n", json.len() + 1))
    }

    fn call<W: Stage>(&mut self, context: &mut Context<W>) -> io::Result<()> {
        let mode = context.application.list().mode(self.node);
        while let Some(line) = self.lines.line() {
            if self.from.is_none() && line.starts_with("GET ") {
                if mode == Mode::Down {
                    self.lines
                        .say("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")?;
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
                self.lines
                    .say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
                // A stale one tells nobody anything, not even whoever asks for the first time.
                match mode {
                    Mode::Stale => (self.from, ()) = (Some(0), self.lines.say("1\r\n\n\r\n")?),
                    _ => self.tell(context, true)?,
                }
                context.deadlines.set(self.id, 0, Instant::now() + LOOK);
            }
        }
        Ok(())
    }

    fn look<W: Stage>(&mut self, context: &mut Context<W>) -> io::Result<()> {
        let mode = context.application.list().mode(self.node);
        if mode == Mode::Down {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let from = self.from.unwrap_or(0);
        if matches!(mode, Mode::Fine(_))
            && !context
                .application
                .list()
                .told(self.node, from, false)
                .2
                .is_empty()
        {
            self.tell(context, false)?;
        }
        if self.beat.elapsed() >= BEAT {
            self.beat = Instant::now();
            self.lines.say("1\r\n\n\r\n")?;
        }
        context.deadlines.set(self.id, 0, Instant::now() + LOOK);
        Ok(())
    }
}

impl<W: Stage> Connection<W> for Watch {
    fn on_ready(
        &mut self,
        context: &mut Context<W>,
        _socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        let written = if readiness.writable {
            self.lines.flush()
        } else {
            Ok(())
        };
        let read = if readiness.readable {
            self.lines.read()
        } else {
            Ok(())
        };
        let done = written.and(read).and_then(|()| self.call(context)).is_err() || self.lines.ended;
        if done {
            Lifecycle::Close
        } else {
            Lifecycle::Continue
        }
    }

    fn on_deadline(&mut self, context: &mut Context<W>, _kind: u64) -> Lifecycle {
        if self.look(context).is_err() {
            Lifecycle::Close
        } else {
            Lifecycle::Continue
        }
    }

    fn on_message(&mut self, _context: &mut Context<W>, _note: Note) -> Lifecycle {
        Lifecycle::Close
    }
}
