//! What decides in a node: the project's own module, or one of the plain policies it is compared with.

use crate::queue::Moment;
use crate::transcriber::{State, Transcriber};
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

/// The true state of all transcribers, which no real node sees.
pub struct Truth<'a> {
    pub(crate) fleet: &'a [Transcriber],
    pub(crate) index: &'a HashMap<ServerId, u32>,
    pub(crate) now: Moment,
}

impl Truth<'_> {
    /// Load over capacity, with what is on its way to it left out; none if it takes nothing.
    pub fn used(&self, server: &ServerId) -> Option<f64> {
        let at = *self.index.get(server)?;
        let server = self
            .fleet
            .get(at as usize)
            .filter(|server| server.state == State::Up)?;
        let (wait, _) = server.delay(self.now);
        Some(
            server.used(self.now)
                + wait
                + f64::from(server.busy) / f64::from(server.slots().max(1)) * 0.1,
        )
    }
}

/// Decides for one node: events in, actions out.
pub trait Policy: Send {
    /// Takes in one event and appends what is to be done.
    fn handle(&mut self, now: Timestamp, event: Event, truth: &Truth, actions: &mut Vec<Action>);
}

impl Policy for Balancer {
    fn handle(&mut self, now: Timestamp, event: Event, _: &Truth, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }
}

/// The policies by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Name {
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

impl Name {
    /// All of them.
    pub const ALL: [Name; 5] = [
        Name::Module,
        Name::Random,
        Name::Plain,
        Name::TwoChoices,
        Name::LeastLoaded,
    ];

    /// As it is written on the command line.
    pub fn text(self) -> &'static str {
        match self {
            Name::Module => "module",
            Name::Random => "random",
            Name::Plain => "plain",
            Name::TwoChoices => "two-choices",
            Name::LeastLoaded => "least-loaded",
        }
    }

    /// The names of all of them, for messages.
    fn list() -> String {
        let names: Vec<&str> = Name::ALL.iter().map(|name| name.text()).collect();
        names.join(", ")
    }

    /// One that decides for one node.
    pub fn make(self, settings: Settings, seed: u64) -> Box<dyn Policy> {
        match self {
            Name::Module => Box::new(Balancer::new(settings, seed)),
            other => Box::new(Baseline::new(other, settings, seed)),
        }
    }
}

/// A policy's name that does not exist.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("no policy is called {name:?}; there are {}", Name::list())]
pub struct UnknownPolicy {
    /// The name that was given.
    pub name: String,
}

impl FromStr for Name {
    type Err = UnknownPolicy;

    fn from_str(text: &str) -> Result<Self, UnknownPolicy> {
        Name::ALL
            .into_iter()
            .find(|name| name.text() == text)
            .ok_or_else(|| UnknownPolicy {
                name: text.to_string(),
            })
    }
}

/// A plain policy: it keeps the list and the rules on attempts, and chooses anew where a try never ran or timed out.
pub struct Baseline {
    name: Name,
    settings: Settings,
    random: Pcg32,
    servers: BTreeMap<ServerId, u32>,
    /// Hash, id and own connections of each server that was ever listed; the ready ones by place.
    known: Vec<(u32, ServerId, u32)>,
    ready: Vec<u32>,
    requests: HashMap<RequestId, Taken>,
}

struct Taken {
    key: u32,
    expires: Timestamp,
    attempts: u32,
    tried: Vec<u32>,
    out: Option<u32>,
    stands: bool,
}

