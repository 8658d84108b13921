//! The node's part in its fleet, carried between `talk/` and `core`: sockets and deadlines here, decisions in the council.
//! Nothing on a request's path waits for any of it.

pub mod agent;
pub mod config;
mod storage;

use crate::state::{Message, Node, NodeState, DISK, FLEET};
use agent::Carry;
use lupincrank_budgets::demand::BudgetUsage;
use lupincrank_cluster::connection::{ClusterConnection, ConnectionError};
use lupincrank_cluster::membership::MAX_DATAGRAM_BYTES;
use lupincrank_control::council::TICK_INTERVAL;
use lupincrank_control::durable::DurableState;
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::{poller_key, Interest, Readiness};
use lupincrank_reactor::{ComponentId, Connection, Lifecycle};
use slog::{debug, info, warn};
use std::io;
use std::net::{TcpListener, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};
use storage::{Disk, Fault as DiskFault};

/// Deadlines: for the council, for membership, and for trying to take the address.
const COUNCIL: u64 = 0;
const MEMBERS: u64 = 1;
const BIND: u64 = 2;
/// The sides of this object.
const DATAGRAMS: usize = 0;
const LISTENER: usize = 1;
/// Datagrams and links taken in one turn of the loop.
const MOST_DATAGRAMS: usize = 64;
const MOST_ACCEPTS: usize = 8;
/// How long the address is tried again after it was not free.
const REBIND: Duration = Duration::from_millis(250);

/// Begins, where the operator's file says so; an error is for a person to look at.
pub fn begin(node: &mut Node) -> Result<(), String> {
    let Some(setup) = &node.config.fleet else {
        return Ok(());
    };
    if setup.divides {
        // Nothing is this process's before it has its place: another process of this node may still use all of it.
        node.core.slice(0, 0, 0.0, None);
    }
    node.register(FLEET, Box::new(Watch));
    if let Some(why) = take_place(node)? {
        warn!(node.log, "this node's place in the fleet is not to be had yet"; "why" => why);
    }
    Ok(())
}

/// Takes address and folder, or says why they are not to be had yet: a process that takes another one's place waits for
/// its end.
fn take_place(node: &mut Node) -> Result<Option<String>, String> {
    let Some(setup) = node.config.fleet.clone() else {
        return Ok(None);
    };
    let listen = setup.listen;
    let take = || -> io::Result<(Registered<UdpSocket>, Registered<TcpListener>)> {
        let listener = poll::listen(listen)?;
        let udp = UdpSocket::bind(listen)?;
        udp.set_nonblocking(true)?;
        Ok((
            Registered::new(
                &node.poller,
                udp,
                poller_key(FLEET, 0) + DATAGRAMS,
                Interest::READ,
            )?,
            Registered::new(
                &node.poller,
                listener,
                poller_key(FLEET, 0) + LISTENER,
                Interest::READ,
            )?,
        ))
    };
    let again = |node: &mut Node, why: String| {
        node.deadlines.set(FLEET, BIND, Instant::now() + REBIND);
        Ok(Some(why))
    };
    let sockets = match take() {
        Ok(sockets) => sockets,
        Err(error) => return again(node, format!("{listen}: {error}")),
    };
    let drawn = rand::random::<u64>().max(1);
    let settings = node
        .config
        .raw
        .get("settings")
        .map(ToString::to_string)
        .unwrap_or_default();
    let settings = crc32fast::hash(settings.as_bytes());
    let (now, name, log) = (node.core.now(), node.config.name.clone(), node.log.clone());
    let new = |id: u64, kept: Option<&DurableState>| {
        Carry::new(setup.clone(), &name, id, kept, settings, now, log.clone())
    };
    let mut carry = match &setup.file {
        None => new(drawn, None)?,
        Some(path) => match resume(path, &format!("{}/{name}", setup.name), drawn, new) {
            Ok((carry, database)) => {
                let mut carry = carry;
                let named = |error: io::Error| format!("{}: {error}", path.display());
                let disk = Disk::begin(database).map_err(named)?;
                let wakes = disk.wakes().map_err(named)?;
                let wakes =
                    Registered::new(&node.poller, wakes, poller_key(DISK, 0), Interest::READ)
                        .map_err(named)?;
                carry.keep_on(disk, wakes);
                node.register(DISK, Box::new(Written));
                carry
            }
            Err(DiskFault::Busy) => {
                return again(
                    node,
                    format!("{}: another process holds it", path.display()),
                )
            }
            Err(DiskFault::Wrong(why)) => return Err(why),
            Err(DiskFault::Damaged(why)) => {
                warn!(node.log, "the council's file is damaged: put aside, another identity begins";
                    "file" => %path.display(), "why" => why);
                drop(sockets);
                storage::put_aside(path).map_err(|error| format!("{}: {error}", path.display()))?;
                return take_place(node);
            }
        },
    };
    carry.sockets = Some(sockets);
    info!(node.log, "fleet"; "name" => &setup.name, "id" => format!("{:016x}", carry.membership.local_identity().incarnation),
        "listen" => %listen);
    node.fleet = Some(Box::new(carry));
    node.deadlines.set(FLEET, COUNCIL, Instant::now());
    node.deadlines.set(FLEET, MEMBERS, Instant::now());
    with(node, |_, _| ());
    Ok(None)
}

