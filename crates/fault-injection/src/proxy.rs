//! The proxy of one link's streams, from one party to one other: passes, delays, throttles, holds back and resets.
//!
//! While a link is cut its listener drops what knocks, as a network does that carries nothing: the queue of connections is
//! one long and full. A target that is down refuses.

use crate::links::Party;
use crate::stage::Stage;
use lupincrank_reactor::poll::{self, Watched};
use lupincrank_reactor::{Connection, Flow, Hands, Id};
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

type World = Hands<Stage>;

/// Listens for one party on behalf of another.
struct Door {
    id: Id,
    from: Party,
    to: Party,
    target: SocketAddr,
    at: SocketAddr,
    listener: Option<Watched<TcpListener>>,
    /// Keeps the address while nobody listens.
    kept: Option<Socket>,
    /// Fill the queue while the link is cut.
    fillers: Vec<Socket>,
}

/// Opens the way from one party to another that listens at `target`; gives where the first one reaches it.
pub fn open(
    hands: &mut World,
    from: Party,
    to: Party,
    target: SocketAddr,
) -> io::Result<SocketAddr> {
    let id = hands.name();
    let listener = poll::listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let at = listener.local_addr()?;
    let listener = Some(Watched::new(
        &hands.poller,
        listener,
        key(id, 0),
        true,
        false,
    )?);
    hands.adopt(
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
    hands.world.doors.insert((from, to), id);
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
    fn look(&mut self, hands: &mut World) -> io::Result<()> {
        let cut = hands.world.links.cut(self.from, self.to);
        let down = match self.to {
            Party::Transcriber(number) => hands
                .world
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
            self.listener = Some(Watched::new(
                &hands.poller,
                listener,
                key(self.id, 0),
                true,
                false,
            )?);
        }
        let Some(listener) = &mut self.listener else {
            return Ok(());
        };
        if cut && self.fillers.is_empty() {
            listener.want(false, false)?;
            SockRef::from(&**listener).listen(0)?;
            for _ in 0..2 {
                let filler = Socket::new(Domain::IPV4, Type::STREAM, None)?;
                filler.set_nonblocking(true)?;
                let _ = filler.connect(&self.at.into());
                self.fillers.push(filler);
            }
        } else if !cut && !self.fillers.is_empty() {
            SockRef::from(&**listener).listen(BACKLOG)?;
            listener.want(true, false)?;
            self.accept(hands);
            self.fillers.clear();
        }
        Ok(())
    }

    fn accept(&mut self, hands: &mut World) {
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
                let _ = Pipe::begin(hands, self.from, self.to, near, self.target);
            }
        }
    }
}

impl Connection<Stage> for Door {
    fn ready(&mut self, hands: &mut World, _side: usize, _readable: bool, _writable: bool) -> Flow {
        if self.fillers.is_empty() {
            self.accept(hands);
        }
        Flow::Keep
    }

    fn due(&mut self, hands: &mut World, _purpose: u64) -> Flow {
        if self.look(hands).is_err() {
            hands.deadlines.set(self.id, 0, Instant::now() + AGAIN);
        }
        Flow::Keep
    }

    fn told(&mut self, hands: &mut World, _note: Note) -> Flow {
        self.due(hands, 0)
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
    id: Id,
    parties: [Party; 2],
    streams: [Watched<TcpStream>; 2],
    connected: bool,
    halves: [Half; 2],
    begun: Instant,
    request: Option<u64>,
    /// An end was reset, which the other hears of as soon as the link carries anything.
    broken: bool,
}

impl Pipe {
    fn begin(
        hands: &mut World,
        from: Party,
        to: Party,
        near: TcpStream,
        target: SocketAddr,
    ) -> io::Result<()> {
        near.set_nonblocking(true)?;
        near.set_nodelay(true)?;
        let id = hands.name();
        let far = poll::connect(&hands.poller, target, key(id, 1))?;
        let near = Watched::new(&hands.poller, near, key(id, 0), true, false)?;
        let begun = Instant::now();
        if let Ok(local) = far.local_addr() {
            hands.world.sent.insert(local, begun);
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
        hands.world.pipes.insert(id, (from, to));
        hands.adopt(id, Box::new(pipe));
        Ok(())
    }

    fn done(&mut self, hands: &mut World) -> Flow {
        hands.world.pipes.remove(&self.id);
        if let Ok(local) = self.streams[1].local_addr() {
            hands.world.sent.remove(&local);
        }
        self.over(hands);
        Flow::Done
    }

    /// The node has ended its attempt, or has had its answer.
    fn over(&mut self, hands: &mut World) {
        if let Some(request) = self.request.take() {
            hands.world.judge.over(request);
        }
    }

    fn broke(&mut self, hands: &mut World, side: usize) -> Flow {
        if side == 0 {
            self.over(hands);
        }
        if hands.world.links.cut(self.parties[0], self.parties[1]) {
            self.broken = true;
            let _ = self.streams[side].want(false, false);
            return Flow::Keep;
        }
        for stream in &self.streams {
            let _ = SockRef::from(&**stream).set_linger(Some(Duration::ZERO));
        }
        self.done(hands)
    }

    /// What goes by between a node and a transcriber: the first line of either.
    fn tap(&mut self, hands: &mut World, side: usize, bytes: &[u8]) {
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
                hands
                    .world
                    .judge
                    .begun(request, node, transcriber, self.begun);
            }
        } else if !line.starts_with("UP ") {
            self.over(hands);
        }
    }

