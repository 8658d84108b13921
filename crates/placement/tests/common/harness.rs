//! A harness that acts as the proxy of one balancer: it holds the clock, requests and timers, and checks every action.

use super::fixtures::{endpoint, MS};
use super::records::{AttemptRecord, EndpointRecord, PendingTimer, RequestRecord};
use lupincrank_placement::{
    Action, Balancer, Endpoint, Event, Health, Outcome, RequestId, RequestInfo, ServerId, Settings,
    Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub struct Harness {
    pub balancer: Balancer,
    pub settings: Settings,
    /// The current time, in nanoseconds.
    pub now: u64,
    pub requests: BTreeMap<u64, RequestRecord>,
    pub endpoints: BTreeMap<ServerId, EndpointRecord>,
    pub admin_drained: BTreeSet<ServerId>,
    pub timers: BTreeSet<PendingTimer>,
    /// The time at which the attempt in flight times out, by request.
    pub attempt_deadlines: BTreeMap<u64, u64>,
    /// The balancer's actions for the latest event.
    pub last_actions: Vec<Action>,
    /// Servers whose health check has not been answered.
    pub pending_health_checks: Vec<ServerId>,
    pub(super) timer_sequence: u64,
}

impl Harness {
    /// Creates a harness with a started balancer that has no endpoint list.
    pub fn new(settings: Settings, seed: u64) -> Harness {
        let mut harness = Harness {
            balancer: Balancer::new(settings.clone(), seed),
            settings,
            now: 1_000 * MS,
            requests: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            admin_drained: BTreeSet::new(),
            timers: BTreeSet::new(),
            attempt_deadlines: BTreeMap::new(),
            last_actions: vec![],
            pending_health_checks: vec![],
            timer_sequence: 0,
        };
        harness.deliver(Event::Start);
        harness
    }

    /// Creates a harness whose endpoint list contains these servers, all ready.
    pub fn with_servers(settings: Settings, names: &[&str]) -> Harness {
        let mut harness = Harness::new(settings, 1);
        harness.set_endpoints(names.iter().map(|name| endpoint(name)).collect());
        harness
    }

    /// Delivers a complete endpoint list.
    pub fn set_endpoints(&mut self, entries: Vec<Endpoint>) {
        let listed: BTreeSet<_> = entries.iter().map(|entry| entry.server.clone()).collect();
        let now = self.now;
        for (server, record) in &mut self.endpoints {
            if !listed.contains(server) {
                record.leaving_since.get_or_insert(now);
            }
        }
        for entry in &entries {
            self.record_endpoint(entry);
        }
        self.deliver(Event::EndpointList {
            entries,
            cached: false,
        });
    }

    /// Delivers one changed endpoint.
    pub fn change_endpoint(&mut self, entry: Endpoint) {
        self.record_endpoint(&entry);
        self.deliver(Event::EndpointChange(vec![entry]));
    }

    /// Sets the servers that an administrator drains, and releases all others.
    pub fn drain(&mut self, drained: &[&str]) {
        self.admin_drained = drained.iter().map(|name| ServerId::from(*name)).collect();
        for (server, record) in &mut self.endpoints {
            record.leaving_since = self
                .admin_drained
                .contains(server)
                .then_some(record.leaving_since.unwrap_or(self.now));
        }
        self.deliver(Event::AdminDrain(self.admin_drained.clone()));
    }

    fn record_endpoint(&mut self, entry: &Endpoint) {
        let is_drained = self.admin_drained.contains(&entry.server);
        let is_serving = entry.health == Health::Ready && !is_drained;
        let record = self.endpoints.entry(entry.server.clone()).or_default();
        record.update(entry, is_serving, self.now);
    }

    /// Delivers a client's request.
    pub fn receive(&mut self, info: RequestInfo) {
        self.requests
            .insert(info.request.0, RequestRecord::new(&info));
        self.deliver(Event::RequestReceived(info));
    }

    /// Delivers a connection on `server` that another process established.
    pub fn inherit_connection(&mut self, info: RequestInfo, server: &str) {
        let record = RequestRecord {
            attempts: vec![AttemptRecord::new(server.into(), self.now)],
            is_established: true,
            is_mid_flow: false,
            ..RequestRecord::new(&info)
        };
        self.requests.insert(info.request.0, record);
        self.deliver(Event::ConnectionInherited(info, server.into()));
    }

    /// Returns the server of a request's latest attempt.
    pub fn server_of(&self, id: u64) -> Option<String> {
        let attempt = self.requests[&id].attempts.last()?;
        Some(attempt.server.0.to_string())
    }

    /// Establishes the connection of a request's latest attempt.
    pub fn establish(&mut self, id: u64) {
        let record = self.requests.get_mut(&id).unwrap();
        record.is_established = true;
        let sent_at = record.attempts.last().unwrap().sent_at;
        let setup_duration = Duration::from_nanos(self.now - sent_at);
        self.deliver(Event::ConnectionEstablished {
            request: RequestId(id),
            setup_duration,
        });
    }

    /// Ends a request's latest attempt.
    pub fn end_attempt(&mut self, id: u64, outcome: Outcome) {
        let record = self.requests.get_mut(&id).unwrap();
        let is_complete =
            outcome == Outcome::Served || (record.is_established && outcome == Outcome::Reset);
        let attempt = record.attempts.len() as u32 - 1;
        record.attempts.last_mut().unwrap().outcome = Some(outcome);
        if is_complete && !record.is_answered() {
            record.final_answer_count = 1;
        }
        let done = record.is_answered();
        self.attempt_deadlines.remove(&id);
        self.deliver(Event::AttemptEnded {
            request: RequestId(id),
            attempt,
            outcome,
            done,
            report: None,
        });
    }

    /// Delivers the shutdown deadline; `sent` is true if a part of the attempt in flight was sent.
    pub fn reach_shutdown_deadline(&mut self, id: u64, sent: bool) {
        let attempts = &mut self.requests.get_mut(&id).unwrap().attempts;
        let in_flight = attempts.last_mut().filter(|attempt| attempt.is_in_flight());
        let had_attempt_in_flight = in_flight.is_some();
        if let Some(attempt) = in_flight {
            // The balancer gets the attempt's end later. An attempt that was never sent was not executed.
            attempt.outcome = (!sent).then_some(Outcome::NotSent);
        }
        let attempt = (self.requests[&id].attempts.len() as u32).saturating_sub(1);
        self.deliver(Event::ShutdownDeadline {
            request: RequestId(id),
            sent,
        });
        assert_eq!(
            self.requests[&id].final_answer_count, 1,
            "no final answer at the shutdown deadline"
        );
        self.attempt_deadlines.remove(&id);
        if had_attempt_in_flight {
            self.cancel_attempt(id, attempt);
            assert_eq!(
                self.last_actions,
                vec![],
                "the end of the cancelled attempt caused an action"
            );
        }
    }

    fn cancel_attempt(&mut self, id: u64, attempt: u32) {
        let attempts = &mut self.requests.get_mut(&id).unwrap().attempts;
        attempts.last_mut().unwrap().outcome = Some(Outcome::Cancelled);
        self.deliver(Event::AttemptEnded {
            request: RequestId(id),
            attempt,
            outcome: Outcome::Cancelled,
            done: true,
            report: None,
        });
    }

    /// Delivers an event and checks the balancer's actions.
    pub fn deliver(&mut self, event: Event) {
        let mut actions = vec![];
        self.balancer
            .handle(Timestamp(self.now), event, &mut actions);
        for action in &actions {
            self.check(action);
        }
        self.last_actions = actions;
    }

    /// Advances the clock by `count` milliseconds.
    pub fn advance_ms(&mut self, count: u64) {
        self.advance_to(self.now + count * MS);
    }

    /// Fires the timers and timeouts that are due by `until`, and sets the clock to it.
    pub fn advance_to(&mut self, until: u64) {
        loop {
            let timer = self.timers.first().copied();
            let timeout = self
                .attempt_deadlines
                .iter()
                .map(|(id, due_at)| (*due_at, *id))
                .min();
            match (timer, timeout) {
                (_, Some((due_at, id)))
                    if due_at <= until && timer.is_none_or(|timer| due_at <= timer.due_at) =>
                {
                    self.time_out(id, due_at);
                }
                (Some(timer), _) if timer.due_at <= until => self.fire(timer),
                _ => break,
            }
        }
        self.now = self.now.max(until);
    }

    fn time_out(&mut self, id: u64, due_at: u64) {
        self.now = self.now.max(due_at);
        if self.requests[&id].is_established {
            self.attempt_deadlines.remove(&id);
        } else {
            self.end_attempt(id, Outcome::TimedOut);
        }
    }

    fn fire(&mut self, timer: PendingTimer) {
        self.timers.remove(&timer);
        self.now = self.now.max(timer.due_at);
        self.deliver(Event::TimerFired(timer.timer));
    }
}
