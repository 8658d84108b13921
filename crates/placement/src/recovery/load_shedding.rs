//! Load shedding: migration of connections off a server that holds more than its concurrency limit.

use crate::balancer::{Actions, Balancer};
use crate::state::request::RequestState;
use crate::state::server::Server;
use crate::state::server_table::ServerSlot;
use crate::{RequestId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum age of a connection that may be migrated.
const MIN_CONNECTION_AGE: Duration = Duration::from_secs(2);
/// Minimum age of a connection that may be migrated, if its client reconnected after a break or a migration.
const MIN_RECONNECTED_AGE: Duration = Duration::from_secs(8);
/// The migrated load may exceed the excess load by this factor.
const MAX_EXCESS_FACTOR: f64 = 1.5;
/// The rotation that moves the bits which decide between equal groups to the top of the key.
const KEY_ROTATION: u32 = 16;

/// Identifies a group and orders groups for migration: those of tenants over their quota come first, and groups of the
/// same size are ordered by a hash, so that all nodes choose the same groups.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct GroupOrder {
    is_within_quota: bool,
    key_hash: u32,
}

struct Connection {
    id: RequestId,
    load: f64,
}

/// The migratable connections of a group, with the group's overhead.
#[derive(Default)]
struct ConnectionGroup {
    load: f64,
    connections: Vec<Connection>,
}

/// The load of a server beyond its limit that is still to be migrated.
struct ExcessLoadBudget {
    excess: f64,
    /// A random number from 0 to 1, the same for all groups of one pass.
    random: f64,
}

impl ExcessLoadBudget {
    fn fits(&self, load: f64) -> bool {
        self.excess > 0.0 && load <= self.excess * MAX_EXCESS_FACTOR
    }

    /// Subtracts a whole group from the excess and returns true, if it fits. A single connection cannot be migrated
    /// in part: if it is too large, it is migrated with the probability excess / load; otherwise every node that
    /// holds such a connection would migrate it at once.
    fn take_group(&mut self, group: &ConnectionGroup) -> bool {
        let is_single = group.connections.len() == 1;
        let is_due_at_random = is_single && group.load * self.random <= self.excess;
        let is_taken = self.fits(group.load) || (self.excess > 0.0 && is_due_at_random);
        if is_taken {
            self.excess -= group.load;
        }
        is_taken
    }

    fn take_connection(&mut self, load: f64) -> bool {
        let is_taken = self.fits(load);
        if is_taken {
            self.excess -= load;
        }
        is_taken
    }
}

impl Balancer {
    /// Migrates connections off a server until its load is within its limit: whole groups with their overhead, small
    /// ones first, since each frees the same overhead. Groups that do not fit into the excess as a whole are then split,
    /// heaviest connections first.
    pub(crate) fn shed_load(&mut self, now: Timestamp, slot: ServerSlot, actions: &mut Actions) {
        let random = self.jitter();
        let Some(server) = self.fleet.servers.get(slot) else {
            return;
        };
        let mut budget = ExcessLoadBudget {
            excess: server.load - server.limit.max_load,
            random,
        };
        let groups = self.migratable_groups(now, server);
        let (taken, remaining): (Vec<ConnectionGroup>, Vec<ConnectionGroup>) = groups
            .into_iter()
            .partition(|group| budget.take_group(group));
        for connection in taken.into_iter().flat_map(|group| group.connections) {
            self.migrate(connection.id, actions);
        }
        for group in remaining {
            self.split_group(group, &mut budget, actions);
        }
    }

    fn split_group(
        &mut self,
        mut group: ConnectionGroup,
        budget: &mut ExcessLoadBudget,
        actions: &mut Actions,
    ) {
        if group.connections.len() <= 1 {
            return;
        }
        group
            .connections
            .sort_by(|a, b| b.load.total_cmp(&a.load).then(a.id.cmp(&b.id)));
        for connection in group.connections {
            if budget.take_connection(connection.load) {
                self.migrate(connection.id, actions);
            }
        }
    }

    /// Returns the groups that may be migrated, in the order of migration.
    fn migratable_groups(&self, now: Timestamp, server: &Server) -> Vec<ConnectionGroup> {
        let group_overhead = self.group_overhead();
        let mut groups: BTreeMap<GroupOrder, ConnectionGroup> = BTreeMap::new();
        for id in &server.connections {
            let Some(request) = self.requests.get(id) else {
                continue;
            };
            if !may_shed(now, request) {
                continue;
            }
            let order = GroupOrder {
                is_within_quota: !self.is_tenant_over_quota(request),
                key_hash: request.key.rotate_left(KEY_ROTATION),
            };
            let overhead = request.group.map_or(0.0, |_| group_overhead);
            let group = groups.entry(order).or_insert_with(|| ConnectionGroup {
                load: overhead,
                ..ConnectionGroup::default()
            });
            group.load += request.accounted_load;
            group.connections.push(Connection {
                id: *id,
                load: request.accounted_load,
            });
        }
        let mut ordered: Vec<(GroupOrder, ConnectionGroup)> = groups.into_iter().collect();
        ordered.sort_by_key(|(order, group)| (order.is_within_quota, group.connections.len()));
        ordered.into_iter().map(|(_, group)| group).collect()
    }
}

/// Returns true if the connection is established and old enough to be migrated.
fn may_shed(now: Timestamp, request: &RequestState) -> bool {
    let min_age = if request.is_reconnect {
        MIN_RECONNECTED_AGE
    } else {
        MIN_CONNECTION_AGE
    };
    let is_old_enough = request.in_flight.as_ref().is_some_and(|attempt| {
        attempt.skips_setup || now.saturating_duration_since(attempt.sent_at) > min_age
    });
    request.is_established() && is_old_enough
}

#[cfg(test)]
mod tests;
