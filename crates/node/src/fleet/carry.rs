//! What a node holds of its fleet: membership, links and the council, and what they want carried out.

use super::disk::Disk;
use super::setup::Setup;
use lupincrank_cluster::link::{Hello, Link, Message, Subject};
use lupincrank_cluster::membership::{Identity, Membership, Out};
use lupincrank_control::council::{Council, Tuning};
use lupincrank_control::durable::{Durable, Write};
use lupincrank_control::lease::Terms;
use lupincrank_control::member::Member;
use lupincrank_control::message::{Action, CouncilMessage, Note};
use lupincrank_placement::Timestamp;
use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::ComponentId;
use serde::Serialize;
use slog::{debug, info, warn, Logger};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A node this young founds no council; a member that has been dead for this long is taken out.
const SETTLE: Duration = Duration::from_millis(1500);
const BURY: Duration = Duration::from_secs(2);
/// Dialling again after a failure: from this, doubled each time, to that, spread by the node.
const AGAIN: Duration = Duration::from_millis(200);
const LONGEST_AGAIN: Duration = Duration::from_secs(4);
/// Links beyond two for each expected node, and these for strangers, are not taken.
const SPARE_LINKS: usize = 16;
/// A link that this node dialled and needs no more is ended after this.
const IDLE: Duration = Duration::from_secs(5);
/// What others sent wrongly is logged so often at the most.
const QUIET: Duration = Duration::from_secs(5);

/// A node that ends is waited for by the others, and waits for them, so long at the most.
const LEAVES: Duration = Duration::from_secs(3);

/// An incarnation that was replaced is told so this often.
const WARN_AGAIN: Duration = Duration::from_secs(1);

/// One link, and whom it was dialled for.
pub struct End {
    pub link: Link,
    pub to: Option<u64>,
    wanted: Instant,
    warned: Option<Instant>,
}

/// See the module.
pub struct Carry {
    pub setup: Setup,
    pub council: Council,
    pub membership: Membership,
    /// Given up when this node has left.
    pub sockets: Option<(Registered<UdpSocket>, Registered<TcpListener>)>,
    /// Where log and vote are kept, if a folder is configured, and what tells that something is written.
    disk: Option<(Disk, Registered<UnixStream>)>,
    /// Another process has this node's name.
    replaced: bool,
    /// Since when this node ends.
    leaves: Option<Instant>,
    pub links: BTreeMap<ComponentId, End>,
    tries: BTreeMap<u64, (Instant, u32)>,
    addresses: BTreeMap<u64, (String, SocketAddr)>,
    tag: u32,
    began: Instant,
    spread: f64,
    log: Logger,
    quiet: Option<Instant>,
    /// Messages on links that changed nothing.
    strange: u64,
    /// Links that gave way to another one between the same incarnations; their objects are to be told.
    pub dropped: Vec<ComponentId>,
    /// Bytes and messages sent, for the cost of it.
    pub sent: (u64, u64),
}

/// What `fleet status` tells.
#[derive(Serialize)]
struct Status<'a> {
    fleet: &'a str,
    council: lupincrank_control::status::Status,
    alive: usize,
    links: usize,
    datagrams_refused: lupincrank_cluster::membership::Refused,
    messages_refused: u64,
    sent_bytes: u64,
    sent_messages: u64,
}

fn member(identity: &Identity) -> Member {
    let Identity {
        id,
        name,
        zone,
        region,
        build,
        ..
    } = identity.clone();
    Member {
        id,
        name,
        zone,
        region,
        build,
    }
}

