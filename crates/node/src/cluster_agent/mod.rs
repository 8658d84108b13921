//! The node's part in its cluster: sockets, deadlines and storage around the state machines of membership
//! (`lupincrank_cluster`) and of the control group (`lupincrank_control`). Nothing on a request's path waits for any of it.

mod agent;
mod backoff;
mod commands;
pub mod config;
mod connections;
mod control_actions;
mod listener;
mod membership_events;
mod peer_connection;
mod sockets;
mod startup;
mod status;
mod storage;
mod storage_completions;

pub use agent::ClusterAgent;
pub use commands::{run_budget_command, run_fleet_command, BudgetCommandError, FleetCommandError};
pub use startup::{start, StartError};

use crate::command::ClusterConnectionCommand;
use crate::component::WellKnownComponent;
use crate::deadline::ClusterAgentDeadline;
use crate::state::NodeContext;
use connections::FailedConnection;
use listener::ClusterListener;
use lupincrank_placement::Timestamp;
use std::time::Instant;

/// Starts to leave the cluster; see [`ClusterAgent::has_left`].
pub fn begin_leaving(context: &mut NodeContext) {
    with_agent(context, |agent, context| {
        agent.begin_leaving(context.placement.now());
    });
}

/// Does something with the agent, where there is one, and then carries out all that it asks for.
fn with_agent(context: &mut NodeContext, work: impl FnOnce(&mut ClusterAgent, &mut NodeContext)) {
    let Some(mut agent) = context.cluster_agent.take() else {
        return;
    };
    work(&mut agent, context);
    agent.process_membership_outputs();
    let now = context.placement.now();
    for failed in agent.process_control_actions(now) {
        close_connection(&mut agent, context, &failed);
    }
    for id in agent.connections.take_closed() {
        context.send(id, ClusterConnectionCommand::Close);
    }
    apply_lease(&agent, context, now);
    if !agent.has_left() {
        let next = agent.next_membership_deadline();
        set_agent_deadline(context, ClusterAgentDeadline::Membership, next);
    }
    context.cluster_agent = Some(agent);
}

/// Tells placement what the node may use of the slow-start budget now.
fn apply_lease(agent: &ClusterAgent, context: &mut NodeContext, now: Timestamp) {
    if agent.config.slow_start_budget.is_none() {
        return;
    }
    let control = agent.control();
    let usage = control.lease_limit(now);
    let fleet_share = control.fleet_share(now).unwrap_or(0.0);
    let floor = control.lease_floor(now);
    context
        .placement
        .set_slow_start_lease(usage.limit, floor, fleet_share, usage.expires_at);
}

/// Closes a connection that failed.
fn close_connection(
    agent: &mut ClusterAgent,
    context: &mut NodeContext,
    failed: &FailedConnection,
) {
    agent.connections.close(failed.id, &failed.error);
    context.send(failed.id, ClusterConnectionCommand::Close);
}

fn set_agent_deadline(context: &mut NodeContext, deadline: ClusterAgentDeadline, at: Instant) {
    let agent_id = WellKnownComponent::ClusterAgent.id();
    context.deadlines.set(agent_id, deadline.into(), at);
}
