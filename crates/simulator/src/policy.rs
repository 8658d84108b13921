//! Placement policies: the project's placement crate, and the baselines that it is compared with.

use crate::event_queue::Moment;
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
    pub(crate) index: &'a HashMap<ServerId, u32>,
    pub(crate) now: Moment,
}

impl FleetState<'_> {
    /// Load over capacity, with what is on its way to it left out; none if it takes nothing.
    pub fn used(&self, server: &ServerId) -> Option<f64> {
        let at = *self.index.get(server)?;
        let server = self
            .fleet
            .get(at as usize)
            .filter(|server| server.state == ServerState::Up)?;
        let (wait, _) = server.delay(self.now);
        Some(
            server.used(self.now)
                + wait
                + f64::from(server.busy) / f64::from(server.slots().max(1)) * 0.1,
        )
    }
}

/// The placement decisions of one node: events in, actions out.
pub trait Policy: Send {
    /// Handles one event and appends the resulting actions.
    fn handle(
        &mut self,
        now: Timestamp,
        event: Event,
        truth: &FleetState,
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
    /// The project's decisions.
    Module,
    /// Any ready transcriber.
    Random,
    /// The top product score, with no gate.
    Plain,
    /// Of two at random the one on which this node holds less.
    TwoChoices,
    /// The least used by true state: an upper bound, since no node can see it.
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

    /// Returns the name as it is written on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            PolicyName::Module => "module",
            PolicyName::Random => "random",
            PolicyName::Plain => "plain",
            PolicyName::TwoChoices => "two-choices",
            PolicyName::LeastLoaded => "least-loaded",
        }
    }

    /// The names of all of them, for messages.
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

/// A policy's name that does not exist.
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

/// A baseline policy: it keeps the endpoint list and the rules on attempts, and retries attempts that never ran or timed out.
pub struct Baseline {
    name: PolicyName,
    settings: Settings,
    random: Pcg32,
    servers: BTreeMap<ServerId, u32>,
    /// Each server that was ever listed.
    known: Vec<KnownServer>,
    /// The ready servers, as places in `known`.
    ready: Vec<u32>,
    requests: HashMap<RequestId, RequestState>,
}

/// A server that was listed.
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
    out: Option<u32>,
    is_established: bool,
}

impl Baseline {
    fn new(name: PolicyName, settings: Settings, seed: u64) -> Self {
        Baseline {
            name,
            settings,
            random: Pcg32::seed_from_u64(seed),
            servers: BTreeMap::new(),
            known: Vec::new(),
            ready: Vec::new(),
            requests: HashMap::new(),
        }
    }

    fn apply_endpoints(&mut self, entries: Vec<Endpoint>, whole: bool) {
        if whole {
            self.ready.clear();
        }
        for entry in entries {
            let next = self.known.len() as u32;
            let at = *self.servers.entry(entry.server.clone()).or_insert(next);
            if at == next {
                self.known.push(KnownServer {
                    hash: server_hash(&entry.server),
                    id: entry.server,
                    connections: 0,
                });
            }
            let place = self.ready.iter().position(|other| *other == at);
            match (entry.health == Health::Ready, place) {
                (true, None) => self.ready.push(at),
                (false, Some(place)) => {
                    self.ready.swap_remove(place);
                }
                _ => {}
            }
        }
    }

