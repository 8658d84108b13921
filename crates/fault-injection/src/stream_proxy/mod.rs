//! The proxy of one link's streams, from one party to one other: passes, delays, throttles, holds back and resets.
//!
//! While a link is cut its listener drops what knocks, as a network does that carries nothing: the queue of connections is
//! one long and full. A target that is down refuses.

use crate::links::Party;
use crate::stage::Stage;
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::{ComponentId, Connection, Context, Lifecycle};
use lupincrank_reactor::{Interest, Readiness};
use lupincrank_test_servers::{key, transcriber, Note};
use rand::Rng;
use socket2::{Domain, SockRef, Socket, Type};
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// What is held of one direction, and read in one turn.
const MOST_HELD: usize = 256 << 10;
const TURN: usize = 32 << 10;
/// New connections in one turn of the loop, and connections that may wait for that.
const ACCEPTS: usize = 64;
const BACKLOG: i32 = 1024;
/// A listener that could not be opened again is tried again after this.
const AGAIN: Duration = Duration::from_millis(20);

type World = Context<Stage>;

/// Listens for one party on behalf of another.
struct Door {
    id: ComponentId,
    from: Party,
    to: Party,
    target: SocketAddr,
    at: SocketAddr,
    listener: Option<Registered<TcpListener>>,
    /// Keeps the address while nobody listens.
    kept: Option<Socket>,
    /// Fill the queue while the link is cut.
    fillers: Vec<Socket>,
}

/// Opens the way from one party to another that listens at `target`; gives where the first one reaches it.
pub fn open(
    context: &mut World,
    from: Party,
    to: Party,
    target: SocketAddr,
) -> io::Result<SocketAddr> {
    let id = context.allocate_id();
    let listener = poll::listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let at = listener.local_addr()?;
    let listener = Some(Registered::new(
        &context.poller,
        listener,
        key(id, 0),
        Interest::READ,
    )?);
    context.register(
        id,
        Box::new(Door {
            id,
            from,
            to,
            target,
            at,
            listener,
            kept: None,
            fillers: Vec::new(),
        }),
    );
    context.application.doors.insert((from, to), id);
    Ok(at)
}

fn kept(at: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    Ok(socket)
}

impl Door {
    /// Brings the listener in line with the link and the target.
    fn look(&mut self, context: &mut World) -> io::Result<()> {
        let cut = context.application.links.cut(self.from, self.to);
        let down = match self.to {
            Party::Transcriber(number) => context
                .application
                .fleet
                .all
                .get(number)
                .is_some_and(|one| one.mode == transcriber::Mode::Down),
            _ => false,
        };
        if down && !cut {
            self.fillers.clear();
            if self.listener.take().is_some() || self.kept.is_none() {
                self.kept = Some(kept(self.at)?);
            }
            return Ok(());
        }
        if self.listener.is_none() {
            let socket = match self.kept.take() {
                Some(socket) => socket,
                None => kept(self.at)?,
            };
            socket.listen(BACKLOG)?;
            let listener = TcpListener::from(socket);
            self.listener = Some(Registered::new(
                &context.poller,
                listener,
                key(self.id, 0),
                Interest::READ,
            )?);
        }
        let Some(listener) = &mut self.listener else {
            return Ok(());
        };
        if cut && self.fillers.is_empty() {
            listener.set_interest(Interest::NONE)?;
            SockRef::from(&**listener).listen(0)?;
            for _ in 0..2 {
                let filler = Socket::new(Domain::IPV4, Type::STREAM, None)?;
                filler.set_nonblocking(true)?;
                let _ = filler.connect(&self.at.into());
                self.fillers.push(filler);
            }
        } else if !cut && !self.fillers.is_empty() {
            SockRef::from(&**listener).listen(BACKLOG)?;
            listener.set_interest(Interest::READ)?;
            self.accept(context);
            self.fillers.clear();
        }
        Ok(())
    }

    fn accept(&mut self, context: &mut World) {
        let own: Vec<_> = self
            .fillers
            .iter()
            .filter_map(|filler| filler.local_addr().ok()?.as_socket())
            .collect();
        for _ in 0..ACCEPTS {
            let Some(listener) = &self.listener else {
                return;
            };
            let Ok((near, from)) = listener.accept() else {
                return;
            };
            if !own.contains(&from) {
                let _ = Pipe::begin(context, self.from, self.to, near, self.target);
            }
        }
    }
}

