//! Runs the client sessions of the plan: starts them on time, and chooses the node for each request.

use crate::deadline::DeadlineKind;
use crate::harness::{HarnessContext, Phase};
use lupincrank_reactor::APPLICATION;
use lupincrank_test_servers::client::{self, ClientSession};
use std::time::{Duration, Instant};

/// Delay before a session retries a request that could not be sent.
const NO_NODE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Minimum time until a deadline.
const MIN_DEADLINE_DELAY: Duration = Duration::from_millis(1);
/// Weight of a node other than the first; weights are integers in thousandths of it.
const NODE_WEIGHT_UNIT: f64 = 1000.0;
/// Multiplier that spreads seeds over the upper half of request IDs.
const REQUEST_ID_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Added to the draw of a reconnecting session, which changes the choice of a node.
const RECONNECT_DRAW_OFFSET: u64 = 7;

/// Chooses one of the ready nodes; the first node of the run has `first_node_weight` times the weight of another node.
fn choose_node(ready_nodes: &[usize], draw: u64, first_node_weight: f64) -> usize {
    if first_node_weight <= 1.0 {
        return ready_nodes[(draw % ready_nodes.len() as u64) as usize];
    }
    let weight = |node: usize| {
        if node == 0 {
            (first_node_weight * NODE_WEIGHT_UNIT) as u64
        } else {
            NODE_WEIGHT_UNIT as u64
        }
    };
    let total_weight: u64 = ready_nodes.iter().map(|node| weight(*node)).sum();
    let mut remaining_weight = draw % total_weight;
    for node in ready_nodes {
        if remaining_weight < weight(*node) {
            return *node;
        }
        remaining_weight -= weight(*node);
    }
    ready_nodes[0]
}

/// Sends the next request of each session that is due.
pub(crate) fn run_due_sessions(context: &mut HarnessContext) {
    let now = Instant::now();
    if context.phase == Phase::Running {
        start_planned_sessions(context, now);
    }
    while let Some(session) = context.sessions.take_due(now) {
        send_request(context, session, now);
    }
    set_deadline(context);
}

fn start_planned_sessions(context: &mut HarnessContext, now: Instant) {
    while let Some(planned) = context.plan.sessions.get(context.started_session_count) {
        let planned = *planned;
        let intended_at = context.clients_start + Duration::from_secs_f64(planned.at_s);
        if intended_at > now {
            break;
        }
        context.started_session_count += 1;
        let session = ClientSession {
            number: context.started_session_count as u64,
            intended_at,
            group: planned.group,
            remaining_duration: Duration::from_secs_f64(planned.duration_s),
            attempt_count: 0,
            is_reconnect: false,
            request: 0,
        };
        context.count_due(intended_at);
        context.sessions.schedule(now, session);
    }
    let has_started_all = context.started_session_count == context.plan.sessions.len();
    if now >= clients_end(context) && has_started_all {
        context.phase = Phase::Settling;
        context.record_event("the last client has come".into());
    }
}

fn clients_end(context: &HarnessContext) -> Instant {
    context.clients_start + Duration::from_secs_f64(context.scenario.duration_s())
}

fn send_request(context: &mut HarnessContext, mut session: ClientSession, now: Instant) {
    let ready_nodes: Vec<usize> = (0..context.nodes.len())
        .filter(|node| context.nodes[*node].is_accepting_clients())
        .collect();
    let retry_at = now + NO_NODE_RETRY_DELAY;
    if ready_nodes.is_empty() {
        context.sessions.schedule(retry_at, session);
        return;
    }
    context.request_count += 1;
    let draw = node_draw(context, &session);
    let first_node_weight = context.scenario.clients.first_node_weight;
    let node = choose_node(&ready_nodes, draw, first_node_weight);
    let id_base = context.plan.seed.wrapping_mul(REQUEST_ID_MULTIPLIER) << 32;
    session.request = id_base ^ context.request_count;
    let address = context.nodes[node].client_address();
    if !client::send_request(context, session.clone(), node, address) {
        context.sessions.schedule(retry_at, session);
    }
}

/// Returns the number that chooses the node: the plan's draw for a session's first request, and numbers derived from it
/// for later requests.
fn node_draw(context: &HarnessContext, session: &ClientSession) -> u64 {
    let planned = context.plan.sessions.get(session.number as usize - 1);
    planned
        .map_or(0, |planned| planned.node_draw)
        .wrapping_add(u64::from(session.attempt_count))
        .wrapping_add(u64::from(session.is_reconnect) * RECONNECT_DRAW_OFFSET)
}

/// Sets the deadline for the next session that is due.
pub(crate) fn set_deadline(context: &mut HarnessContext) {
    let now = Instant::now();
    let mut next = context.sessions.next_due_at();
    if context.phase == Phase::Running {
        let planned = context.plan.sessions.get(context.started_session_count);
        let planned_at =
            planned.map(|planned| context.clients_start + Duration::from_secs_f64(planned.at_s));
        let end = clients_end(context);
        next = [next, planned_at, Some(end)].into_iter().flatten().min();
    }
    if let Some(next) = next {
        let deadline = next.max(now + MIN_DEADLINE_DELAY);
        context
            .deadlines
            .set(APPLICATION, DeadlineKind::RunSessions, deadline);
    }
}
