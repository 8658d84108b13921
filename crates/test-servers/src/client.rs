//! Clients: an open loop, in which the planned moment counts and never the send. Each visit asks, asks again when it is told
//! to, stands for minutes or as long as its plan says, and comes back when it is moved or cut off.

use crate::lines::Lines;
use crate::seen::{Answer, End, Seen};
use crate::{key, Note, Stage};
use lupincrank_reactor::poll;
use lupincrank_reactor::Readiness;
use lupincrank_reactor::{ComponentId, Connection, Context, Lifecycle};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const WAIT: u64 = 0;
const LINE: u64 = 1;
const LEAVE: u64 = 2;
/// A connection that is not up in this time goes to another node.
const CONNECT: Duration = Duration::from_millis(800);
/// Beyond its time a client still listens this long: an answer that comes late is told apart from none.
const LATE: Duration = Duration::from_millis(600);
/// After its leave, or an answer that ends it, a client listens this long for what should not come.
const LINGER: Duration = Duration::from_millis(100);

/// What clients are like.
#[derive(Clone, Debug)]
pub struct Manners {
    /// How long each waits for its answer.
    pub wait: Duration,
    /// How often a line goes out on a standing connection.
    pub every: Duration,
    /// The class that they name.
    pub class: String,
}

/// One client's wish for a connection, over all of its requests.
#[derive(Clone, Debug)]
pub struct Visit {
    /// Its number.
    pub number: u64,
    /// When it was planned.
    pub planned: Instant,
    /// When this connection was begun: the plan's moment, or when the client came back.
    pub since: Instant,
    /// Its group and its own key.
    pub group: u64,
    /// How long it stands in all.
    pub stands: Duration,
    /// Requests made since it last stood.
    pub tries: u32,
    /// It was moved or cut off.
    pub again: bool,
    /// Names its next request: none is used twice.
    pub request: u64,
}

/// What a visit does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// It stands, after so long since it was planned or came back.
    Up(Duration),
    /// It asks again after this.
    Again(Duration),
    /// It has been moved or cut off, and comes back after this.
    Back(Duration),
    /// It has stood for as long as it wished.
    Over,
}

#[derive(PartialEq, Eq)]
enum Phase {
    Connecting,
    Asking,
    Standing,
    /// Its next step is planned; what still comes is listened to.
    Leaving,
}

/// One connection of a client.
pub struct Client {
    id: ComponentId,
    node: usize,
    lines: Lines,
    visit: Visit,
    phase: Phase,
    answered: bool,
    moved: bool,
    up_at: Instant,
}

/// Begins a request at this node; false if no socket is to be had.
pub fn ask<W: Stage>(context: &mut Context<W>, visit: Visit, node: usize, at: SocketAddr) -> bool {
    let id = context.allocate_id();
    let Ok(stream) = poll::connect(&context.poller, at, key(id, 0)) else {
        return false;
    };
    let now = Instant::now();
    context.deadlines.set(id, WAIT, now + CONNECT);
    let (lines, phase) = (Lines::new(stream), Phase::Connecting);
    let client = Client {
        id,
        node,
        lines,
        visit,
        phase,
        answered: false,
        moved: false,
        up_at: now,
    };
    context.register(id, Box::new(client));
    true
}

impl Client {
    fn open<W: Stage>(&mut self, context: &mut Context<W>) -> Lifecycle {
        if !matches!(self.lines.stream.take_error(), Ok(None)) {
            return self.next(context, Next::Again(Duration::from_millis(50)));
        }
        let manners = context.application.manners().clone();
        let wait = manners.wait.as_millis() as u64;
        let Visit {
            request,
            number,
            group,
            tries,
            again,
            ..
        } = self.visit;
        let marks = format!(
            "{}{}",
            if tries > 0 { ",r=1" } else { "" },
            if again { ",again=1" } else { "" }
        );
        let class = &manners.class;
        let line = format!(
            "OPEN {request:016x} {number:016x} c={class},d={wait},g={group:016x},h=1000{marks}\r\n"
        );
        if self.lines.say(&line).is_err() {
            return self.next(context, Next::Again(Duration::from_millis(50)));
        }
        self.phase = Phase::Asking;
        context.application.saw(Seen::Asked {
            request,
            node: self.node,
            wait_ms: wait,
        });
        context
            .deadlines
            .set(self.id, WAIT, Instant::now() + manners.wait + LATE);
        Lifecycle::Continue
    }

