//! The event-loop component of a connection to another node.

use super::driver::with_agent;
use crate::command::{ClusterConnectionCommand, Message};
use crate::deadline::DeadlineKind;
use crate::state::{NodeContext, NodeState};
use lupincrank_reactor::{ComponentId, Connection, Lifecycle, Readiness};

/// Passes the events of a connection to the cluster agent, which owns the connection.
pub(super) struct PeerConnectionComponent {
    id: ComponentId,
}

impl PeerConnectionComponent {
    pub(super) fn new(id: ComponentId) -> PeerConnectionComponent {
        PeerConnectionComponent { id }
    }
}

impl Connection<NodeState> for PeerConnectionComponent {
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        _socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        let id = self.id;
        let mut lifecycle = Lifecycle::Continue;
        with_agent(context, |agent, context| {
            let now = context.placement.now();
            if let Err(error) = agent.on_connection_ready(now, id, readiness.readable) {
                if error.is_violation() {
                    agent.record_rejection("connection", &error);
                }
                agent.connections_mut().close(id, &error);
                lifecycle = Lifecycle::Close;
            }
        });
        lifecycle
    }

    fn on_deadline(&mut self, _context: &mut NodeContext, _kind: DeadlineKind) -> Lifecycle {
        Lifecycle::Continue
    }

    fn on_message(&mut self, context: &mut NodeContext, message: Message) -> Lifecycle {
        let is_open = context
            .cluster_agent
            .as_ref()
            .is_some_and(|agent| agent.connections().is_open(self.id));
        let is_close = matches!(
            message,
            Message::ClusterConnection(ClusterConnectionCommand::Close)
        );
        if is_open && !is_close {
            Lifecycle::Continue
        } else {
            Lifecycle::Close
        }
    }
}
