//! Registration of new requests and inherited connections.

use crate::balancer::{Actions, Balancer};
use crate::hashing::{client_hash, key_hash, unit_interval};
use crate::state::request::{Attempt, RequestState};
use crate::{RequestInfo, ServerId, Timestamp};

impl Balancer {
    pub(crate) fn on_request_received(
        &mut self,
        now: Timestamp,
        info: &RequestInfo,
        actions: &mut Actions,
    ) {
        let id = info.request;
        let request = self.new_request_state(info);
        self.requests.insert(id, request);
        self.enqueue(now, id, actions);
    }

    /// Registers an established connection inherited from another process. It counts as old enough to be migrated at
    /// once.
    pub(crate) fn on_connection_inherited(
        &mut self,
        now: Timestamp,
        info: &RequestInfo,
        server: &ServerId,
    ) {
        let mut request = self.new_request_state(info);
        request.attempt_count = 1;
        request.in_flight = Some(Attempt {
            server: self.fleet.servers.slot(server),
            skips_setup: true,
            sent_at: now,
            is_established: true,
            is_migrated: false,
        });
        self.migration_budget.credit_inherited();
        self.requests.insert(info.request, request);
        self.account_for(info.request);
    }

    fn new_request_state(&mut self, info: &RequestInfo) -> RequestState {
        let group = info.group.as_deref().map(key_hash);
        let client = match info.key.as_deref() {
            Some(key) => key_hash(key),
            None => client_hash(info.request),
        };
        self.request_rate.record();
        if let Some(group) = group {
            self.group_frequency.record(group);
        }
        self.health_check_budget
            .credit_request(self.settings.health_check_cost);
        let split_position = if info.is_reconnect {
            self.jitter()
        } else {
            unit_interval(client)
        };
        let declared_load = info.load.map(|load| load.as_secs_f64());
        RequestState {
            class: info.class,
            class_rules: self.settings.classes.get(info.class).copied(),
            max_attempts: self.settings.max_attempts,
            tenant: info.tenant,
            is_reconnect: info.is_reconnect,
            group,
            key: group.unwrap_or(client),
            connection_key: client,
            split_position,
            load: declared_load.filter(|load| *load > 0.0),
            deadline: info.deadline,
            is_mid_flow: info.is_mid_flow,
            ..RequestState::default()
        }
    }
}
