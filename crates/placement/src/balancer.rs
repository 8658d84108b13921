//! Every event that the balancer takes in, and what it keeps between them.

use crate::admin_drain::AdminDrain;
use crate::hashing::random_fraction;
use crate::limits::setup_window::initial_setup_window;
use crate::limits::slow_start_budget::SlowStartBudget;
use crate::poll_schedule::PollSchedule;
use crate::recovery::key_redistribution::KeyRedistribution;
use crate::recovery::migration::MOVES_SAVED;
use crate::recovery::outlier_detection::STRIKES;
use crate::recovery::upkeep::TICK;
use crate::state::fleet::Fleet;
use crate::state::learned_state::LearnedServer;
use crate::state::request::{Attempt, RequestState};
use crate::{Action, Event, RequestId, Settings, Timer, Timestamp};
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

const CHANCES: u64 = 1; // the stream of random numbers for shares of a fleet's budgets

pub(crate) type Actions = Vec<Action>;

/// The balancer of one gateway.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) random: Pcg32,
    /// For what the gateways of a fleet share out among them: a stream of its own, so that neither shifts the
    /// other.
    pub(crate) chance: Pcg32,
    pub(crate) admin_drain: AdminDrain,
    pub(crate) fleet: Fleet,
    pub(crate) requests: HashMap<RequestId, RequestState>,
    pub(crate) class_loads: Vec<(f64, f64)>,
    pub(crate) setup_mean: f64,
    pub(crate) setup_floor: f64,
    pub(crate) min_message_objective: Duration,
    pub(crate) poll_schedule: PollSchedule,
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
    pub(crate) slow_start_budget: SlowStartBudget,
    /// Requests taken lately, fading.
    pub(crate) demand: f64,
    pub(crate) key_redistribution: KeyRedistribution,
    /// Connections taken lately, in all and of each group, fading.
    pub(crate) seen: f64,
    pub(crate) seen_groups: HashMap<u32, f64>,
    /// Seconds seen of servers of each kind that held something, and of those the crowded ones, fading.
    pub(crate) kinds: BTreeMap<u32, (f64, f64)>,
}

