//! The harness as the environment of test servers: it receives their observations, and schedules the next steps of
//! client sessions.

use super::{Harness, Phase};
use crate::link::{LinkCondition, LinkDirection, Party};
use lupincrank_test_servers::client::{ClientBehaviour, ClientSession, SessionStep};
use lupincrank_test_servers::discovery::EndpointList;
use lupincrank_test_servers::observation::Observation;
use lupincrank_test_servers::upstream_server::UpstreamFleet;
use lupincrank_test_servers::Environment;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A session is served in time if its connection is established within this time after its intended start.
const MAX_SETUP_LATENCY: Duration = Duration::from_secs(3);
/// A session does not reconnect if less than this remains of its connection's duration.
const MIN_RECONNECT_DURATION: Duration = Duration::from_millis(200);

impl Harness {
    /// Returns the second of the run that contains this instant.
    fn second_of(&self, at: Instant) -> u64 {
        self.checker.seconds_since_start(at) as u64
    }

    /// Counts a session as due at this instant.
    pub(crate) fn count_due(&mut self, at: Instant) {
        let second = self.second_of(at);
        self.sessions.count_due(second);
    }

    fn count_served(&mut self, due_at: Instant) {
        let second = self.second_of(due_at);
        self.sessions.count_served(second);
    }

    fn reconnect(&mut self, mut session: ClientSession, at: Instant) {
        if session.remaining_duration < MIN_RECONNECT_DURATION {
            return;
        }
        session.attempt_count = 0;
        session.is_reconnect = true;
        session.intended_at = at;
        self.count_due(at);
        self.sessions.schedule(at, session);
    }

    /// Returns true if the link from discovery to the node has a fault.
    fn is_discovery_link_faulty(&self, node: usize) -> bool {
        let direction = LinkDirection::new(Party::Discovery, Party::Node(node));
        self.network.links.condition(direction) != LinkCondition::default()
    }
}

impl Environment for Harness {
    fn upstream_fleet(&mut self) -> &mut UpstreamFleet {
        &mut self.servers
    }

    fn endpoint_list(&mut self) -> &mut EndpointList {
        &mut self.endpoint_list
    }

    fn client_behaviour(&self) -> &ClientBehaviour {
        &self.client_behaviour
    }

    fn observe(&mut self, observation: Observation) {
        let now = Instant::now();
        match &observation {
            // An update that a link fault may hold up does not count as announced.
            Observation::EndpointAnnounced { node, .. } if self.is_discovery_link_faulty(*node) => {
                return;
            }
            Observation::ServerCrashed {
                server,
                connection_count,
                ..
            } => self.record_event(format!(
                "t{server} fell with {connection_count} connections"
            )),
            _ => {}
        }
        self.checker.observe(now, observation);
    }

    fn on_session_step(&mut self, mut session: ClientSession, step: SessionStep) {
        let now = Instant::now();
        match step {
            SessionStep::Established { latency } => {
                if latency <= MAX_SETUP_LATENCY {
                    self.count_served(session.intended_at);
                }
            }
            SessionStep::Finished => {}
            _ if self.phase == Phase::Finished => {}
            SessionStep::Retry { delay } => {
                session.attempt_count = session.attempt_count.saturating_add(1);
                self.sessions.schedule(now + delay, session);
            }
            SessionStep::Reconnect { delay } => self.reconnect(session, now + delay),
        }
    }

    fn dialed_at(&self, local: SocketAddr) -> Option<Instant> {
        self.network.dialed_at.get(&local).copied()
    }
}
