//! Turns what the fronts and peers see into the module's events and its actions into orders. Owns the request
//! contexts and knows no syntax: another front can come through here with the same decisions and rules.

use crate::config::Config;
use crate::deadline::PlacementTimer;
use crate::load_lines::{LoadLines, Told};
use lupincrank_control::lease::LeaseTerms;
use lupincrank_placement::learned_state::LearnedServer;
use lupincrank_placement::{
    Action, Balancer, Endpoint, Event, Health, Outcome, RequestId, RequestInfo, ServerId, Settings,
    SlowStartLease, Timestamp,
};
use slog::{debug, info, warn, Logger};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The module's clock starts here, so that moments before the node's start can be named too.
const EPOCH: Duration = Duration::from_secs(1 << 22);
/// Delays are told once a second for each transcriber.
const PACE: Duration = Duration::from_secs(1);
/// A line that nothing came back for in this time is told for its own connection: sound ones return lines at once.
const QUIET: Duration = Duration::from_secs(1);
/// A transcriber that has returned nothing since so many of its connections sent their lines, and for so long, answers
/// nobody. That is believed of half of the transcribers in use at the most: of more it is this node that is cut off.
const HUSHED: usize = 2;
const HUSH: Duration = Duration::from_millis(500);

/// A set-up that takes this multiple of what is usual has waited. What is usual is the median of the latest ones,
/// and nothing is while there are few.
const LONG_SETUP: u32 = 3;
const MOST_SETUPS: usize = 63;
const FEWEST_SETUPS: usize = 8;
/// Lines of one connection that are kept in mind while nothing comes back for them.
const MOST_UNANSWERED: usize = 256;
/// A node that has just begun waits for discovery's list at the most so long before it lets the front send clients.
const LIST_AWAITED: Duration = Duration::from_secs(6);
/// A node that ends lets clients come again after this at the most: by then the front sends them elsewhere.
const LEAVING_RETRY: Duration = Duration::from_millis(500);

/// Who answers a request's client: an id that is handed back with each order and never looks at.
pub type Owner = u64;

/// A try that the module wants made.
pub struct AttemptOrder {
    /// For which request.
    pub request: RequestId,
    /// Where the transcriber listens.
    pub dial: SocketAddr,
    /// When to stop waiting.
    pub until: Instant,
}

/// What is to be carried out, and for which object.
pub enum Order {
    /// Make a try.
    Try(Owner, AttemptOrder),
    /// Reject the request.
    Refuse(Owner, Duration),
    /// End it as failed.
    Fail(Owner),
    /// Send a client away.
    Move(Owner),
    /// Probe a transcriber, which listens there; `Core::probed` is told what came back.
    Probe(ServerId, SocketAddr),
    /// Ask discovery for changes.
    Subscribe,
    /// Call `Core::timer` later.
    Timer {
        /// From now.
        after: Duration,
        /// To be handed back.
        timer: PlacementTimer,
    },
}

/// One entry of the upstream group.
pub struct Member {
    /// What the module is told.
    pub listed: Endpoint,
    /// Where it listens, as this node reaches it.
    pub dial: SocketAddr,
}

/// A request from its first line to the end of its connection.
struct ActiveRequest {
    /// The object that answers its client.
    owner: Owner,
    expires: Instant,
    /// Attempts made so far.
    attempts: u32,
    /// The transcriber of the present try or of the standing connection.
    server: Option<ServerId>,
    tried_at: Instant,
    /// Its line was let go: from then on it may have run.
    sent: bool,
    stands: bool,
    /// Nobody waits for it any more.
    over: bool,
    /// As it came, and its load as last told, in microseconds of work a second: for who takes it over.
    incoming: RequestInfo,
    load: Option<f64>,
    /// When each line of the client went on that nothing has come back for yet.
    unanswered: VecDeque<Instant>,
    load_lines: LoadLines,
}

/// What the lines of one transcriber's connections tell of its delay.
#[derive(Default)]
struct Pulse {
    /// Delays of the lines that came back since the last note.
    delays: Vec<Duration>,
    /// By how much set-ups since then took longer than usual, where that was much.
    waits: Vec<Duration>,
    told: Option<Instant>,
    /// When a line last came back, and whether its silence since has been told.
    heard: Option<Instant>,
    hushed: bool,
    /// The last note said that messages take long.
    late: bool,
}