    fn read(&mut self, hands: &mut World, side: usize) -> io::Result<()> {
        let way = hands
            .world
            .links
            .way(self.parties[side], self.parties[1 - side]);
        let (mut scratch, mut taken) = ([0; 8 << 10], 0);
        while taken < TURN && self.halves[side].bytes < MOST_HELD && !self.halves[side].ended {
            let read = match self.streams[side].read(&mut scratch) {
                Ok(0) => {
                    self.halves[side].ended = true;
                    if side == 0 {
                        self.over(hands);
                    }
                    break;
                }
                Ok(read) => read,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => return Err(error),
            };
            taken += read;
            self.tap(hands, side, &scratch[..read]);
            let jitter = if way.jitter.is_zero() {
                0.0
            } else {
                hands.world.random.random::<f64>()
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
    fn pump(&mut self, hands: &mut World, side: usize) -> Result<(), usize> {
        let way = hands
            .world
            .links
            .way(self.parties[side], self.parties[1 - side]);
        let (half, other) = (&mut self.halves[side], 1 - side);
        if !self.connected || way.cut {
            return Ok(());
        }
        let now = Instant::now();
        while let Some((at, bytes)) = half.held.front_mut() {
            if *at > now {
                hands.deadlines.set(self.id, side as u64, *at);
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

    fn step(&mut self, hands: &mut World) -> Flow {
        if self.broken {
            let cut = hands.world.links.cut(self.parties[0], self.parties[1]);
            return if cut {
                Flow::Keep
            } else {
                self.broke(hands, 1)
            };
        }
        for side in [0, 1] {
            if let Err(broken) = self.pump(hands, side) {
                return self.broke(hands, broken);
            }
        }
        if self.halves.iter().all(|half| half.shut) {
            return self.done(hands);
        }
        for side in [0, 1] {
            let reads = !self.halves[side].ended && self.halves[side].bytes < MOST_HELD;
            let now = Instant::now();
            let writes = self.halves[1 - side]
                .held
                .front()
                .is_some_and(|(at, _)| *at <= now);
            let cut = hands
                .world
                .links
                .way(self.parties[1 - side], self.parties[side])
                .cut;
            let writes = (writes && !cut) || (side == 1 && !self.connected);
            if self.streams[side].want(reads, writes).is_err() {
                return self.broke(hands, side);
            }
        }
        Flow::Keep
    }
}

impl Connection<Stage> for Pipe {
    fn ready(&mut self, hands: &mut World, side: usize, readable: bool, _writable: bool) -> Flow {
        if side == 1 && !self.connected {
            if !matches!(self.streams[1].take_error(), Ok(None)) {
                return self.broke(hands, 1);
            }
            self.connected = true;
        }
        if readable && self.read(hands, side).is_err() {
            return self.broke(hands, side);
        }
        self.step(hands)
    }

    fn due(&mut self, hands: &mut World, _purpose: u64) -> Flow {
        self.step(hands)
    }

    fn told(&mut self, hands: &mut World, note: Note) -> Flow {
        if note == Note::Reset {
            for stream in &self.streams {
                let _ = SockRef::from(&**stream).set_linger(Some(Duration::ZERO));
            }
            return self.done(hands);
        }
        self.step(hands)
    }
}
