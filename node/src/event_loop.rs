//! The one loop: waits for sockets and deadlines and calls back the objects that own them.

use crate::config::Config;
use crate::core::{Core, Order, TryOrder};
use crate::deadlines::Deadlines;
use crate::upgrade::{self, link::Said, Upgrade};
use crate::{discovery, line_front, management, peer::Up};
use lupincrank::ServerId;
use polling::{Events, Poller};
use slog::{info, warn, Logger};
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Names a connection object; its sockets report under twice this, plus one for a second socket.
pub type Id = u64;

/// Owns the decisions' timers.
const DECISIONS: Id = 0;
/// How often standing connections are looked through for lines that nothing came back for.
const LOOK: Duration = Duration::from_millis(250);
const LOOK_PURPOSE: u64 = 0;
/// Discovery's connection and the listener have fixed names.
pub const DISCOVERY: Id = 1;
/// See `DISCOVERY`.
pub const LISTENER: Id = 2;
/// The object that watches for signals.
pub const SIGNALS: Id = 3;

/// The listener for calls of the staff.
pub const MANAGEMENT: Id = 4;
/// The link to another process of this node.
pub const UPGRADE: Id = 5;
/// Calls of the staff have names from here on: their sockets are looked at before all others.
pub const CALLS: Id = 1 << 60;

/// What one part of the node says to a connection object.
pub enum Message {
    /// Start a try.
    Try(TryOrder),
    /// Reject the request: it may come again after this.
    Refuse(Duration),
    /// End the request as failed.
    Fail,
    /// Send the client away, between two lines.
    Move,
    /// The try is up; its socket comes along.
    Up(Up),
    /// The try of a connection that stood before this node began has failed.
    NotUp,
    /// The transcriber served it to its end at once; the line for the client.
    Ended(Vec<u8>),
    /// Use the list that the configuration holds; take clients in; look whether that may begin.
    Begin,
    /// Ask discovery for changes.
    Subscribe,
    /// The configuration names another address of discovery.
    Moved,
    /// The owner has no more use for this object.
    Close,
    /// Take no clients in for now.
    Rest,
    /// Go over to the process that takes this one's place; then whether that happened.
    HandOver,
    /// See `HandOver`: the sockets are the other's now.
    Handed,
    /// See `HandOver`: nothing has changed.
    Kept,
}

/// Whether an object lives on after a callback.
#[derive(PartialEq, Eq)]
pub enum Flow {
    /// It stays.
    Keep,
    /// It is dropped, and its sockets with it.
    Done,
}

/// A connection (or another source of events) as the loop sees it.
pub trait Connection {
    /// One of its sockets is ready.
    fn ready(&mut self, node: &mut Node, side: usize, readable: bool, writable: bool) -> Flow;
    /// One of its deadlines has passed.
    fn due(&mut self, node: &mut Node, purpose: u64) -> Flow;
    /// Another part of the node has something to say.
    fn told(&mut self, node: &mut Node, message: Message) -> Flow;
}

/// What callbacks may use.
pub struct Node {
    /// The poller.
    pub poller: Rc<Poller>,
    /// All deadlines.
    pub deadlines: Deadlines,
    /// The decisions and the request contexts.
    pub core: Core,
    /// What the node was told at its start.
    pub config: Config,
    /// Where log lines go.
    pub log: Logger,
    /// Clients held with their request; each may need a second descriptor for its peer.
    pub clients: Rc<Cell<usize>>,
    /// The other connections held.
    pub strangers: line_front::Strangers,
    /// When the node began.
    pub began: Instant,
    /// Set at SIGTERM: when all must be done.
    pub leaving: Option<Instant>,
    /// The other process of this node, if there is one.
    pub upgrade: Upgrade,
    /// Set for a moment when all connections are to be handed over.
    pub hand_over: bool,
    outbox: VecDeque<(Id, Message)>,
    born: Vec<(Id, Box<dyn Connection>)>,
    next: Id,
}

impl Node {
    /// A name for a new object.
    pub fn name(&mut self) -> Id {
        self.next += 1;
        self.next
    }

    /// Hands a new object to the loop.
    pub fn adopt(&mut self, id: Id, object: Box<dyn Connection>) {
        self.born.push((id, object));
    }

    /// Says something to an object, after the present callback.
    pub fn tell(&mut self, id: Id, message: Message) {
        self.outbox.push_back((id, message));
    }

    /// Whether clients can be served now, or what is missing.
    pub fn serves(&self) -> Result<(), String> {
        if self.leaving.is_some() {
            return Err("this process is ending".into());
        }
        if !self.upgrade.settled() {
            return Err("the process before this one has not been reached yet".into());
        }
        self.core.able().map_err(str::to_string)
    }

    /// Takes a transcriber out by hand or back in.
    pub fn by_hand(&mut self, server: &str, down: bool) -> Result<(), String> {
        let id = ServerId::from(server);
        if !self.core.knows(&id) {
            return Err(format!("no transcriber {server:?}"));
        }
        // Written before it is obeyed: what was answered with yes holds across any end of this process.
        let out = self.upgrade.change(&id, down, self.core.out())?;
        self.core.set_out(out);
        self.upgrade.say(&Said::Out);
        Ok(())
    }

