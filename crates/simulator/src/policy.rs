//! Placement policies: the placement crate, and the baselines that it is compared with.

use crate::event_queue::SimTime;
use crate::server_model::{ServerModel, ServerState};
use lupincrank_placement::{
    key_hash, rank_score, server_hash, Action, Balancer, Endpoint, Event, Health, Outcome,
    RequestId, RequestInfo, ServerId, Settings, Timer, Timestamp,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, HashMap};
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// The state of all servers, which no real node sees.
pub struct FleetState<'a> {
    pub(crate) fleet: &'a [ServerModel],
    pub(crate) server_indices: &'a HashMap<ServerId, u32>,
    pub(crate) now: SimTime,
}

impl FleetState<'_> {
    /// Returns load over capacity, plus the wait behind the backlog in seconds and a tenth of the fraction of setup
    /// slots in use. Attempts on their way do not count. Returns `None` if the server accepts nothing.
    pub fn utilization(&self, server: &ServerId) -> Option<f64> {
        let index = *self.server_indices.get(server)?;
        let server = self
            .fleet
            .get(index as usize)
            .filter(|server| server.state == ServerState::Up)?;
        let (wait, _) = server.delay(self.now);
        Some(
            server.utilization(self.now)
                + wait
                + f64::from(server.setups) / f64::from(server.setup_slots().max(1)) * 0.1,
        )
    }
}

/// The placement policy of one node: events in, actions out.
pub trait Policy: Send {
    /// Handles one event and appends the resulting actions.
    fn handle(
        &mut self,
        now: Timestamp,
        event: Event,
        fleet_state: &FleetState,
        actions: &mut Vec<Action>,
    );
}

impl Policy for Balancer {
    fn handle(&mut self, now: Timestamp, event: Event, _: &FleetState, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }
}

/// The names of the policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyName {
    /// The placement crate, which results and experiments call the placement module.
    Module,
    /// Any ready server.
    Random,
    /// The server with the highest rank score, without limits.
    Plain,
    /// Of two random servers, the one with fewer connections of this node.
    TwoChoices,
    /// The server with the lowest true utilization: an upper bound, since no node can see it.
    LeastLoaded,
}

impl PolicyName {
    /// All policies.
    pub const ALL: [PolicyName; 5] = [
        PolicyName::Module,
        PolicyName::Random,
        PolicyName::Plain,
        PolicyName::TwoChoices,
        PolicyName::LeastLoaded,
    ];

    /// Returns the name as used on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            PolicyName::Module => "module",
            PolicyName::Random => "random",
            PolicyName::Plain => "plain",
            PolicyName::TwoChoices => "two-choices",
            PolicyName::LeastLoaded => "least-loaded",
        }
    }

    /// Returns the names of all policies, for messages.
    fn names() -> String {
        let names: Vec<&str> = PolicyName::ALL.iter().map(|name| name.as_str()).collect();
        names.join(", ")
    }

    /// Creates the policy of one node.
    pub fn make(self, settings: Settings, seed: u64) -> Box<dyn Policy> {
        match self {
            PolicyName::Module => Box::new(Balancer::new(settings, seed)),
            other => Box::new(Baseline::new(other, settings, seed)),
        }
    }
}

/// An unknown policy name.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("no policy is called {name:?}; there are {}", PolicyName::names())]
pub struct UnknownPolicy {
    /// The name that was given.
    pub name: String,
}

impl FromStr for PolicyName {
    type Err = UnknownPolicy;

    fn from_str(text: &str) -> Result<Self, UnknownPolicy> {
        PolicyName::ALL
            .into_iter()
            .find(|name| name.as_str() == text)
            .ok_or_else(|| UnknownPolicy {
                name: text.to_string(),
            })
    }
}

/// A baseline policy: it keeps the endpoint list, follows the rules on attempts, and retries attempts that end before
/// their connection is established.
pub struct Baseline {
    name: PolicyName,
    settings: Settings,
    rng: Pcg32,
    /// The servers' indices in `known`.
    server_indices: BTreeMap<ServerId, u32>,
    /// Each server that was ever in the endpoint list.
    known: Vec<KnownServer>,
    /// The ready servers, as indices into `known`.
    ready: Vec<u32>,
    requests: HashMap<RequestId, RequestState>,
}