impl Connection<Stage> for Door {
    fn on_ready(
        &mut self,
        context: &mut World,
        _socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        if self.fillers.is_empty() {
            self.accept(context);
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut World, _kind: u64) -> Lifecycle {
        if self.look(context).is_err() {
            context.deadlines.set(self.id, 0, Instant::now() + AGAIN);
        }
        Lifecycle::Continue
    }

    fn on_message(&mut self, context: &mut World, _note: Note) -> Lifecycle {
        self.on_deadline(context, 0)
    }
}

/// One direction of a stream.
#[derive(Default)]
struct Half {
    held: VecDeque<(Instant, Vec<u8>)>,
    bytes: usize,
    last: Option<Instant>,
    /// What it is read from has ended, and that has been passed on.
    ended: bool,
    shut: bool,
    /// The start of the first line, until it is whole.
    first: Option<Vec<u8>>,
}

/// One stream through a link: `near` is the end of the party that dialled.
struct Pipe {
    id: ComponentId,
    parties: [Party; 2],
    streams: [Registered<TcpStream>; 2],
    connected: bool,
    halves: [Half; 2],
    begun: Instant,
    request: Option<u64>,
    /// An end was reset, which the other hears of as soon as the link carries anything.
    broken: bool,
}

impl Pipe {
    fn begin(
        context: &mut World,
        from: Party,
        to: Party,
        near: TcpStream,
        target: SocketAddr,
    ) -> io::Result<()> {
        near.set_nonblocking(true)?;
        near.set_nodelay(true)?;
        let id = context.allocate_id();
        let far = poll::connect(&context.poller, target, key(id, 1))?;
        let near = Registered::new(&context.poller, near, key(id, 0), Interest::READ)?;
        let begun = Instant::now();
        if let Ok(local) = far.local_addr() {
            context.application.sent.insert(local, begun);
        }
        let first = || Half {
            first: Some(Vec::new()),
            ..Half::default()
        };
        let pipe = Pipe {
            id,
            parties: [from, to],
            streams: [near, far],
            connected: false,
            halves: [first(), first()],
            begun,
            request: None,
            broken: false,
        };
        context.application.pipes.insert(id, (from, to));
        context.register(id, Box::new(pipe));
        Ok(())
    }

    fn done(&mut self, context: &mut World) -> Lifecycle {
        context.application.pipes.remove(&self.id);
        if let Ok(local) = self.streams[1].local_addr() {
            context.application.sent.remove(&local);
        }
        self.over(context);
        Lifecycle::Close
    }

    /// The node has ended its attempt, or has had its answer.
    fn over(&mut self, context: &mut World) {
        if let Some(request) = self.request.take() {
            context.application.judge.over(request);
        }
    }

    fn broke(&mut self, context: &mut World, side: usize) -> Lifecycle {
        if side == 0 {
            self.over(context);
        }
        if context
            .application
            .links
            .cut(self.parties[0], self.parties[1])
        {
            self.broken = true;
            let _ = self.streams[side].set_interest(Interest::NONE);
            return Lifecycle::Continue;
        }
        for stream in &self.streams {
            let _ = SockRef::from(&**stream).set_linger(Some(Duration::ZERO));
        }
        self.done(context)
    }

    /// What goes by between a node and a transcriber: the first line of either.
    fn tap(&mut self, context: &mut World, side: usize, bytes: &[u8]) {
        let (Party::Node(node), Party::Transcriber(transcriber)) =
            (self.parties[0], self.parties[1])
        else {
            return;
        };
        let Some(mut first) = self.halves[side].first.take() else {
            return;
        };
        first.extend_from_slice(bytes);
        let Some(end) = first.iter().position(|byte| *byte == b'\n') else {
            if first.len() < 4 << 10 {
                self.halves[side].first = Some(first);
            }
            return;
        };
        let line = String::from_utf8_lossy(&first[..end]).into_owned();
        if side == 0 {
            let id = line.strip_prefix("OPEN ").and_then(|rest| rest.get(..16));
            self.request = id.and_then(|id| u64::from_str_radix(id, 16).ok());
            if let Some(request) = self.request {
                context
                    .application
                    .judge
                    .begun(request, node, transcriber, self.begun);
            }
        } else if !line.starts_with("UP ") {
            self.over(context);
        }
    }

