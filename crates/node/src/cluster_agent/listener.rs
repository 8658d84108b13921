//! The event-loop component for the agent's sockets and deadlines. It receives datagrams, accepts and opens
//! connections, and calls the control node periodically.

use super::agent::ClusterAgent;
use super::driver::{close_connection, set_agent_deadline, with_agent};
use super::peer_component::PeerConnectionComponent;
use super::sockets::DATAGRAM_SOCKET;
use super::startup::{bind_or_wait, BindOutcome, StartError, BIND_RETRY_INTERVAL};
use crate::command::Message;
use crate::component::WellKnownComponent;
use crate::deadline::{ClusterAgentDeadline, DeadlineKind};
use crate::state::{NodeContext, NodeState};
use lupincrank_budgets::demand::BudgetUsage;
use lupincrank_cluster::connection::{ClusterConnection, ConnectionError};
use lupincrank_cluster::membership::MAX_DATAGRAM_BYTES;
use lupincrank_control::TICK_INTERVAL;
use lupincrank_reactor::{poller_key, ComponentId, Connection, Lifecycle, Readiness};
use slog::{debug, warn};
use std::fmt::Display;
use std::io;
use std::net::TcpStream;
use std::time::Instant;

/// The limits for one turn of the event loop. The next turn handles the rest.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
const MAX_ACCEPTS_PER_TURN: usize = 8;

/// Starts the cluster agent, if a cluster is configured.
///
/// # Errors
/// If an operator must intervene. An address or file in use is no error: the agent waits for it.
pub fn start(context: &mut NodeContext) -> Result<(), StartError> {
    let Some(config) = context.config.cluster.clone() else {
        return Ok(());
    };
    if config.slow_start_budget.is_some() {
        // Until this agent runs, another process of this node may still use the node's whole share of the budget.
        context.placement.set_slow_start_lease(0, 0, 0.0, None);
    }
    let agent_id = WellKnownComponent::ClusterAgent.id();
    context.register(agent_id, Box::new(ClusterListener));
    if let BindOutcome::Waiting(reason) = bind_or_wait(context, &config)? {
        warn!(context.log, "waiting for the cluster address or storage"; "reason" => %reason);
    }
    Ok(())
}

/// The agent's component; its sockets belong to [`ClusterAgent`].
pub(super) struct ClusterListener;

impl Connection<NodeState> for ClusterListener {
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        if socket == DATAGRAM_SOCKET {
            with_agent(context, |agent, _| receive_datagrams(agent));
        } else {
            with_agent(context, accept_connections);
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut NodeContext, kind: DeadlineKind) -> Lifecycle {
        let DeadlineKind::ClusterAgent(kind) = kind else {
            return Lifecycle::Continue;
        };
        match kind {
            ClusterAgentDeadline::Bind => retry_bind(context),
            ClusterAgentDeadline::Membership => with_agent(context, |agent, _| {
                let uptime = agent.uptime();
                agent.membership.on_deadline(uptime);
            }),
            ClusterAgentDeadline::ControlTick => tick(context),
        }
        Lifecycle::Continue
    }

    fn on_message(&mut self, _context: &mut NodeContext, _message: Message) -> Lifecycle {
        Lifecycle::Continue
    }
}

fn retry_bind(context: &mut NodeContext) {
    let Some(config) = context.config.cluster.clone() else {
        return;
    };
    let reason: Box<dyn Display> = match bind_or_wait(context, &config) {
        Ok(BindOutcome::Started) => return,
        Ok(BindOutcome::Waiting(reason)) => Box::new(reason),
        // Not final: the previous process may still change the file.
        Err(error) => Box::new(error),
    };
    debug!(context.log, "cluster address or storage not available"; "reason" => %reason);
    let retry_at = Instant::now() + BIND_RETRY_INTERVAL;
    set_agent_deadline(context, ClusterAgentDeadline::Bind, retry_at);
}

fn receive_datagrams(agent: &mut ClusterAgent) {
    // One byte more than allowed, so that a datagram that is too long is detected.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    for _ in 0..MAX_DATAGRAMS_PER_TURN {
        let Some(sockets) = &agent.sockets else {
            return;
        };
        match sockets.datagrams.recv_from(&mut buffer) {
            Ok((length, _)) => {
                let uptime = agent.uptime();
                agent.membership.on_datagram(uptime, &buffer[..length]);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            // An error reported for a datagram sent earlier. The next receive may succeed.
            Err(_) => {}
        }
    }
}

fn accept_connections(agent: &mut ClusterAgent, context: &mut NodeContext) {
    for _ in 0..MAX_ACCEPTS_PER_TURN {
        let Some(sockets) = &agent.sockets else {
            return;
        };
        let Ok((stream, _)) = sockets.listener.accept() else {
            return;
        };
        if agent.connections.has_room() {
            accept_connection(agent, context, stream);
        } else {
            agent.record_rejection("accepted connection", &"too many connections");
        }
    }
}

fn accept_connection(agent: &mut ClusterAgent, context: &mut NodeContext, stream: TcpStream) {
    let id = context.allocate_id();
    let accepted = ClusterConnection::accept(&context.poller, stream, poller_key(id, 0));
    add_connection(agent, context, id, accepted, None);
}

fn open_needed_connections(agent: &mut ClusterAgent, context: &mut NodeContext) {
    for target in agent.dial_targets() {
        let id = context.allocate_id();
        let key = poller_key(id, 0);
        let connecting = ClusterConnection::connect(&context.poller, target.address, key);
        add_connection(agent, context, id, connecting, Some(target.incarnation));
    }
}

fn add_connection(
    agent: &mut ClusterAgent,
    context: &mut NodeContext,
    id: ComponentId,
    connection: io::Result<ClusterConnection>,
    dialed_incarnation: Option<u64>,
) {
    let added = connection
        .map_err(ConnectionError::from)
        .and_then(|connection| agent.connections.add(id, connection, dialed_incarnation));
    match added {
        Ok(()) => context.register(id, Box::new(PeerConnectionComponent::new(id))),
        Err(error) => agent.record_rejection("new connection", &error),
    }
}

/// Calls the control node once per tick interval, until this node has left.
fn tick(context: &mut NodeContext) {
    let mut has_left = false;
    with_agent(context, |agent, context| {
        has_left = agent.leave_if_due();
        if !has_left {
            tick_control(agent, context);
        }
    });
    if !has_left {
        let next_tick = Instant::now() + TICK_INTERVAL;
        set_agent_deadline(context, ClusterAgentDeadline::ControlTick, next_tick);
    }
}

fn tick_control(agent: &mut ClusterAgent, context: &mut NodeContext) {
    for failed in agent.maintain_connections() {
        close_connection(agent, context, &failed);
    }
    let usage = context.placement.take_slow_start_usage();
    agent.control.record_usage(BudgetUsage {
        peak: usage.max_attempts_in_window,
        was_limited: usage.was_exhausted,
    });
    let live_members = agent.live_members();
    agent
        .control
        .on_tick(context.placement.now(), &live_members);
    open_needed_connections(agent, context);
}
