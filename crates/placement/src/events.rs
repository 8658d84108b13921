//! Dispatch of events to the modules that handle them.

use crate::balancer::{Actions, Balancer};
use crate::policy::retry::AttemptEnd;
use crate::{Action, Event, Timer, Timestamp};

impl Balancer {
    /// Handles one event and appends the resulting actions. `now` must not run backwards.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Start => self.on_start(actions),
            Event::EndpointList { .. }
            | Event::EndpointChange(_)
            | Event::EndpointWatchStalled
            | Event::EndpointWatchFailed => self.handle_endpoint_event(now, event, actions),
            Event::SettingsChanged {
                settings,
                previous_class_indices,
            } => self.apply_settings(settings, &previous_class_indices),
            Event::LeaseChanged(lease) => self.slow_start_budget.set_lease(lease),
            Event::LearnedState(servers) => {
                self.fleet
                    .apply_learned_state(&self.settings, now, &servers);
            }
            Event::AdminDrain(servers) => self.on_admin_drain(now, servers, actions),
            Event::HealthCheckCompleted {
                server,
                passed,
                report,
            } => {
                let report = passed.then(|| report.unwrap_or_default());
                self.on_health_check(now, &server, report, actions);
            }
            Event::ServerUnresponsive(server) => {
                self.on_server_unresponsive(now, &server, actions);
            }
            Event::Gossip(message) => self.on_gossip(now, &message),
            Event::TimerFired(timer) => self.on_timer(now, timer, actions),
            Event::RequestReceived(_)
            | Event::ConnectionInherited(..)
            | Event::ConnectionEstablished { .. }
            | Event::AttemptEnded { .. }
            | Event::ClientDisconnected(_)
            | Event::ShutdownDeadline { .. }
            | Event::LoadObserved { .. }
            | Event::DelayObserved { .. }
            | Event::ConnectionUnresponsive(_) => self.handle_request_event(now, event, actions),
        }
    }

    /// Handles events of the endpoint list and its watch.
    fn handle_endpoint_event(&mut self, now: Timestamp, event: Event, actions: &mut Actions) {
        match event {
            Event::EndpointList { entries, cached } => {
                self.on_endpoint_list(now, entries, cached, actions);
            }
            Event::EndpointChange(entries) => self.on_endpoint_changes(now, entries, actions),
            Event::EndpointWatchStalled => self.on_endpoint_watch_stalled(actions),
            Event::EndpointWatchFailed => self.on_endpoint_watch_failed(actions),
            _ => {}
        }
    }

    /// Handles events of one request or its connection.
    fn handle_request_event(&mut self, now: Timestamp, event: Event, actions: &mut Actions) {
        match event {
            Event::RequestReceived(info) => self.on_request_received(now, &info, actions),
            Event::ConnectionInherited(info, server) => {
                self.on_connection_inherited(now, &info, &server);
            }
            Event::ConnectionEstablished {
                request,
                setup_duration,
            } => self.on_established(now, request, setup_duration, actions),
            Event::AttemptEnded {
                request,
                attempt,
                outcome,
                done,
                report,
            } => {
                let end = AttemptEnd {
                    request,
                    attempt,
                    outcome,
                    completes_request: done,
                    report,
                };
                self.on_attempt_ended(now, &end, actions);
            }
            Event::ClientDisconnected(request) => self.finish_request(request),
            Event::ShutdownDeadline { request, sent } => {
                self.on_shutdown_deadline(request, sent, actions);
            }
            Event::LoadObserved { request, load } => {
                self.on_load_observed(request, load.as_secs_f64());
            }
            Event::DelayObserved { request, delay } => {
                self.on_delay_observed(now, request, delay, actions);
            }
            Event::ConnectionUnresponsive(request) => {
                self.on_connection_unresponsive(request, actions);
            }
            _ => {}
        }
    }

    fn on_start(&mut self, actions: &mut Actions) {
        self.start_endpoint_watch(actions);
        self.schedule_first_upkeep(actions);
    }

    fn on_timer(&mut self, now: Timestamp, timer: Timer, actions: &mut Actions) {
        match timer {
            Timer::Upkeep => self.run_upkeep(now, actions),
            Timer::EndpointWatch => actions.push(Action::WatchEndpoints),
            Timer::Queue => self.on_queue_timer(now, actions),
            Timer::AdminDrain => self.on_drain_timer(now, actions),
        }
    }
}