    fn read(&mut self, context: &mut World, side: usize) -> io::Result<()> {
        let way = context
            .application
            .links
            .way(self.parties[side], self.parties[1 - side]);
        let (mut scratch, mut taken) = ([0; 8 << 10], 0);
        while taken < TURN && self.halves[side].bytes < MOST_HELD && !self.halves[side].ended {
            let read = match self.streams[side].read(&mut scratch) {
                Ok(0) => {
                    self.halves[side].ended = true;
                    if side == 0 {
                        self.over(context);
                    }
                    break;
                }
                Ok(read) => read,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => return Err(error),
            };
            taken += read;
            self.tap(context, side, &scratch[..read]);
            let jitter = if way.jitter.is_zero() {
                0.0
            } else {
                context.application.random.random::<f64>()
            };
            let half = &mut self.halves[side];
            let mut at = Instant::now() + way.delay + way.jitter.mul_f64(jitter);
            if way.rate > 0.0 {
                let before = half.last.unwrap_or(at).max(Instant::now());
                at = at.max(before + Duration::from_secs_f64(read as f64 / way.rate));
            }
            // A stream keeps its order whatever becomes of its parts.
            at = half.last.map_or(at, |last| at.max(last));
            half.last = Some(at);
            half.bytes += read;
            half.held.push_back((at, scratch[..read].to_vec()));
        }
        Ok(())
    }

    /// Passes on what may go by now; `Err` names the side that broke.
    fn pump(&mut self, context: &mut World, side: usize) -> Result<(), usize> {
        let way = context
            .application
            .links
            .way(self.parties[side], self.parties[1 - side]);
        let (half, other) = (&mut self.halves[side], 1 - side);
        if !self.connected || way.cut {
            return Ok(());
        }
        let now = Instant::now();
        while let Some((at, bytes)) = half.held.front_mut() {
            if *at > now {
                context.deadlines.set(self.id, side as u64, *at);
                return Ok(());
            }
            match self.streams[other].write(bytes) {
                Ok(sent) => {
                    half.bytes -= sent;
                    bytes.drain(..sent);
                    if bytes.is_empty() {
                        half.held.pop_front();
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(other),
            }
        }
        if half.ended && !half.shut {
            half.shut = true;
            if self.streams[other].shutdown(Shutdown::Write).is_err() {
                return Err(other);
            }
        }
        Ok(())
    }

    fn step(&mut self, context: &mut World) -> Lifecycle {
        if self.broken {
            let cut = context
                .application
                .links
                .cut(self.parties[0], self.parties[1]);
            return if cut {
                Lifecycle::Continue
            } else {
                self.broke(context, 1)
            };
        }
        for side in [0, 1] {
            if let Err(broken) = self.pump(context, side) {
                return self.broke(context, broken);
            }
        }
        if self.halves.iter().all(|half| half.shut) {
            return self.done(context);
        }
        for side in [0, 1] {
            let reads = !self.halves[side].ended && self.halves[side].bytes < MOST_HELD;
            let now = Instant::now();
            let writes = self.halves[1 - side]
                .held
                .front()
                .is_some_and(|(at, _)| *at <= now);
            let cut = context
                .application
                .links
                .way(self.parties[1 - side], self.parties[side])
                .cut;
            let writes = (writes && !cut) || (side == 1 && !self.connected);
            if self.streams[side]
                .set_interest(Interest {
                    readable: reads,
                    writable: writes,
                })
                .is_err()
            {
                return self.broke(context, side);
            }
        }
        Lifecycle::Continue
    }
}

impl Connection<Stage> for Pipe {
    fn on_ready(&mut self, context: &mut World, socket: usize, readiness: Readiness) -> Lifecycle {
        if socket == 1 && !self.connected {
            if !matches!(self.streams[1].take_error(), Ok(None)) {
                return self.broke(context, 1);
            }
            self.connected = true;
        }
        if readiness.readable && self.read(context, socket).is_err() {
            return self.broke(context, socket);
        }
        self.step(context)
    }

    fn on_deadline(&mut self, context: &mut World, _kind: u64) -> Lifecycle {
        self.step(context)
    }

    fn on_message(&mut self, context: &mut World, note: Note) -> Lifecycle {
        if note == Note::Reset {
            for stream in &self.streams {
                let _ = SockRef::from(&**stream).set_linger(Some(Duration::ZERO));
            }
            return self.done(context);
        }
        self.step(context)
    }
}
