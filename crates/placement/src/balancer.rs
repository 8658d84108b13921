//! The balancer of one node: its state, each part of which is maintained by a module of its own. The module `events`
//! passes events to it.

use crate::admin_drain::AdminDrain;
use crate::hashing::random_fraction;
use crate::limits::health_check_budget::HealthCheckBudget;
use crate::limits::machine_kinds::MachineKindOverload;
use crate::limits::setup_window::SetupWindow;
use crate::limits::slow_start_budget::SlowStartBudget;
use crate::poll_schedule::PollSchedule;
use crate::recovery::key_redistribution::KeyRedistribution;
use crate::recovery::migration_budget::MigrationBudget;
use crate::recovery::shared_failures::SharedFailureDetector;
use crate::state::broken_connections::BrokenConnections;
use crate::state::fleet::Fleet;
use crate::state::group_frequency::GroupFrequency;
use crate::state::learned_state::LearnedServer;
use crate::state::load_estimates::LoadEstimates;
use crate::state::request::RequestState;
use crate::state::request_rate::RequestRate;
use crate::state::tenant_usage::TenantUsage;
use crate::timer::SingleTimer;
use crate::{Action, RequestId, Settings, Timer, Timestamp};
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The random stream that spreads the nodes of a fleet: their slow-start thresholds and their calls to discovery.
const FLEET_RNG_STREAM: u64 = 1;

pub(crate) type Actions = Vec<Action>;

/// The balancer of one node.
pub struct Balancer {
    pub(crate) settings: Settings,
    /// The shortest message latency objective of any class.
    pub(crate) min_message_objective: Duration,
    pub(crate) jitter_rng: Pcg32,
    /// Separate from `jitter_rng`, so that neither affects the numbers of the other.
    pub(crate) fleet_rng: Pcg32,
    pub(crate) poll_schedule: PollSchedule,
    pub(crate) admin_drain: AdminDrain,
    pub(crate) drain_timer: SingleTimer,
    pub(crate) fleet: Fleet,
    pub(crate) requests: HashMap<RequestId, RequestState>,
    /// Requests that wait for a connection setup, oldest first.
    pub(crate) queue: VecDeque<RequestId>,
    pub(crate) queue_timer: SingleTimer,
    pub(crate) setup_window: SetupWindow,
    pub(crate) shared_failures: SharedFailureDetector,
    pub(crate) load_estimates: LoadEstimates,
    pub(crate) tenant_usage: TenantUsage,
    pub(crate) request_rate: RequestRate,
    pub(crate) group_frequency: GroupFrequency,
    pub(crate) broken_connections: BrokenConnections,
    pub(crate) machine_kinds: MachineKindOverload,
    pub(crate) health_check_budget: HealthCheckBudget,
    pub(crate) slow_start_budget: SlowStartBudget,
    pub(crate) migration_budget: MigrationBudget,
    pub(crate) key_redistribution: KeyRedistribution,
}

impl Balancer {
    /// Creates a balancer without any servers. The same seed and events always give the same actions.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut fleet_rng = Pcg32::new(seed, FLEET_RNG_STREAM);
        let slow_start_threshold = random_fraction(&mut fleet_rng);
        Balancer {
            min_message_objective: settings.min_message_objective(),
            jitter_rng: Pcg32::seed_from_u64(seed),
            fleet_rng,
            poll_schedule: PollSchedule::new(settings.node_count),
            admin_drain: AdminDrain::default(),
            drain_timer: SingleTimer::new(Timer::AdminDrain),
            fleet: Fleet::default(),
            requests: HashMap::new(),
            queue: VecDeque::new(),
            queue_timer: SingleTimer::new(Timer::Queue),
            setup_window: SetupWindow::new(settings.node_count),
            shared_failures: SharedFailureDetector::default(),
            load_estimates: LoadEstimates::new(settings.classes.len()),
            tenant_usage: TenantUsage::new(settings.tenants.len()),
            request_rate: RequestRate::default(),
            group_frequency: GroupFrequency::default(),
            broken_connections: BrokenConnections::default(),
            machine_kinds: MachineKindOverload::default(),
            health_check_budget: HealthCheckBudget::default(),
            slow_start_budget: SlowStartBudget::new(slow_start_threshold),
            migration_budget: MigrationBudget::default(),
            key_redistribution: KeyRedistribution::default(),
            settings,
        }
    }

    /// Returns the servers that an administrator drains, and the known endpoints.
    pub fn admin_drain(&self) -> &AdminDrain {
        &self.admin_drain
    }

    /// Returns the learned state of the servers, for a process that replaces this one.
    pub fn learned_state(&self, now: Timestamp) -> Vec<LearnedServer> {
        self.fleet.learned_state(now)
    }

    /// Returns a random number from 0 up to 1.
    pub(crate) fn jitter(&mut self) -> f64 {
        random_fraction(&mut self.jitter_rng)
    }

    /// Changes the settings. The load estimate of a class follows the class to its new index, and existing requests
    /// keep the rules under which they were received.
    pub(crate) fn apply_settings(
        &mut self,
        settings: Settings,
        previous_class_indices: &[Option<usize>],
    ) {
        self.load_estimates.rearrange(previous_class_indices);
        for request in self.requests.values_mut() {
            let index = previous_class_indices
                .iter()
                .position(|previous| *previous == Some(request.class));
            request.class = index.unwrap_or(usize::MAX);
        }
        self.poll_schedule.set_node_count(settings.node_count);
        self.setup_window.set_node_count(settings.node_count);
        self.tenant_usage.set_tenant_count(settings.tenants.len());
        self.min_message_objective = settings.min_message_objective();
        self.settings = settings;
    }
}