    fn carry_out(&mut self) {
        while let Some(order) = self.core.orders.pop_front() {
            match order {
                Order::Try(owner, order) => self.tell(owner, Message::Try(order)),
                Order::Refuse(owner, after) => self.tell(owner, Message::Refuse(after)),
                Order::Fail(owner) => self.tell(owner, Message::Fail),
                Order::Move(owner) => self.tell(owner, Message::Move),
                Order::Subscribe => self.tell(DISCOVERY, Message::Subscribe),
                Order::Timer { after, purpose } => {
                    self.deadlines.set(DECISIONS, purpose, Instant::now() + after);
                }
            }
        }
    }
}

/// The loop with all of its objects.
pub struct EventLoop {
    node: Node,
    objects: HashMap<Id, Box<dyn Connection>>,
}

impl EventLoop {
    /// Sets up the listener, discovery and signals.
    pub fn new(config: Config, log: Logger) -> io::Result<EventLoop> {
        // Before anything else is opened, which could get the number of a descriptor that is not there.
        let inherited =
            config.inherited.map(|fd| upgrade::inherited::listener(fd, config.listen)).transpose()?;
        let poller = Rc::new(Poller::new()?);
        let core = Core::new(&config, log.clone());
        let upgrade = Upgrade::new(&config);
        let node = Node {
            poller,
            deadlines: Deadlines::default(),
            core,
            config,
            log,
            clients: Rc::new(Cell::new(0)),
            strangers: line_front::Strangers::default(),
            began: Instant::now(),
            leaving: None,
            upgrade,
            hand_over: false,
            outbox: VecDeque::new(),
            born: Vec::new(),
            next: UPGRADE,
        };
        let mut this = EventLoop { node, objects: HashMap::new() };
        let signals = crate::signals::Signals::new(&this.node)?;
        this.objects.insert(SIGNALS, Box::new(signals));
        this.objects.insert(DISCOVERY, Box::new(discovery::Discovery::new(&this.node.config)));
        let listener = line_front::Listener::new(&this.node, inherited)?;
        this.objects.insert(LISTENER, Box::new(listener));
        this.objects.insert(UPGRADE, Box::new(upgrade::Watch));
        upgrade::begin(&mut this.node);
        if let Some(address) = this.node.config.management {
            let management = management::Management::new(&this.node, address)?;
            this.objects.insert(MANAGEMENT, Box::new(management));
        }
        Ok(this)
    }

    /// Runs until the node has been told to end and all its clients have left.
    pub fn run(&mut self) -> io::Result<()> {
        info!(self.node.log, "serving"; "listen" => %self.node.config.listen, "name" => %self.node.config.name);
        self.node.core.start();
        self.node.tell(DISCOVERY, Message::Begin);
        self.node.deadlines.set(DECISIONS, LOOK_PURPOSE, Instant::now() + LOOK);
        let mut events = Events::new();
        loop {
            self.settle();
            if let Some(until) = self.node.leaving {
                if crate::signals::may_exit(&self.node, until) {
                    info!(self.node.log, "ended"; "clients" => self.node.clients.get());
                    return Ok(());
                }
            }
            let now = Instant::now();
            let wait = self.node.deadlines.next().map(|at| at.saturating_duration_since(now));
            events.clear();
            match self.node.poller.wait(&mut events, wait) {
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => return Err(error),
            }
            let of_staff = |event: &polling::Event| {
                let id = event.key as u64 / 2;
                id == MANAGEMENT || id >= CALLS
            };
            let first = events.iter().filter(of_staff);
            for event in first.chain(events.iter().filter(|event| !of_staff(event))) {
                let (id, side) = (event.key as u64 / 2, event.key % 2);
                self.call(id, |object, node| object.ready(node, side, event.readable, event.writable));
                self.settle();
            }
            let now = Instant::now();
            while let Some((owner, purpose)) = self.node.deadlines.due(now) {
                match (owner, purpose) {
                    (DECISIONS, LOOK_PURPOSE) => {
                        self.node.deadlines.set(DECISIONS, LOOK_PURPOSE, now + LOOK);
                        self.node.core.look();
                    }
                    (DECISIONS, purpose) => self.node.core.timer(purpose),
                    _ => self.call(owner, |object, node| object.due(node, purpose)),
                }
                self.settle();
            }
        }
    }

    /// Delivers what was said and carries out what was decided, until nothing is left of either.
    fn settle(&mut self) {
        loop {
            self.node.carry_out();
            self.objects.extend(self.node.born.drain(..));
            if std::mem::take(&mut self.node.hand_over) {
                let ids = self.objects.keys().copied().filter(|id| (UPGRADE + 1..CALLS).contains(id));
                let mut ids: Vec<Id> = ids.collect();
                ids.sort_unstable();
                self.node.upgrade.enqueue(ids);
            }
            let Some((id, message)) = self.node.outbox.pop_front() else { break };
            if !self.objects.contains_key(&id) {
                // A socket handed to an object that has ended meanwhile is closed with the message.
                if let Message::Up(up) = message {
                    warn!(self.node.log, "came up for nobody"; "request" => format!("{:016x}", up.request.0));
                }
                continue;
            }
            self.call(id, |object, node| object.told(node, message));
        }
    }

    fn call(&mut self, id: Id, with: impl FnOnce(&mut Box<dyn Connection>, &mut Node) -> Flow) {
        let Some(object) = self.objects.get_mut(&id) else { return };
        if with(object, &mut self.node) == Flow::Done {
            self.objects.remove(&id);
            self.node.deadlines.forget(id);
        }
    }
}