    /// The next step is planned. The connection stays a little longer, to hear what should not come.
    fn next<W: Stage>(&mut self, context: &mut Context<W>, next: Next) -> Lifecycle {
        context.application.visit(self.visit.clone(), next);
        if next == Next::Over || self.lines.ended || self.phase == Phase::Connecting {
            return Lifecycle::Close;
        }
        self.phase = Phase::Leaving;
        context.deadlines.clear(self.id, WAIT);
        context.deadlines.clear(self.id, LINE);
        context
            .deadlines
            .set(self.id, LEAVE, Instant::now() + LINGER);
        Lifecycle::Continue
    }

    fn answer<W: Stage>(&mut self, context: &mut Context<W>, answer: Answer) -> Lifecycle {
        let request = self.visit.request;
        self.answered = true;
        context.application.saw(Seen::Answered { request, answer });
        let pause = match answer {
            Answer::Up => {
                self.phase = Phase::Standing;
                self.up_at = Instant::now();
                context
                    .application
                    .visit(self.visit.clone(), Next::Up(self.visit.since.elapsed()));
                let every = context.application.manners().every;
                context.deadlines.clear(self.id, WAIT);
                context.deadlines.set(self.id, LINE, self.up_at + every);
                context
                    .deadlines
                    .set(self.id, LEAVE, self.up_at + self.visit.stands);
                return Lifecycle::Continue;
            }
            Answer::Busy(ms) => Duration::from_millis(if ms == 0 { 200 } else { ms }),
            Answer::Failed | Answer::Closed => Duration::from_millis(200),
        };
        self.next(context, Next::Again(pause))
    }

    fn line<W: Stage>(&mut self, context: &mut Context<W>, line: &str) -> Lifecycle {
        let request = self.visit.request;
        let first = line.split(' ').next().unwrap_or_default();
        match self.phase {
            Phase::Asking => {
                let answer = match first {
                    "UP" => Answer::Up,
                    "BUSY" => Answer::Busy(
                        line.get(5..)
                            .and_then(|ms| ms.trim().parse().ok())
                            .unwrap_or(0),
                    ),
                    _ => Answer::Failed,
                };
                return self.answer(context, answer);
            }
            Phase::Standing if first == "MOVE" => self.moved = true,
            // A second answer, or one after the end.
            Phase::Standing if matches!(first, "UP" | "BUSY" | "ERR") => {
                context.application.saw(Seen::Again { request });
            }
            Phase::Leaving if self.answered && !self.moved => {
                context.application.saw(Seen::Again { request });
            }
            _ => {}
        }
        Lifecycle::Continue
    }

    fn ended<W: Stage>(&mut self, context: &mut Context<W>) -> Lifecycle {
        let request = self.visit.request;
        match self.phase {
            Phase::Asking => self.answer(context, Answer::Closed),
            Phase::Standing => {
                let end = if self.moved { End::Moved } else { End::Cut };
                context.application.saw(Seen::Stood { request, end });
                self.visit.stands = self.visit.stands.saturating_sub(self.up_at.elapsed());
                self.next(context, Next::Back(Duration::from_millis(150)))
            }
            Phase::Connecting => self.next(context, Next::Again(Duration::from_millis(50))),
            Phase::Leaving => Lifecycle::Close,
        }
    }
}

impl<W: Stage> Connection<W> for Client {
    fn on_ready(
        &mut self,
        context: &mut Context<W>,
        _socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        if self.phase == Phase::Connecting {
            return self.open(context);
        }
        let broke = (readiness.writable && self.lines.flush().is_err())
            || (readiness.readable && self.lines.read().is_err());
        while let Some(line) = self.lines.line() {
            if self.line(context, &line) == Lifecycle::Close {
                return Lifecycle::Close;
            }
        }
        if broke || self.lines.ended {
            self.lines.ended = true;
            return self.ended(context);
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut Context<W>, kind: u64) -> Lifecycle {
        let request = self.visit.request;
        match (kind, &self.phase) {
            (LINE, Phase::Standing) => {
                let every = context.application.manners().every;
                context.deadlines.set(self.id, LINE, Instant::now() + every);
                if self.lines.say("hello\r\n").is_err() {
                    self.lines.ended = true;
                    return self.ended(context);
                }
                Lifecycle::Continue
            }
            (LEAVE, Phase::Standing) => {
                context.application.saw(Seen::Stood {
                    request,
                    end: End::Own,
                });
                self.next(context, Next::Over)
            }
            (WAIT, Phase::Connecting) => self.next(context, Next::Again(Duration::ZERO)),
            (WAIT, Phase::Asking) => {
                context.application.saw(Seen::GaveUp { request });
                self.lines.ended = true;
                self.next(context, Next::Again(Duration::from_millis(100)))
            }
            _ => Lifecycle::Close,
        }
    }

    fn on_message(&mut self, _context: &mut Context<W>, _note: Note) -> Lifecycle {
        Lifecycle::Close
    }
}
