//! Transcribers: each holds a limited number of connections, is cold after its start and falls over when it is pushed past what
//! it then bears, answers set-ups and lines more slowly the more it holds, and ends bit by bit when it drains.

use crate::lines::Lines;
use crate::seen::Seen;
use crate::{key, part, Note, Stage};
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::{ComponentId, Connection, Context, Lifecycle};
use lupincrank_reactor::{Interest, Readiness};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// How often each looks at how much it holds.
const LOOK: Duration = Duration::from_millis(50);
/// One that fell over comes back after this.
const BACK: Duration = Duration::from_millis(1500);
/// A connection that says nothing is ended after this.
const FIRST_LINE: Duration = Duration::from_secs(5);
/// New connections in one turn of the loop.
const ACCEPTS: usize = 32;
const ANSWER: u64 = 0;
const ECHO: u64 = 1;

/// What a transcriber bears.
#[derive(Clone, Copy, Debug)]
pub struct Strength {
    /// Connections that it holds well when it is warm.
    pub bears: f64,
    /// Connections that it takes at all.
    pub most: usize,
    /// How long it is cold after its start.
    pub cold: Duration,
    /// The part of `bears` that it has at its start.
    pub start: f64,
    /// A cold one falls over at this multiple of what it bears at that moment ...
    pub fall: f64,
    /// ... held for so long.
    pub fall_for: Duration,
    /// How long a set-up takes, and a line, where little is held.
    pub setup: Duration,
}

/// How one stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It serves.
    Up,
    /// It takes nothing new and ends what it holds bit by bit.
    Drains,
    /// It answers nothing, on old connections and new ones.
    Silent,
    /// It is not there.
    Down,
}

/// One transcriber.
pub struct Transcriber {
    /// Its listener's object, where it listens.
    pub id: ComponentId,
    /// See `id`.
    pub at: SocketAddr,
    /// How it stands.
    pub mode: Mode,
    /// When it last started; none for long ago.
    pub started: Option<Instant>,
    over: Option<Instant>,
    held: BTreeMap<ComponentId, u64>,
}

/// All of them.
pub struct Fleet {
    /// What each bears.
    pub strength: Strength,
    /// By number.
    pub all: Vec<Transcriber>,
}

impl Transcriber {
    /// 0 to 1: how much of its strength it has.
    pub fn warmth(&self, strength: &Strength, now: Instant) -> f64 {
        let age = self.started.map_or(strength.cold, |started| {
            now.saturating_duration_since(started)
        });
        let part = (age.as_secs_f64() / strength.cold.as_secs_f64().max(1e-9)).min(1.0);
        strength.start + (1.0 - strength.start) * part
    }

    /// Whether it is cold.
    pub fn cold(&self, strength: &Strength, now: Instant) -> bool {
        self.started
            .is_some_and(|started| now.saturating_duration_since(started) < strength.cold)
    }

    /// Connections that it holds.
    pub fn holds(&self) -> usize {
        self.held.len()
    }

    /// How long something takes that would take `span` on an idle one.
    fn takes(&self, strength: &Strength, span: Duration, now: Instant) -> Duration {
        let used = self.held.len() as f64 / (strength.bears * self.warmth(strength, now)).max(1e-9);
        part(span, 1.0 + used * used)
    }
}

/// Starts one that listens on an ephemeral port; gives its number.
pub fn start<W: Stage>(context: &mut Context<W>, started: Option<Instant>) -> io::Result<usize> {
    let id = context.allocate_id();
    let listener = poll::listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let at = listener.local_addr()?;
    let listener = Registered::new(&context.poller, listener, key(id, 0), Interest::READ)?;
    let fleet = context.application.fleet();
    let number = fleet.all.len();
    fleet.all.push(Transcriber {
        id,
        at,
        mode: Mode::Up,
        started,
        over: None,
        held: BTreeMap::new(),
    });
    context.register(
        id,
        Box::new(Door {
            id,
            number,
            listener,
        }),
    );
    context.deadlines.set(id, 0, Instant::now() + LOOK);
    Ok(number)
}

/// From now on it stands like this. One that goes down resets all that it holds; one that comes up has just started.
pub fn turn<W: Stage>(context: &mut Context<W>, number: usize, mode: Mode) {
    let Some(one) = context.application.fleet().all.get_mut(number) else {
        return;
    };
    if mode == Mode::Up && one.mode == Mode::Down {
        one.started = Some(Instant::now());
    }
    one.mode = mode;
    let (id, held): (ComponentId, Vec<(ComponentId, u64)>) = (
        one.id,
        one.held
            .iter()
            .map(|(id, request)| (*id, *request))
            .collect(),
    );
    if mode == Mode::Down {
        for (id, request) in held {
            context.application.saw(Seen::Dropped { request });
            context.send(id, Note::Reset);
        }
    }
    context.send(id, Note::Look);
}

/// Ends one connection in good order, for draining bit by bit; false if there is none left.
pub fn drain_one<W: Stage>(context: &mut Context<W>, number: usize) -> bool {
    let Some(one) = context.application.fleet().all.get(number) else {
        return false;
    };
    let Some((id, request)) = one.held.iter().next().map(|(id, request)| (*id, *request)) else {
        return false;
    };
    context.application.saw(Seen::Dropped { request });
    context.send(id, Note::End);
    true
}

/// Takes connections.
struct Door {
    id: ComponentId,
    number: usize,
    listener: Registered<TcpListener>,
}

