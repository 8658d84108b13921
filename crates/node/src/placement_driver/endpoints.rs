//! The endpoint list: where each server listens, and what administrators and earlier processes say of the servers.

use super::first_list::{FirstListStarts, ListedStart, StartEvidence};
use super::PlacementDriver;
use lupincrank_placement::learned_state::LearnedServer;
use lupincrank_placement::{Endpoint, Event, Health, ServerId, Timestamp};
use slog::{info, warn};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

/// A node that has just begun waits for discovery's list at the most so long before it accepts clients.
const MAX_ENDPOINT_LIST_WAIT: Duration = Duration::from_secs(6);

/// One entry of an endpoint list.
pub(crate) struct ResolvedEndpoint {
    /// What the decisions are told.
    pub(crate) endpoint: Endpoint,
    /// Where it listens, as this node reaches it.
    pub(crate) address: SocketAddr,
}

/// What an endpoint list covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointListScope {
    /// All servers: those that it does not name are gone.
    Complete,
    /// The servers that have changed.
    Changes,
}

/// Where an endpoint list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointListSource {
    /// Discovery has sent it.
    Discovery,
    /// The configuration holds it; it may be out of date.
    Cache,
}

/// Why the endpoint list lets no client in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum EndpointAvailabilityError {
    /// Discovery has not answered yet.
    #[error("discovery has not told the list yet")]
    NotReceived,
    /// No server of the list takes new connections.
    #[error("the list names no transcriber that takes connections")]
    NoneReady,
}

/// How this node reaches a server.
pub(super) struct KnownEndpoint {
    /// Where it listens.
    pub(super) address: SocketAddr,
    /// Whether it takes new connections.
    pub(super) health: Health,
}

impl PlacementDriver {
    /// Applies an endpoint list.
    pub(crate) fn apply_endpoint_list(
        &mut self,
        list: Vec<ResolvedEndpoint>,
        scope: EndpointListScope,
        source: EndpointListSource,
    ) {
        if scope == EndpointListScope::Complete {
            self.endpoints.clear();
            let listed: BTreeSet<&ServerId> = list
                .iter()
                .map(|resolved| &resolved.endpoint.server)
                .collect();
            self.start_times.retain(|server| listed.contains(server));
        }
        let mut entries = Vec::with_capacity(list.len());
        for resolved in list {
            self.apply_endpoint(&resolved);
            entries.push(resolved.endpoint);
        }
        self.feed(match scope {
            EndpointListScope::Complete => Event::EndpointList {
                entries,
                cached: source == EndpointListSource::Cache,
            },
            EndpointListScope::Changes => Event::EndpointChange(entries),
        });
    }

    fn apply_endpoint(&mut self, resolved: &ResolvedEndpoint) {
        let server = &resolved.endpoint.server;
        match resolved.endpoint.health {
            Health::Removed => {
                self.endpoints.remove(server);
            }
            health => {
                let known = KnownEndpoint {
                    address: resolved.address,
                    health,
                };
                self.endpoints.insert(server.clone(), known);
            }
        }
    }

    /// Discovery has answered: what has changed since the known list comes with that.
    pub(crate) fn on_discovery_answer(&mut self) {
        self.has_discovery_answered = true;
    }

    /// Discovery has told its wall clock, to the second.
    pub(crate) fn on_discovery_date(&mut self, date: SystemTime) {
        self.start_evidence = StartEvidence::Corroborated;
        self.start_times.begin_first_list(None);
        if self.clock.limit_system_time(date) {
            warn!(self.log, "wall clock ahead of discovery's"; "date" => httpdate::fmt_http_date(date));
            self.start_times.forget_first_list();
        }
    }

    /// Discovery's first list is about to be resolved; `listed` are the starts of its servers. Without a date of
    /// discovery's, or a process before this one that knew the servers, nothing but the list itself can contradict this
    /// machine's wall clock.
    pub(crate) fn on_first_list(
        &mut self,
        listed: impl Iterator<Item = ListedStart>,
        scope: EndpointListScope,
    ) {
        if self.start_evidence == StartEvidence::Corroborated {
            return;
        }
        let mut starts = FirstListStarts::default();
        if scope == EndpointListScope::Changes {
            for server in self.ready_servers() {
                starts.set(ListedStart {
                    server: server.clone(),
                    health: Health::Ready,
                    started_at_ms: self.start_times.unix_ms(server),
                });
            }
        }
        for start in listed {
            starts.set(start);
        }
        let suspected_present_ms =
            starts.suspected_present_ms(&self.clock, self.slow_start_duration);
        if let Some(latest_ms) = suspected_present_ms {
            warn!(self.log, "wall clock in doubt, latest starts count as just now"; "latest_start_ms" => latest_ms);
        }
        self.start_times.begin_first_list(suspected_present_ms);
    }

