//! Every decision of the balancer. Its types, events and actions are in `interface.rs`.
//!
//! The ordinary path is rendezvous hashing: the ready server with the highest `server_hash * key_hash` takes
//! the connection. Each exception is a walk to the next-highest score because the *gate* said that a server
//! does not take this connection now. docs/design.md says when each acts.

use crate::admin_drain::AdminDrain;
use crate::bits::{fraction, murmur, part_of, short_name};
use crate::cold::{Cold, COLD_SAVED};
use crate::fleet::{Fleet, Server};
use crate::interface::{
    Action, Endpoint, Event, Health, Outcome, RequestId, RequestInfo, RetrySafety, ServerId,
    Settings, Timestamp,
};
use crate::learned_state::LearnedServer;
use crate::order::Walk;
use crate::poll_schedule::PollSchedule;
use crate::request::{there, Attempt, Request};
use crate::shares::{self, Shares};
use crate::table::{Slot, UNKNOWN};
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

mod evidence;

const SERVER_SEED: u32 = 165_233;
const KEY_SEED: u32 = 845_219;

const TICK: Duration = Duration::from_secs(1); // upkeep runs this often
const FORGET: Duration = Duration::from_secs(60); // servers that are gone are forgotten after this
const COLD_PART: f64 = 2.0 / 3.0; // what a cold server's budget may use of that at which it falls over
/// A warm server is taken to hold one such part of what it could (services are run at half or so), and, by
/// all gateways together, this many connections, where a gateway that has just begun holds none.
const SPARE: f64 = 1.75;
const LEAST_HELD: f64 = 15.0;
/// What is saved up for cold servers is this multiple of their budget: it only bounds what the guess of the
/// demand, which keeps to the budget over all gateways, may get wrong at one of them.
const GUESSED: f64 = 3.0;
const DEMAND_FADES: f64 = 0.3; // the requests seen fade so a second
const CHANCES: u64 = 1; // the stream of random numbers for shares of a fleet's budgets
const TICK_HANDLE: u64 = 1;
const LIST_HANDLE: u64 = 2;
const QUEUE_HANDLE: u64 = 3;
const EMPTY_HANDLE: u64 = 4;
/// How often waiting requests are looked at when nothing else happens; an answer to one is left twice this.
const QUEUE_TICK: Duration = Duration::from_millis(50);
/// Set-ups under way at once, over all gateways: at the start and at the least. Quick successes widen it,
/// slow ones and failures at several servers shrink it; slow is this multiple of the quickest that was usual.
const FIRST_WINDOW: f64 = 24.0;
const SLOW_SETUP: f64 = 3.0;
const LEAST_WINDOW: f64 = 6.0;
/// Moves: at most this part of the connections held a second, saved up to this part.
const MOVES_PER_S: f64 = 0.15;
const MOVES_SAVED: f64 = 0.3;
/// A server out by hand is empty by then, step by step: guards against the work of all its connections at
/// once on the others, and against a restart that cuts them off.
const EMPTIED: Duration = Duration::from_millis(1500);
const EMPTY_STEP: Duration = Duration::from_millis(100);
/// Servers of one zone out of reach within this time may tell that all of it is; so long it is left.
const ZONE_LOST: Duration = Duration::from_secs(2);
const STRIKES: u32 = 2; // failures in a row, with no success between, that bar a server
/// A first bar lasts this long; each further one twice as long, up to the longest.
const BAR: Duration = Duration::from_secs(1);
const LONGEST_BAR: Duration = Duration::from_secs(8);
/// At most this part of the ready servers may be barred on evidence; past it the evidence is not believed.
const MOST_BARRED: f64 = 0.5;
/// Standing connections that a server drops within this time of each other broke by its doing.
const TOGETHER: Duration = Duration::from_secs(1);
/// A server may hold this multiple of its fair part of this gateway's load before the gate turns new groups
/// away.
const HEADROOM: f64 = 1.25;
const SEEN_FADES: f64 = 0.02; // what was seen of groups and of kinds of machines fades so a second
const SPLIT: f64 = 2.0; // a large group is split by this many fair parts
/// A server's cap falls to this part of the fair load at the least, and rises by this part of it a second
/// while the server is not crowded, faster once it has not been for long.
const LEAST_CAP: f64 = 0.1;
const CAP_RISE: f64 = 0.01;
const CALM: Duration = Duration::from_secs(4);
/// Over this part of the shortest message aim a server may hold only that part of what it holds, and what is
/// over it moves off.
const LATE: [(f64, f64); 5] = [(5.0, 0.5), (1.5, 0.75), (0.8, 0.9), (0.5, 0.96), (0.3, 1.0)];
const LATE_SHEDS: f64 = 0.5;
/// A group that a server does not hold yet finds it full at this part of its cap, or at a utilisation lower
/// by this: what is left is for the groups that are there.
const NEW_GROUP_CAP: f64 = 0.75;
const NEW_GROUP_FULL: f64 = 0.2;
const OVER_SHARE_CAP: f64 = 0.8; // a tenant over its share finds servers full at this part of their cap
/// Utilisation to which servers may be filled, where they report it, and from which they shed.
const FULL: f64 = 0.85;
const CROWDED: f64 = 0.93;
/// What may be spent on probes, in points of the result for each request taken, and how old a report may be
/// before the server is asked anew ahead of a placement.
const PROBE_SPEND: f64 = 0.0025;
const REPORT_FRESH: Duration = Duration::from_secs(1);
/// What one gateway tells of a late server keeps the others away for this long; none repeats it before. The
/// mark is for one that does not answer at all, as one whose messages take `SILENT_FOR` does not.
const HEARD: Duration = Duration::from_secs(3);
const SILENT: &str = "!";
const SILENT_FOR: Duration = Duration::from_secs(4);
const LIKELY_HELD: f64 = 5.0; // what a gateway may hold on each server when it cannot tell yet
/// Past this part of set-ups failing at one server after another something shared is at fault.
const SHARED: f64 = 0.5;
const FAILING_RATE: f64 = 0.2;
const HELD_GROUP: f64 = 1.25; // a group that is there is let in up to this multiple of what a new one is
const GROUP_COST: f64 = 2.0; // what the first connection of a group costs on a server, in mean loads
const FIRST_RANKS: usize = 4; // servers put in order at first: more are seldom looked at
/// A kind of machine that is crowded in more of its seconds than the best kind leaves this multiple of the
/// difference of the keys to others; so many seconds like the mean are taken to have been seen before.
const KIND_LEAVES: f64 = 3.0;
const KIND_BEFORE: f64 = 20.0;
/// A connection placed less than this ago is not moved; longer if it had come back from a break or a move.
const REST: Duration = Duration::from_secs(2);
const RETURNED_REST: Duration = Duration::from_secs(8);

/// The hash of a server's id.
pub fn server_hash(server: &ServerId) -> u32 {
    murmur(server.0.as_bytes(), SERVER_SEED)
}

/// The hash of a group or client key.
pub fn key_hash(key: &str) -> u32 {
    murmur(key.as_bytes(), KEY_SEED)
}

/// The paper's `mult` combiner; the highest score wins.
pub fn rank_score(server: u32, key: u32) -> u32 {
    server.wrapping_mul(key)
}

type Actions = Vec<Action>;

/// How many set-ups of one gateway may be under way where nothing tells of fewer.
fn first_window(settings: &Settings) -> f64 {
    (FIRST_WINDOW / f64::from(settings.node_count.max(1))).max(1.0)
}

