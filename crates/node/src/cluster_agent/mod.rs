//! The node's part in its fleet, carried between `talk/` and `core`: sockets and deadlines here, decisions in the council.
//! Nothing on a request's path waits for any of it.

pub mod agent;
pub mod config;
mod storage;

use crate::command::{ClusterConnectionCommand, Message};
use crate::component::WellKnownComponent;
use crate::deadline::{ClusterAgentDeadline, DeadlineKind};
use crate::state::{NodeContext, NodeState};
use agent::Carry;
use lupincrank_budgets::demand::BudgetUsage;
use lupincrank_cluster::connection::{ClusterConnection, ConnectionError};
use lupincrank_cluster::membership::MAX_DATAGRAM_BYTES;
use lupincrank_control::durable::DurableState;
use lupincrank_control::TICK_INTERVAL;
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::{poller_key, Interest, Readiness};
use lupincrank_reactor::{ComponentId, Connection, Lifecycle};
use slog::{debug, info, warn};
use std::io;
use std::net::{TcpListener, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};
use storage::{Disk, Fault as DiskFault};

/// The sides of this object.
const DATAGRAMS: usize = 0;
const LISTENER: usize = 1;
/// Datagrams and links taken in one turn of the loop.
const MOST_DATAGRAMS: usize = 64;
const MOST_ACCEPTS: usize = 8;
/// How long the address is tried again after it was not free.
const REBIND: Duration = Duration::from_millis(250);

/// Begins, where the operator's file says so; an error is for a person to look at.
pub fn begin(context: &mut NodeContext) -> Result<(), String> {
    let Some(setup) = &context.config.fleet else {
        return Ok(());
    };
    if setup.divides {
        // Nothing is this process's before it has its place: another process of this node may still use all of it.
        context.placement.set_slow_start_lease(0, 0, 0.0, None);
    }
    context.register(WellKnownComponent::ClusterAgent.id(), Box::new(Watch));
    if let Some(why) = take_place(context)? {
        warn!(context.log, "this node's place in the fleet is not to be had yet"; "why" => why);
    }
    Ok(())
}

/// Takes address and folder, or says why they are not to be had yet: a process that takes another one's place waits for
/// its end.
fn take_place(context: &mut NodeContext) -> Result<Option<String>, String> {
    let Some(setup) = context.config.fleet.clone() else {
        return Ok(None);
    };
    let listen = setup.listen;
    let take = || -> io::Result<(Registered<UdpSocket>, Registered<TcpListener>)> {
        let listener = poll::listen(listen)?;
        let udp = UdpSocket::bind(listen)?;
        udp.set_nonblocking(true)?;
        Ok((
            Registered::new(
                &context.poller,
                udp,
                poller_key(WellKnownComponent::ClusterAgent.id(), 0) + DATAGRAMS,
                Interest::READ,
            )?,
            Registered::new(
                &context.poller,
                listener,
                poller_key(WellKnownComponent::ClusterAgent.id(), 0) + LISTENER,
                Interest::READ,
            )?,
        ))
    };
    let again = |context: &mut NodeContext, why: String| {
        context.deadlines.set(
            WellKnownComponent::ClusterAgent.id(),
            ClusterAgentDeadline::Bind.into(),
            Instant::now() + REBIND,
        );
        Ok(Some(why))
    };
    let sockets = match take() {
        Ok(sockets) => sockets,
        Err(error) => return again(context, format!("{listen}: {error}")),
    };
    let drawn = rand::random::<u64>().max(1);
    let settings = context
        .config
        .raw
        .get("settings")
        .map(ToString::to_string)
        .unwrap_or_default();
    let settings = crc32fast::hash(settings.as_bytes());
    let (now, name, log) = (
        context.placement.now(),
        context.config.name.clone(),
        context.log.clone(),
    );
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
                let wakes = Registered::new(
                    &context.poller,
                    wakes,
                    poller_key(WellKnownComponent::DurableStorage.id(), 0),
                    Interest::READ,
                )
                .map_err(named)?;
                carry.keep_on(disk, wakes);
                context.register(WellKnownComponent::DurableStorage.id(), Box::new(Written));
                carry
            }
            Err(DiskFault::Busy) => {
                return again(
                    context,
                    format!("{}: another process holds it", path.display()),
                )
            }
            Err(DiskFault::Wrong(why)) => return Err(why),
            Err(DiskFault::Damaged(why)) => {
                warn!(context.log, "the council's file is damaged: put aside, another identity begins";
                    "file" => %path.display(), "why" => why);
                drop(sockets);
                storage::put_aside(path).map_err(|error| format!("{}: {error}", path.display()))?;
                return take_place(context);
            }
        },
    };
    carry.sockets = Some(sockets);
    info!(context.log, "fleet"; "name" => &setup.name, "id" => format!("{:016x}", carry.membership.local_identity().incarnation),
        "listen" => %listen);
    context.cluster_agent = Some(Box::new(carry));
    context.deadlines.set(
        WellKnownComponent::ClusterAgent.id(),
        ClusterAgentDeadline::ControlTick.into(),
        Instant::now(),
    );
    context.deadlines.set(
        WellKnownComponent::ClusterAgent.id(),
        ClusterAgentDeadline::Membership.into(),
        Instant::now(),
    );
    with(context, |_, _| ());
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
fn with(context: &mut NodeContext, work: impl FnOnce(&mut Carry, &mut NodeContext)) {
    let Some(mut carry) = context.cluster_agent.take() else {
        return;
    };
    work(&mut carry, context);
    carry.members();
    let now = context.placement.now();
    for (id, why) in carry.council(now) {
        carry.ended(id, &why);
        context.send(id, ClusterConnectionCommand::Close);
    }
    for id in std::mem::take(&mut carry.dropped) {
        context.send(id, ClusterConnectionCommand::Close);
    }
    if carry.setup.divides {
        let usage = carry.council.lease_limit(now);
        let (sends, until) = (usage.limit, usage.expires_at);
        let part = carry.council.fleet_share(now).unwrap_or(0.0);
        context
            .placement
            .set_slow_start_lease(sends, carry.council.lease_floor(now), part, until);
    }
    if carry.sockets.is_some() {
        let next = carry.next();
        context.deadlines.set(
            WellKnownComponent::ClusterAgent.id(),
            ClusterAgentDeadline::Membership.into(),
            next,
        );
    }
    context.cluster_agent = Some(carry);
}

