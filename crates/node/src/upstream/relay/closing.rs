//! The end of a relay: a side that closes or fails, and the migration of the client.

use super::{Relay, Side};
use crate::state::NodeContext;
use crate::upstream::reset_on_close::enable_reset_on_close;
use crate::upstream::server_line::ServerLine;
use lupincrank_placement::Outcome;
use lupincrank_reactor::Lifecycle;
use std::time::Duration;

/// How long the relay stays open after the client has shut down its sending direction.
const HALF_CLOSED_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a client that was migrated, or whose server has closed, may take to close its side.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// A server that closes within this time after a line that it did not answer is assumed to have failed to parse it.
const SYNTAX_ERROR_WINDOW: Duration = Duration::from_millis(250);
/// The line that asks a client to reconnect.
const MOVE_LINE: &[u8] = b"MOVE\r\n";

impl Relay {
    /// The outcome if a server closes without notice. Servers reply at once, so if a line was just sent, the
    /// server is assumed to have failed to parse that line: guards against blaming the server for the client's input.
    fn server_close_outcome(&self, context: &NodeContext) -> Outcome {
        let sent_at = context.placement.oldest_unanswered_line(self.request);
        if sent_at.is_some_and(|sent_at| sent_at.elapsed() < SYNTAX_ERROR_WINDOW) {
            Outcome::Cancelled
        } else {
            Outcome::Reset
        }
    }

    /// Handles the failure of one side: the other side is reset too, after the pending bytes that it accepts at once.
    pub(super) fn on_side_failed(&mut self, context: &mut NodeContext, side: Side) -> Lifecycle {
        match side {
            Side::Client => {
                self.report_outcome(context, Outcome::Cancelled);
                if let Some(server) = &mut self.server {
                    let _ = self.buffers.to_server.write_to(server);
                    let _ = enable_reset_on_close(server);
                }
            }
            Side::Server => {
                let outcome = self.server_close_outcome(context);
                self.report_outcome(context, outcome);
                let _ = self.buffers.to_client.write_to(&self.client);
                let _ = enable_reset_on_close(&self.client);
            }
        }
        Lifecycle::Close
    }

    /// Handles the end of one side's stream, which the other side sees after all bytes sent before it.
    pub(super) fn on_end_of_stream(&mut self, context: &mut NodeContext, side: Side) {
        match side {
            Side::Client => self.on_client_end(context),
            Side::Server => self.on_server_end(context),
        }
    }

    fn on_client_end(&mut self, context: &mut NodeContext) {
        let timeout = if self.server.is_some() {
            HALF_CLOSED_TIMEOUT
        } else {
            LINGER_TIMEOUT
        };
        self.set_close_deadline(context, timeout);
        self.buffers.to_server.end();
        self.report_outcome(context, Outcome::Cancelled);
    }

    fn on_server_end(&mut self, context: &mut NodeContext) {
        self.buffers.forward_partial_line();
        self.buffers.to_client.end();
        self.set_close_deadline(context, LINGER_TIMEOUT);
        let outcome = match self.last_server_line {
            ServerLine::Bye => Outcome::Served,
            ServerLine::Move => Outcome::Cancelled,
            ServerLine::Error => Outcome::Error,
            _ => self.server_close_outcome(context),
        };
        self.report_outcome(context, outcome);
    }

    /// Asks the client, between two lines, to reconnect, and ends both sides.
    pub(super) fn migrate(&mut self, context: &mut NodeContext) -> Lifecycle {
        if self.server.take().is_some() {
            self.buffers.partial_line.clear();
            self.buffers.to_server.clear();
            if !self.buffers.to_client.has_ended() {
                self.buffers.to_client.push(MOVE_LINE);
                self.buffers.to_client.end();
            }
            self.report_outcome(context, Outcome::Cancelled);
            self.set_close_deadline(context, LINGER_TIMEOUT);
        }
        self.pump(context)
    }
}