/// Goes on with the identity that the file holds.
fn resume(
    path: &Path,
    owner: &str,
    drawn: u64,
    new: impl Fn(u64, Option<&DurableState>) -> Result<Carry, String>,
) -> Result<(Carry, redb::Database), DiskFault> {
    let (database, kept) = storage::open(path, owner, drawn)?;
    let carry = new(kept.member_id, Some(&kept)).map_err(DiskFault::Damaged)?;
    Ok((carry, database))
}

/// Does something with the fleet, then carries out what came of it.
fn with(node: &mut Node, work: impl FnOnce(&mut Carry, &mut Node)) {
    let Some(mut carry) = node.fleet.take() else {
        return;
    };
    work(&mut carry, node);
    carry.members();
    let now = node.core.now();
    for (id, why) in carry.council(now) {
        carry.ended(id, &why);
        node.send(id, Message::Close);
    }
    for id in std::mem::take(&mut carry.dropped) {
        node.send(id, Message::Close);
    }
    if carry.setup.divides {
        let (sends, until) = carry.council.lease_limit(now);
        let part = carry.council.fleet_share(now).unwrap_or(0.0);
        node.core
            .slice(sends, carry.council.lease_floor(now), part, until);
    }
    if carry.sockets.is_some() {
        let next = carry.next();
        node.deadlines.set(FLEET, MEMBERS, next);
    }
    node.fleet = Some(carry);
}

fn dial(carry: &mut Carry, node: &mut Node) {
    for (to, at) in carry.dials() {
        let id = node.allocate_id();
        let begun = ClusterConnection::connect(&node.poller, at, poller_key(id, 0))
            .map_err(|error| error.to_string());
        match begun.and_then(|link| carry.begin(id, link, Some(to))) {
            Ok(()) => node.register(id, Box::new(End { id })),
            Err(why) => carry.complain("a link could not begin", &why),
        }
    }
}

/// This node ends in good order.
pub fn leave(node: &mut Node) {
    with(node, |carry, node| carry.leave(node.core.now()));
}

/// What a person asked for; `None` without a fleet.
pub fn told(node: &mut Node, what: &str) -> Option<Result<String, String>> {
    if node.fleet.is_none() && node.config.fleet.is_some() {
        return Some(Err(
            "this process waits for its place in the fleet, which another one holds".into(),
        ));
    }
    let now = node.core.now();
    let mut answer = None;
    with(node, |carry, _| {
        answer = Some(match what {
            "status" => Ok(carry.status(now)),
            "members" => Ok(carry.listed()),
            "log" => Ok(carry.told()),
            "reseed" => carry
                .council
                .recover_quorum(now, rand::random())
                .map(|stamp| format!("{{\"epoch\":{}}}", stamp.epoch)),
            other => Err(format!(
                "no call fleet {other:?}; there are status, members, log and reseed"
            )),
        });
    });
    answer
}

/// The largest capacity, as in the operator's file.
const MOST_CAPACITY: u32 = 1_000_000;

/// What a person asked for of the budgets: `show`, or `plan` and `set` with `NAME=CAPACITY`.
pub fn budgets(node: &mut Node, what: &str, change: Option<&str>) -> Result<String, String> {
    let now = node.core.now();
    let Some(carry) = node.fleet.as_mut().filter(|carry| carry.setup.divides) else {
        return Err(
            "this node divides no budget with a fleet, or waits for its place there".into(),
        );
    };
    let read = |change: Option<&str>| {
        let change = change.ok_or("it needs NAME=CAPACITY, as in cold=60")?;
        let (name, capacity) = change
            .split_once('=')
            .ok_or_else(|| format!("{change:?} is not NAME=CAPACITY"))?;
        if name != "cold" {
            return Err(format!("no budget {name:?}; there is cold"));
        }
        let capacity = capacity
            .parse()
            .ok()
            .filter(|capacity| (1..=MOST_CAPACITY).contains(capacity));
        let capacity =
            capacity.ok_or_else(|| format!("{change:?}: 1 to {MOST_CAPACITY} are a capacity"))?;
        let aside = carry.setup.aside;
        let handed = capacity.checked_sub(aside);
        handed.ok_or_else(|| format!("{change:?}: {aside} are set aside as floors"))
    };
    let told = match (what, change) {
        ("show", None) => Ok(carry.budgets(now)),
        ("plan", change) => {
            let capacity = read(change)?;
            carry
                .council
                .preview_capacity(now, capacity)
                .map(|plan| serde_json::json!({ "handed_out": capacity, "slices": plan }))
        }
        ("set", change) => {
            let capacity = read(change)?;
            let epoch = carry.council.set_capacity(now, capacity);
            epoch.map(|epoch| serde_json::json!({ "handed_out": capacity, "after_epoch": epoch }))
        }
        _ => Err("there are show, plan NAME=CAPACITY and set NAME=CAPACITY".to_string()),
    };
    with(node, |_, _| ());
    told.map(|told| told.to_string())
}