impl Carry {
    /// As a process begins. `id` is drawn for this life, or is that of the life that it goes on with: then `kept` is what
    /// that one left, and an error says that it contradicts itself.
    pub fn new(
        setup: Setup,
        name: &str,
        id: u64,
        kept: Option<&Durable>,
        settings: u32,
        now: Timestamp,
        log: Logger,
    ) -> Result<Carry, String> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let me = Identity {
            name: name.to_string(),
            id,
            born_ms: u64::try_from(born.as_millis()).unwrap_or(u64::MAX),
            bump: 0,
            at: setup.listen,
            zone: setup.zone.clone(),
            region: setup.region.clone(),
            build: env!("CARGO_PKG_VERSION").to_string(),
            settings,
        };
        let tuning = Tuning {
            terms: Terms::default(),
            expect: setup.nodes.clone(),
            capacity: setup.capacity,
            floor: setup.floor,
            settle: SETTLE,
            removal_after: BURY,
        };
        let tag = lupincrank_cluster::tag(&setup.name);
        let council = Council::new(now, member(&me), tuning, kept)?;
        let membership = Membership::new(me, tag, setup.nodes.len(), id, setup.seeds.clone());
        Ok(Carry {
            council,
            membership,
            sockets: None,
            disk: None,
            replaced: false,
            leaves: None,
            links: BTreeMap::new(),
            tries: BTreeMap::new(),
            addresses: BTreeMap::new(),
            tag,
            began: Instant::now(),
            spread: 0.75 + f64::from(id as u8) / 512.0,
            log,
            quiet: None,
            strange: 0,
            dropped: Vec::new(),
            sent: (0, 0),
            setup,
        })
    }

    /// From now on what has to survive goes there.
    pub fn keep_on(&mut self, disk: Disk, wakes: Registered<UnixStream>) {
        self.disk = Some((disk, wakes));
    }

    /// The disk has something to say.
    pub fn disk(&mut self, now: Timestamp) {
        let Some((disk, _)) = &mut self.disk else {
            return;
        };
        match disk.done() {
            Ok(Some(number)) => self.council.written(now, number),
            Ok(None) => {}
            Err(why) => self.lost_disk(now, &why),
        }
    }

    fn write(&mut self, now: Timestamp, write: Write) {
        let Some((disk, _)) = &self.disk else { return };
        if let Err(why) = disk.write(write) {
            self.lost_disk(now, &why);
        }
    }

    /// What was said before is on the disk; nothing more is said by this process.
    fn lost_disk(&mut self, now: Timestamp, why: &str) {
        warn!(self.log, "the council's folder is lost"; "why" => why.to_string());
        self.disk = None;
        self.council.lost_disk(now);
    }

    /// This node ends: it gives back what it holds, and stays for a while for those that need its vote.
    pub fn leave(&mut self, now: Timestamp) {
        self.leaves.get_or_insert_with(Instant::now);
        self.council.leave(now);
    }

    /// Whether it has left, or never was there.
    pub fn is_out(&self) -> bool {
        self.sockets.is_none()
    }

    /// Leaves, once nobody waits for it or it has waited for long enough; true from then on.
    pub fn leaves_now(&mut self) -> bool {
        let Some(since) = self.leaves else {
            return false;
        };
        if !self.is_out() && (self.council.may_end() || since.elapsed() >= LEAVES) {
            let waited = since.elapsed().as_millis() as u64;
            info!(self.log, "left the fleet"; "let_go" => self.council.may_end(), "after_ms" => waited);
            self.membership.leave(self.age());
            self.members();
            self.dropped
                .extend(std::mem::take(&mut self.links).into_keys());
            (self.sockets, self.disk) = (None, None);
        }
        self.is_out()
    }

    /// Membership's clock.
    pub fn age(&self) -> Duration {
        self.began.elapsed()
    }

    /// When membership has something to do next.
    pub fn next(&self) -> Instant {
        self.began + self.membership.next()
    }

    /// What this side says first.
    pub fn hello(&self) -> Message {
        let me = self.membership.me();
        let (name, build) = (me.name.clone(), me.build.clone());
        Message::Hello(Hello {
            fleet: self.tag,
            name,
            id: me.id,
            born_ms: me.born_ms,
            build,
        })
    }

    /// Whether one more link is taken.
    pub fn has_room(&self) -> bool {
        self.links.len() < 2 * self.setup.nodes.len() + SPARE_LINKS
    }

    /// A link begins.
    pub fn begin(
        &mut self,
        id: ComponentId,
        mut link: Link,
        to: Option<u64>,
    ) -> Result<(), String> {
        link.say(&self.hello())?;
        self.links.insert(
            id,
            End {
                link,
                to,
                wanted: Instant::now(),
                warned: None,
            },
        );
        Ok(())
    }

    /// Something else came than should have: told now and then.
    pub fn complain(&mut self, what: &str, why: &str) {
        self.strange += 1;
        if self.quiet.is_none_or(|at| at.elapsed() >= QUIET) {
            self.quiet = Some(Instant::now());
            warn!(self.log, "not heard"; "what" => what.to_string(), "why" => why.to_string(), "so far" => self.strange);
        }
    }

    /// A link ends; it is dialled again later, if it is still needed.
    pub fn ended(&mut self, id: ComponentId, why: &str) {
        let Some(end) = self.links.remove(&id) else {
            return;
        };
        let peer = end.link.peer.as_ref().map(|peer| peer.name.clone());
        debug!(self.log, "link ended"; "peer" => peer, "dialled" => end.link.dialled, "why" => why.to_string());
        if let Some(to) = end.to {
            let tries = self.tries.get(&to).map_or(0, |(_, tries)| *tries);
            let pause = AGAIN
                .saturating_mul(1 << tries.min(6))
                .min(LONGEST_AGAIN)
                .mul_f64(self.spread);
            self.tries.insert(to, (Instant::now() + pause, tries + 1));
        }
    }

    /// The messages of one link; an error ends it.
    pub fn heard(
        &mut self,
        now: Timestamp,
        id: ComponentId,
        messages: Vec<Message>,
    ) -> Result<(), String> {
        for message in messages {
            let peer = self
                .links
                .get(&id)
                .ok_or("it is gone")?
                .link
                .peer
                .as_ref()
                .map(|peer| peer.id);
            match (message, peer) {
                (Message::Hello(hello), None) => self.met(id, hello)?,
                (Message::Ping, Some(_)) => {}
                (Message::Replaced, Some(_)) => self.was_replaced(),
                (Message::Of(Subject::Council, bytes), Some(peer)) => {
                    match postcard::from_bytes::<CouncilMessage>(&bytes) {
                        Ok(said) => self.council.take(now, peer, said),
                        Err(error) => {
                            return Err(format!("a message of the council can't be read: {error}"))
                        }
                    }
                }
                (Message::Hello(_), Some(_)) => return Err("it says hello twice".into()),
                (_, None) => return Err("it does not say hello first".into()),
            }
        }
        Ok(())
    }

    /// The other side has said who it is. Of two links between the same incarnations the one stays that the greater id dialled.
    fn met(&mut self, id: ComponentId, hello: Hello) -> Result<(), String> {
        if hello.fleet != self.tag {
            return Err("it belongs to another fleet".into());
        }
        let me = self.membership.me().id;
        let Some(end) = self.links.get(&id) else {
            return Ok(());
        };
        if hello.id == me || end.to.is_some_and(|to| to != hello.id) {
            return Err("it is another life than the one that was looked for".into());
        }
        let mine = end.link.dialled;
        let other = self.links.iter().find(|(at, end)| {
            **at != id
                && end
                    .link
                    .peer
                    .as_ref()
                    .is_some_and(|peer| peer.id == hello.id)
        });
        if let Some((at, end)) = other.map(|(at, end)| (*at, end.link.dialled)) {
            let by_greater = |dialled_here: bool| dialled_here == (me > hello.id);
            if by_greater(end) && !by_greater(mine) {
                return Err("there is one already".into());
            }
            self.links.remove(&at);
            self.dropped.push(at);
        }
        self.tries.remove(&hello.id);
        if let Some(end) = self.links.get_mut(&id) {
            end.link.peer = Some(hello);
        }
        Ok(())
    }

    /// Another process has this node's name and began later. The floor is one name's: two of them would count twice.
    fn was_replaced(&mut self) {
        if !std::mem::replace(&mut self.replaced, true) {
            self.membership.give_way();
            warn!(
                self.log,
                "another process of this name began later: out of the fleet until the next start"
            );
        }
    }

    /// Whether membership knows a later incarnation of that name. Guards against a leader that was replaced: it is not asked by
    /// datagrams any more, so nothing else would tell it, and its links would keep it in the lead.
    fn is_replaced(&self, hello: &Hello) -> bool {
        let later = |alive: &Identity| {
            alive.name == hello.name && (alive.born_ms, alive.id) > (hello.born_ms, hello.id)
        };
        self.membership.alive().any(later)
    }

    /// What membership wants carried out: datagrams out, and news.
    pub fn members(&mut self) {
        while let Some(out) = self.membership.out() {
            match out {
                Out::Datagram(at, bytes) => {
                    let Some((udp, _)) = &self.sockets else {
                        continue;
                    };
                    let at = self.setup.via.get(&at).copied().unwrap_or(at);
                    self.sent = (self.sent.0 + bytes.len() as u64, self.sent.1 + 1);
                    // A datagram may get lost anyway.
                    let _ = udp.send_to(&bytes, at);
                }
                Out::Up(who) => {
                    self.tries.remove(&who.id);
                    if self
                        .addresses
                        .insert(who.id, (who.name.clone(), who.at))
                        .is_none()
                    {
                        info!(self.log, "member up"; "member" => &who.name, "id" => format!("{:016x}", who.id),
                            "zone" => &who.zone, "build" => &who.build, "bump" => who.bump);
                    }
                }
                Out::Down(who) => {
                    info!(self.log, "member down"; "member" => &who.name, "id" => format!("{:016x}", who.id),
                        "bump" => who.bump);
                    // Another bump of the same incarnation may live on.
                    if self.membership.alive().all(|alive| alive.id != who.id) {
                        self.addresses.remove(&who.id);
                    }
                }
                Out::Back(bump) => {
                    info!(self.log, "was taken for dead and is back"; "bump" => bump)
                }
                Out::Replaced => self.was_replaced(),
            }
        }
    }

    /// All that live, by id.
    pub fn alive(&self) -> BTreeMap<u64, Member> {
        self.membership
            .alive()
            .map(|identity| (identity.id, member(identity)))
            .collect()
    }

    /// What the council wants carried out. Gives the links that could not take it.
    pub fn council(&mut self, now: Timestamp) -> Vec<(ComponentId, String)> {
        if self.replaced {
            self.leave(now);
        }
        self.council.deliver_own(now);
        let mut broken = Vec::new();
        for action in self.council.actions() {
            match action {
                Action::Send(to, said) => {
                    let up =
                        |end: &&mut End| end.link.peer.as_ref().is_some_and(|peer| peer.id == to);
                    let found = self
                        .links
                        .iter_mut()
                        .find_map(|(id, end)| up(&end).then_some((*id, end)));
                    // Whoever is not reached now is told again later: the council repeats itself.
                    let (Some((id, end)), Ok(bytes)) = (found, postcard::to_stdvec(&said)) else {
                        continue;
                    };
                    self.sent = (self.sent.0 + bytes.len() as u64, self.sent.1 + 1);
                    if let Err(why) = end.link.say(&Message::Of(Subject::Council, bytes)) {
                        broken.push((id, why));
                    }
                }
                Action::Write(write) => self.write(now, write),
                Action::Note(note) => self.note(note),
            }
        }
        broken
    }

    fn note(&self, note: Note) {
        let log = &self.log;
        match note {
            Note::Founds(stamp) => {
                info!(log, "council founded"; "epoch" => stamp.epoch, "founding" => format!("{:016x}", stamp.founding));
            }
            Note::Joins(stamp) => {
                info!(log, "council joined"; "epoch" => stamp.epoch, "founding" => format!("{:016x}", stamp.founding));
            }
            Note::Leads(leader) => {
                let me = self.membership.me();
                let name = leader.and_then(|id| {
                    let other = self.addresses.get(&id).map(|(name, _)| name.clone());
                    if id == me.id {
                        Some(me.name.clone())
                    } else {
                        other
                    }
                });
                info!(log, "council leader"; "leader" => name.unwrap_or_else(|| "none".into()));
            }
            Note::Changes(change) => {
                info!(log, "council changes"; "change" => format!("{change:?}"))
            }
            Note::Slice(slice) => info!(log, "slice of the cold budget"; "sends" => slice),
            Note::LeaseOver => {
                info!(log, "lease of the cold budget is over"; "sends" => self.setup.floor)
            }
            Note::Broke => {
                warn!(
                    log,
                    "the council's log broke its rules: out of the council until the next start"
                )
            }
        }
    }

    /// Whom to dial now.
    pub fn dials(&mut self) -> Vec<(u64, SocketAddr)> {
        let now = Instant::now();
        let wants = self.council.wants();
        for end in self.links.values_mut() {
            let peer = end.link.peer.as_ref().map(|peer| peer.id).or(end.to);
            if peer.is_some_and(|peer| wants.contains(&peer)) {
                end.wanted = now;
            }
        }
        let linked = |id: u64| {
            self.links.values().any(|end| {
                end.to == Some(id) || end.link.peer.as_ref().is_some_and(|peer| peer.id == id)
            })
        };
        let due = |id: u64| self.tries.get(&id).is_none_or(|(at, _)| now >= *at);
        let dial = wants.into_iter().filter(|id| !linked(*id) && due(*id));
        dial.filter_map(|id| {
            let (_, at) = self.addresses.get(&id)?;
            Some((id, self.setup.via.get(at).copied().unwrap_or(*at)))
        })
        .collect()
    }

    /// Keeps links alive; gives those that are dead or not needed any more.
    pub fn keep(&mut self) -> Vec<(ComponentId, String)> {
        let mut dead = Vec::new();
        let peers = self
            .links
            .iter()
            .filter_map(|(id, end)| Some((*id, end.link.peer.as_ref()?)));
        let replaced: Vec<ComponentId> = peers
            .filter(|(_, peer)| self.is_replaced(peer))
            .map(|(id, _)| id)
            .collect();
        for id in replaced {
            let Some(end) = self.links.get_mut(&id) else {
                continue;
            };
            // Its link stays: its vote may be needed until it is let go.
            if end.warned.is_none_or(|at| at.elapsed() >= WARN_AGAIN) {
                end.warned = Some(Instant::now());
                // A link that can't take it is dead, which is seen below.
                let _ = end.link.say(&Message::Replaced);
            }
        }
        self.tries.retain(|id, _| self.addresses.contains_key(id));
        for (id, end) in &mut self.links {
            if let Err(why) = end.link.keep() {
                dead.push((*id, why));
            } else if end.link.dialled && end.wanted.elapsed() >= IDLE {
                dead.push((*id, "it is needed no more".into()));
            }
        }
        dead
    }

    /// What `fleet status` tells, as JSON.
    pub fn status(&self, now: Timestamp) -> String {
        let status = Status {
            fleet: &self.setup.name,
            council: self.council.status(now),
            alive: self.membership.alive().count() + 1,
            links: self
                .links
                .values()
                .filter(|end| end.link.peer.is_some())
                .count(),
            datagrams_refused: self.membership.refused,
            messages_refused: self.strange,
            sent_bytes: self.sent.0,
            sent_messages: self.sent.1,
        };
        serde_json::to_string(&status).unwrap_or_default()
    }

    /// What `budgets show` tells.
    pub fn budgets(&self, now: Timestamp) -> serde_json::Value {
        let status = self.council.status(now);
        let slices: BTreeMap<&str, u32> = status
            .parts
            .iter()
            .map(|part| (part.member.name.as_str(), part.slice))
            .collect();
        serde_json::json!([{
            "name": "cold", "unit": "new connections in a window", "window_ms": Terms::default().window.as_millis() as u64,
            "whole": status.capacity.saturating_add(self.setup.aside), "set_aside": self.setup.aside, "floor": self.setup.floor,
            "handed_out": status.capacity, "in_use": status.sum, "epoch": status.epoch, "slices": slices,
        }])
    }

    /// What `fleet members` tells, as JSON.
    pub fn listed(&self) -> String {
        let mut all: Vec<&Identity> = self
            .membership
            .alive()
            .chain([self.membership.me()])
            .collect();
        all.sort();
        serde_json::to_string(&all).unwrap_or_default()
    }

    /// What `fleet log` tells, as JSON.
    pub fn told(&self) -> String {
        serde_json::to_string(&self.council.log_lines().collect::<Vec<_>>()).unwrap_or_default()
    }
}
