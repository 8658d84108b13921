//! The endpoint list: server addresses and health, admin drains, and state learned by previous processes of this
//! node.

use super::first_list::{FirstListStarts, ListedStart, StartEvidence};
use super::PlacementDriver;
use crate::discovery::endpoint_list::EndpointListUpdate;
use lupincrank_placement::learned_state::LearnedServer;
use lupincrank_placement::{Endpoint, Event, Health, ServerId, Timestamp};
use slog::{info, warn};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

/// A node that has just started waits at most this long for discovery's list before it accepts clients, as it has to be
/// ready within 6 s.
const MAX_ENDPOINT_LIST_WAIT: Duration = Duration::from_millis(5500);

/// Discovery's changes count as known to the node at most this long after it could be reached, so a list that discovery
/// confirmed within this time lacks none that the node has to know.
pub(crate) const MAX_CURRENT_LIST_AGE: Duration = Duration::from_secs(6);

/// One entry of an endpoint list.
pub(crate) struct ResolvedEndpoint {
    /// The entry as the balancer receives it.
    pub(crate) endpoint: Endpoint,
    /// The address at which this node reaches the server.
    pub(crate) address: SocketAddr,
}

/// The scope of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointListScope {
    /// All servers: those that the list does not contain were removed.
    Complete,
    /// The servers that have changed.
    Changes,
}

impl From<&EndpointListUpdate> for EndpointListScope {
    fn from(update: &EndpointListUpdate) -> EndpointListScope {
        if update.is_complete {
            EndpointListScope::Complete
        } else {
            EndpointListScope::Changes
        }
    }
}

/// The source of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointListSource {
    /// Discovery.
    Discovery,
    /// The configuration; this list may be out of date.
    Cache,
    /// The other process of this node.
    PeerProcess,
}

/// The reason why clients cannot be accepted with the present endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum EndpointAvailabilityError {
    /// Discovery has not answered yet.
    #[error("discovery has not told the list yet")]
    NotReceived,
    /// No server in the list accepts new connections.
    #[error("the list names no transcriber that takes connections")]
    NoneReady,
}

/// The address and health of a server.
pub(super) struct KnownEndpoint {
    /// The address on which it listens.
    pub(super) address: SocketAddr,
    /// Its health, which determines whether it accepts new connections.
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
                cached: source != EndpointListSource::Discovery,
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

    /// Records that discovery has answered: the answer carries all changes since the list in the configuration.
    pub(crate) fn on_discovery_answer(&mut self) {
        self.has_discovery_answered = true;
    }

    /// Records that the other process of this node has passed on its list, which discovery confirmed at this time.
    pub(crate) fn on_peer_list(&mut self, confirmed_at: Instant) {
        self.peer_list_confirmed_at = self.peer_list_confirmed_at.max(Some(confirmed_at));
    }

    /// Handles the wall clock time that discovery reports, which has a resolution of one second.
    pub(crate) fn on_discovery_date(&mut self, date: SystemTime) {
        self.start_evidence = StartEvidence::Corroborated;
        self.start_times.begin_first_list(None);
        if self.clock.limit_system_time(date) {
            warn!(self.log, "wall clock ahead of discovery's"; "date" => httpdate::fmt_http_date(date));
            self.start_times.forget_first_list();
        }
    }

    /// Checks this machine's wall clock before the start times of discovery's first list are resolved; `listed` are
    /// the start times of its servers. If discovery sent no date, and no previous process of this node has passed on
    /// what it learned of the servers, only the list itself can contradict the wall clock.
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
        let suspected_now_ms = starts.suspected_now_ms(&self.clock, self.slow_start_duration);
        if let Some(latest_ms) = suspected_now_ms {
            warn!(self.log, "wall clock may be ahead, treating latest server starts as recent"; "latest_start_ms" => latest_ms);
        }
        self.start_times.begin_first_list(suspected_now_ms);
    }

    /// Handles a discovery watch that has stalled.
    pub(crate) fn on_watch_stalled(&mut self) {
        self.feed(Event::EndpointWatchStalled);
    }

    /// Handles a failed call to discovery or a broken watch.
    pub(crate) fn on_watch_failed(&mut self) {
        self.has_discovery_failed = true;
        self.feed(Event::EndpointWatchFailed);
    }

    /// Returns `Ok` if clients may be accepted: discovery has answered, and a server accepts new connections. Guards
    /// against a node that starts during a rolling deployment and sends its clients to servers that were replaced
    /// long ago, although other nodes have a newer list. If discovery can't be reached, a current list of the other
    /// process of this node will do; if it does not answer in time, any list.
    ///
    /// # Errors
    /// The reason why clients cannot be accepted.
    pub(crate) fn check_endpoint_list(&self) -> Result<(), EndpointAvailabilityError> {
        let has_waited = self.clock.elapsed() > MAX_ENDPOINT_LIST_WAIT;
        if !self.has_discovery_answered && !self.has_current_peer_list() && !has_waited {
            return Err(EndpointAvailabilityError::NotReceived);
        }
        if self.ready_servers().next().is_none() {
            return Err(EndpointAvailabilityError::NoneReady);
        }
        Ok(())
    }

    /// Returns true if discovery can't be reached, and the other process of this node has passed on a current list.
    fn has_current_peer_list(&self) -> bool {
        let is_current = self
            .peer_list_confirmed_at
            .is_some_and(|confirmed_at| confirmed_at.elapsed() <= MAX_CURRENT_LIST_AGE);
        self.has_discovery_failed && is_current
    }

    /// The servers that accept new connections according to the endpoint list.
    fn ready_servers(&self) -> impl Iterator<Item = &ServerId> {
        self.endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.health == Health::Ready)
            .map(|(server, _)| server)
    }

    /// Returns true if there are ready servers and `drained` contains all of them.
    fn are_all_ready_servers_in(&self, drained: &BTreeSet<ServerId>) -> bool {
        let mut ready = self.ready_servers().peekable();
        ready.peek().is_some() && ready.all(|server| drained.contains(server))
    }

    /// Returns true if the server accepts new connections: it is ready, and no administrator has drained it.
    pub(super) fn accepts_connections(&self, server: &ServerId) -> bool {
        let is_ready = self
            .endpoints
            .get(server)
            .is_some_and(|endpoint| endpoint.health == Health::Ready);
        is_ready && !self.drained_servers().contains(server)
    }

    /// The address on which a server listens, if it accepts new connections.
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

    /// Returns true if a server of this id is in the endpoint list or drained by an administrator.
    pub(crate) fn knows_server(&self, server: &ServerId) -> bool {
        self.balancer.admin_drain().knows(server)
    }

    /// Replaces the set of servers that administrators have drained.
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

    /// Handles the result of a server's health check, with its load report, if there is one.
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

    /// Returns what was learned about the servers, for the process that replaces this one.
    pub(crate) fn learned_servers(&self) -> Vec<LearnedServer> {
        self.balancer.learned_state(self.now())
    }

    /// Imports what the previous process of this node has learned about the servers.
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

    /// Resolves the start time of a server that is listed with this Unix time; `None` for long ago. `not_listed_at`
    /// is the time of discovery's last report without this start; `None` for the first list.
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
