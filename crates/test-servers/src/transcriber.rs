//! Transcribers: each holds a limited number of connections, is cold after its start and falls over when it is pushed past what
//! it then bears, answers set-ups and lines more slowly the more it holds, and ends bit by bit when it drains.

use crate::lines::Lines;
use crate::seen::Seen;
use crate::{key, part, Note, Stage};
use lupincrank_reactor::poll::{self, Watched};
use lupincrank_reactor::{Connection, Flow, Hands, Id};
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
    pub id: Id,
    /// See `id`.
    pub at: SocketAddr,
    /// How it stands.
    pub mode: Mode,
    /// When it last started; none for long ago.
    pub started: Option<Instant>,
    over: Option<Instant>,
    held: BTreeMap<Id, u64>,
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
pub fn start<W: Stage>(hands: &mut Hands<W>, started: Option<Instant>) -> io::Result<usize> {
    let id = hands.name();
    let listener = poll::listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let at = listener.local_addr()?;
    let listener = Watched::new(&hands.poller, listener, key(id, 0), true, false)?;
    let fleet = hands.world.fleet();
    let number = fleet.all.len();
    fleet.all.push(Transcriber {
        id,
        at,
        mode: Mode::Up,
        started,
        over: None,
        held: BTreeMap::new(),
    });
    hands.adopt(
        id,
        Box::new(Door {
            id,
            number,
            listener,
        }),
    );
    hands.deadlines.set(id, 0, Instant::now() + LOOK);
    Ok(number)
}

/// From now on it stands like this. One that goes down resets all that it holds; one that comes up has just started.
pub fn turn<W: Stage>(hands: &mut Hands<W>, number: usize, mode: Mode) {
    let Some(one) = hands.world.fleet().all.get_mut(number) else {
        return;
    };
    if mode == Mode::Up && one.mode == Mode::Down {
        one.started = Some(Instant::now());
    }
    one.mode = mode;
    let (id, held): (Id, Vec<(Id, u64)>) = (
        one.id,
        one.held
            .iter()
            .map(|(id, request)| (*id, *request))
            .collect(),
    );
    if mode == Mode::Down {
        for (id, request) in held {
            hands.world.saw(Seen::Dropped { request });
            hands.tell(id, Note::Reset);
        }
    }
    hands.tell(id, Note::Look);
}

/// Ends one connection in good order, for draining bit by bit; false if there is none left.
pub fn drain_one<W: Stage>(hands: &mut Hands<W>, number: usize) -> bool {
    let Some(one) = hands.world.fleet().all.get(number) else {
        return false;
    };
    let Some((id, request)) = one.held.iter().next().map(|(id, request)| (*id, *request)) else {
        return false;
    };
    hands.world.saw(Seen::Dropped { request });
    hands.tell(id, Note::End);
    true
}

/// Takes connections.
struct Door {
    id: Id,
    number: usize,
    listener: Watched<TcpListener>,
}

impl Door {
    fn accept<W: Stage>(&mut self, hands: &mut Hands<W>) {
        for _ in 0..ACCEPTS {
            let Ok((stream, from)) = self.listener.accept() else {
                return;
            };
            let mode = hands.world.fleet().all[self.number].mode;
            if mode == Mode::Down || stream.set_nonblocking(true).is_err() {
                // As if nobody listened: what came is reset.
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                continue;
            }
            let _ = stream.set_nodelay(true);
            let id = hands.name();
            let Ok(stream) = Watched::new(&hands.poller, stream, key(id, 0), true, false) else {
                continue;
            };
            let lines = Lines::new(stream);
            hands.deadlines.set(id, ANSWER, Instant::now() + FIRST_LINE);
            let task = Task {
                id,
                number: self.number,
                from,
                lines,
                request: None,
                up: false,
                echoes: 0,
            };
            hands.adopt(id, Box::new(task));
        }
    }
}

impl<W: Stage> Connection<W> for Door {
    fn ready(
        &mut self,
        hands: &mut Hands<W>,
        _side: usize,
        _readable: bool,
        _writable: bool,
    ) -> Flow {
        self.accept(hands);
        Flow::Keep
    }