/// The decisions of this node with what they are about.
pub struct Core {
    /// What is to be carried out now.
    pub orders: VecDeque<Order>,
    balancer: Balancer,
    least_aim: Duration,
    /// What a client that comes while the node ends is told to wait, as far as the settings allow.
    leaving_retry: Duration,
    actions: Vec<Action>,
    contexts: HashMap<RequestId, ActiveRequest>,
    /// The upstream group: where each transcriber listens, and whether it takes new connections.
    group: HashMap<ServerId, (SocketAddr, Health)>,
    pulses: BTreeMap<ServerId, Pulse>,
    /// How long the latest set-ups took, at whatever transcriber.
    setups: VecDeque<Duration>,
    start: Instant,
    born: SystemTime,
    timers: u64,
    leaving: bool,
    /// Processes of this node that take clients in.
    processes: u32,
    /// Discovery has told the list in this node's life.
    told: bool,
    /// See `Core::slice`.
    slice: Option<SlowStartLease>,
    log: Logger,
}

/// A request's id as the protocol writes it.
fn name(request: RequestId) -> String {
    format!("{:016x}", request.0)
}

impl Core {
    /// The decisions as they begin. What they see and decide of single requests goes to `log` as debug lines, from
    /// which the state of a whole fleet can be added up: see `docs/operators/fleet.md`.
    pub fn new(config: &Config, log: Logger) -> Core {
        Core {
            orders: VecDeque::new(),
            balancer: Balancer::new(config.settings.clone(), config.seed),
            least_aim: config.settings.min_message_objective(),
            leaving_retry: LEAVING_RETRY.min(config.settings.max_retry_after),
            actions: Vec::new(),
            contexts: HashMap::new(),
            group: HashMap::new(),
            pulses: BTreeMap::new(),
            setups: VecDeque::new(),
            start: Instant::now(),
            born: SystemTime::now(),
            timers: 0,
            leaving: false,
            processes: 1,
            told: false,
            slice: None,
            log,
        }
    }

    /// Now, on the module's clock.
    pub fn now(&self) -> Timestamp {
        self.time(Instant::now())
    }

    /// What this node may send to cold transcribers by what the fleet agreed on: so many new connections in any window
    /// until then, and `floor` without a lease.
    pub fn slice(&mut self, sends: u32, floor: u32, part: f64, until: Option<Timestamp>) {
        let window = LeaseTerms::default().accounting_window;
        let slice = Some(SlowStartLease {
            fleet_share: part,
            limit: sends,
            expires_at: until,
            floor,
            window,
        });
        if slice != self.slice {
            self.slice.clone_from(&slice);
            self.feed(Event::LeaseChanged(slice));
        }
    }

    /// See `Balancer::cold_used`.
    pub fn cold_used(&mut self) -> (u32, bool) {
        let usage = self.balancer.take_slow_start_usage();
        (usage.max_attempts_in_window, usage.was_exhausted)
    }