/// The fleet's sockets and deadlines.
struct Watch;

impl Watch {
    fn datagrams(node: &mut Node) {
        with(node, |carry, _| {
            let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
            for _ in 0..MOST_DATAGRAMS {
                let Some((udp, _)) = &carry.sockets else {
                    return;
                };
                match udp.recv_from(&mut bytes) {
                    Ok((length, _)) => carry.membership.on_datagram(carry.age(), &bytes[..length]),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                    // An answer of the network to a datagram before: it says nothing of the next one.
                    Err(_) => {}
                }
            }
        });
    }

    fn links(node: &mut Node) {
        with(node, |carry, node| {
            for _ in 0..MOST_ACCEPTS {
                let Some((_, listener)) = &carry.sockets else {
                    return;
                };
                let Ok((stream, _)) = listener.accept() else {
                    return;
                };
                if !carry.has_room() {
                    carry.complain("a link was not taken", "there are too many");
                    continue;
                }
                let id = node.allocate_id();
                let link = ClusterConnection::accept(&node.poller, stream, poller_key(id, 0));
                match link
                    .map_err(|error| error.to_string())
                    .and_then(|link| carry.begin(id, link, None))
                {
                    Ok(()) => node.register(id, Box::new(End { id })),
                    Err(why) => carry.complain("a link could not begin", &why),
                }
            }
        });
    }
}

impl Connection<NodeState> for Watch {
    fn on_ready(&mut self, node: &mut Node, socket: usize, _readiness: Readiness) -> Lifecycle {
        if socket == DATAGRAMS {
            Watch::datagrams(node);
        } else {
            Watch::links(node);
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, node: &mut Node, kind: u64) -> Lifecycle {
        match kind {
            BIND => {
                // A person has to look if it is another reason than the process before this one.
                if let Ok(Some(why)) | Err(why) = take_place(node) {
                    debug!(node.log, "this node's place in the fleet is not to be had"; "why" => why);
                    node.deadlines.set(FLEET, BIND, Instant::now() + REBIND);
                }
            }
            MEMBERS => with(node, |carry, _| {
                let age = carry.age();
                carry.membership.on_deadline(age);
            }),
            _ => {
                let mut out = false;
                with(node, |carry, node| {
                    if carry.leaves_now() {
                        return out = true;
                    }
                    for (id, why) in carry.keep() {
                        carry.ended(id, &why);
                        node.send(id, Message::Close);
                    }
                    let (most, turned_away) = node.core.cold_used();
                    carry.council.record_usage(BudgetUsage {
                        peak: most,
                        was_limited: turned_away,
                    });
                    let (now, alive) = (node.core.now(), carry.alive());
                    carry.council.on_tick(now, &alive);
                    dial(carry, node);
                });
                if !out {
                    node.deadlines
                        .set(FLEET, COUNCIL, Instant::now() + TICK_INTERVAL);
                }
            }
        }
        Lifecycle::Continue
    }

    fn on_message(&mut self, _node: &mut Node, _message: Message) -> Lifecycle {
        Lifecycle::Continue
    }
}

/// What the disk tells.
struct Written;

impl Connection<NodeState> for Written {
    fn on_ready(&mut self, node: &mut Node, _socket: usize, _readiness: Readiness) -> Lifecycle {
        with(node, |carry, node| carry.disk(node.core.now()));
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, _node: &mut Node, _kind: u64) -> Lifecycle {
        Lifecycle::Continue
    }

    fn on_message(&mut self, _node: &mut Node, _message: Message) -> Lifecycle {
        Lifecycle::Continue
    }
}

/// One link's place in the loop; the link itself is with the fleet.
struct End {
    id: ComponentId,
}

impl Connection<NodeState> for End {
    fn on_ready(&mut self, node: &mut Node, _socket: usize, readiness: Readiness) -> Lifecycle {
        let (id, mut flow) = (self.id, Lifecycle::Continue);
        with(node, |carry, node| {
            let Some(end) = carry.links.get_mut(&id) else {
                return flow = Lifecycle::Close;
            };
            let now = node.core.now();
            let heard = end.link.on_ready(readiness.readable);
            let heard = heard.and_then(|messages| {
                carry
                    .heard(now, id, messages)
                    .map_err(ConnectionError::Protocol)
            });
            if let Err(fault) = heard {
                let why = match fault {
                    ConnectionError::Closed(why) => why,
                    ConnectionError::Protocol(why) => {
                        carry.complain("a link", &why);
                        why
                    }
                };
                carry.ended(id, &why);
                flow = Lifecycle::Close;
            }
        });
        flow
    }

    fn on_deadline(&mut self, _node: &mut Node, _kind: u64) -> Lifecycle {
        Lifecycle::Continue
    }

    fn on_message(&mut self, node: &mut Node, message: Message) -> Lifecycle {
        let gone = node
            .fleet
            .as_ref()
            .is_none_or(|carry| !carry.links.contains_key(&self.id));
        if gone || matches!(message, Message::Close) {
            Lifecycle::Close
        } else {
            Lifecycle::Continue
        }
    }
}