/// A server that was in the endpoint list.
struct KnownServer {
    hash: u32,
    id: ServerId,
    /// Connections and attempts of this node.
    connections: u32,
}

struct RequestState {
    key: u32,
    deadline: Timestamp,
    attempts: u32,
    tried: Vec<u32>,
    server: Option<u32>,
    is_established: bool,
}

impl Baseline {
    fn new(name: PolicyName, settings: Settings, seed: u64) -> Self {
        Baseline {
            name,
            settings,
            rng: Pcg32::seed_from_u64(seed),
            server_indices: BTreeMap::new(),
            known: Vec::new(),
            ready: Vec::new(),
            requests: HashMap::new(),
        }
    }

    fn apply_endpoints(&mut self, entries: Vec<Endpoint>, is_full_list: bool) {
        if is_full_list {
            self.ready.clear();
        }
        for entry in entries {
            let next = self.known.len() as u32;
            let index = *self
                .server_indices
                .entry(entry.server.clone())
                .or_insert(next);
            if index == next {
                self.known.push(KnownServer {
                    hash: server_hash(&entry.server),
                    id: entry.server,
                    connections: 0,
                });
            }
            let position = self.ready.iter().position(|other| *other == index);
            match (entry.health == Health::Ready, position) {
                (true, None) => self.ready.push(index),
                (false, Some(position)) => {
                    self.ready.swap_remove(position);
                }
                _ => {}
            }
        }
    }

    fn select_server(&mut self, key: u32, tried: &[u32], fleet_state: &FleetState) -> Option<u32> {
        let untried: Vec<u32>;
        let candidates = if tried.is_empty() {
            &self.ready
        } else {
            untried = self
                .ready
                .iter()
                .copied()
                .filter(|index| !tried.contains(index))
                .collect();
            &untried
        };
        if candidates.is_empty() {
            return None;
        }
        let pick = |rng: &mut Pcg32| candidates[rng.gen_range(0..candidates.len())];
        let known = &self.known;
        match self.name {
            PolicyName::Random | PolicyName::Module => Some(pick(&mut self.rng)),
            PolicyName::Plain => candidates.iter().copied().max_by(|a, b| {
                let (a, b) = (&known[*a as usize], &known[*b as usize]);
                rank_score(a.hash, key)
                    .cmp(&rank_score(b.hash, key))
                    .then(b.id.cmp(&a.id))
            }),
            PolicyName::TwoChoices => {
                let (a, b) = (pick(&mut self.rng), pick(&mut self.rng));
                Some(
                    if known[b as usize].connections < known[a as usize].connections {
                        b
                    } else {
                        a
                    },
                )
            }
            PolicyName::LeastLoaded => {
                let utilization = |index: &u32| {
                    fleet_state
                        .utilization(&known[*index as usize].id)
                        .unwrap_or(f64::INFINITY)
                };
                candidates
                    .iter()
                    .copied()
                    .min_by(|a, b| utilization(a).total_cmp(&utilization(b)))
            }
        }
    }

