//! The transfer of clients without a complete first line from one process of the node to another.

use super::{ClientConnection, State, FIRST_LINE_TIMEOUT};
use crate::command::TransferCommand;
use crate::deadline::ClientDeadline;
use crate::handoff::message::{HandoffMessage, UnidentifiedClientTransfer};
use crate::handoff::socket::SendOutcome;
use crate::state::NodeContext;
use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::{ComponentId, Interest, Lifecycle};
use std::net::TcpStream;
use std::os::fd::AsFd;
use std::time::{Duration, Instant};

impl ClientConnection {
    /// Continues a client of another process whose first line is not complete yet: `received` is the part that has
    /// arrived, and `time_left` is how long the client may still take. Its socket is registered as the component
    /// `id`.
    pub(crate) fn resume_transferred(
        context: &mut NodeContext,
        id: ComponentId,
        stream: Registered<TcpStream>,
        received: Vec<u8>,
        time_left: Duration,
    ) {
        let timeout = time_left.min(FIRST_LINE_TIMEOUT);
        let client = ClientConnection::new(context, id, stream, received, timeout);
        context.register(id, Box::new(client));
    }

    pub(super) fn on_transfer(
        &mut self,
        context: &mut NodeContext,
        command: TransferCommand,
    ) -> Lifecycle {
        match command {
            TransferCommand::Start => self.transfer(context),
            TransferCommand::Completed => Lifecycle::Close,
            TransferCommand::Cancelled => self.on_transfer_cancelled(context),
        }
    }

    /// Sends the connection to the process that replaces this one, if its first line is not complete yet.
    fn transfer(&mut self, context: &mut NodeContext) -> Lifecycle {
        let (State::ReadingFirstLine(reading), Some(stream)) = (&self.state, &mut self.stream)
        else {
            return Lifecycle::Continue;
        };
        let time_left = reading
            .entry
            .expires_at()
            .saturating_duration_since(Instant::now());
        let message = |number| {
            HandoffMessage::UnidentifiedClient(UnidentifiedClientTransfer {
                number,
                remaining_ms: time_left.as_millis() as u64,
            })
        };
        let sent = context
            .handoff
            .transfer(self.id, message, &reading.received, &[stream.as_fd()]);
        if matches!(sent, Ok(SendOutcome::Sent)) {
            self.is_in_transfer = true;
            let _ = stream.set_interest(Interest::NONE);
        }
        Lifecycle::Continue
    }

    /// Continues the connection, since the other process has refused it.
    fn on_transfer_cancelled(&mut self, context: &mut NodeContext) -> Lifecycle {
        self.is_in_transfer = false;
        // Deadlines are ignored during the transfer, so this one may have passed.
        if let Some(entry) = self.state.unidentified_entry() {
            context
                .deadlines
                .set(self.id, ClientDeadline::Close.into(), entry.expires_at());
        }
        let Some(stream) = &mut self.stream else {
            return Lifecycle::Close;
        };
        match stream.set_interest(Interest::READ) {
            Ok(()) => Lifecycle::Continue,
            Err(_) => Lifecycle::Close,
        }
    }
}