    fn due(&mut self, hands: &mut Hands<W>, _purpose: u64) -> Flow {
        let now = Instant::now();
        let fleet = hands.world.fleet();
        let strength = fleet.strength;
        let one = &mut fleet.all[self.number];
        let bears = strength.bears * one.warmth(&strength, now) * strength.fall;
        let cold = one.cold(&strength, now);
        if one.mode == Mode::Down || !cold || (one.held.len() as f64) < bears {
            one.over = None;
        } else if now.saturating_duration_since(*one.over.get_or_insert(now)) >= strength.fall_for {
            let held = one.held.len();
            one.over = None;
            hands.world.saw(Seen::Fell {
                transcriber: self.number,
                cold,
                held,
            });
            turn(hands, self.number, Mode::Down);
            hands.deadlines.set(self.id, 1, now + BACK);
        }
        if _purpose == 1 {
            turn(hands, self.number, Mode::Up);
            hands.world.list().started(self.number);
        } else {
            hands.deadlines.set(self.id, 0, now + LOOK);
        }
        Flow::Keep
    }

    fn told(&mut self, _hands: &mut Hands<W>, _note: Note) -> Flow {
        Flow::Keep
    }
}

/// One connection.
struct Task {
    id: Id,
    number: usize,
    from: SocketAddr,
    lines: Lines,
    request: Option<u64>,
    up: bool,
    /// Lines to be returned.
    echoes: u32,
}

impl Task {
    fn gone<W: Stage>(&self, hands: &mut Hands<W>) -> Flow {
        hands.world.fleet().all[self.number].held.remove(&self.id);
        Flow::Done
    }

    fn say<W: Stage>(&mut self, hands: &mut Hands<W>, text: &str) -> Flow {
        if self.lines.say(text).is_err() {
            return self.gone(hands);
        }
        Flow::Keep
    }

    fn lines<W: Stage>(&mut self, hands: &mut Hands<W>) -> Flow {
        let now = Instant::now();
        while let Some(line) = self.lines.line() {
            if self.request.is_some() {
                // A line before the answer is as lost as one to a silent transcriber.
                if self.up {
                    self.echoes = self.echoes.saturating_add(1);
                    let fleet = hands.world.fleet();
                    let takes = fleet.all[self.number].takes(
                        &fleet.strength,
                        fleet.strength.setup / 4,
                        now,
                    );
                    hands.deadlines.set(self.id, ECHO, now + takes);
                }
                continue;
            }
            let id = line.strip_prefix("OPEN ").and_then(|rest| rest.get(..16));
            let Some(request) = id.and_then(|id| u64::from_str_radix(id, 16).ok()) else {
                let _ = self.lines.say("SYNTAX\r\n");
                return self.gone(hands);
            };
            self.request = Some(request);
            let begun = hands.world.sent_at(self.from).unwrap_or(now);
            let fleet = hands.world.fleet();
            let strength = fleet.strength;
            let one = &mut fleet.all[self.number];
            let cold = one.cold(&strength, begun);
            if one.mode == Mode::Drains || one.held.len() >= strength.most {
                let _ = self.lines.say("BUSY\r\n");
                return self.gone(hands);
            }
            one.held.insert(self.id, request);
            let takes = one.takes(&strength, strength.setup, now);
            hands.deadlines.set(self.id, ANSWER, now + takes);
            if cold {
                hands.world.saw(Seen::Cold {
                    transcriber: self.number,
                    begun,
                });
            }
        }
        Flow::Keep
    }
}

impl<W: Stage> Connection<W> for Task {
    fn ready(
        &mut self,
        hands: &mut Hands<W>,
        _side: usize,
        readable: bool,
        writable: bool,
    ) -> Flow {
        if (writable && self.lines.flush().is_err()) || (readable && self.lines.read().is_err()) {
            return self.gone(hands);
        }
        if self.lines(hands) == Flow::Done {
            return Flow::Done;
        }
        if self.lines.ended {
            return self.gone(hands);
        }
        Flow::Keep
    }

    fn due(&mut self, hands: &mut Hands<W>, purpose: u64) -> Flow {
        let one = &hands.world.fleet().all[self.number];
        if one.mode == Mode::Silent {
            return Flow::Keep;
        }
        match (purpose, self.request) {
            (ANSWER, None) => self.gone(hands),
            (ANSWER, Some(request)) if !self.up => {
                self.up = true;
                self.say(hands, &format!("UP {request:016x}\r\nLOAD 1000\r\n"))
            }
            _ => {
                let echoes = std::mem::take(&mut self.echoes);
                self.say(hands, &"ok\r\n".repeat(echoes as usize))
            }
        }
    }

    fn told(&mut self, hands: &mut Hands<W>, note: Note) -> Flow {
        match note {
            Note::Reset => {
                self.lines.abort();
                self.gone(hands)
            }
            Note::End => {
                let _ = self.lines.say("MOVE\r\n");
                self.gone(hands)
            }
            Note::Look => Flow::Keep,
        }
    }
}