    fn start_attempt(
        &mut self,
        now: Timestamp,
        id: RequestId,
        fleet_state: &FleetState,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut state) = self.requests.remove(&id) else {
            return;
        };
        let remaining = state.deadline.saturating_duration_since(now);
        let is_allowed =
            state.attempts < self.settings.max_attempts && remaining > Duration::from_millis(20);
        let selected = if is_allowed {
            self.select_server(state.key, &state.tried, fleet_state)
        } else {
            None
        };
        let Some(index) = selected else {
            let retry_after = self
                .settings
                .max_retry_after
                .mul_f64(0.25 + 0.5 * self.rng.gen::<f64>());
            return actions.push(Action::Reject {
                request: id,
                retry_after,
            });
        };
        state.attempts += 1;
        state.server = Some(index);
        state.tried.push(index);
        self.requests.insert(id, state);
        let server = &mut self.known[index as usize];
        server.connections += 1;
        actions.push(Action::StartAttempt {
            request: id,
            server: server.id.clone(),
            timeout: remaining,
        });
    }

    fn release(&mut self, id: RequestId) -> bool {
        let Some(state) = self.requests.get_mut(&id) else {
            return false;
        };
        if let Some(index) = state.server.take() {
            let server = &mut self.known[index as usize];
            server.connections = server.connections.saturating_sub(1);
        }
        state.is_established
    }

    /// Adds a connection that was established before this process started.
    fn inherit(&mut self, incoming: RequestInfo, server: &ServerId) {
        let id = incoming.request;
        let mut state = Self::new_request_state(incoming);
        state.attempts = 1;
        state.is_established = true;
        state.server = self.server_indices.get(server).copied();
        if let Some(index) = state.server {
            self.known[index as usize].connections += 1;
        }
        self.requests.insert(id, state);
    }

    /// Migrates every connection of a server, in the order of their requests.
    fn migrate_all(&self, server: &ServerId, actions: &mut Vec<Action>) {
        let Some(index) = self.server_indices.get(server) else {
            return;
        };
        let mut requests: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, state)| state.is_established && state.server == Some(*index))
            .map(|(id, _)| *id)
            .collect();
        requests.sort_unstable();
        actions.extend(requests.into_iter().map(Action::Migrate));
    }

    /// Asks for the endpoints again after 0.5 to 1.5 s.
    fn retry_watch(&mut self, actions: &mut Vec<Action>) {
        let after = Duration::from_secs_f64(0.5 + self.rng.gen::<f64>());
        actions.push(Action::SetTimer {
            after,
            timer: Timer::EndpointWatch,
        });
    }

    fn new_request_state(incoming: RequestInfo) -> RequestState {
        let key = incoming
            .group
            .or(incoming.key)
            .as_deref()
            .map_or(0, key_hash);
        RequestState {
            key,
            deadline: incoming.deadline,
            attempts: 0,
            tried: Vec::new(),
            server: None,
            is_established: false,
        }
    }
}

impl Policy for Baseline {
    fn handle(
        &mut self,
        now: Timestamp,
        event: Event,
        fleet_state: &FleetState,
        actions: &mut Vec<Action>,
    ) {
        match event {
            Event::Start => actions.extend(
                self.settings
                    .requires_endpoint_watch
                    .then_some(Action::WatchEndpoints),
            ),
            Event::EndpointList { entries, .. } => self.apply_endpoints(entries, true),
            Event::EndpointChange(entries) => self.apply_endpoints(entries, false),
            Event::EndpointWatchFailed => self.retry_watch(actions),
            Event::TimerFired(_) => actions.push(Action::WatchEndpoints),
            Event::RequestReceived(incoming) => {
                let id = incoming.request;
                self.requests.insert(id, Self::new_request_state(incoming));
                self.start_attempt(now, id, fleet_state, actions);
            }
            Event::ConnectionInherited(incoming, server) => {
                self.inherit(incoming, &server);
            }
            Event::ConnectionEstablished { request, .. } => {
                if let Some(state) = self.requests.get_mut(&request) {
                    state.is_established = true;
                }
            }
            Event::AttemptEnded {
                request,
                outcome,
                done,
                ..
            } => {
                let was_established = self.release(request);
                if done || was_established || outcome == Outcome::Served {
                    self.requests.remove(&request);
                } else {
                    self.start_attempt(now, request, fleet_state, actions);
                }
            }
            Event::ClientDisconnected(request) => {
                self.release(request);
                self.requests.remove(&request);
            }
            // A baseline migrates clients only off unresponsive servers, where the node itself sees that they are not
            // served.
            Event::ConnectionUnresponsive(request) if self.requests.contains_key(&request) => {
                actions.push(Action::Migrate(request));
            }
            Event::ServerUnresponsive(server) => {
                self.migrate_all(&server, actions);
            }
            _ => {}
        }
    }
}