fn dial(carry: &mut Carry, context: &mut NodeContext) {
    for (to, at) in carry.dials() {
        let id = context.allocate_id();
        let begun = ClusterConnection::connect(&context.poller, at, poller_key(id, 0))
            .map_err(|error| error.to_string());
        match begun.and_then(|link| carry.begin(id, link, Some(to))) {
            Ok(()) => context.register(id, Box::new(End { id })),
            Err(why) => carry.complain("a link could not begin", &why),
        }
    }
}

/// This node ends in good order.
pub fn leave(context: &mut NodeContext) {
    with(context, |carry, context| {
        carry.leave(context.placement.now());
    });
}

/// What a person asked for; `None` without a fleet.
pub fn told(context: &mut NodeContext, what: &str) -> Option<Result<String, String>> {
    if context.cluster_agent.is_none() && context.config.fleet.is_some() {
        return Some(Err(
            "this process waits for its place in the fleet, which another one holds".into(),
        ));
    }
    let now = context.placement.now();
    let mut answer = None;
    with(context, |carry, _| {
        answer = Some(match what {
            "status" => Ok(carry.status(now)),
            "members" => Ok(carry.listed()),
            "log" => Ok(carry.told()),
            "reseed" => carry
                .council
                .recover_quorum(now, rand::random())
                .map(|stamp| format!("{{\"epoch\":{}}}", stamp.epoch))
                .map_err(|error| error.to_string()),
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
pub fn budgets(
    context: &mut NodeContext,
    what: &str,
    change: Option<&str>,
) -> Result<String, String> {
    let now = context.placement.now();
    let Some(carry) = context
        .cluster_agent
        .as_mut()
        .filter(|carry| carry.setup.divides)
    else {
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
                .map_err(|error| error.to_string())
        }
        ("set", change) => {
            let capacity = read(change)?;
            let epoch = carry.council.set_capacity(now, capacity);
            epoch
                .map(|epoch| serde_json::json!({ "handed_out": capacity, "after_epoch": epoch }))
                .map_err(|error| error.to_string())
        }
        _ => Err("there are show, plan NAME=CAPACITY and set NAME=CAPACITY".to_string()),
    };
    with(context, |_, _| ());
    told.map(|told| told.to_string())
}

/// The fleet's sockets and deadlines.
struct Watch;

impl Watch {
    fn datagrams(context: &mut NodeContext) {
        with(context, |carry, _| {
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

    fn links(context: &mut NodeContext) {
        with(context, |carry, context| {
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
                let id = context.allocate_id();
                let link = ClusterConnection::accept(&context.poller, stream, poller_key(id, 0));
                match link
                    .map_err(|error| error.to_string())
                    .and_then(|link| carry.begin(id, link, None))
                {
                    Ok(()) => context.register(id, Box::new(End { id })),
                    Err(why) => carry.complain("a link could not begin", &why),
                }
            }
        });
    }
}

impl Connection<NodeState> for Watch {
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        if socket == DATAGRAMS {
            Watch::datagrams(context);
        } else {
            Watch::links(context);
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut NodeContext, kind: DeadlineKind) -> Lifecycle {
        let DeadlineKind::ClusterAgent(kind) = kind else {
            return Lifecycle::Continue;
        };
        match kind {
            ClusterAgentDeadline::Bind => {
                // A person has to look if it is another reason than the process before this one.
                if let Ok(Some(why)) | Err(why) = take_place(context) {
                    debug!(context.log, "this node's place in the fleet is not to be had"; "why" => why);
                    context.deadlines.set(
                        WellKnownComponent::ClusterAgent.id(),
                        ClusterAgentDeadline::Bind.into(),
                        Instant::now() + REBIND,
                    );
                }
            }
            ClusterAgentDeadline::Membership => with(context, |carry, _| {
                let age = carry.age();
                carry.membership.on_deadline(age);
            }),
            ClusterAgentDeadline::ControlTick => {
                let mut out = false;
                with(context, |carry, context| {
                    if carry.leaves_now() {
                        return out = true;
                    }
                    for (id, why) in carry.keep() {
                        carry.ended(id, &why);
                        context.send(id, ClusterConnectionCommand::Close);
                    }
                    let usage = context.placement.take_slow_start_usage();
                    carry.council.record_usage(BudgetUsage {
                        peak: usage.max_attempts_in_window,
                        was_limited: usage.was_exhausted,
                    });
                    let (now, alive) = (context.placement.now(), carry.alive());
                    carry.council.on_tick(now, &alive);
                    dial(carry, context);
                });
                if !out {
                    context.deadlines.set(
                        WellKnownComponent::ClusterAgent.id(),
                        ClusterAgentDeadline::ControlTick.into(),
                        Instant::now() + TICK_INTERVAL,
                    );
                }
            }
        }
        Lifecycle::Continue
    }

    fn on_message(&mut self, _node: &mut NodeContext, _message: Message) -> Lifecycle {
        Lifecycle::Continue
    }
}

/// What the disk tells.
struct Written;

impl Connection<NodeState> for Written {
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        _socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        with(context, |carry, context| {
            carry.disk(context.placement.now());
        });
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, _node: &mut NodeContext, _kind: DeadlineKind) -> Lifecycle {
        Lifecycle::Continue
    }

    fn on_message(&mut self, _node: &mut NodeContext, _message: Message) -> Lifecycle {
        Lifecycle::Continue
    }
}

/// One link's place in the loop; the link itself is with the fleet.
struct End {
    id: ComponentId,
}

impl Connection<NodeState> for End {
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        _socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        let (id, mut flow) = (self.id, Lifecycle::Continue);
        with(context, |carry, context| {
            let Some(end) = carry.links.get_mut(&id) else {
                return flow = Lifecycle::Close;
            };
            let now = context.placement.now();
            let heard = match end.link.on_ready(readiness.readable) {
                Ok(messages) => carry.heard(now, id, messages),
                Err(ConnectionError::Closed(reason)) => {
                    carry.ended(id, &reason.to_string());
                    return flow = Lifecycle::Close;
                }
                Err(ConnectionError::Protocol(violation)) => Err(violation.to_string()),
            };
            if let Err(why) = heard {
                carry.complain("a link", &why);
                carry.ended(id, &why);
                flow = Lifecycle::Close;
            }
        });
        flow
    }

    fn on_deadline(&mut self, _node: &mut NodeContext, _kind: DeadlineKind) -> Lifecycle {
        Lifecycle::Continue
    }

    fn on_message(&mut self, context: &mut NodeContext, message: Message) -> Lifecycle {
        let gone = context
            .cluster_agent
            .as_ref()
            .is_none_or(|carry| !carry.links.contains_key(&self.id));
        if gone
            || matches!(
                message,
                Message::ClusterConnection(ClusterConnectionCommand::Close)
            )
        {
            Lifecycle::Close
        } else {
            Lifecycle::Continue
        }
    }
}