impl Baseline {
    fn new(name: Name, settings: Settings, seed: u64) -> Self {
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

    fn list(&mut self, entries: Vec<Endpoint>, whole: bool) {
        if whole {
            self.ready.clear();
        }
        for entry in entries {
            let next = self.known.len() as u32;
            let at = *self.servers.entry(entry.server.clone()).or_insert(next);
            if at == next {
                self.known
                    .push((server_hash(&entry.server), entry.server, 0));
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

    fn choose(&mut self, key: u32, tried: &[u32], truth: &Truth) -> Option<u32> {
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
            Name::Random | Name::Module => Some(any(&mut self.random)),
            Name::Plain => among.iter().copied().max_by(|a, b| {
                let (a, b) = (&known[*a as usize], &known[*b as usize]);
                rank_score(a.0, key)
                    .cmp(&rank_score(b.0, key))
                    .then(b.1.cmp(&a.1))
            }),
            Name::TwoChoices => {
                let (a, b) = (any(&mut self.random), any(&mut self.random));
                Some(if known[b as usize].2 < known[a as usize].2 {
                    b
                } else {
                    a
                })
            }
            Name::LeastLoaded => {
                let used = |at: &u32| truth.used(&known[*at as usize].1).unwrap_or(f64::INFINITY);
                among
                    .iter()
                    .copied()
                    .min_by(|a, b| used(a).total_cmp(&used(b)))
            }
        }
    }

    fn place(&mut self, now: Timestamp, id: RequestId, truth: &Truth, actions: &mut Vec<Action>) {
        let Some(mut taken) = self.requests.remove(&id) else {
            return;
        };
        let left = taken.expires.saturating_duration_since(now);
        let may = taken.attempts < self.settings.max_attempts && left > Duration::from_millis(20);
        let chosen = if may {
            self.choose(taken.key, &taken.tried, truth)
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
        taken.attempts += 1;
        taken.out = Some(at);
        taken.tried.push(at);
        self.requests.insert(id, taken);
        let place = &mut self.known[at as usize];
        place.2 += 1;
        actions.push(Action::StartAttempt {
            request: id,
            server: place.1.clone(),
            timeout: left,
        });
    }

    fn release(&mut self, id: RequestId) -> bool {
        let Some(taken) = self.requests.get_mut(&id) else {
            return false;
        };
        if let Some(at) = taken.out.take() {
            self.known[at as usize].2 = self.known[at as usize].2.saturating_sub(1);
        }
        taken.stands
    }

    /// Takes over an established connection from the node's former process.
    fn inherit(&mut self, incoming: RequestInfo, server: &ServerId) {
        let id = incoming.request;
        let mut taken = Self::taken(incoming);
        taken.attempts = 1;
        taken.stands = true;
        taken.out = self.servers.get(server).copied();
        if let Some(at) = taken.out {
            self.known[at as usize].2 += 1;
        }
        self.requests.insert(id, taken);
    }

    /// Migrates every connection of a server, in the order of their requests.
    fn migrate_all(&self, server: &ServerId, actions: &mut Vec<Action>) {
        let Some(at) = self.servers.get(server) else {
            return;
        };
        let mut held: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, taken)| taken.stands && taken.out == Some(*at))
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

    fn taken(incoming: RequestInfo) -> Taken {
        let key = incoming
            .group
            .or(incoming.key)
            .as_deref()
            .map_or(0, key_hash);
        Taken {
            key,
            expires: incoming.deadline,
            attempts: 0,
            tried: Vec::new(),
            out: None,
            stands: false,
        }
    }
}

impl Policy for Baseline {
    fn handle(&mut self, now: Timestamp, event: Event, truth: &Truth, actions: &mut Vec<Action>) {
        match event {
            Event::Start => actions.extend(
                self.settings
                    .requires_endpoint_watch
                    .then_some(Action::WatchEndpoints),
            ),
            Event::EndpointList { entries, .. } => self.list(entries, true),
            Event::EndpointChange(entries) => self.list(entries, false),
            Event::EndpointWatchFailed => self.retry_watch(actions),
            Event::TimerFired(_) => actions.push(Action::WatchEndpoints),
            Event::RequestReceived(incoming) => {
                let id = incoming.request;
                self.requests.insert(id, Self::taken(incoming));
                self.place(now, id, truth, actions);
            }
            Event::ConnectionInherited(incoming, server) => {
                self.inherit(incoming, &server);
            }
            Event::ConnectionEstablished { request, .. } => {
                if let Some(taken) = self.requests.get_mut(&request) {
                    taken.stands = true;
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
                    self.place(now, request, truth, actions);
                }
            }
            Event::ClientGone(request) => {
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