    fn select_server(&mut self, key: u32, tried: &[u32], truth: &FleetState) -> Option<u32> {
        let open: Vec<u32>;
        let among = if tried.is_empty() {
            &self.ready
        } else {
            open = self
                .ready
                .iter()
                .copied()
                .filter(|at| !tried.contains(at))
                .collect();
            &open
        };
        if among.is_empty() {
            return None;
        }
        let any = |random: &mut Pcg32| among[random.gen_range(0..among.len())];
        let known = &self.known;
        match self.name {
            PolicyName::Random | PolicyName::Module => Some(any(&mut self.random)),
            PolicyName::Plain => among.iter().copied().max_by(|a, b| {
                let (a, b) = (&known[*a as usize], &known[*b as usize]);
                rank_score(a.hash, key)
                    .cmp(&rank_score(b.hash, key))
                    .then(b.id.cmp(&a.id))
            }),
            PolicyName::TwoChoices => {
                let (a, b) = (any(&mut self.random), any(&mut self.random));
                Some(
                    if known[b as usize].connections < known[a as usize].connections {
                        b
                    } else {
                        a
                    },
                )
            }
            PolicyName::LeastLoaded => {
                let used = |at: &u32| truth.used(&known[*at as usize].id).unwrap_or(f64::INFINITY);
                among
                    .iter()
                    .copied()
                    .min_by(|a, b| used(a).total_cmp(&used(b)))
            }
        }
    }

    fn start_attempt(
        &mut self,
        now: Timestamp,
        id: RequestId,
        truth: &FleetState,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut state) = self.requests.remove(&id) else {
            return;
        };
        let left = state.deadline.saturating_duration_since(now);
        let may = state.attempts < self.settings.max_attempts && left > Duration::from_millis(20);
        let chosen = if may {
            self.select_server(state.key, &state.tried, truth)
        } else {
            None
        };
        let Some(at) = chosen else {
            let retry_after = self
                .settings
                .max_retry_after
                .mul_f64(0.25 + 0.5 * self.random.gen::<f64>());
            return actions.push(Action::Reject {
                request: id,
                retry_after,
            });
        };
        state.attempts += 1;
        state.out = Some(at);
        state.tried.push(at);
        self.requests.insert(id, state);
        let place = &mut self.known[at as usize];
        place.connections += 1;
        actions.push(Action::StartAttempt {
            request: id,
            server: place.id.clone(),
            timeout: left,
        });
    }

    fn release(&mut self, id: RequestId) -> bool {
        let Some(state) = self.requests.get_mut(&id) else {
            return false;
        };
        if let Some(at) = state.out.take() {
            let server = &mut self.known[at as usize];
            server.connections = server.connections.saturating_sub(1);
        }
        state.is_established
    }

    /// Takes over an established connection from the node's former process.
    fn inherit(&mut self, incoming: RequestInfo, server: &ServerId) {
        let id = incoming.request;
        let mut state = Self::new_request_state(incoming);
        state.attempts = 1;
        state.is_established = true;
        state.out = self.servers.get(server).copied();
        if let Some(at) = state.out {
            self.known[at as usize].connections += 1;
        }
        self.requests.insert(id, state);
    }

    /// Migrates every connection of a server, in the order of their requests.
    fn migrate_all(&self, server: &ServerId, actions: &mut Vec<Action>) {
        let Some(at) = self.servers.get(server) else {
            return;
        };
        let mut held: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, state)| state.is_established && state.out == Some(*at))
            .map(|(id, _)| *id)
            .collect();
        held.sort_unstable();
        actions.extend(held.into_iter().map(Action::Migrate));
    }

    /// Asks for the endpoints again after 0.5 to 1.5 s.
    fn retry_watch(&mut self, actions: &mut Vec<Action>) {
        let after = Duration::from_secs_f64(0.5 + self.random.gen::<f64>());
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
            out: None,
            is_established: false,
        }
    }
}

impl Policy for Baseline {
    fn handle(
        &mut self,
        now: Timestamp,
        event: Event,
        truth: &FleetState,
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
                self.start_attempt(now, id, truth, actions);
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
                let stood = self.release(request);
                if done || stood || outcome == Outcome::Served {
                    self.requests.remove(&request);
                } else {
                    self.start_attempt(now, request, truth, actions);
                }
            }
            Event::ClientDisconnected(request) => {
                self.release(request);
                self.requests.remove(&request);
            }
            // A plain policy sends nobody away but for silence, where the node itself sees that nobody is served.
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