/// What the gate compares a server with.
struct View {
    fair: f64,
    add: f64,
    group_cost: f64,
    over_share: bool,
    /// Utilisation that one unit of this gateway's load stands for, all gateways together.
    used_per_load: f64,
}

/// The balancer of one gateway.
pub struct Balancer {
    settings: Settings,
    random: Pcg32,
    /// For what the gateways of a fleet share out among them: a stream of its own, so that neither shifts the
    /// other.
    chance: Pcg32,
    by_hand: AdminDrain,
    fleet: Fleet,
    requests: HashMap<RequestId, Request>,
    class_loads: Vec<(f64, f64)>,
    setup_mean: f64,
    setup_floor: f64,
    least_message_aim: Duration,
    asking: PollSchedule,
    in_setup: usize,
    /// The part of set-ups that failed lately, each at another server than the one before, and the last such.
    failing: (f64, u32),
    /// How many set-ups may be under way, and when that was last cut.
    window: f64,
    window_cut: Timestamp,
    pause_until: Timestamp,
    waiting: VecDeque<RequestId>,
    queue_timer: bool,
    empty_timer: bool,
    tenant_open: Vec<usize>,
    move_tokens: f64,
    probe_tokens: f64,
    /// What this gateway may send to all cold servers together, and from how much of it a send is made: drawn
    /// anew for each, so that the parts of a send that many gateways have add up to the right number.
    pub(crate) cold: Cold,
    /// Requests taken lately, fading.
    demand: f64,
    shares: Shares,
    /// Connections taken lately, in all and of each group, fading.
    seen: f64,
    seen_groups: HashMap<u32, f64>,
    /// Seconds seen of servers of each kind that held something, and of those the crowded ones, fading.
    kinds: BTreeMap<u32, (f64, f64)>,
}

