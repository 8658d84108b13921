//! A door before each node: all that others say to it goes through, datagrams and streams, and is counted there by who sent
//! it; so the figures are not the program's own. One door a node, where the trials have one for each pair: the number of
//! sockets must not grow with the square of the nodes.

use crate::place::Place;
use lupincrank_cluster::frame::FrameDecoder;
use lupincrank_cluster::message::Message;
use lupincrank_fault_injection::link::LinkCondition;
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::poller_key;
use lupincrank_reactor::{
    Application, ComponentId, Connection, Context, Lifecycle, Reactor, APPLICATION,
};
use lupincrank_reactor::{Interest, Readiness};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::{HashMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What is read, taken and held in one turn, and how often the end is looked for.
const TURN: usize = 64;
const ACCEPTS: usize = 64;
const MOST_HELD: usize = 1 << 20;
const LOOK: Duration = Duration::from_millis(100);
/// A part of a stream that is lost comes so much later, for each time: the least that Linux waits before it sends it again.
const SENT_AGAIN: Duration = Duration::from_millis(200);

/// What one node has sent and received, as its door and the others' saw it.
#[derive(Debug, Default)]
pub struct Counter {
    /// Bytes and messages sent.
    pub bytes_out: AtomicU64,
    /// See `bytes_out`.
    pub messages_out: AtomicU64,
    /// Received.
    pub bytes_in: AtomicU64,
    /// See `bytes_in`.
    pub messages_in: AtomicU64,
}

/// What all have sent and received.
pub struct Counts {
    /// By node.
    pub nodes: Vec<Counter>,
    /// Messages lost on purpose, and parts of streams held back.
    pub lost: AtomicU64,
    /// What could not be told apart: from nobody known, or not to be read.
    pub unknown: AtomicU64,
}

impl Counts {
    /// For so many nodes.
    pub fn new(nodes: usize) -> Counts {
        let nodes = (0..nodes).map(|_| Counter::default()).collect();
        Counts {
            nodes,
            lost: AtomicU64::new(0),
            unknown: AtomicU64::new(0),
        }
    }

    fn sent(&self, from: usize, to: usize, bytes: u64, messages: u64) {
        self.nodes[from].bytes_out.fetch_add(bytes, Relaxed);
        self.nodes[from].messages_out.fetch_add(messages, Relaxed);
        self.nodes[to].bytes_in.fetch_add(bytes, Relaxed);
        self.nodes[to].messages_in.fetch_add(messages, Relaxed);
    }
}

/// What the doors share.
pub struct Ground {
    counts: Arc<Counts>,
    names: HashMap<String, usize>,
    senders: HashMap<SocketAddr, usize>,
    way: LinkCondition,
    random: Pcg64Mcg,
    stop: Arc<AtomicBool>,
}

impl Application for Ground {
    type DeadlineKind = u64;
    type Message = ();
    fn after_callback(
        _context: &mut Context<Ground>,
        _objects: &mut dyn Iterator<Item = ComponentId>,
    ) {
    }
    fn on_deadline(context: &mut Context<Ground>, _kind: u64) {
        context.deadlines.set(APPLICATION, 0, Instant::now() + LOOK);
    }
    fn is_finished(&self) -> bool {
        self.stop.load(Relaxed)
    }
    fn on_undelivered(&mut self, _id: ComponentId, _message: ()) {}
}

type Yard = Context<Ground>;

/// Opens all doors, and passes on what comes until `stop`; `opened` is told once they are open.
pub fn serve(
    place: &Place,
    way: LinkCondition,
    seed: u64,
    counts: Arc<Counts>,
    stop: Arc<AtomicBool>,
    opened: impl FnOnce(io::Result<()>),
) -> io::Result<()> {
    let ground = Ground {
        counts,
        names: (0..place.all())
            .map(|node| (place.name(node), node))
            .collect(),
        senders: (0..place.all())
            .map(|node| (place.fleet(node), node))
            .collect(),
        way,
        random: Pcg64Mcg::new(u128::from(seed) << 8 | 5),
        stop,
    };
    let mut reactor = Reactor::new(ground, 0)?;
    let all = (0..place.all()).try_for_each(|node| {
        open(
            &mut reactor.context,
            node,
            place.door(node),
            place.fleet(node),
        )
        .map_err(|error| io::Error::other(format!("{}: {error}", place.door(node))))
    });
    let open = all.is_ok();
    opened(all);
    reactor
        .context
        .deadlines
        .set(APPLICATION, 0, Instant::now());
    if open {
        reactor.run()
    } else {
        Ok(())
    }
}

fn open(context: &mut Yard, node: usize, at: SocketAddr, target: SocketAddr) -> io::Result<()> {
    let id = context.allocate_id();
    let listener = Registered::new(
        &context.poller,
        poll::listen(at)?,
        poller_key(id, 0),
        Interest::READ,
    )?;
    let socket = UdpSocket::bind(at)?;
    socket.set_nonblocking(true)?;
    let socket = Registered::new(&context.poller, socket, poller_key(id, 1), Interest::READ)?;
    context.register(
        id,
        Box::new(Door {
            id,
            node,
            target,
            listener,
            socket,
            held: VecDeque::new(),
        }),
    );
    Ok(())
}

struct Door {
    id: ComponentId,
    node: usize,
    target: SocketAddr,
    listener: Registered<TcpListener>,
    socket: Registered<UdpSocket>,
    held: VecDeque<(Instant, Vec<u8>)>,
}

impl Door {
    fn datagrams(&mut self, context: &mut Yard) {
        let mut bytes = [0; 2048];
        for _ in 0..TURN {
            let (length, from) = match self.socket.recv_from(&mut bytes) {
                Ok(got) => got,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // The answer of a dead node's machine to one before.
                Err(_) => continue,
            };
            let ground = &mut context.application;
            match ground.senders.get(&from) {
                Some(from) => ground.counts.sent(*from, self.node, length as u64, 1),
                None => drop(ground.counts.unknown.fetch_add(1, Relaxed)),
            }
            let way = ground.way;
            if way.loss_ratio > 0.0 && ground.random.random::<f64>() < way.loss_ratio {
                ground.counts.lost.fetch_add(1, Relaxed);
            } else if way.delay.is_zero() {
                // What does not get through is lost, as datagrams are.
                let _ = self.socket.send_to(&bytes[..length], self.target);
            } else if self.held.len() < MOST_HELD / 2048 {
                let at = Instant::now() + way.delay;
                context
                    .deadlines
                    .set(self.id, 0, self.held.front().map_or(at, |(at, _)| *at));
                self.held.push_back((at, bytes[..length].to_vec()));
            }
        }
    }
}

impl Connection<Ground> for Door {
    fn on_ready(&mut self, context: &mut Yard, socket: usize, _readiness: Readiness) -> Lifecycle {
        if socket == 1 {
            self.datagrams(context);
            return Lifecycle::Continue;
        }
        for _ in 0..ACCEPTS {
            let Ok((near, _)) = self.listener.accept() else {
                break;
            };
            // The dialler sees a link that ends, and dials again.
            if Pipe::begin(context, self.node, near, self.target).is_err() {
                context.counts.unknown.fetch_add(1, Relaxed);
            }
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut Yard, _kind: u64) -> Lifecycle {
        let now = Instant::now();
        while self.held.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, bytes)) = self.held.pop_front() {
                let _ = self.socket.send_to(&bytes, self.target);
            }
        }
        if let Some((at, _)) = self.held.front() {
            context.deadlines.set(self.id, 0, *at);
        }
        Lifecycle::Continue
    }

    fn on_message(&mut self, _context: &mut Yard, _message: ()) -> Lifecycle {
        Lifecycle::Continue
    }
}

