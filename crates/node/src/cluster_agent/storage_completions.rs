//! The event-loop component that is woken when the storage has reported an event.

use super::driver::with_agent;
use crate::command::Message;
use crate::deadline::DeadlineKind;
use crate::state::{NodeContext, NodeState};
use lupincrank_reactor::{Connection, Lifecycle, Readiness};

/// Passes storage events to the agent.
pub(super) struct StorageCompletions;

impl Connection<NodeState> for StorageCompletions {
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        _socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        with_agent(context, |agent, context| {
            agent.on_storage_ready(context.placement.now());
        });
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, _context: &mut NodeContext, _kind: DeadlineKind) -> Lifecycle {
        Lifecycle::Continue
    }

    fn on_message(&mut self, _context: &mut NodeContext, _message: Message) -> Lifecycle {
        Lifecycle::Continue
    }
}