impl Balancer {
    /// A balancer that knows no server yet. `seed` serves jitter only.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let window = first_window(&settings);
        let mut chance = Pcg32::new(seed, CHANCES);
        Balancer {
            least_message_aim: settings.min_message_objective(),
            tenant_open: vec![0; settings.tenants.len()],
            class_loads: vec![(0.0, 0.0); settings.classes.len()],
            asking: PollSchedule::new(settings.node_count),
            settings,
            by_hand: AdminDrain::default(),
            fleet: Fleet::default(),
            requests: HashMap::new(),
            setup_mean: 0.0,
            setup_floor: 0.05,
            in_setup: 0,
            failing: (0.0, 0),
            pause_until: Timestamp::default(),
            window,
            window_cut: Timestamp::default(),
            waiting: VecDeque::new(),
            queue_timer: false,
            empty_timer: false,
            move_tokens: 0.0,
            probe_tokens: 0.0,
            demand: 0.0,
            shares: Shares::default(),
            cold: Cold::new(fraction(&mut chance)),
            chance,
            random: Pcg32::seed_from_u64(seed),
            seen: 0.0,
            seen_groups: HashMap::new(),
            kinds: BTreeMap::new(),
        }
    }

    /// Which servers are out by hand, and which are known.
    pub fn by_hand(&self) -> &AdminDrain {
        &self.by_hand
    }

    /// What it has learnt of its servers, for a process that takes its place.
    pub fn learnt(&self, now: Timestamp) -> Vec<LearnedServer> {
        self.fleet.learnt(now)
    }

    /// Takes in one event and appends what is to be done. `now` must not run backwards.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Start => {
                if self.settings.requires_endpoint_watch {
                    let after = self.asking.initial_delay(fraction(&mut self.chance));
                    let waits = Action::SetTimer {
                        after,
                        handle: LIST_HANDLE,
                    };
                    actions.push(if after.is_zero() {
                        Action::WatchEndpoints
                    } else {
                        waits
                    });
                }
                let after = TICK.mul_f64(0.5 + self.jitter());
                actions.push(Action::SetTimer {
                    after,
                    handle: TICK_HANDLE,
                });
            }
            Event::EndpointList { entries, cached } => {
                self.list(now, entries, true, cached, actions);
            }
            Event::EndpointChange(entries) => self.list(now, entries, false, false, actions),
            Event::SettingsChanged { settings, from } => self.renew(settings, &from),
            Event::LeaseChanged(slice) => self.cold.hold(slice),
            Event::LearnedState(learnt) => self.fleet.take_learnt(&self.settings, now, learnt),
            Event::AdminDrain(out) => {
                let changed = self.by_hand.set_drained_servers(now, out);
                self.take_in(now, changed, false, actions);
                self.empty_by_hand(now, actions);
            }
            Event::EndpointWatchSilent if self.settings.requires_endpoint_watch => {
                let after = self.asking.silent_watch_delay(fraction(&mut self.chance));
                actions.push(Action::SetTimer {
                    after,
                    handle: LIST_HANDLE,
                });
            }
            Event::EndpointWatchFailed if self.settings.requires_endpoint_watch => {
                let after = self.asking.retry_delay(fraction(&mut self.chance));
                actions.push(Action::SetTimer {
                    after,
                    handle: LIST_HANDLE,
                });
            }
            Event::RequestReceived(incoming) => {
                let id = incoming.request;
                let request = self.taken(incoming);
                self.requests.insert(id, request);
                self.place(now, id, actions);
            }
            Event::ConnectionInherited(incoming, server) => {
                let id = incoming.request;
                let mut request = self.taken(incoming);
                request.attempts = 1;
                // It has stood for long: it may be moved at once, and brings its part of the moves allowed.
                let server = self.fleet.servers.slot(&server);
                request.out = Some(Attempt {
                    server,
                    free: true,
                    sent: now,
                    stands: true,
                });
                self.move_tokens += MOVES_SAVED;
                self.requests.insert(id, request);
                self.count(id, true);
            }
            Event::ConnectionEstablished { request, took } => {
                self.established(now, request, took, actions);
            }
            Event::AttemptEnded {
                request,
                attempt,
                outcome,
                done,
                report,
            } => {
                let current = self
                    .requests
                    .get(&request)
                    .filter(|taken| taken.attempts == attempt + 1);
                let Some(out) = current.and_then(|taken| taken.out.as_ref()) else {
                    return;
                };
                if let Some(values) = report {
                    self.reported(now, out.server, &values, actions);
                }
                self.ended(now, request, outcome, done, actions);
            }
            Event::ClientGone(id) => self.finish(id),
            Event::ShutdownDeadline { request, sent } => {
                self.doubt_what_is_out(request, sent);
                self.end_unserved(request, actions);
            }
            Event::LoadObserved { request, load } => self.load_note(request, load.as_secs_f64()),
            Event::DelayObserved { request, delay } => {
                self.delay_note(now, request, delay, actions);
            }
            Event::ServerUnresponsive(server) => {
                let at = self.fleet.servers.slot(&server);
                self.strike(now, at, STRIKES, false, actions);
                self.empty(at, f64::INFINITY, actions);
                // Whether it died or was cut off, it may come back cold.
                self.fleet.change(at, |server| server.crashed = true);
            }
            Event::ConnectionUnresponsive(request) => {
                // Whatever may be moved at other times: nobody is served on it.
                self.move_tokens = self.move_tokens.max(1.0);
                self.move_away(request, actions);
            }
            Event::HealthCheckCompleted {
                server,
                passed,
                report,
            } => {
                let server = self.fleet.servers.slot(&server);
                self.probed(
                    now,
                    server,
                    passed.then(|| report.unwrap_or_default()),
                    actions,
                );
            }
            Event::Gossip(message) => self.told(now, &message),
            Event::TimerFired(TICK_HANDLE) => self.tick(now, actions),
            Event::TimerFired(QUEUE_HANDLE) => {
                self.queue_timer = false;
                self.pump(now, actions);
            }
            Event::TimerFired(EMPTY_HANDLE) => {
                self.empty_timer = false;
                self.empty_by_hand(now, actions);
            }
            Event::TimerFired(LIST_HANDLE) => actions.push(Action::WatchEndpoints),
            Event::EndpointWatchFailed | Event::EndpointWatchSilent | Event::TimerFired(_) => {}
        }
    }

    fn jitter(&mut self) -> f64 {
        fraction(&mut self.random)
    }

    fn list(
        &mut self,
        now: Timestamp,
        entries: Vec<Endpoint>,
        whole: bool,
        cached: bool,
        actions: &mut Actions,
    ) {
        self.asking.record_answer(cached);
        let shown = self.by_hand.apply_endpoints(entries, whole);
        self.take_in(now, shown, whole, actions);
    }

    fn take_in(
        &mut self,
        now: Timestamp,
        entries: Vec<Endpoint>,
        whole: bool,
        actions: &mut Actions,
    ) {
        let mut lost = 0.0;
        let named = entries
            .into_iter()
            .map(|entry| self.listed(now, entry, &mut lost));
        let named: BTreeSet<Slot> = named.collect();
        let known = if whole {
            self.fleet.servers.slots()
        } else {
            Vec::new()
        };
        for at in known.into_iter().filter(|at| !named.contains(at)) {
            self.fleet.change(at, |server| {
                lost += server.turn(now, Health::Gone);
            });
        }
        self.share_out(now, lost, actions);
        self.open_cold(now);
    }

    fn listed(&mut self, now: Timestamp, entry: Endpoint, lost: &mut f64) -> Slot {
        let saved = self.cold.saved(now, self.settings.node_count);
        let mut at = self.fleet.servers.slot(&entry.server);
        if at == UNKNOWN {
            let (hash, health, cap) = (server_hash(&entry.server), Health::Gone, f64::INFINITY);
            let fresh = Server {
                hash,
                health,
                cap,
                leaving_since: now,
                ..Server::default()
            };
            at = self.fleet.servers.insert(entry.server, fresh);
        }
        let (settings, budget) = (&self.settings, &mut self.cold);
        self.fleet.change(at, |server| {
            // A new start under the old id is a new process: evidence against the last one is void, and it
            // is cold.
            let back = server.health == Health::Gone && entry.health == Health::Ready;
            let fresh = entry.started_at > server.started || back;
            if fresh {
                server.started = entry.started_at.or(server.started);
                (
                    server.strikes,
                    server.bars,
                    server.barred_until,
                    server.crashed,
                ) = (0, 0, None, false);
                server.cut = false;
                server.cap = f64::INFINITY;
                (server.tokens, server.refilled, server.used) = (1.0, now, None);
                server.part = settings.initial_capacity_ratio;
            }
            *lost += server.turn(now, entry.health);
            server.zone = entry.zone;
            server.cell = entry.cell;
            server.kind = entry.machine_kind;
            server.weight = if entry.weight > 0.0 {
                entry.weight
            } else {
                1.0
            };
            let cold = server.is_cold(settings, now);
            let was_cold = std::mem::replace(&mut server.cold, cold);
            budget.add(if cold && (fresh || !was_cold) {
                saved
            } else {
                0.0
            });
        });
        at
    }

    /// Other settings: what was learnt of a class goes where it is now, and what is there keeps its rules.
    fn renew(&mut self, settings: Settings, from: &[Option<usize>]) {
        let learnt = |old: &Option<usize>| old.and_then(|old| self.class_loads.get(old)).copied();
        self.class_loads = from
            .iter()
            .map(|old| learnt(old).unwrap_or_default())
            .collect();
        for request in self.requests.values_mut() {
            let now_at = from.iter().position(|old| *old == Some(request.class));
            request.class = now_at.unwrap_or(usize::MAX);
        }
        self.asking.set_node_count(settings.node_count);
        self.least_message_aim = settings.min_message_objective();
        self.tenant_open.resize(settings.tenants.len(), 0);
        self.settings = settings;
    }

    // ---- The life of a request ----

    fn taken(&mut self, incoming: RequestInfo) -> Request {
        self.demand += 1.0;
        let group = incoming.group.as_deref().map(key_hash);
        let client = incoming.key.as_deref().map(key_hash);
        let client = client.unwrap_or_else(|| murmur(&incoming.request.0.to_le_bytes(), KEY_SEED));
        if let Some(group) = group {
            self.seen += 1.0;
            *self.seen_groups.entry(group).or_default() += 1.0;
        }
        self.probe_tokens += PROBE_SPEND / self.settings.health_check_cost.max(1e-9);
        let place = if incoming.is_reconnect {
            self.jitter()
        } else {
            part_of(client)
        };
        Request {
            class: incoming.class,
            rules: self.settings.classes.get(incoming.class).copied(),
            attempt_cap: self.settings.max_attempts,
            tenant: incoming.tenant,
            returned: incoming.is_reconnect,
            group,
            key: group.unwrap_or(client),
            place,
            load: incoming
                .load
                .map(|load| load.as_secs_f64())
                .filter(|load| *load > 0.0),
            expires: incoming.deadline,
            mid_flow: incoming.is_mid_flow,
            ..Request::default()
        }
    }

    /// Sends the request, or lets it wait while too many set-ups are under way. Guards against a shared store
    /// (or any bottleneck behind all servers) that more attempts only bury deeper.
    fn place(&mut self, now: Timestamp, id: RequestId, actions: &mut Actions) {
        if self
            .requests
            .get(&id)
            .is_some_and(|request| request.mid_flow && request.attempts == 0)
        {
            self.send(now, id, actions);
        } else {
            self.waiting.push_back(id);
        }
        self.pump(now, actions);
    }

    /// Sends what waits and may go, oldest first, and ends what can no longer be answered in time.
    fn pump(&mut self, now: Timestamp, actions: &mut Actions) {
        if self.cold.sliced() {
            self.open_cold(now); // the window has moved on, or the lease is over
            self.cold.sought();
        }
        let mut still = VecDeque::new();
        while let Some(id) = self.waiting.pop_front() {
            let Some(request) = self.requests.get(&id).filter(|request| !request.over) else {
                continue;
            };
            let ripe = request.asked.is_none_or(|(_, until)| until <= now);
            let paused = self.window < 1.0 && now < self.pause_until;
            // What no server is left for, or no set-up would be in time for, is told so at once.
            let needs = QUEUE_TICK.max(Duration::from_secs_f64(self.setup_floor)) * 2;
            let spent = request.attempts >= request.attempt_cap
                || request.expires.saturating_duration_since(now) < needs;
            if spent || self.permitted(now, request).next().is_none() {
                self.end_unserved(id, actions);
            } else if ripe && !paused && (self.in_setup as f64) < self.window {
                self.send(now, id, actions);
            } else {
                still.push_back(id);
            }
        }
        self.waiting = still;
        if !self.waiting.is_empty() && !self.queue_timer {
            self.queue_timer = true;
            actions.push(Action::SetTimer {
                after: QUEUE_TICK,
                handle: QUEUE_HANDLE,
            });
        }
    }

    /// Set-ups go wrong wherever they are sent: let fewer run at once.
    fn cut_window(&mut self, now: Timestamp) {
        if now.saturating_duration_since(self.window_cut) > QUEUE_TICK * 2 {
            let least = (LEAST_WINDOW / f64::from(self.settings.node_count.max(1))).max(0.05);
            self.window = (self.window.min(self.in_setup as f64 + 1.0) * 0.7).max(least);
            self.window_cut = now;
            // A window of half a set-up is one at a time with a pause as long after it.
            let pause =
                self.setup_mean.max(QUEUE_TICK.as_secs_f64()) * (1.0 / self.window - 1.0).max(0.0);
            self.pause_until =
                now.saturating_add(Duration::from_secs_f64(pause * (0.5 + self.jitter())));
        }
    }

    /// Sends the request to the highest score that the gate lets it have, or ends it.
    fn send(&mut self, now: Timestamp, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let may_go = request.expires > now && request.attempts < request.attempt_cap;
        let chosen = may_go.then(|| self.choose(now, request)).flatten();
        // Where none takes it the best one is asked anew: it may have been full, or cold, a while ago.
        let best = || {
            self.ranked(now, request, 0, 1)
                .first()
                .map(|(at, _)| *at)
                .filter(|_| may_go)
        };
        let asked = chosen.map(|(at, _)| at).or_else(best);
        let asked = asked.filter(|_| !(request.mid_flow && request.attempts == 0));
        if asked.is_some_and(|at| self.probe(now, at, actions)) {
            let until = now.saturating_add(QUEUE_TICK);
            self.requests
                .entry(id)
                .and_modify(|taken| taken.asked = asked.map(|at| (at, until)));
            return self.waiting.push_back(id);
        }
        let Some((at, gave_way)) = chosen else {
            return self.end_unserved(id, actions);
        };
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let patience = request.patience(now, self.setup_mean);
        if self.fleet.servers.get(at).is_some_and(|server| server.cold) {
            self.cold.send(now);
            self.cold.mark = fraction(&mut self.chance);
        }
        self.fleet.change(at, |server| {
            server.tokens -= 1.0;
            if gave_way {
                // Once a while only, or a full server would take everything between two reports.
                server.raised_at = Some(now);
                server.cap = server.cap.max(server.load);
            }
            server.trial = server.barred_until.is_some();
        });
        self.open_cold(now);
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts += 1;
            request.asked = None;
            request.tried.push(at);
            let free = request.mid_flow && request.attempts == 1;
            self.in_setup += usize::from(!free);
            request.out = Some(Attempt {
                server: at,
                free,
                sent: now,
                stands: false,
            });
        }
        self.count(id, true);
        let named = self.fleet.servers.id(at).cloned();
        actions.extend(named.map(|server| Action::StartAttempt {
            request: id,
            server,
            patience,
        }));
    }

    /// Probes a server whose report is old, as far as what may be spent allows. Guards against gateways that
    /// each ask every server all the time, and against placing by what a server was long ago.
    fn probe(&mut self, now: Timestamp, at: Slot, actions: &mut Actions) -> bool {
        let reported = self.fleet.servers.get(at).and_then(|server| server.used);
        let old = reported.is_none_or(|(at, _)| now.saturating_duration_since(at) > REPORT_FRESH);
        self.asks() && old && self.ask(now, at, actions)
    }

    /// Whether a probe tells of a server's load.
    fn asks(&self) -> bool {
        self.settings.health_checks_allowed && self.settings.utilization_field.is_some()
    }

    /// Probes a server that was not probed just now, as far as what may be spent allows.
    fn ask(&mut self, now: Timestamp, at: Slot, actions: &mut Actions) -> bool {
        let Some(server) = self.fleet.servers.get_mut(at) else {
            return false;
        };
        let due = server
            .probed
            .is_none_or(|(at, _)| now.saturating_duration_since(at) > REPORT_FRESH);
        if !due || self.probe_tokens < 1.0 {
            return false;
        }
        self.probe_tokens -= 1.0;
        server.probed = Some((now, true));
        actions.extend(self.fleet.servers.id(at).cloned().map(Action::CheckHealth));
        true
    }

    /// Whether the line of the request's present attempt may go out now, where its connection took a while to
    /// come up: what ran of it before leaves this server to it still.
    pub fn may_send(&self, now: Timestamp, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let server = request
            .out
            .as_ref()
            .and_then(|out| self.fleet.servers.get(out.server));
        server.is_some_and(|server| request.may_go_to(now, server))
    }

    /// Refuses where that is harmless, else fails.
    fn end_unserved(&mut self, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let harmless = request.may_be_refused();
        let spent = request.attempts >= request.attempt_cap;
        self.finish(id);
        if harmless {
            // One that spent all its attempts met a fleet that is no better in a moment.
            let (least, more) = if spent { (0.6, 0.4) } else { (0.25, 0.5) };
            let retry_after = self
                .settings
                .max_retry_after
                .mul_f64(least + more * self.jitter());
            actions.push(Action::Reject {
                request: id,
                retry_after,
            });
        } else {
            actions.push(Action::Fail(id));
        }
    }

    /// What is out for the request may have run by now, if it was sent.
    fn doubt_what_is_out(&mut self, id: RequestId, sent: bool) {
        let Some(request) = self.requests.get_mut(&id).filter(|_| sent) else {
            return;
        };
        let Some(out) = &request.out else { return };
        let place = self
            .fleet
            .servers
            .get(out.server)
            .map(|server| (server.zone, server.cell, out.sent));
        request.doubt = request.doubt.or(place);
    }

    /// Nothing more is sent for the request; what is out is still counted until it ends.
    fn finish(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.over = true;
            if request.out.is_none() {
                self.requests.remove(&id);
            }
        }
    }

    fn established(
        &mut self,
        now: Timestamp,
        id: RequestId,
        took: Duration,
        actions: &mut Actions,
    ) {
        let Some(attempt) = self
            .requests
            .get_mut(&id)
            .and_then(|taken| taken.out.as_mut())
        else {
            return;
        };
        let new = !std::mem::replace(&mut attempt.stands, true);
        let at = attempt.server;
        // What stood before may be moved at once, and brings its part of the moves allowed.
        attempt.sent = now;
        if attempt.free {
            self.move_tokens += MOVES_SAVED;
        } else if new {
            self.in_setup = self.in_setup.saturating_sub(1);
            let took = took.as_secs_f64();
            self.setup_mean += 0.05 * (took - self.setup_mean);
            self.failing.0 -= FAILING_RATE * self.failing.0;
            // The usual quick set-up: falls quickly to a quicker one, rises slowly.
            self.setup_floor +=
                (took - self.setup_floor) * if took < self.setup_floor { 0.3 } else { 0.01 };
            if took > SLOW_SETUP * self.setup_floor {
                self.cut_window(now);
            } else if self.window < 1.0 || (self.in_setup as f64) > self.window / 2.0 {
                self.window += 0.5;
            }
        }
        self.fleet.zone_stands(now, at);
        let settings = &self.settings;
        self.fleet.change(at, |server| {
            (server.strikes, server.barred_until, server.trial) = (0, None, false);
            if server.crashed {
                // The list may not tell for seconds that the process is a new one; it is cold all the same.
                server.crashed = false;
                server.started = server.started.max(Some(now));
                (server.tokens, server.refilled, server.used) = (0.0, now, None);
                server.cold = server.is_cold(settings, now);
            }
        });
        self.pump(now, actions);
    }

    fn ended(
        &mut self,
        now: Timestamp,
        id: RequestId,
        outcome: Outcome,
        done: bool,
        actions: &mut Actions,
    ) {
        self.count(id, false);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = request.out.take() else {
            return;
        };
        let Attempt {
            server,
            free,
            sent,
            stands,
        } = attempt;
        if let Some(place) = self.fleet.servers.get_mut(server) {
            place.trial &= stands;
            if !outcome.proves_not_executed() {
                request.doubt.get_or_insert((place.zone, place.cell, sent));
            }
        }
        self.in_setup = self.in_setup.saturating_sub(usize::from(!free && !stands));
        let over = request.over || done;
        let once_doubtful = request
            .rules
            .is_some_and(|c| c.retry_safety == RetrySafety::NotIdempotent)
            && request.doubt.is_some();
        if over {
            self.requests.remove(&id);
        }
        self.weigh_outcome(now, &attempt, outcome, over, actions);
        if over {
            // Nothing is owed any more.
        } else if stands || once_doubtful {
            self.finish(id);
            actions.push(Action::Fail(id));
        } else if outcome == Outcome::NotSent {
            self.end_unserved(id, actions);
        } else {
            let wait = QUEUE_TICK.mul_f64(1.0 + self.jitter());
            if let (Outcome::Error, Some(request)) = (outcome, self.requests.get_mut(&id)) {
                request.asked = Some((UNKNOWN, now.saturating_add(wait * request.attempts)));
            }
            self.place(now, id, actions);
        }
    }

    // ---- Ranking and the gate ----

    /// The highest score that the gate lets the request have, and whether a full server gave way for it.
    fn choose(&self, now: Timestamp, request: &Request) -> Option<(Slot, bool)> {
        let first_try = request.mid_flow && request.attempts == 0;
        let all = if first_try || !request.tried.is_empty() || request.doubt.is_some() {
            self.permitted(now, request).count()
        } else {
            self.fleet.open.len()
        };
        // A group larger than a server starts its walk at as many servers as it needs.
        let start = (request.place * self.parts(request, all as f64)) as usize;
        let start = start.min(all.saturating_sub(1));
        let first = self.ranked(now, request, start, start + FIRST_RANKS);
        // In mid-flow it goes on only at its holder, which is the top score unless an exception placed it.
        if first_try {
            return first.first().map(|(at, _)| (*at, false));
        }
        let sums = &self.fleet.sums;
        // A gateway that has just started holds next to nothing; its own load says little then.
        let load = f64::max(
            sums.reported_load,
            sums.reporting * LIKELY_HELD * self.mean_load(),
        );
        let view = View {
            fair: self.fair_unit(),
            add: self.load_of(request),
            group_cost: GROUP_COST * self.mean_load(),
            over_share: self.over_share(request),
            used_per_load: sums.used / load.max(1e-9),
        };
        let lets = |server: &Server, firm| self.gate(now, request, server, &view, firm);
        if let Some((at, _)) = first
            .iter()
            .find(|(_, server)| self.takes(request, server) && lets(server, false))
        {
            return Some((*at, false));
        }
        // None of the first takes it: one look at all, for the first of each sort.
        let pace = TICK.mul_f64(f64::from(self.settings.node_count) / 4.0);
        // Beyond its fair share a server takes only groups that it holds; one that has less takes any, or a
        // fleet that holds next to nothing would be full with it.
        let less = |server: &Server| server.load <= view.fair * server.weight;
        let start = first
            .first()
            .map(|(at, server)| (rank_score(server.hash, request.key), *at));
        let (mut walk, mut barred) = (Walk::<6>::from(start), true);
        for (hash, at) in self.permitted(now, request) {
            let Some(server) = self.fleet.servers.get(at) else {
                continue;
            };
            barred &= server.barred_until.is_some();
            let sort = match there(request, server) {
                _ if lets(server, false) => usize::from(!self.takes(request, server)),
                there if (there || less(server)) && lets(server, true) => 2,
                true if server.gives_way(now, CALM, pace)
                    && self.shares.lets(server, request.key) =>
                {
                    4
                }
                _ => 5,
            };
            for sort in [sort, 3] {
                walk.meet(sort, rank_score(hash, request.key), at, |a, b| {
                    self.before(a, b)
                });
            }
        }
        // With every server barred the evidence is not believed; with any at its cap the rest are no way out.
        let any = walk.first(3).filter(|_| barred);
        let chosen = (0..3).find_map(|sort| walk.first(sort)).or(any);
        chosen
            .map(|at| (at, false))
            .or_else(|| walk.first(4).map(|at| (at, true)))
    }

    /// Which of two servers with the same score goes first: the one with the lower id.
    fn before(&self, a: Slot, b: Slot) -> bool {
        self.fleet.servers.id(a) < self.fleet.servers.id(b)
    }

    /// The `count` highest scores among the servers that nothing but the gate keeps the request from, best
    /// first and the first `skipped` left out. Ties go to the lower id.
    fn ranked(
        &self,
        now: Timestamp,
        request: &Request,
        skipped: usize,
        count: usize,
    ) -> Vec<(Slot, &Server)> {
        let score = |hash| rank_score(hash, request.key);
        let keeps = |at| self.repeat_safe(now, request, at);
        let leaving = self.leaving(now, request);
        let best = self
            .fleet
            .open
            .best(count, score, leaving, keeps, |a, b| self.before(a, b));
        best.into_iter()
            .skip(skipped)
            .filter_map(|(_, at)| Some((at, self.fleet.servers.get(at)?)))
            .collect()
    }

    /// Whether the key is among those that a server of this kind takes: about the same ones at every gateway.
    /// Guards against kinds that can do less than listed, where a gateway holds too little to know each one.
    fn takes(&self, request: &Request, server: &Server) -> bool {
        let all = self
            .kinds
            .values()
            .fold((1.0, 0.0), |sum, kind| (sum.0 + kind.0, sum.1 + kind.1));
        let rate =
            |kind: &(f64, f64)| (kind.1 + all.1 / all.0 * KIND_BEFORE) / (kind.0 + KIND_BEFORE);
        let least = self.kinds.values().map(rate).fold(1.0, f64::min);
        let more = (self.kinds.get(&server.kind).map_or(0.0, rate) - least).max(0.0);
        let unseen = 1.0 / (1.0 + self.fleet.sums.held / self.fleet.servers.len().max(1) as f64);
        let left = part_of(server.hash ^ request.key.rotate_left(16)) < KIND_LEAVES * more * unseen;
        !left || (request.group.is_some() && there(request, server))
    }

    /// How many servers the request's group fills, as far as those seen lately tell; the request itself is
    /// left out, so that a small group met once is not taken for a large one. Guards against a group heavier
    /// than a server that every gateway, holding few of it, puts on the same one.
    fn parts(&self, request: &Request, servers: f64) -> f64 {
        let Some(group) = request.group else {
            return 1.0;
        };
        let others = self
            .seen_groups
            .get(&group)
            .map_or(0.0, |seen| seen - 1.0)
            .max(0.0);
        (others / (self.seen - 1.0).max(1.0) * servers / SPLIT).max(1.0)
    }

    /// The servers, with their hashes, that the list, the four rules and earlier attempts leave to the
    /// request; no evidence can change these.
    fn permitted<'a>(
        &'a self,
        now: Timestamp,
        request: &'a Request,
    ) -> impl Iterator<Item = (u32, Slot)> + 'a {
        let all = self.fleet.open.iter().chain(self.leaving(now, request));
        all.filter(move |(_, at)| self.repeat_safe(now, request, *at))
    }

    /// Draining servers that may still get a connection in mid-flow.
    fn leaving<'a>(
        &'a self,
        now: Timestamp,
        request: &Request,
    ) -> impl Iterator<Item = (u32, Slot)> + 'a {
        let grace = self.settings.drain_grace.mul_f64(0.8);
        let mid_flow = request.mid_flow && request.attempts == 0;
        self.fleet
            .kept_up
            .iter()
            .take_while(move |_| mid_flow)
            .filter_map(move |at| {
                let drains = |server: &&Server| {
                    let in_grace = now.saturating_duration_since(server.leaving_since) < grace;
                    server.health == Health::Draining
                        && in_grace
                        && !(server.cold && server.tokens < 1.0)
                };
                self.fleet
                    .servers
                    .get(*at)
                    .filter(drains)
                    .map(|server| (server.hash, *at))
            })
    }

    /// Whether the rules and earlier attempts leave this server to the request.
    fn repeat_safe(&self, now: Timestamp, request: &Request, at: Slot) -> bool {
        // Most requests have no try behind them, and no server need be looked up for those.
        let inside = || {
            self.fleet
                .servers
                .get(at)
                .is_some_and(|server| request.may_go_to(now, server))
        };
        !request.tried.contains(&at) && (request.doubt.is_none() || inside())
    }

    /// Lets cold servers be ranked or not, as the budget for all of them has come to allow.
    fn open_cold(&mut self, now: Timestamp) {
        let open = self.cold.open(now);
        if std::mem::replace(&mut self.fleet.cold_open, open) != open {
            self.fleet
                .kept_up
                .clone()
                .into_iter()
                .for_each(|at| self.fleet.change(at, |_| ()));
        }
    }

    /// Many servers may be lost: those that are left take shares of the keys, the same at every gateway, and
    /// what they hold of others leaves. Guards against the work of all on the few that are left, which fall
    /// in turn before anything has shown them crowded.
    fn share_out(&mut self, now: Timestamp, lost: f64, actions: &mut Actions) {
        let most = self.settings.utilization_field.map_or(lost, |_| 0.0); // reports tell it better
        if !self
            .shares
            .share_out(&mut self.fleet, now, &self.settings, most)
        {
            return;
        }
        let out = |request: &Request| {
            let at = request.out.as_ref().map(|out| out.server);
            let server = at.and_then(|at| self.fleet.servers.get(at));
            server.is_some_and(|server| {
                server.health == Health::Ready && !self.shares.lets(server, request.key)
            })
        };
        let mut over: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| out(request))
            .map(|(id, _)| *id)
            .collect();
        over.sort(); // the order of the map differs from run to run
        over.into_iter().for_each(|id| self.move_away(id, actions));
    }

    /// This gateway's load for each unit of weight, over the ready servers.
    fn fair_unit(&self) -> f64 {
        self.fleet.sums.load / self.fleet.sums.weight.max(1e-9)
    }

    /// Whether a ready server takes this connection now. `firm` leaves out the comparison with other servers.
    fn gate(
        &self,
        now: Timestamp,
        request: &Request,
        server: &Server,
        view: &View,
        firm: bool,
    ) -> bool {
        if server
            .barred_until
            .is_some_and(|until| now < until || server.trial)
        {
            return false;
        }
        if server.cut {
            return false; // a probe tells when its zone is within reach
        }
        let silent = |at| {
            now.saturating_duration_since(at) >= QUEUE_TICK
                && now.saturating_duration_since(at) < REPORT_FRESH
        };
        if server.probed.is_some_and(|(at, out)| out && silent(at)) {
            return false; // it answers no probe in good time
        }
        // With no warm server the keys that it leaves would have nowhere to go: the budget alone decides.
        let others = self.fleet.sums.warm >= 1.0;
        if others && server.cold && !shares::takes(server.hash, request.key, server.part) {
            return false;
        }
        if !request.mid_flow && !self.shares.lets(server, request.key) {
            return false;
        }
        let held = there(request, server);
        if !held
            && server
                .heard
                .is_some_and(|at| now.saturating_duration_since(at) < HEARD * 3 / 2)
        {
            return false;
        }
        // Guards against servers that fill up with the shared work of many groups, a little of each.
        let (shared, cap_part, full, slack) = if held {
            (0.0, 1.0, FULL, HELD_GROUP)
        } else {
            (view.group_cost, NEW_GROUP_CAP, FULL - NEW_GROUP_FULL, 1.0)
        };
        let add = f64::midpoint(view.add, shared);
        let used = server
            .used
            .filter(|(at, _)| now.saturating_duration_since(*at) < CALM)
            .map_or(0.0, |(_, used)| used);
        // Others' load was counted when the report was made; what all added since is guessed from one's own.
        if used > 0.0 && used + (server.added + add) * view.used_per_load > full {
            return false;
        }
        let (after, cap) = (
            server.load + add,
            server.cap * cap_part * if view.over_share { OVER_SHARE_CAP } else { 1.0 },
        );
        // Where others hold most of a group, the few connections seen here say little: room for one group's
        // shared work guards against every gateway splitting every group.
        let unseen = 1.0 - 1.0 / f64::from(self.settings.node_count.max(1));
        let part = view.fair * server.weight * server.warmth(&self.settings, now);
        let allowed = (part * HEADROOM + view.group_cost * unseen) * slack;
        after <= cap && (firm || server.held.is_empty() || after <= allowed)
    }

    fn load_of(&self, request: &Request) -> f64 {
        let mean = |(sum, count): (f64, f64)| (count > 0.0).then(|| sum / count);
        let known = self.class_loads.get(request.class).copied().and_then(mean);
        request.load.or(known).unwrap_or_else(|| self.mean_load())
    }

    fn count(&mut self, id: RequestId, joins: bool) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let load = if joins {
            self.load_of(request)
        } else {
            request.counted
        };
        let group_cost = GROUP_COST * self.mean_load();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.counted = load;
        if let Some(open) = request
            .tenant
            .and_then(|tenant| self.tenant_open.get_mut(tenant))
        {
            *open = if joins {
                *open + 1
            } else {
                open.saturating_sub(1)
            };
        }
        let (group, Some(at)) = (request.group, request.out.as_ref().map(|out| out.server)) else {
            return;
        };
        self.fleet.change(at, |server| {
            if joins {
                server.held.insert(id);
                server.load += load;
                server.added += load;
                if let Some(group) = group {
                    let count = server.groups.entry(group).or_default();
                    *count += 1;
                    server.load += if *count == 1 { group_cost } else { 0.0 };
                }
            } else if server.held.remove(&id) {
                server.load -= load;
                server.added -= load; // or a server is full with what has long gone
                if let Some(group) = group {
                    let left = server
                        .groups
                        .entry(group)
                        .and_modify(|count| *count -= 1)
                        .or_default();
                    if *left == 0 {
                        server.groups.remove(&group);
                        server.load -= group_cost;
                    }
                }
                server.load = if server.held.is_empty() {
                    0.0
                } else {
                    server.load.max(0.0)
                };
            }
        });
    }

    fn load_note(&mut self, id: RequestId, load: f64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.load = Some(load);
        if let Some((sum, count)) = self.class_loads.get_mut(request.class) {
            // Old notes fade, so that the mean follows the day.
            (*sum, *count) = (*sum * 0.995 + load, *count * 0.995 + 1.0);
        }
        if let Some(at) = request.out.as_ref().map(|out| out.server) {
            let more = load - std::mem::replace(&mut request.counted, load);
            self.fleet
                .change(at, |server| server.load = (server.load + more).max(0.0));
        }
    }

    /// Its connections earn nothing: asks them to come again elsewhere, so many whatever has been saved up.
    fn empty(&mut self, at: Slot, free: f64, actions: &mut Actions) {
        let held = self
            .fleet
            .servers
            .get(at)
            .map_or(Vec::new(), |s| s.held.iter().copied().collect());
        self.move_tokens = self.move_tokens.max(free.min(held.len() as f64));
        held.into_iter()
            .for_each(|request| self.move_away(request, actions));
    }

    /// Moves the next part of what stands on servers that are out by hand; so goes a try that comes up there.
    fn empty_by_hand(&mut self, now: Timestamp, actions: &mut Actions) {
        for (server, steps) in self.by_hand.remaining_steps(now, EMPTIED, EMPTY_STEP) {
            let at = self.fleet.servers.slot(&server);
            let held = self
                .fleet
                .servers
                .get(at)
                .into_iter()
                .flat_map(|server| &server.held);
            let stands = |id: &&RequestId| self.requests.get(id).is_some_and(Request::stands);
            let held: Vec<RequestId> = held.filter(stands).copied().collect();
            let due = held.len().div_ceil(steps);
            self.move_tokens = self.move_tokens.max(due as f64);
            held.into_iter()
                .take(due)
                .for_each(|request| self.move_away(request, actions));
        }
        if !self.by_hand.drained().is_empty() && !std::mem::replace(&mut self.empty_timer, true) {
            actions.push(Action::SetTimer {
                after: EMPTY_STEP,
                handle: EMPTY_HANDLE,
            });
        }
    }

    fn move_away(&mut self, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.stands() && self.move_tokens >= 1.0 {
            self.move_tokens -= 1.0;
            request.over = true;
            actions.push(Action::Migrate(id));
        }
    }

    fn delay_note(
        &mut self,
        now: Timestamp,
        id: RequestId,
        delay: Duration,
        actions: &mut Actions,
    ) {
        let Some(out) = self
            .requests
            .get(&id)
            .and_then(|request| request.out.as_ref())
        else {
            return;
        };
        let server = out.server;
        let part = delay.as_secs_f64() / self.least_message_aim.as_secs_f64().max(1e-9);
        if part > LATE_SHEDS {
            self.probe(now, server, actions); // a report that has grown old keeps it from being relieved
        }
        if part > 1.5 {
            self.tell(now, server, delay >= SILENT_FOR, actions);
        }
        if delay >= SILENT_FOR {
            // No queue is that long: it answers nothing, and its connections had best leave.
            self.strike(now, server, STRIKES, true, actions);
        } else if let Some((_, keep)) = LATE.iter().find(|(over, _)| part > *over) {
            self.crowd(now, server, *keep, part > LATE_SHEDS, actions);
        }
    }

    /// Tells the other gateways of a late server, one of all that hold connections there at a time. They are
    /// hints: a gateway that holds nothing there would send the next connection to it all the same.
    fn tell(&mut self, now: Timestamp, at: Slot, silent: bool, actions: &mut Actions) {
        let known = self.fleet.servers.len().max(1) as f64;
        let holders = self.fleet.sums.held * f64::from(self.settings.node_count) / known;
        let chosen = self.jitter() * 4.0 * holders.min(f64::from(self.settings.node_count)) < 1.0;
        let may = self.settings.gossip_allowed && chosen;
        let Some(server) = self.fleet.servers.get_mut(at).filter(|_| may) else {
            return;
        };
        if server
            .heard
            .is_none_or(|at| now.saturating_duration_since(at) > HEARD)
        {
            server.heard = Some(now);
            let mark = if silent { SILENT } else { "" };
            let name: String = short_name(server.hash)
                .iter()
                .copied()
                .map(char::from)
                .collect();
            actions.push(Action::Gossip(name + mark));
        }
    }

    fn told(&mut self, now: Timestamp, message: &str) {
        let name = message.strip_suffix(SILENT).unwrap_or(message);
        let named = self
            .fleet
            .open
            .iter()
            .filter(|(hash, _)| short_name(*hash) == name.as_bytes());
        for at in named.map(|(_, at)| at).collect::<Vec<_>>() {
            self.fleet.change(at, |server| {
                server.heard = Some(now);
                if name != message {
                    server.barred_until = server
                        .barred_until
                        .max(Some(now.saturating_add(HEARD * 3 / 2)));
                }
            });
        }
    }

    /// A report of utilisation counts everybody's load, so it goes before what this gateway's own load tells.
    fn reported(&mut self, now: Timestamp, at: Slot, values: &[f64], actions: &mut Actions) {
        let Some(used) = self
            .settings
            .utilization_field
            .and_then(|place| values.get(place))
        else {
            return;
        };
        // With connections on it that load it, none at all tells of a time before they came.
        if *used <= 0.0
            && self
                .fleet
                .servers
                .get(at)
                .is_some_and(|server| !server.held.is_empty())
        {
            return;
        }
        self.fleet.change(at, |server| {
            server.used = Some((now, *used));
            (server.added, server.held_then) = (0.0, server.held.len());
            server.cap = if *used > FULL {
                server.load * FULL / *used
            } else {
                f64::INFINITY
            };
            if *used > FULL {
                server.crowded_at = Some(now);
            }
        });
        if *used > CROWDED {
            self.shed(now, at, actions);
        }
    }

    /// The server is crowded: from now on it may hold only `keep` of what it holds, and where `sheds` is set
    /// what is over that moves off. Guards against servers that are slower or more loaded than their share of
    /// keys assumes, and, where all are, against a fleet that answers all late instead of most in time.
    fn crowd(&mut self, now: Timestamp, at: Slot, keep: f64, sheds: bool, actions: &mut Actions) {
        let fair = self.fair_unit();
        let Some(server) = self.fleet.servers.get(at) else {
            return;
        };
        let reported = server
            .used
            .is_some_and(|(at, _)| now.saturating_duration_since(at) < CALM);
        if reported
            || server
                .crowded_at
                .is_some_and(|at| now.saturating_duration_since(at) < TICK.mul_f64(0.9))
        {
            return;
        }
        self.fleet.change(at, |server| {
            server.crowded_at = Some(now);
            server.cap = server.cap.min((server.load * keep).max(fair * LEAST_CAP));
        });
        if sheds {
            self.shed(now, at, actions);
        }
    }

    /// Moves connections off a server until it holds no more than it may: those of tenants over their share
    /// first, then whole groups with their shared work, small ones first since each frees as much of that,
    /// equal ones by a hash, so that other gateways let go of the same. Only where none fits is one split,
    /// heaviest connections first.
    fn shed(&mut self, now: Timestamp, at: Slot, actions: &mut Actions) {
        let round = self.jitter();
        let Some(server) = self.fleet.servers.get(at) else {
            return;
        };
        let mut excess = server.load - server.cap;
        let group_cost = GROUP_COST * self.mean_load();
        type Part = (f64, Vec<(f64, RequestId)>);
        let mut parts: BTreeMap<(bool, u32), Part> = BTreeMap::new();
        for held in &server.held {
            let Some(request) = self.requests.get(held) else {
                continue;
            };
            let rest = if request.returned {
                RETURNED_REST
            } else {
                REST
            };
            let rested = |out: &Attempt| {
                out.stands && (out.free || now.saturating_duration_since(out.sent) > rest)
            };
            if request.over || !request.out.as_ref().is_some_and(rested) {
                continue;
            }
            let cost = if request.group.is_some() {
                group_cost
            } else {
                0.0
            };
            let order = (!self.over_share(request), request.key.rotate_left(16));
            let part = parts.entry(order).or_insert((cost, Vec::new()));
            part.0 += request.counted;
            part.1.push((request.counted, *held));
        }
        let mut parts: Vec<((bool, u32), Part)> = parts.into_iter().collect();
        parts.sort_by_key(|((within_share, _), part)| (*within_share, part.1.len()));
        let fits = |whole: f64, excess: f64| whole <= excess * 1.5;
        let (whole, rest): (Vec<Part>, Vec<Part>) =
            parts.into_iter().map(|(_, part)| part).partition(|part| {
                // A single connection cannot go in part: it goes as often as its part would be due, or every
                // gateway that holds one would let go of all at once.
                let by_chance = part.1.len() == 1 && part.0 * round <= excess;
                let goes = excess > 0.0 && (fits(part.0, excess) || by_chance);
                excess -= if goes { part.0 } else { 0.0 };
                goes
            });
        for (_, request) in whole.into_iter().flat_map(|part| part.1) {
            self.move_away(request, actions);
        }
        for mut part in rest.into_iter().filter(|part| part.1.len() > 1) {
            part.1
                .sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
            for (load, request) in part.1 {
                if excess > 0.0 && fits(load, excess) {
                    excess -= load;
                    self.move_away(request, actions);
                }
            }
        }
    }

    /// Whether the tenant holds more connections than its share, as far as this gateway's part of them tells.
    fn over_share(&self, request: &Request) -> bool {
        let Some(tenant) = request.tenant else {
            return false;
        };
        let quota = self
            .settings
            .tenants
            .get(tenant)
            .and_then(|tenant| tenant.connection_quota);
        let open = self.tenant_open.get(tenant).copied().unwrap_or(0) as f64;
        quota.is_some_and(|quota| open * f64::from(self.settings.node_count.max(1)) > quota)
    }

    fn tick(&mut self, now: Timestamp, actions: &mut Actions) {
        actions.push(Action::SetTimer {
            after: TICK,
            handle: TICK_HANDLE,
        });
        let all_held = self.fleet.sums.held;
        self.move_tokens =
            (self.move_tokens + MOVES_PER_S * all_held).min((MOVES_SAVED * all_held).max(1.0));
        self.seen *= 1.0 - SEEN_FADES;
        self.seen_groups
            .values_mut()
            .for_each(|seen| *seen *= 1.0 - SEEN_FADES);
        self.seen_groups.retain(|_, seen| *seen > 0.1);
        self.probe_tokens = self.probe_tokens.min(self.fleet.servers.len() as f64);
        let kept_up = std::mem::take(&mut self.fleet.kept_up);
        let faded = |seen: &mut f64| *seen *= 1.0 - SEEN_FADES;
        self.kinds
            .values_mut()
            .for_each(|(seen, crowded)| [seen, crowded].into_iter().for_each(faded));
        // Cold servers: no faster than would fill them over their warm-up to what a warm one holds here.
        let cold_for = self.settings.slow_start_duration.as_secs_f64().max(1.0);
        let saved_share = self.cold.saved(now, self.settings.node_count);
        let window = self.settings.overload_window.as_secs_f64().max(0.1);
        let floor = saved_share / COLD_SAVED * LEAST_HELD / cold_for;
        let mut refill = 0.0;
        self.demand *= 1.0 - DEMAND_FADES;
        let (ready, warm) = (self.fleet.sums.ready, self.fleet.sums.warm);
        let wanted = self.demand * DEMAND_FADES;
        // What cold servers leave goes to the warm ones.
        let part_of_demand = |due: f64| {
            let left = wanted - due * (ready - warm);
            if left > 0.0 {
                due * warm / left
            } else {
                1.0
            }
        };
        let rate = self.fleet.sums.warm_held / self.fleet.sums.warm.max(1.0) / cold_for;
        let within = (self.settings.overload_factor * COLD_PART).min(2.0);
        let fair = self.fair_unit();
        let mean_load = self.mean_load();
        let group_cost = GROUP_COST * mean_load;
        let mean = |(sum, count): &(f64, f64)| if *count > 0.0 { sum / count } else { mean_load };
        let usual: Vec<f64> = self.class_loads.iter().map(mean).collect();
        for at in kept_up {
            let Some(server) = self.fleet.servers.get(at) else {
                continue;
            };
            // A gone server is remembered for a while, or one listed anew as draining had a second grace.
            let left = now.saturating_duration_since(server.leaving_since) >= FORGET
                && server.held.is_empty();
            if server.health == Health::Gone && left {
                self.fleet.sums.add(server, -1.0);
                self.fleet.servers.remove(at);
                continue;
            }
            if !server.held.is_empty() && !server.cold && server.barred_until.is_none() {
                let crowded = server
                    .crowded_at
                    .is_some_and(|at| now.saturating_duration_since(at) < TICK * 3 / 2);
                let kind = self.kinds.entry(server.kind).or_default();
                *kind = (kind.0 + 1.0, kind.1 + f64::from(u8::from(crowded)));
            }
            let mut load = server.groups.len() as f64 * group_cost;
            for held in &server.held {
                let Some(request) = self.requests.get_mut(held) else {
                    continue;
                };
                let usual = usual.get(request.class).copied().unwrap_or(mean_load);
                request.counted = request.load.unwrap_or(usual);
                load += request.counted;
            }
            let settings = &self.settings;
            self.fleet.change(at, |server| {
                server.load = load;
                server.cold = server.is_cold(settings, now);
                if server.cold {
                    let span = now.saturating_duration_since(server.refilled).as_secs_f64();
                    let guess = rate.max(floor) * server.warmth(settings, now) * SPARE;
                    let full = server.filled_by(now, CALM).unwrap_or(0.0);
                    let due = span * within * guess.max(full / cold_for);
                    refill += due * if warm >= 1.0 { GUESSED } else { 1.0 };
                    server.part = part_of_demand(due / span.max(1e-9));
                    // What the others send is not known: this one keeps to one in a window, or its part.
                    let part = (due / span.max(1e-9)).max(1.0 / window);
                    server.tokens = (server.tokens + span * part).min((part * window).max(1.0));
                    server.refilled = now;
                }
                if server
                    .crowded_at
                    .is_none_or(|at| now.saturating_duration_since(at) > TICK * 2)
                {
                    let calm = server
                        .crowded_at
                        .is_none_or(|at| now.saturating_duration_since(at) > CALM);
                    server.cap += fair * CAP_RISE * if calm { 2.0 } else { 0.5 };
                }
                server.kept_up = false; // and again, if it still has to be
            });
        }
        let most = if refill > 0.0 {
            (refill * window).max(1.0)
        } else {
            0.0
        };
        self.cold.refill(refill, most);
        self.look_at_cut_zones(now, actions);
        self.shares.fade(&self.fleet);
        self.share_out(now, 0.0, actions);
        self.open_cold(now);
    }

    fn mean_load(&self) -> f64 {
        let all = self
            .class_loads
            .iter()
            .fold((0.0, 0.0), |(s, n), (sum, count)| (s + sum, n + count));
        Some(all)
            .filter(|(_, count)| *count > 0.0)
            .map_or(1.0, |(sum, count)| sum / count)
    }
}
