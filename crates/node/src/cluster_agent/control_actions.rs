//! Executes the actions of the control node: messages to other nodes, writes to the storage, and log lines.

use super::agent::ClusterAgent;
use super::connections::FailedConnection;
use lupincrank_cluster::message::{Message, Subject};
use lupincrank_control::message::{Action, ControlMessage, LogEvent};
use lupincrank_placement::Timestamp;
use slog::{info, warn};
use std::net::SocketAddr;

/// The budget's name in log lines and in admin commands.
pub(super) const BUDGET_NAME: &str = "cold";

/// A connection to open.
pub(super) struct DialTarget {
    pub(super) incarnation: u64,
    pub(super) address: SocketAddr,
}

impl ClusterAgent {
    /// Executes all pending actions of the control node. Returns the connections that failed.
    pub(super) fn process_control_actions(&mut self, now: Timestamp) -> Vec<FailedConnection> {
        if self.is_replaced() {
            self.begin_leaving(now);
        }
        self.control.deliver_own_messages(now);
        let mut failed = Vec::new();
        for action in self.control.take_actions() {
            match action {
                Action::Send { to, message } => failed.extend(self.send_control(to, &message)),
                Action::Write(write) => self.write(now, write),
                Action::Log(event) => self.log_control_event(event),
            }
        }
        failed
    }

    /// Sends a message if its receiver is connected. The control node repeats lost messages.
    fn send_control(&mut self, to: u64, message: &ControlMessage) -> Option<FailedConnection> {
        if !self.connections.is_connected_to(to) {
            return None;
        }
        let bytes = postcard::to_stdvec(message).ok()?;
        self.sent.record(bytes.len());
        let message = Message::Payload(Subject::Control, bytes);
        self.connections.send_to(to, &message).err()
    }

    fn log_control_event(&self, event: LogEvent) {
        let log = &self.log;
        match event {
            LogEvent::Bootstrapping(cluster_id) => {
                info!(log, "control group bootstrapped"; "epoch" => cluster_id.epoch,
                    "bootstrap_id" => format!("{:016x}", cluster_id.bootstrap_id));
            }
            LogEvent::JoinedCluster(cluster_id) => {
                info!(log, "control group joined"; "epoch" => cluster_id.epoch,
                    "bootstrap_id" => format!("{:016x}", cluster_id.bootstrap_id));
            }
            LogEvent::LeaderChanged(leader) => {
                let leader = leader.and_then(|incarnation| self.node_name(incarnation));
                info!(log, "control leader changed"; "leader" => leader.unwrap_or("none"));
            }
            LogEvent::ChangingMembership(change) => {
                info!(log, "control group membership changing"; "change" => format!("{change:?}"));
            }
            LogEvent::LeaseLimitChanged(limit) => {
                info!(log, "lease limit changed"; "budget" => BUDGET_NAME, "limit" => limit);
            }
            LogEvent::LeaseExpired => {
                let budget = self.config.slow_start_budget;
                let floor = budget.map_or(0, |budget| budget.floor);
                info!(log, "lease expired"; "budget" => BUDGET_NAME, "floor" => floor);
            }
            LogEvent::LogInconsistent => {
                warn!(
                    log,
                    "control log inconsistent; out of the control group until the next start"
                );
            }
        }
    }

    /// The name of a live node, or of this one.
    fn node_name(&self, incarnation: u64) -> Option<&str> {
        let local = self.membership.local_identity();
        if incarnation == local.incarnation {
            return Some(&local.name);
        }
        let peer = self.addresses.get(&incarnation)?;
        Some(&peer.name)
    }

    /// The connections to open now, out of those that the control node needs.
    pub(super) fn dial_targets(&mut self) -> Vec<DialTarget> {
        let needed = self.control.desired_connections();
        let missing = self.connections.missing_connections(needed);
        let targets = missing.into_iter().filter_map(|incarnation| {
            let peer = self.addresses.get(&incarnation)?;
            Some(DialTarget {
                incarnation,
                address: self.config.reachable_address(peer.address),
            })
        });
        targets.collect()
    }

    /// Sends due pings and `Replaced` notices. Returns the connections that have failed or are not needed.
    pub(super) fn maintain_connections(&mut self) -> Vec<FailedConnection> {
        self.notify_replaced_peers();
        let addresses = &self.addresses;
        self.connections
            .retain_backoffs(|incarnation| addresses.contains_key(&incarnation));
        self.connections.keep_alive()
    }
}