    fn time(&self, at: Instant) -> Timestamp {
        let span = EPOCH + at.saturating_duration_since(self.start);
        Timestamp(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX))
    }

    /// A moment of Unix time on the module's clock; `None` for long ago.
    pub fn moment(&self, unix_ms: u64) -> Option<Timestamp> {
        let at = UNIX_EPOCH
            .checked_add(Duration::from_millis(unix_ms))
            .filter(|_| unix_ms > 0)?;
        let span = match at.duration_since(self.born) {
            Ok(later) => EPOCH.saturating_add(later),
            Err(before) => EPOCH.checked_sub(before.duration())?,
        };
        Some(Timestamp(
            u64::try_from(span.as_nanos()).unwrap_or(u64::MAX),
        ))
    }

    fn feed(&mut self, event: Event) {
        let now = self.time(Instant::now());
        self.balancer.handle(now, event, &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                request,
                server,
                patience,
            } => {
                let dial = self.group.get(&server).map(|(dial, _)| *dial);
                let Some(context) = self.contexts.get_mut(&request) else {
                    return;
                };
                let now = Instant::now();
                context.attempts += 1;
                context.server = Some(server);
                (context.tried_at, context.sent) = (now, false);
                let until = context.expires.min(now + patience);
                let owner = context.owner;
                match dial {
                    Some(dial) => {
                        self.orders.push_back(Order::Try(
                            owner,
                            AttemptOrder {
                                request,
                                dial,
                                until,
                            },
                        ));
                    }
                    // The list names it, so it has an address; if not, nothing was sent.
                    None => self.try_ended(request, Outcome::NotSent, false),
                }
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                if let Some(context) = self.contexts.remove(&request) {
                    debug!(self.log, "refused"; "request" => name(request), "tries" => context.attempts,
                        "ms" => retry_after.as_millis() as u64);
                    self.orders
                        .push_back(Order::Refuse(context.owner, retry_after));
                }
            }
            Action::Fail(request) => {
                if let Some(context) = self.contexts.remove(&request) {
                    self.orders.push_back(Order::Fail(context.owner));
                }
            }
            Action::Migrate(request) => {
                if let Some(context) = self
                    .contexts
                    .get_mut(&request)
                    .filter(|context| context.stands)
                {
                    debug!(self.log, "moved"; "request" => name(request));
                    context.over = true;
                    self.orders.push_back(Order::Move(context.owner));
                }
            }
            Action::SetTimer { after, handle } => {
                // Timers with the same handle may be set side by side: each is a purpose of its own.
                self.timers += 1;
                let timer = PlacementTimer {
                    sequence: self.timers,
                    handle,
                };
                self.orders.push_back(Order::Timer { after, timer });
            }
            Action::WatchEndpoints => self.orders.push_back(Order::Subscribe),
            Action::CheckHealth(server) => {
                if let Some((dial, _)) = self.group.get(&server) {
                    self.orders.push_back(Order::Probe(server, *dial));
                }
            }
            // The protocol of this kind of site has no talk between nodes.
            Action::Gossip(_) => {}
        }
    }

    /// Begins discovery and upkeep.
    pub fn start(&mut self) {
        self.feed(Event::Start);
    }

    /// A timer has come due.
    pub fn timer(&mut self, timer: PlacementTimer) {
        self.feed(Event::TimerFired(timer.handle));
    }

    /// The upstream group, whole or what changed of it.
    pub fn list(&mut self, members: Vec<Member>, whole: bool, cached: bool) {
        let mut entries = Vec::with_capacity(members.len());
        if whole {
            self.group.clear();
        }
        for Member { listed, dial } in members {
            match listed.health {
                Health::Gone => drop(self.group.remove(&listed.server)),
                health => drop(self.group.insert(listed.server.clone(), (dial, health))),
            }
            entries.push(listed);
        }
        self.feed(if whole {
            Event::EndpointList { entries, cached }
        } else {
            Event::EndpointChange(entries)
        });
    }

    /// Discovery has answered: what has changed since the known list comes with that.
    pub fn list_told(&mut self) {
        self.told = true;
    }

    /// The watch has fallen silent.
    pub fn list_silent(&mut self) {
        self.feed(Event::EndpointWatchSilent);
    }

    /// A call to discovery failed or the watch broke.
    pub fn list_failed(&mut self) {
        self.feed(Event::EndpointWatchFailed);
    }

    /// Whether the front may send clients: some transcriber takes new connections, by a list that discovery told.
    /// Guards against a node that starts in the middle of a release and sends its clients to transcribers that have
    /// long been replaced, though other nodes know better. With no answer from discovery the known list has to do.
    /// Otherwise says what is missing.
    pub fn able(&self) -> Result<(), &'static str> {
        if !self.told && self.start.elapsed() <= LIST_AWAITED {
            return Err("discovery has not told the list yet");
        }
        let any = self
            .group
            .values()
            .any(|(_, health)| *health == Health::Ready);
        any.then_some(())
            .ok_or("the list names no transcriber that takes connections")
    }

    /// Where a transcriber listens, if it takes new connections.
    pub fn dial(&self, server: &str) -> Option<SocketAddr> {
        let (dial, health) = self.group.get(&ServerId::from(server))?;
        let out = self.out().contains(&ServerId::from(server));
        Some(*dial).filter(|_| *health == Health::Ready && !out)
    }

    /// Other settings hold from now on. `from`: for each class its position before, if it was there.
    pub fn renew(&mut self, config: &Config, from: Vec<Option<usize>>) {
        let instances = config.settings.node_count.saturating_mul(self.processes);
        for context in self.contexts.values_mut() {
            let now_at = from
                .iter()
                .position(|old| *old == Some(context.incoming.class));
            context.incoming.class = now_at.unwrap_or(usize::MAX);
        }
        self.least_aim = config.settings.min_message_objective();
        self.leaving_retry = LEAVING_RETRY.min(config.settings.max_retry_after);
        self.feed(Event::SettingsChanged {
            settings: Settings {
                node_count: instances,
                ..config.settings.clone()
            },
            from,
        });
    }

    /// So many processes of this node take clients in: what is shared out among nodes is shared among these too.
    pub fn share(&mut self, config: &Config, processes: u32) {
        if std::mem::replace(&mut self.processes, processes) != processes {
            debug!(self.log, "budgets are shared"; "processes" => processes);
            self.renew(config, (0..config.classes.len()).map(Some).collect());
        }
    }

    /// The transcribers that are out by hand.
    pub fn out(&self) -> &BTreeSet<ServerId> {
        self.balancer.admin_drain().drained()
    }

    /// Whether a transcriber of this id is listed or out by hand.
    pub fn knows(&self, server: &ServerId) -> bool {
        self.balancer.admin_drain().knows(server)
    }

    /// From now on exactly these transcribers are out by hand.
    pub fn set_out(&mut self, out: BTreeSet<ServerId>) {
        if out == *self.out() {
            return;
        }
        let names: Vec<&str> = out.iter().map(|server| &*server.0).collect();
        info!(self.log, "out by hand"; "transcribers" => names.join(" "));
        let mut ready = self
            .group
            .iter()
            .filter(|(_, (_, health))| *health == Health::Ready)
            .peekable();
        if ready.peek().is_some() && ready.all(|(server, _)| out.contains(server)) {
            warn!(self.log, "no transcriber is left: all clients are refused"; "out" => out.len());
        }
        self.feed(Event::AdminDrain(out));
    }

    /// Whether the present try's line may go out: its transcriber takes new connections still, as far as this node has been
    /// told.
    pub fn may_send(&mut self, request: RequestId) -> bool {
        let server = self
            .contexts
            .get(&request)
            .and_then(|context| context.server.as_ref());
        let ready = |server: &ServerId| matches!(self.group.get(server), Some((_, Health::Ready)));
        let may = server.is_some_and(|server| ready(server) && !self.out().contains(server))
            && self.balancer.may_send(self.now(), request);
        if let Some(context) = self.contexts.get_mut(&request) {
            context.sent = may;
        }
        may
    }

    /// Whether a request of this id is held.
    pub fn holds(&self, request: RequestId) -> bool {
        self.contexts.contains_key(&request)
    }

    fn context(&mut self, owner: Owner, incoming: &mut RequestInfo, left: Duration) {
        let now = Instant::now();
        let expires = now + left;
        incoming.deadline = self.time(expires);
        let context = ActiveRequest {
            owner,
            expires,
            attempts: 0,
            server: None,
            tried_at: now,
            sent: false,
            stands: false,
            over: false,
            incoming: incoming.clone(),
            load: None,
            unanswered: VecDeque::new(),
            load_lines: LoadLines::default(),
        };
        self.contexts.insert(incoming.request, context);
    }

    /// A request is taken from a client that waits for `left`.
    pub fn request(&mut self, owner: Owner, mut incoming: RequestInfo, left: Duration) {
        if self.leaving {
            return self
                .orders
                .push_back(Order::Refuse(owner, self.leaving_retry));
        }
        self.context(owner, &mut incoming, left);
        debug!(self.log, "request"; "id" => name(incoming.request), "class" => incoming.class,
            "group" => incoming.group.clone(), "again" => incoming.is_reconnect, "left_ms" => left.as_millis() as u64);
        self.feed(Event::RequestReceived(incoming));
    }

    /// The transcriber could not read the request: that is its client's fault and says nothing of the transcriber.
    pub fn unreadable(&mut self, request: RequestId) {
        let Some(owner) = self.contexts.get(&request).map(|context| context.owner) else {
            return;
        };
        self.client_gone(request);
        self.orders.push_back(Order::Fail(owner));
    }

    /// A connection that stood before this node began is up again.
    pub fn inherited(&mut self, owner: Owner, mut incoming: RequestInfo, server: &str) {
        self.context(owner, &mut incoming, Duration::from_secs(1));
        if let Some(context) = self.contexts.get_mut(&incoming.request) {
            context.attempts = 1;
            context.server = Some(server.into());
            context.stands = true;
        }
        debug!(self.log, "inherited"; "request" => name(incoming.request), "class" => incoming.class,
            "group" => incoming.group.clone(), "server" => server);
        self.feed(Event::ConnectionInherited(incoming, server.into()));
    }

    /// What was learnt of the transcribers, for the process that takes this one's place.
    pub fn learnt(&self) -> Vec<LearnedServer> {
        self.balancer.learned_state(self.time(Instant::now()))
    }

    /// What the process before this one learnt.
    pub fn learn(&mut self, learnt: Vec<LearnedServer>) {
        let barred = learnt
            .iter()
            .filter(|learnt| learnt.ejected_for.is_some())
            .count();
        let crowded = learnt
            .iter()
            .filter(|learnt| learnt.concurrency_limit.is_some())
            .count();
        info!(self.log, "learnt"; "transcribers" => learnt.len(), "barred" => barred, "crowded" => crowded);
        self.feed(Event::LearnedState(learnt));
    }

    /// What another process needs to go on with a standing connection: its request, where it stands, its load and when
    /// lines went on that nothing has come back for. `None` for one that is about to end.
    pub fn standing(
        &self,
        request: RequestId,
    ) -> Option<(&RequestInfo, &ServerId, Option<f64>, &VecDeque<Instant>)> {
        let context = self
            .contexts
            .get(&request)
            .filter(|context| context.stands && !context.over)?;
        Some((
            &context.incoming,
            context.server.as_ref()?,
            context.load,
            &context.unanswered,
        ))
    }

    /// A connection comes from the process before this one.
    pub fn take_over(
        &mut self,
        owner: Owner,
        incoming: RequestInfo,
        server: &str,
        load: Option<f64>,
        unanswered: VecDeque<Instant>,
    ) {
        let request = incoming.request;
        self.inherited(owner, incoming, server);
        if let Some(context) = self.contexts.get_mut(&request) {
            context.load = load;
            context.unanswered = unanswered;
            context.unanswered.truncate(MOST_UNANSWERED);
        }
        if let Some(load) = load {
            self.feed(Event::LoadObserved {
                request,
                load: Duration::from_secs_f64(load / 1e6),
            });
        }
    }

    /// The present try is up.
    pub fn try_up(&mut self, request: RequestId) {
        let Some(context) = self.contexts.get_mut(&request) else {
            return;
        };
        context.stands = true;
        let took = context.tried_at.elapsed();
        let server = context.server.clone();
        debug!(self.log, "up"; "request" => name(request), "server" => server.as_ref().map(|id| id.0.to_string()),
            "us" => took.as_micros() as u64);
        if let (Some(server), Some(wait)) = (server, self.wait_of(took)) {
            self.pulses.entry(server).or_default().waits.push(wait);
        }
        self.feed(Event::ConnectionEstablished { request, took });
    }

    /// What a set-up waited for others, if it took much longer than usual: its first line is a message too, and
    /// the one that waits its turn even where a transcriber returns the lines of standing connections at once.
    fn wait_of(&mut self, took: Duration) -> Option<Duration> {
        let mut usual: Vec<Duration> = self.setups.iter().copied().collect();
        usual.sort_unstable();
        let usual = usual
            .get(usual.len() / 2)
            .copied()
            .filter(|_| usual.len() >= FEWEST_SETUPS);
        self.setups.push_back(took);
        if self.setups.len() > MOST_SETUPS {
            self.setups.pop_front();
        }
        usual
            .filter(|usual| took > *usual * LONG_SETUP)
            .map(|usual| took.checked_sub(usual).unwrap())
    }

    /// The present try has ended; its connection is closed. `done` where the client has its answer by this.
    pub fn try_ended(&mut self, request: RequestId, outcome: Outcome, done: bool) {
        let Some(context) = self.contexts.get_mut(&request) else {
            return;
        };
        let done = done || context.over;
        let attempt = context.attempts.saturating_sub(1);
        debug!(self.log, "ended"; "request" => name(request), "outcome" => ?outcome, "stood" => context.stands,
            "server" => context.server.as_ref().map(|id| id.0.to_string()));
        context.server = None;
        context.stands = false;
        context.unanswered.clear();
        if done {
            self.contexts.remove(&request);
        }
        self.feed(Event::AttemptEnded {
            request,
            attempt,
            outcome,
            done,
            report: None,
        });
    }

    /// The client has left before its answer; its try, if one is out, has been closed.
    pub fn client_gone(&mut self, request: RequestId) {
        let Some(context) = self.contexts.get_mut(&request) else {
            return;
        };
        context.over = true;
        let out = context.server.is_some();
        self.feed(Event::ClientGone(request));
        if out {
            self.try_ended(request, Outcome::Cancelled, true);
        } else {
            self.contexts.remove(&request);
        }
    }

    /// The request gets its final answer now; its try, if one is out, is closed with that. Which answer is the module's to
    /// say: what may have run must not always be said to have been refused.
    fn give_up(&mut self, request: RequestId) {
        let Some(context) = self.contexts.get(&request) else {
            return;
        };
        let (out, attempt) = (context.server.is_some(), context.attempts.saturating_sub(1));
        self.feed(Event::ShutdownDeadline {
            request,
            sent: context.sent,
        });
        if out {
            self.feed(Event::AttemptEnded {
                request,
                attempt,
                outcome: Outcome::Cancelled,
                done: true,
                report: None,
            });
        }
    }

    /// A probe of this transcriber has come back or failed; with its load report, if one came.
    pub fn probed(&mut self, server: &ServerId, passed: bool, report: Option<Vec<f64>>) {
        self.feed(Event::HealthCheckCompleted {
            server: server.clone(),
            passed,
            report,
        });
    }

    /// A transcriber has told this number of a standing connection: see `LoadLines`.
    pub fn load_line(&mut self, request: RequestId, value: f64) {
        let least = self.least_aim / 3;
        let Some(context) = self.contexts.get_mut(&request) else {
            return;
        };
        let load = match context.load_lines.take(Instant::now(), value, least) {
            Told::Load(load) => Some(load),
            Told::Delay { delay, load } => {
                debug!(self.log, "delay"; "request" => name(request), "ms" => delay.as_millis() as u64);
                self.feed(Event::DelayObserved { request, delay });
                load
            }
        };
        if let Some(load) = load {
            if let Some(context) = self.contexts.get_mut(&request) {
                context.load = Some(load);
            }
            debug!(self.log, "load"; "request" => name(request), "us" => load as u64);
            self.feed(Event::LoadObserved {
                request,
                load: Duration::from_secs_f64(load / 1e6),
            });
        }
    }

    /// A line of the client goes on to its transcriber.
    pub fn line_sent(&mut self, request: RequestId) {
        let Some(context) = self.contexts.get_mut(&request) else {
            return;
        };
        // Guards against a client that sends without end to a transcriber that takes it and returns nothing.
        if context.unanswered.len() < MOST_UNANSWERED {
            context.unanswered.push_back(Instant::now());
        }
    }

    /// When the oldest line of the client that nothing has come back for went on.
    pub fn oldest_line(&self, request: RequestId) -> Option<Instant> {
        self.contexts.get(&request)?.unanswered.front().copied()
    }

    /// A line has come back.
    pub fn line_returned(&mut self, request: RequestId) {
        let Some(context) = self.contexts.get_mut(&request) else {
            return;
        };
        let (Some(sent), Some(server)) = (context.unanswered.pop_front(), &context.server) else {
            return;
        };
        let (delay, heard) = (sent.elapsed(), Some(Instant::now()));
        if let Some(pulse) = self.pulses.get_mut(server) {
            (pulse.heard, pulse.hushed) = (heard, false);
            pulse.delays.push(delay);
        } else {
            let pulse = Pulse {
                delays: vec![delay],
                heard,
                ..Pulse::default()
            };
            self.pulses.insert(server.clone(), pulse);
        }
    }

    /// Looks through the standing connections and tells what the lines say of each transcriber: the delay that
    /// most of them see, once a second while it is over a third of the shortest aim and once when it is back.
    pub fn look(&mut self) {
        let now = Instant::now();
        let over = self.least_aim / 3;
        let (mut notes, mut silent, mut hushed) = (Vec::new(), Vec::new(), Vec::new());
        // What has not come back yet counts with its age: guards against a transcriber that answers nothing
        // and so never shows a delay.
        let mut ages: BTreeMap<&ServerId, Vec<(Duration, RequestId)>> = BTreeMap::new();
        for (request, context) in &self.contexts {
            let Some(server) = context
                .server
                .as_ref()
                .filter(|_| context.stands && !context.over)
            else {
                continue;
            };
            let age = context
                .unanswered
                .front()
                .map_or(Duration::ZERO, |sent| now - *sent);
            ages.entry(server).or_default().push((age, *request));
            if age >= QUIET {
                silent.push(*request);
            }
        }
        self.pulses.retain(|server, _| ages.contains_key(server));
        let in_use = ages.len();
        for (server, ages) in ages {
            if !self.pulses.contains_key(server) {
                self.pulses.insert(server.clone(), Pulse::default());
            }
            let Some(pulse) = self.pulses.get_mut(server) else {
                continue;
            };
            let since = pulse.heard.map_or(Duration::MAX, |heard| now - heard);
            if ages
                .iter()
                .filter(|(age, _)| *age >= HUSH && *age < since)
                .count()
                >= HUSHED
                && !pulse.hushed
            {
                hushed.push(server.clone());
            }
            if pulse.told.is_some_and(|told| now - told < PACE) {
                continue;
            }
            let mut seen = std::mem::take(&mut pulse.delays);
            seen.extend(ages.iter().map(|(age, _)| *age).filter(|age| *age > over));
            seen.sort_unstable();
            pulse.waits.sort_unstable();
            pulse.told = Some(now);
            let lines = seen.get(seen.len() / 2).copied();
            let waits = pulse.waits.get(pulse.waits.len() / 2).copied();
            pulse.waits.clear();
            let Some(delay) = lines.max(waits) else {
                continue;
            };
            let late = delay > over;
            if late || pulse.late {
                let request = ages.iter().map(|(_, request)| *request).min();
                notes.extend(request.map(|request| (request, delay)));
            }
            pulse.late = late;
        }
        notes.sort_unstable();
        silent.sort_unstable();
        hushed.truncate(if hushed.len() * 2 > in_use {
            0
        } else {
            hushed.len()
        });
        for server in hushed {
            if let Some(pulse) = self.pulses.get_mut(&server) {
                pulse.hushed = true;
            }
            self.feed(Event::ServerUnresponsive(server));
        }
        for (request, delay) in notes {
            self.feed(Event::DelayObserved { request, delay });
        }
        for request in silent {
            self.feed(Event::ConnectionUnresponsive(request));
        }
    }

    /// The node is to end: what comes from now on is rejected, for nothing could stand for long.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Sends standing clients away so that all have gone after `steps` more calls; at the last one the requests
    /// that still wait are given up too.
    pub fn send_away(&mut self, steps: usize) {
        let standing = self
            .contexts
            .iter()
            .filter(|(_, context)| context.stands && !context.over);
        let mut standing: Vec<RequestId> = standing.map(|(request, _)| *request).collect();
        standing.sort_unstable();
        let count = standing.len().div_ceil(steps.max(1));
        for request in standing.into_iter().take(count) {
            self.act(Action::Migrate(request));
        }
        if steps <= 1 {
            let waits = self
                .contexts
                .iter()
                .filter(|(_, context)| !context.stands && !context.over);
            for request in waits.map(|(request, _)| *request).collect::<Vec<_>>() {
                self.give_up(request);
            }
        }
    }
}

#[cfg(test)]
mod tests;