    /// The watch has fallen silent.
    pub(crate) fn on_watch_silent(&mut self) {
        self.feed(Event::EndpointWatchStalled);
    }

    /// A call to discovery failed or the watch broke.
    pub(crate) fn on_watch_failed(&mut self) {
        self.feed(Event::EndpointWatchFailed);
    }

    /// Whether clients may be accepted: some server takes new connections, by a list that discovery has sent.
    /// Guards against a node that starts in the middle of a release and sends its clients to servers that have long been
    /// replaced, though other nodes know better. With no answer from discovery the known list has to do.
    ///
    /// # Errors
    /// Says what is missing.
    pub(crate) fn check_endpoint_list(&self) -> Result<(), EndpointAvailabilityError> {
        if !self.has_discovery_answered && self.clock.elapsed() <= MAX_ENDPOINT_LIST_WAIT {
            return Err(EndpointAvailabilityError::NotReceived);
        }
        if self.ready_servers().next().is_none() {
            return Err(EndpointAvailabilityError::NoneReady);
        }
        Ok(())
    }

    /// The servers that take new connections, by the endpoint list.
    fn ready_servers(&self) -> impl Iterator<Item = &ServerId> {
        self.endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.health == Health::Ready)
            .map(|(server, _)| server)
    }

    /// Whether there are servers that take new connections, and all of them are among these.
    fn are_all_ready_servers_in(&self, drained: &BTreeSet<ServerId>) -> bool {
        let mut ready = self.ready_servers().peekable();
        ready.peek().is_some() && ready.all(|server| drained.contains(server))
    }

    /// Whether the server takes new connections: it is ready, and no administrator has drained it.
    pub(super) fn accepts_connections(&self, server: &ServerId) -> bool {
        let is_ready = self
            .endpoints
            .get(server)
            .is_some_and(|endpoint| endpoint.health == Health::Ready);
        is_ready && !self.drained_servers().contains(server)
    }

    /// Where a server listens, if it takes new connections.
    pub(crate) fn available_address(&self, server: &str) -> Option<SocketAddr> {
        let server = ServerId::from(server);
        if !self.accepts_connections(&server) {
            return None;
        }
        Some(self.endpoints.get(&server)?.address)
    }

    /// The servers that administrators have drained.
    pub(crate) fn drained_servers(&self) -> &BTreeSet<ServerId> {
        self.balancer.admin_drain().drained()
    }

    /// Whether a server of this id is listed or drained by an administrator.
    pub(crate) fn knows_server(&self, server: &ServerId) -> bool {
        self.balancer.admin_drain().knows(server)
    }

    /// From now on exactly these servers are drained by administrators.
    pub(crate) fn set_drained_servers(&mut self, drained: BTreeSet<ServerId>) {
        if drained == *self.drained_servers() {
            return;
        }
        let names: Vec<&str> = drained.iter().map(|server| &*server.0).collect();
        info!(self.log, "admin drains changed"; "servers" => names.join(" "));
        if self.are_all_ready_servers_in(&drained) {
            warn!(self.log, "no server available, rejecting all clients"; "drained" => drained.len());
        }
        self.feed(Event::AdminDrain(drained));
    }

    /// A server's health check has passed or failed; with its load report, if one came.
    pub(crate) fn on_health_check(
        &mut self,
        server: &ServerId,
        passed: bool,
        report: Option<Vec<f64>>,
    ) {
        self.feed(Event::HealthCheckCompleted {
            server: server.clone(),
            passed,
            report,
        });
    }

    /// What was learned of the servers, for the process that takes this one's place.
    pub(crate) fn learned_servers(&self) -> Vec<LearnedServer> {
        self.balancer.learned_state(self.now())
    }

    /// Takes over what the process before this one has learned of the servers.
    pub(crate) fn import_learned_servers(&mut self, learned: Vec<LearnedServer>) {
        let ejected = learned
            .iter()
            .filter(|server| server.ejected_for.is_some())
            .count();
        let limited = learned
            .iter()
            .filter(|server| server.concurrency_limit.is_some())
            .count();
        self.start_evidence = StartEvidence::Corroborated;
        info!(self.log, "learned state imported"; "servers" => learned.len(), "ejected" => ejected, "limited" => limited);
        self.feed(Event::LearnedState(learned));
    }

    /// When a server started that is listed with this moment of Unix time; `None` for long ago. `not_listed_at` is when
    /// discovery was last heard of without it; `None` for the first list.
    pub(crate) fn start_time(
        &mut self,
        server: &ServerId,
        unix_ms: u64,
        not_listed_at: Option<Instant>,
    ) -> Option<Timestamp> {
        self.start_times
            .resolve(&self.clock, server, unix_ms, not_listed_at)
    }
}