/// One direction of a stream.
#[derive(Default)]
struct Half {
    held: VecDeque<(Instant, Vec<u8>)>,
    bytes: usize,
    ended: bool,
    shut: bool,
    inbox: FrameDecoder,
    /// What can't be read any more is only passed on.
    strange: bool,
    /// Bytes and messages that are not counted yet: whose they are is not known.
    open: (u64, u64),
}

/// One link through a door: `near` dialled.
struct Pipe {
    id: ComponentId,
    dialler: Option<usize>,
    node: usize,
    streams: [Registered<TcpStream>; 2],
    connected: bool,
    halves: [Half; 2],
}

impl Pipe {
    fn begin(
        context: &mut Yard,
        node: usize,
        near: TcpStream,
        target: SocketAddr,
    ) -> io::Result<()> {
        near.set_nonblocking(true)?;
        near.set_nodelay(true)?;
        let id = context.allocate_id();
        let far = poll::connect(&context.poller, target, poller_key(id, 1))?;
        let near = Registered::new(&context.poller, near, poller_key(id, 0), Interest::READ)?;
        let pipe = Pipe {
            id,
            dialler: None,
            node,
            streams: [near, far],
            connected: false,
            halves: Default::default(),
        };
        context.register(id, Box::new(pipe));
        Ok(())
    }

