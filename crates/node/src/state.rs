//! What the node keeps beside the objects of its loop, and what its parts say to each other.

use crate::client::UnidentifiedClients;
use crate::cluster_agent::agent::Carry;
use crate::config::Config;
use crate::core::{Core, Order, TryOrder};
use crate::handoff::message::Said;
use crate::handoff::peer_process::Upgrade;
use crate::upstream::health_check::{self, HealthChecks};
use lupincrank_placement::{RequestId, ServerId};
use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::{Application, ComponentId, Context, APPLICATION};
use slog::{info, warn, Logger};
use std::cell::Cell;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often standing connections are looked through for lines that nothing came back for.
pub const LOOK: Duration = Duration::from_millis(250);
/// The deadline of that; all others of the world's own are the decisions' timers.
pub const LOOK_PURPOSE: u64 = 0;
/// Discovery's connection and the listener have fixed names.
pub const DISCOVERY: ComponentId = 1;
/// See `DISCOVERY`.
pub const LISTENER: ComponentId = 2;
/// The object that watches for signals.
pub const SIGNALS: ComponentId = 3;
/// The listener for calls of the staff.
pub const MANAGEMENT: ComponentId = 4;
/// The link to another process of this node.
pub use crate::handoff::peer_process::UPGRADE;
/// What this node has to do with its fleet.
pub const FLEET: ComponentId = 6;
/// What tells that something of the council is on the disk.
pub const DISK: ComponentId = 7;
/// Objects that come and go have names after this one.
pub const RESERVED: ComponentId = DISK;
/// Calls of the staff have names from here on: their sockets are looked at before all others.
pub const CALLS: ComponentId = 1 << 60;
/// New connections keep arriving for up to 0.4 s after SIGTERM: the listener stays at least this long.
const STAYS: Duration = Duration::from_millis(800);

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
    /// The try of this name has its connection: its line may go out, if its client still waits.
    Connected(ComponentId),
    /// Send the first line.
    Send,
    /// Probe the transcriber again.
    Probe,
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
    /// This process ends now: what still waits gets its answer.
    Ending,
    /// Go over to the process that takes this one's place; then whether that happened.
    HandOver,
    /// See `HandOver`: the sockets are the other's now.
    Handed,
    /// See `HandOver`: nothing has changed.
    Kept,
}

/// A try that is up, handed to the object that owns the client.
pub struct Up {
    /// Whose.
    pub request: RequestId,
    /// The connection.
    pub stream: Registered<TcpStream>,
    /// What has come back on it so far: the UP line and perhaps more.
    pub bytes: Vec<u8>,
}

/// What callbacks may use.
pub type Node = Context<NodeState>;

/// What the node keeps.
pub struct NodeState {
    /// The decisions and the request contexts.
    pub core: Core,
    /// What the node was told at its start.
    pub config: Config,
    /// Where log lines go.
    pub log: Logger,
    /// Clients held with their request; each may need a second descriptor for its peer.
    pub clients: Rc<Cell<usize>>,
    /// The other connections held.
    pub strangers: UnidentifiedClients,
    /// When the node began.
    pub began: Instant,
    /// Set at SIGTERM: since when it goes on, and when all must be done.
    pub leaving: Option<(Instant, Instant)>,
    /// The other process of this node, if there is one.
    pub upgrade: Upgrade,
    /// The connections for probes.
    pub probes: HealthChecks,
    /// The fleet that this node is one of, where the operator's file says so.
    pub fleet: Option<Box<Carry>>,
    /// Set for a moment when all connections are to be handed over.
    pub hand_over: bool,
    /// Set for a moment when what still waits has to get its answer.
    pub ending: bool,
}

impl NodeState {
    /// As the node begins.
    pub fn new(config: Config, log: Logger) -> NodeState {
        NodeState {
            core: Core::new(&config, log.clone()),
            upgrade: Upgrade::new(config.listen, config.inherited),
            config,
            log,
            clients: Rc::default(),
            strangers: UnidentifiedClients::default(),
            began: Instant::now(),
            leaving: None,
            probes: HealthChecks::default(),
            fleet: None,
            hand_over: false,
            ending: false,
        }
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
}

impl Application for NodeState {
    type DeadlineKind = u64;
    type Message = Message;

    fn after_callback(node: &mut Node, objects: &mut dyn Iterator<Item = ComponentId>) {
        while let Some(order) = node.core.orders.pop_front() {
            match order {
                Order::Try(owner, order) => node.send(owner, Message::Try(order)),
                Order::Refuse(owner, after) => node.send(owner, Message::Refuse(after)),
                Order::Fail(owner) => node.send(owner, Message::Fail),
                Order::Move(owner) => node.send(owner, Message::Move),
                Order::Probe(server, dial) => health_check::check(node, server, dial),
                Order::Subscribe => node.send(DISCOVERY, Message::Subscribe),
                Order::Timer { after, purpose } => {
                    node.deadlines
                        .set(APPLICATION, purpose, Instant::now() + after);
                }
            }
        }
        if node.hand_over || node.ending {
            let mut ids: Vec<ComponentId> = objects
                .filter(|id| (RESERVED + 1..CALLS).contains(id))
                .collect();
            ids.sort_unstable();
            if std::mem::take(&mut node.ending) {
                ids.iter().for_each(|id| node.send(*id, Message::Ending));
            }
            if std::mem::take(&mut node.hand_over) {
                node.upgrade.enqueue(ids);
            }
        }
    }

    fn on_deadline(node: &mut Node, kind: u64) {
        if kind == LOOK_PURPOSE {
            node.deadlines
                .set(APPLICATION, LOOK_PURPOSE, Instant::now() + LOOK);
            node.core.look();
        } else {
            node.core.timer(kind);
        }
    }

    fn is_finished(&self) -> bool {
        let Some((since, until)) = self.leaving else {
            return false;
        };
        let now = Instant::now();
        // With a successor the listener is not this process's any more.
        let stayed = self.upgrade.handing() || now >= since + STAYS;
        // The others of the fleet may need its vote to go on without it.
        let left = self.fleet.as_ref().is_none_or(|fleet| fleet.is_out());
        let empty = self.clients.get() == 0 && self.strangers.is_empty() && self.upgrade.idle();
        let over = now >= until || (stayed && empty && left);
        if over {
            info!(self.log, "ended"; "clients" => self.clients.get());
        }
        over
    }

    fn on_undelivered(&mut self, _id: ComponentId, message: Message) {
        // A socket handed to an object that has ended meanwhile is closed with the message.
        if let Message::Up(up) = message {
            warn!(self.log, "came up for nobody"; "request" => format!("{:016x}", up.request.0));
        }
    }

    fn has_priority(&self, id: ComponentId) -> bool {
        id == MANAGEMENT || id >= CALLS
    }
}
