//! Access to the cluster agent from the components of the event loop. After each access, the effects that the agent
//! requests are executed.

use super::agent::ClusterAgent;
use super::connections::FailedConnection;
use crate::command::ClusterConnectionCommand;
use crate::component::WellKnownComponent;
use crate::deadline::ClusterAgentDeadline;
use crate::state::NodeContext;
use lupincrank_placement::Timestamp;
use std::time::Instant;

/// Starts to leave the cluster; see [`ClusterAgent::has_left`].
pub fn begin_leaving(context: &mut NodeContext) {
    with_agent(context, |agent, context| {
        agent.begin_leaving(context.placement.now());
    });
}

/// Calls `work` with the agent, if there is one, and then executes all effects that the agent requests.
pub(super) fn with_agent(
    context: &mut NodeContext,
    work: impl FnOnce(&mut ClusterAgent, &mut NodeContext),
) {
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

/// Passes to placement the share of the slow-start budget that the node may use.
fn apply_lease(agent: &ClusterAgent, context: &mut NodeContext, now: Timestamp) {
    if agent.config.slow_start_budget.is_none() {
        return;
    }
    let control = agent.control();
    let usage_limit = control.lease_limit(now);
    let fleet_share = control.fleet_share(now).unwrap_or(0.0);
    let floor = control.lease_floor(now);
    context.placement.set_slow_start_lease(
        usage_limit.limit,
        floor,
        fleet_share,
        usage_limit.expires_at,
    );
}

/// Closes a connection that failed.
pub(super) fn close_connection(
    agent: &mut ClusterAgent,
    context: &mut NodeContext,
    failed: &FailedConnection,
) {
    agent.connections.close(failed.id, &failed.error);
    context.send(failed.id, ClusterConnectionCommand::Close);
}

pub(super) fn set_agent_deadline(
    context: &mut NodeContext,
    deadline: ClusterAgentDeadline,
    expires_at: Instant,
) {
    let agent_id = WellKnownComponent::ClusterAgent.id();
    context.deadlines.set(agent_id, deadline.into(), expires_at);
}