impl Balancer {
    /// A balancer that knows no server yet. `seed` serves jitter only.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let window = initial_setup_window(&settings);
        let mut chance = Pcg32::new(seed, CHANCES);
        Balancer {
            min_message_objective: settings.min_message_objective(),
            tenant_open: vec![0; settings.tenants.len()],
            class_loads: vec![(0.0, 0.0); settings.classes.len()],
            poll_schedule: PollSchedule::new(settings.node_count),
            settings,
            admin_drain: AdminDrain::default(),
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
            key_redistribution: KeyRedistribution::default(),
            slow_start_budget: SlowStartBudget::new(random_fraction(&mut chance)),
            chance,
            random: Pcg32::seed_from_u64(seed),
            seen: 0.0,
            seen_groups: HashMap::new(),
            kinds: BTreeMap::new(),
        }
    }

    /// Which servers are out by hand, and which are known.
    pub fn admin_drain(&self) -> &AdminDrain {
        &self.admin_drain
    }

    /// What it has learnt of its servers, for a process that takes its place.
    pub fn learned_state(&self, now: Timestamp) -> Vec<LearnedServer> {
        self.fleet.learned_state(now)
    }

    /// Takes in one event and appends what is to be done. `now` must not run backwards.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Start => {
                if self.settings.requires_endpoint_watch {
                    let after = self
                        .poll_schedule
                        .initial_delay(random_fraction(&mut self.chance));
                    let waits = Action::SetTimer {
                        after,
                        timer: Timer::EndpointWatch,
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
                    timer: Timer::Upkeep,
                });
            }
            Event::EndpointList { entries, cached } => {
                self.apply_endpoint_list(now, entries, true, cached, actions);
            }
            Event::EndpointChange(entries) => {
                self.apply_endpoint_list(now, entries, false, false, actions)
            }
            Event::SettingsChanged {
                settings,
                previous_class_indices,
            } => self.apply_settings(settings, &previous_class_indices),
            Event::LeaseChanged(slice) => self.slow_start_budget.set_lease(slice),
            Event::LearnedState(learnt) => {
                self.fleet.apply_learned_state(&self.settings, now, learnt)
            }
            Event::AdminDrain(out) => {
                let changed = self.admin_drain.set_drained_servers(now, out);
                self.apply_endpoints(now, changed, false, actions);
                self.migrate_drained(now, actions);
            }
            Event::EndpointWatchStalled if self.settings.requires_endpoint_watch => {
                let after = self
                    .poll_schedule
                    .stalled_watch_delay(random_fraction(&mut self.chance));
                actions.push(Action::SetTimer {
                    after,
                    timer: Timer::EndpointWatch,
                });
            }
            Event::EndpointWatchFailed if self.settings.requires_endpoint_watch => {
                let after = self
                    .poll_schedule
                    .retry_delay(random_fraction(&mut self.chance));
                actions.push(Action::SetTimer {
                    after,
                    timer: Timer::EndpointWatch,
                });
            }
            Event::RequestReceived(incoming) => {
                let id = incoming.request;
                let request = self.new_request_state(incoming);
                self.requests.insert(id, request);
                self.enqueue(now, id, actions);
            }
            Event::ConnectionInherited(incoming, server) => {
                let id = incoming.request;
                let mut request = self.new_request_state(incoming);
                request.attempt_count = 1;
                // It has stood for long: it may be moved at once, and brings its part of the moves allowed.
                let server = self.fleet.servers.slot(&server);
                request.in_flight = Some(Attempt {
                    server,
                    skips_setup: true,
                    sent_at: now,
                    is_established: true,
                });
                self.move_tokens += MOVES_SAVED;
                self.requests.insert(id, request);
                self.account_for(id, true);
            }
            Event::ConnectionEstablished {
                request,
                setup_duration,
            } => {
                self.on_established(now, request, setup_duration, actions);
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
                    .filter(|taken| taken.attempt_count == attempt + 1);
                let Some(out) = current.and_then(|taken| taken.in_flight.as_ref()) else {
                    return;
                };
                if let Some(values) = report {
                    self.on_load_report(now, out.server, &values, actions);
                }
                self.on_attempt_ended(now, request, outcome, done, actions);
            }
            Event::ClientGone(id) => self.finish_request(id),
            Event::ShutdownDeadline { request, sent } => {
                self.note_possible_execution(request, sent);
                self.reject_or_fail(request, actions);
            }
            Event::LoadObserved { request, load } => {
                self.on_load_observed(request, load.as_secs_f64())
            }
            Event::DelayObserved { request, delay } => {
                self.on_delay_observed(now, request, delay, actions);
            }
            Event::ServerUnresponsive(server) => {
                let at = self.fleet.servers.slot(&server);
                self.record_failure(now, at, STRIKES, false, actions);
                self.migrate_all(at, f64::INFINITY, actions);
                // Whether it died or was cut off, it may come back cold.
                self.fleet
                    .update(at, |server| server.restart_suspected = true);
            }
            Event::ConnectionUnresponsive(request) => {
                // Whatever may be moved at other times: nobody is served on it.
                self.move_tokens = self.move_tokens.max(1.0);
                self.migrate(request, actions);
            }
            Event::HealthCheckCompleted {
                server,
                passed,
                report,
            } => {
                let server = self.fleet.servers.slot(&server);
                self.on_health_check(
                    now,
                    server,
                    passed.then(|| report.unwrap_or_default()),
                    actions,
                );
            }
            Event::Gossip(message) => self.on_gossip(now, &message),
            Event::TimerFired(Timer::Upkeep) => self.run_upkeep(now, actions),
            Event::TimerFired(Timer::Queue) => {
                self.queue_timer = false;
                self.dispatch_queued(now, actions);
            }
            Event::TimerFired(Timer::AdminDrain) => {
                self.empty_timer = false;
                self.migrate_drained(now, actions);
            }
            Event::TimerFired(Timer::EndpointWatch) => actions.push(Action::WatchEndpoints),
            Event::EndpointWatchFailed | Event::EndpointWatchStalled => {}
        }
    }

    pub(crate) fn jitter(&mut self) -> f64 {
        random_fraction(&mut self.random)
    }

    /// Other settings: what was learnt of a class goes where it is now, and what is there keeps its rules.
    pub(crate) fn apply_settings(
        &mut self,
        settings: Settings,
        previous_class_indices: &[Option<usize>],
    ) {
        let learnt = |old: &Option<usize>| old.and_then(|old| self.class_loads.get(old)).copied();
        self.class_loads = previous_class_indices
            .iter()
            .map(|old| learnt(old).unwrap_or_default())
            .collect();
        for request in self.requests.values_mut() {
            let now_at = previous_class_indices
                .iter()
                .position(|old| *old == Some(request.class));
            request.class = now_at.unwrap_or(usize::MAX);
        }
        self.poll_schedule.set_node_count(settings.node_count);
        self.min_message_objective = settings.min_message_objective();
        self.tenant_open.resize(settings.tenants.len(), 0);
        self.settings = settings;
    }
}
