//! What a node holds of its fleet: membership, links and the council, and what they want carried out.

use super::config::Setup;
use super::storage::Disk;
use lupincrank_cluster::connection::ClusterConnection;
use lupincrank_cluster::membership::{
    jitter_factor, Identity, Membership, MembershipConfig, MembershipOutput,
};
use lupincrank_cluster::message::{Handshake, Message, Subject};
use lupincrank_control::durable::{DurableState, LogWrite};
use lupincrank_control::lease::LeaseTerms;
use lupincrank_control::member::Member;
use lupincrank_control::message::{Action, ControlMessage, LogEvent};
use lupincrank_control::{ControlConfig, ControlNode};
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
    pub link: ClusterConnection,
    pub to: Option<u64>,
    wanted: Instant,
    warned: Option<Instant>,
}

/// See the module.
pub struct Carry {
    pub setup: Setup,
    pub council: ControlNode,
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
    datagrams_refused: lupincrank_cluster::membership::RejectedDatagrams,
    messages_refused: u64,
    sent_bytes: u64,
    sent_messages: u64,
}

fn member(identity: &Identity) -> Member {
    let Identity {
        incarnation: id,
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
        kept: Option<&DurableState>,
        settings: u32,
        now: Timestamp,
        log: Logger,
    ) -> Result<Carry, String> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let me = Identity {
            name: name.to_string(),
            incarnation: id,
            started_at_ms: u64::try_from(born.as_millis()).unwrap_or(u64::MAX),
            generation: 0,
            address: setup.listen,
            zone: setup.zone.clone(),
            region: setup.region.clone(),
            build: env!("CARGO_PKG_VERSION").to_string(),
            settings_hash: settings,
        };
        let tuning = ControlConfig {
            lease_terms: LeaseTerms::default(),
            expected_nodes: setup.nodes.clone(),
            capacity: setup.capacity,
            floor: setup.floor,
            bootstrap_grace: SETTLE,
            member_removal_delay: BURY,
        };
        let tag = lupincrank_cluster::cluster_tag(&setup.name);
        let council =
            ControlNode::new(now, member(&me), tuning, kept).map_err(|error| error.to_string())?;
        let membership = Membership::new(
            me,
            MembershipConfig {
                cluster_tag: tag,
                expected_node_count: setup.nodes.len(),
                random_seed: id,
                seed_nodes: setup.seeds.clone(),
            },
        );
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
            spread: jitter_factor(id),
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
            Ok(Some(number)) => self.council.on_write_completed(now, number),
            Ok(None) => {}
            Err(why) => self.lost_disk(now, &why),
        }
    }

    fn write(&mut self, now: Timestamp, write: LogWrite) {
        let Some((disk, _)) = &self.disk else { return };
        if let Err(why) = disk.write(write) {
            self.lost_disk(now, &why);
        }
    }

    /// What was said before is on the disk; nothing more is said by this process.
    fn lost_disk(&mut self, now: Timestamp, why: &str) {
        warn!(self.log, "the council's folder is lost"; "why" => why.to_string());
        self.disk = None;
        self.council.on_storage_lost(now);
    }

    /// This node ends: it gives back what it holds, and stays for a while for those that need its vote.
    pub fn leave(&mut self, now: Timestamp) {
        self.leaves.get_or_insert_with(Instant::now);
        self.council.begin_leaving(now);
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
        if !self.is_out() && (self.council.has_left() || since.elapsed() >= LEAVES) {
            let waited = since.elapsed().as_millis() as u64;
            info!(self.log, "left the fleet"; "let_go" => self.council.has_left(), "after_ms" => waited);
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
        self.began + self.membership.next_deadline()
    }

    /// What this side says first.
    pub fn hello(&self) -> Message {
        let me = self.membership.local_identity();
        let (name, build) = (me.name.clone(), me.build.clone());
        Message::Handshake(Handshake {
            cluster_tag: self.tag,
            name,
            incarnation: me.incarnation,
            started_at_ms: me.started_at_ms,
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
        mut link: ClusterConnection,
        to: Option<u64>,
    ) -> Result<(), String> {
        link.send(&self.hello())
            .map_err(|error| error.to_string())?;
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
        let peer = end.link.peer().map(|peer| peer.name.clone());
        debug!(self.log, "link ended"; "peer" => peer, "dialled" => end.link.is_initiator(), "why" => why.to_string());
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
                .peer()
                .map(|peer| peer.incarnation);
            match (message, peer) {
                (Message::Handshake(hello), None) => self.met(id, hello)?,
                (Message::Ping, Some(_)) => {}
                (Message::Replaced, Some(_)) => self.was_replaced(),
                (Message::Payload(Subject::Control, bytes), Some(peer)) => {
                    match postcard::from_bytes::<ControlMessage>(&bytes) {
                        Ok(said) => self.council.on_message(now, peer, said),
                        Err(error) => {
                            return Err(format!("a message of the council can't be read: {error}"))
                        }
                    }
                }
                (Message::Handshake(_), Some(_)) => return Err("it says hello twice".into()),
                (_, None) => return Err("it does not say hello first".into()),
            }
        }
        Ok(())
    }

    /// The other side has said who it is. Of two links between the same incarnations the one stays that the greater id dialled.
    fn met(&mut self, id: ComponentId, hello: Handshake) -> Result<(), String> {
        if hello.cluster_tag != self.tag {
            return Err("it belongs to another fleet".into());
        }
        let me = self.membership.local_identity().incarnation;
        let Some(end) = self.links.get(&id) else {
            return Ok(());
        };
        if hello.incarnation == me || end.to.is_some_and(|to| to != hello.incarnation) {
            return Err("it is another life than the one that was looked for".into());
        }
        let mine = end.link.is_initiator();
        let other = self.links.iter().find(|(at, end)| {
            **at != id
                && end
                    .link
                    .peer()
                    .is_some_and(|peer| peer.incarnation == hello.incarnation)
        });
        if let Some((at, end)) = other.map(|(at, end)| (*at, end.link.is_initiator())) {
            let by_greater = |dialled_here: bool| dialled_here == (me > hello.incarnation);
            if by_greater(end) && !by_greater(mine) {
                return Err("there is one already".into());
            }
            self.links.remove(&at);
            self.dropped.push(at);
        }
        self.tries.remove(&hello.incarnation);
        if let Some(end) = self.links.get_mut(&id) {
            end.link.set_peer(hello);
        }
        Ok(())
    }

    /// Another process has this node's name and began later. The floor is one name's: two of them would count twice.
    fn was_replaced(&mut self) {
        if !std::mem::replace(&mut self.replaced, true) {
            self.membership.yield_to_newer();
            warn!(
                self.log,
                "another process of this name began later: out of the fleet until the next start"
            );
        }
    }

    /// Whether membership knows a later incarnation of that name. Guards against a leader that was replaced: it is not asked by
    /// datagrams any more, so nothing else would tell it, and its links would keep it in the lead.
    fn is_replaced(&self, hello: &Handshake) -> bool {
        let later = |alive: &Identity| {
            alive.name == hello.name
                && (alive.started_at_ms, alive.incarnation)
                    > (hello.started_at_ms, hello.incarnation)
        };
        self.membership.alive().any(later)
    }

    /// What membership wants carried out: datagrams out, and news.
    pub fn members(&mut self) {
        while let Some(out) = self.membership.next_output() {
            match out {
                MembershipOutput::Datagram { to: at, bytes } => {
                    let Some((udp, _)) = &self.sockets else {
                        continue;
                    };
                    let at = self.setup.via.get(&at).copied().unwrap_or(at);
                    self.sent = (self.sent.0 + bytes.len() as u64, self.sent.1 + 1);
                    // A datagram may get lost anyway.
                    let _ = udp.send_to(&bytes, at);
                }
                MembershipOutput::MemberUp(who) => {
                    self.tries.remove(&who.incarnation);
                    if self
                        .addresses
                        .insert(who.incarnation, (who.name.clone(), who.address))
                        .is_none()
                    {
                        info!(self.log, "member up"; "member" => &who.name, "id" => format!("{:016x}", who.incarnation),
                            "zone" => &who.zone, "build" => &who.build, "bump" => who.generation);
                    }
                }
                MembershipOutput::MemberDown(who) => {
                    info!(self.log, "member down"; "member" => &who.name, "id" => format!("{:016x}", who.incarnation),
                        "bump" => who.generation);
                    // Another bump of the same incarnation may live on.
                    if self
                        .membership
                        .alive()
                        .all(|alive| alive.incarnation != who.incarnation)
                    {
                        self.addresses.remove(&who.incarnation);
                    }
                }
                MembershipOutput::Rejoined { generation: bump } => {
                    info!(self.log, "was taken for dead and is back"; "bump" => bump);
                }
                MembershipOutput::Replaced => self.was_replaced(),
            }
        }
    }

    /// All that live, by id.
    pub fn alive(&self) -> BTreeMap<u64, Member> {
        self.membership
            .alive()
            .map(|identity| (identity.incarnation, member(identity)))
            .collect()
    }

    /// What the council wants carried out. Gives the links that could not take it.
    pub fn council(&mut self, now: Timestamp) -> Vec<(ComponentId, String)> {
        if self.replaced {
            self.leave(now);
        }
        self.council.deliver_own_messages(now);
        let mut broken = Vec::new();
        for action in self.council.take_actions() {
            match action {
                Action::Send { to, message: said } => {
                    let up =
                        |end: &&mut End| end.link.peer().is_some_and(|peer| peer.incarnation == to);
                    let found = self
                        .links
                        .iter_mut()
                        .find_map(|(id, end)| up(&end).then_some((*id, end)));
                    // Whoever is not reached now is told again later: the council repeats itself.
                    let (Some((id, end)), Ok(bytes)) = (found, postcard::to_stdvec(&said)) else {
                        continue;
                    };
                    self.sent = (self.sent.0 + bytes.len() as u64, self.sent.1 + 1);
                    if let Err(why) = end.link.send(&Message::Payload(Subject::Control, bytes)) {
                        broken.push((id, why.to_string()));
                    }
                }
                Action::Write(write) => self.write(now, write),
                Action::Log(note) => self.note(note),
            }
        }
        broken
    }

    fn note(&self, note: LogEvent) {
        let log = &self.log;
        match note {
            LogEvent::Bootstrapping(stamp) => {
                info!(log, "council founded"; "epoch" => stamp.epoch, "founding" => format!("{:016x}", stamp.bootstrap_id));
            }
            LogEvent::JoinedCluster(stamp) => {
                info!(log, "council joined"; "epoch" => stamp.epoch, "founding" => format!("{:016x}", stamp.bootstrap_id));
            }
            LogEvent::LeaderChanged(leader) => {
                let me = self.membership.local_identity();
                let name = leader.and_then(|id| {
                    let other = self.addresses.get(&id).map(|(name, _)| name.clone());
                    if id == me.incarnation {
                        Some(me.name.clone())
                    } else {
                        other
                    }
                });
                info!(log, "council leader"; "leader" => name.unwrap_or_else(|| "none".into()));
            }
            LogEvent::ChangingMembership(change) => {
                info!(log, "council changes"; "change" => format!("{change:?}"));
            }
            LogEvent::LeaseLimitChanged(slice) => {
                info!(log, "slice of the cold budget"; "sends" => slice);
            }
            LogEvent::LeaseExpired => {
                info!(log, "lease of the cold budget is over"; "sends" => self.setup.floor);
            }
            LogEvent::LogInconsistent => {
                warn!(
                    log,
                    "the council's log broke its rules: out of the council until the next start"
                );
            }
        }
    }

    /// Whom to dial now.
    pub fn dials(&mut self) -> Vec<(u64, SocketAddr)> {
        let now = Instant::now();
        let wants = self.council.desired_connections();
        for end in self.links.values_mut() {
            let peer = end.link.peer().map(|peer| peer.incarnation).or(end.to);
            if peer.is_some_and(|peer| wants.contains(&peer)) {
                end.wanted = now;
            }
        }
        let linked = |id: u64| {
            self.links.values().any(|end| {
                end.to == Some(id) || end.link.peer().is_some_and(|peer| peer.incarnation == id)
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
            .filter_map(|(id, end)| Some((*id, end.link.peer()?)));
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
                let _ = end.link.send(&Message::Replaced);
            }
        }
        self.tries.retain(|id, _| self.addresses.contains_key(id));
        for (id, end) in &mut self.links {
            if let Err(why) = end.link.keep_alive() {
                dead.push((*id, why.to_string()));
            } else if end.link.is_initiator() && end.wanted.elapsed() >= IDLE {
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
                .filter(|end| end.link.peer().is_some())
                .count(),
            datagrams_refused: self.membership.rejected(),
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
            .participants
            .iter()
            .map(|part| (part.member.name.as_str(), part.lease))
            .collect();
        serde_json::json!([{
            "name": "cold", "unit": "new connections in a window", "window_ms": LeaseTerms::default().accounting_window.as_millis() as u64,
            "whole": status.capacity.saturating_add(self.setup.aside), "set_aside": self.setup.aside, "floor": self.setup.floor,
            "handed_out": status.capacity, "in_use": status.granted, "epoch": status.epoch, "slices": slices,
        }])
    }

    /// What `fleet members` tells, as JSON.
    pub fn listed(&self) -> String {
        let mut all: Vec<&Identity> = self
            .membership
            .alive()
            .chain([self.membership.local_identity()])
            .collect();
        all.sort();
        serde_json::to_string(&all).unwrap_or_default()
    }

    /// What `fleet log` tells, as JSON.
    pub fn told(&self) -> String {
        serde_json::to_string(&self.council.log_lines().collect::<Vec<_>>()).unwrap_or_default()
    }
}