    fn count(&mut self, context: &mut Yard, side: usize, bytes: &[u8]) {
        let half = &mut self.halves[side];
        half.open.0 += bytes.len() as u64;
        if !half.strange {
            half.inbox.push(bytes);
            loop {
                match half.inbox.next_message() {
                    Ok(Some(message)) => {
                        half.open.1 += 1;
                        if let (Message::Handshake(hello), 0) = (message, side) {
                            self.dialler = context.application.names.get(&hello.name).copied();
                        }
                    }
                    Ok(None) => break,
                    Err(_) => {
                        half.strange = true;
                        context.application.counts.unknown.fetch_add(1, Relaxed);
                        break;
                    }
                }
            }
        }
        let Some(dialler) = self.dialler else { return };
        for (half, from, to) in [(0, dialler, self.node), (1, self.node, dialler)] {
            let (bytes, messages) = std::mem::take(&mut self.halves[half].open);
            context.application.counts.sent(from, to, bytes, messages);
        }
    }

    fn read(&mut self, context: &mut Yard, side: usize) -> io::Result<()> {
        let (mut scratch, mut reads) = ([0; 16 << 10], 0);
        while reads < 4 && self.halves[side].bytes < MOST_HELD && !self.halves[side].ended {
            let read = match self.streams[side].read(&mut scratch) {
                Ok(0) => {
                    self.halves[side].ended = true;
                    return Ok(());
                }
                Ok(read) => read,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => return Err(error),
            };
            reads += 1;
            self.count(context, side, &scratch[..read]);
            let ground = &mut context.application;
            let mut wait = ground.way.delay;
            while ground.way.loss_ratio > 0.0
                && ground.random.random::<f64>() < ground.way.loss_ratio
            {
                ground.counts.lost.fetch_add(1, Relaxed);
                wait += SENT_AGAIN;
            }
            let half = &mut self.halves[side];
            // A stream keeps its order whatever becomes of its parts.
            let at = Instant::now() + wait;
            let at = half.held.back().map_or(at, |(before, _)| at.max(*before));
            half.bytes += read;
            half.held.push_back((at, scratch[..read].to_vec()));
        }
        Ok(())
    }

    fn pump(&mut self, context: &mut Yard, side: usize) -> io::Result<()> {
        let (half, other) = (&mut self.halves[side], 1 - side);
        if !self.connected {
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
                Err(error) => return Err(error),
            }
        }
        if half.ended && !half.shut {
            half.shut = true;
            self.streams[other].shutdown(Shutdown::Write)?;
        }
        Ok(())
    }

    fn step(&mut self, context: &mut Yard) -> io::Result<Lifecycle> {
        self.pump(context, 0)?;
        self.pump(context, 1)?;
        // An end of either side is one of the link: its parties speak both ways.
        if self.halves.iter().any(|half| half.shut) {
            return Ok(Lifecycle::Close);
        }
        let now = Instant::now();
        for side in [0, 1] {
            let reads = !self.halves[side].ended && self.halves[side].bytes < MOST_HELD;
            let writes = self.halves[1 - side]
                .held
                .front()
                .is_some_and(|(at, _)| *at <= now);
            self.streams[side].set_interest(Interest {
                readable: reads,
                writable: writes || (side == 1 && !self.connected),
            })?;
        }
        Ok(Lifecycle::Continue)
    }
}

impl Connection<Ground> for Pipe {
    fn on_ready(&mut self, context: &mut Yard, socket: usize, readiness: Readiness) -> Lifecycle {
        if socket == 1 && !self.connected {
            if !matches!(self.streams[1].take_error(), Ok(None)) {
                return Lifecycle::Close;
            }
            self.connected = true;
        }
        if readiness.readable && self.read(context, socket).is_err() {
            return Lifecycle::Close;
        }
        self.step(context).unwrap_or(Lifecycle::Close)
    }

    fn on_deadline(&mut self, context: &mut Yard, _kind: u64) -> Lifecycle {
        self.step(context).unwrap_or(Lifecycle::Close)
    }

    fn on_message(&mut self, _context: &mut Yard, _message: ()) -> Lifecycle {
        Lifecycle::Continue
    }
}
