//! Handles a server's answer to the first line of an attempt.

use super::UpstreamAttempt;
use crate::command::{AcceptedAttempt, ClientCommand};
use crate::state::NodeContext;
use crate::upstream::reset_on_close::disable_reset_on_close;
use crate::upstream::server_line::{ServerLine, MAX_LINE_BYTES};
use lupincrank_placement::Outcome;
use lupincrank_reactor::Lifecycle;
use std::io;

/// The maximum number of bytes read from a server in one turn of the event loop. Guards against an endless answer
/// that delays other connections.
const MAX_BYTES_PER_TURN: usize = 16 << 10;
const READ_CHUNK_BYTES: usize = 4 << 10;

impl UpstreamAttempt {
    /// Reads the available bytes and handles complete lines.
    pub(super) fn read(&mut self, context: &mut NodeContext) -> Lifecycle {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let mut read_bytes = 0;
        while read_bytes < MAX_BYTES_PER_TURN {
            let Some(stream) = &mut self.stream else {
                return Lifecycle::Continue;
            };
            match stream.read(&mut chunk) {
                Ok(0) => return self.end(context, self.disconnect_outcome()),
                Ok(length) => {
                    read_bytes += length;
                    self.received.extend_from_slice(&chunk[..length]);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Lifecycle::Continue
                }
                Err(_) => return self.end(context, self.disconnect_outcome()),
            }
            if self.process_lines(context) == Lifecycle::Close {
                return Lifecycle::Close;
            }
        }
        Lifecycle::Continue
    }

    fn process_lines(&mut self, context: &mut NodeContext) -> Lifecycle {
        while let Some(line_end) = self.received.iter().position(|byte| *byte == b'\n') {
            if self.on_line(context, line_end) == Lifecycle::Close {
                return Lifecycle::Close;
            }
        }
        if self.received.len() > MAX_LINE_BYTES {
            return self.end(context, Outcome::Error);
        }
        Lifecycle::Continue
    }

    /// Handles the first line of `received`, whose line feed is at `line_end`.
    fn on_line(&mut self, context: &mut NodeContext, line_end: usize) -> Lifecycle {
        let line_bytes = &self.received[..line_end];
        let is_well_formed = line_bytes.ends_with(b"\r") && line_end < MAX_LINE_BYTES;
        let line = ServerLine::parse_answer(line_bytes, &context.config.answer_report_fields);
        let is_answer = !matches!(line, ServerLine::Load(_));
        if let Some(stream) = self.stream.as_ref().filter(|_| is_answer) {
            // The server has received the first line.
            let _ = disable_reset_on_close(stream);
        }
        match line {
            _ if !is_well_formed => self.end(context, Outcome::Error),
            ServerLine::Up => self.on_accepted(context),
            ServerLine::Bye => self.on_served(context, line_end),
            // A load reported before the answer is ignored: there is no established connection yet.
            ServerLine::Load(_) => {
                self.received.drain(..=line_end);
                Lifecycle::Continue
            }
            ServerLine::Busy => self.end(context, Outcome::Rejected),
            ServerLine::Move => self.end(context, Outcome::Cancelled),
            ServerLine::SyntaxError if !self.attempt.is_restored => self.on_syntax_error(context),
            ServerLine::Error | ServerLine::SyntaxError | ServerLine::Unknown => {
                self.end(context, Outcome::Error)
            }
        }
    }

    /// Hands the socket and the received bytes to the owner, since the server has accepted the request.
    fn on_accepted(&mut self, context: &mut NodeContext) -> Lifecycle {
        if let Some(stream) = self.stream.take() {
            let accepted = AcceptedAttempt {
                request: self.attempt.request,
                stream,
                bytes: std::mem::take(&mut self.received),
            };
            context.send(self.attempt.owner, ClientCommand::AttemptAccepted(accepted));
        }
        Lifecycle::Close
    }

    /// Passes on the answer of a server that has already served the whole request.
    fn on_served(&mut self, context: &mut NodeContext, line_end: usize) -> Lifecycle {
        let line = self.received[..=line_end].to_vec();
        self.stream = None;
        context.send(self.attempt.owner, ClientCommand::AttemptServed(line));
        Lifecycle::Close
    }

    /// Ends a request whose first line the server could not parse, which is the client's fault.
    fn on_syntax_error(&mut self, context: &mut NodeContext) -> Lifecycle {
        self.stream = None;
        context.placement.on_malformed_request(self.attempt.request);
        Lifecycle::Close
    }
}