impl Door {
    fn accept<W: Stage>(&mut self, context: &mut Context<W>) {
        for _ in 0..ACCEPTS {
            let Ok((stream, from)) = self.listener.accept() else {
                return;
            };
            let mode = context.application.fleet().all[self.number].mode;
            if mode == Mode::Down || stream.set_nonblocking(true).is_err() {
                // As if nobody listened: what came is reset.
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                continue;
            }
            let _ = stream.set_nodelay(true);
            let id = context.allocate_id();
            let Ok(stream) = Registered::new(&context.poller, stream, key(id, 0), Interest::READ)
            else {
                continue;
            };
            let lines = Lines::new(stream);
            context
                .deadlines
                .set(id, ANSWER, Instant::now() + FIRST_LINE);
            let task = Task {
                id,
                number: self.number,
                from,
                lines,
                request: None,
                up: false,
                echoes: 0,
            };
            context.register(id, Box::new(task));
        }
    }
}

impl<W: Stage> Connection<W> for Door {
    fn on_ready(
        &mut self,
        context: &mut Context<W>,
        _socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        self.accept(context);
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut Context<W>, kind: u64) -> Lifecycle {
        let now = Instant::now();
        let fleet = context.application.fleet();
        let strength = fleet.strength;
        let one = &mut fleet.all[self.number];
        let bears = strength.bears * one.warmth(&strength, now) * strength.fall;
        let cold = one.cold(&strength, now);
        if one.mode == Mode::Down || !cold || (one.held.len() as f64) < bears {
            one.over = None;
        } else if now.saturating_duration_since(*one.over.get_or_insert(now)) >= strength.fall_for {
            let held = one.held.len();
            one.over = None;
            context.application.saw(Seen::Fell {
                transcriber: self.number,
                cold,
                held,
            });
            turn(context, self.number, Mode::Down);
            context.deadlines.set(self.id, 1, now + BACK);
        }
        if kind == 1 {
            turn(context, self.number, Mode::Up);
            context.application.list().started(self.number);
        } else {
            context.deadlines.set(self.id, 0, now + LOOK);
        }
        Lifecycle::Continue
    }

    fn on_message(&mut self, _context: &mut Context<W>, _note: Note) -> Lifecycle {
        Lifecycle::Continue
    }
}

/// One connection.
struct Task {
    id: ComponentId,
    number: usize,
    from: SocketAddr,
    lines: Lines,
    request: Option<u64>,
    up: bool,
    /// Lines to be returned.
    echoes: u32,
}

impl Task {
    fn gone<W: Stage>(&self, context: &mut Context<W>) -> Lifecycle {
        context.application.fleet().all[self.number]
            .held
            .remove(&self.id);
        Lifecycle::Close
    }

    fn say<W: Stage>(&mut self, context: &mut Context<W>, text: &str) -> Lifecycle {
        if self.lines.say(text).is_err() {
            return self.gone(context);
        }
        Lifecycle::Continue
    }

    fn lines<W: Stage>(&mut self, context: &mut Context<W>) -> Lifecycle {
        let now = Instant::now();
        while let Some(line) = self.lines.line() {
            if self.request.is_some() {
                // A line before the answer is as lost as one to a silent transcriber.
                if self.up {
                    self.echoes = self.echoes.saturating_add(1);
                    let fleet = context.application.fleet();
                    let takes = fleet.all[self.number].takes(
                        &fleet.strength,
                        fleet.strength.setup / 4,
                        now,
                    );
                    context.deadlines.set(self.id, ECHO, now + takes);
                }
                continue;
            }
            let id = line.strip_prefix("OPEN ").and_then(|rest| rest.get(..16));
            let Some(request) = id.and_then(|id| u64::from_str_radix(id, 16).ok()) else {
                let _ = self.lines.say("SYNTAX\r\n");
                return self.gone(context);
            };
            self.request = Some(request);
            let begun = context.application.sent_at(self.from).unwrap_or(now);
            let fleet = context.application.fleet();
            let strength = fleet.strength;
            let one = &mut fleet.all[self.number];
            let cold = one.cold(&strength, begun);
            if one.mode == Mode::Drains || one.held.len() >= strength.most {
                let _ = self.lines.say("BUSY\r\n");
                return self.gone(context);
            }
            one.held.insert(self.id, request);
            let takes = one.takes(&strength, strength.setup, now);
            context.deadlines.set(self.id, ANSWER, now + takes);
            if cold {
                context.application.saw(Seen::Cold {
                    transcriber: self.number,
                    begun,
                });
            }
        }
        Lifecycle::Continue
    }
}

impl<W: Stage> Connection<W> for Task {
    fn on_ready(
        &mut self,
        context: &mut Context<W>,
        _socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        if (readiness.writable && self.lines.flush().is_err())
            || (readiness.readable && self.lines.read().is_err())
        {
            return self.gone(context);
        }
        if self.lines(context) == Lifecycle::Close {
            return Lifecycle::Close;
        }
        if self.lines.ended {
            return self.gone(context);
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut Context<W>, kind: u64) -> Lifecycle {
        let one = &context.application.fleet().all[self.number];
        if one.mode == Mode::Silent {
            return Lifecycle::Continue;
        }
        match (kind, self.request) {
            (ANSWER, None) => self.gone(context),
            (ANSWER, Some(request)) if !self.up => {
                self.up = true;
                self.say(context, &format!("UP {request:016x}\r\nLOAD 1000\r\n"))
            }
            _ => {
                let echoes = std::mem::take(&mut self.echoes);
                self.say(context, &"ok\r\n".repeat(echoes as usize))
            }
        }
    }

    fn on_message(&mut self, context: &mut Context<W>, note: Note) -> Lifecycle {
        match note {
            Note::Reset => {
                self.lines.abort();
                self.gone(context)
            }
            Note::End => {
                let _ = self.lines.say("MOVE\r\n");
                self.gone(context)
            }
            Note::Look => Lifecycle::Continue,
        }
    }
}
