//! Every event that the balancer takes in, and what it keeps between them.

use crate::admin_drain::AdminDrain;
use crate::hashing::fraction;
use crate::limits::setup_window::first_window;
use crate::limits::slow_start_budget::Cold;
use crate::policy::queue::QUEUE_HANDLE;
use crate::poll_schedule::PollSchedule;
use crate::recovery::key_redistribution::Shares;
use crate::recovery::migration::{EMPTY_HANDLE, MOVES_SAVED};
use crate::recovery::outlier_detection::STRIKES;
use crate::recovery::upkeep::{TICK, TICK_HANDLE};
use crate::state::fleet::Fleet;
use crate::state::learned_state::LearnedServer;
use crate::state::request::{Attempt, Request};
use crate::{Action, Event, RequestId, Settings, Timestamp};
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

const CHANCES: u64 = 1; // the stream of random numbers for shares of a fleet's budgets
const LIST_HANDLE: u64 = 2;

pub(crate) type Actions = Vec<Action>;

/// The balancer of one gateway.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) random: Pcg32,
    /// For what the gateways of a fleet share out among them: a stream of its own, so that neither shifts the
    /// other.
    pub(crate) chance: Pcg32,
    pub(crate) by_hand: AdminDrain,
    pub(crate) fleet: Fleet,
    pub(crate) requests: HashMap<RequestId, Request>,
    pub(crate) class_loads: Vec<(f64, f64)>,
    pub(crate) setup_mean: f64,
    pub(crate) setup_floor: f64,
    pub(crate) least_message_aim: Duration,
    pub(crate) asking: PollSchedule,
    pub(crate) in_setup: usize,
    /// The part of set-ups that failed lately, each at another server than the one before, and the last such.
    pub(crate) failing: (f64, u32),
    /// How many set-ups may be under way, and when that was last cut.
    pub(crate) window: f64,
    pub(crate) window_cut: Timestamp,
    pub(crate) pause_until: Timestamp,
    pub(crate) waiting: VecDeque<RequestId>,
    pub(crate) queue_timer: bool,
    pub(crate) empty_timer: bool,
    pub(crate) tenant_open: Vec<usize>,
    pub(crate) move_tokens: f64,
    pub(crate) probe_tokens: f64,
    /// What this gateway may send to all cold servers together, and from how much of it a send is made: drawn
    /// anew for each, so that the parts of a send that many gateways have add up to the right number.
    pub(crate) cold: Cold,
    /// Requests taken lately, fading.
    pub(crate) demand: f64,
    pub(crate) shares: Shares,
    /// Connections taken lately, in all and of each group, fading.
    pub(crate) seen: f64,
    pub(crate) seen_groups: HashMap<u32, f64>,
    /// Seconds seen of servers of each kind that held something, and of those the crowded ones, fading.
    pub(crate) kinds: BTreeMap<u32, (f64, f64)>,
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

    pub(crate) fn jitter(&mut self) -> f64 {
        fraction(&mut self.random)
    }

    /// Other settings: what was learnt of a class goes where it is now, and what is there keeps its rules.
    pub(crate) fn renew(&mut self, settings: Settings, from: &[Option<usize>]) {
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
}
