//! The other process of this node, while it is connected: its last heartbeat, and the messages on their way to and from it.

use super::list_parts::{ListAssembler, ReceivedList};
use super::message::{EndpointListPart, HandoffMessage, Heartbeat, PROTOCOL_VERSION};
use super::socket::{PeerConnection, SendOutcome};
use std::collections::VecDeque;
use std::io;

/// Whether messages wait for space in the socket's buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueueState {
    /// All messages were sent.
    Empty,
    /// The buffer is full.
    Waiting,
}

/// The other process, while it is connected.
pub(super) struct ConnectedPeer {
    pub(super) connection: PeerConnection,
    /// The last heartbeat received from it.
    pub(super) heartbeat: Heartbeat,
    /// Messages that wait for space in the socket's buffer.
    queue: VecDeque<HandoffMessage>,
    /// A change was not queued, so the complete list has to be sent after the queue.
    is_complete_list_requested: bool,
    list_assembler: ListAssembler,
}

impl ConnectedPeer {
    /// Creates the state of a process that has sent nothing yet.
    pub(super) fn new(connection: PeerConnection) -> ConnectedPeer {
        ConnectedPeer {
            connection,
            heartbeat: Heartbeat::default(),
            queue: VecDeque::new(),
            is_complete_list_requested: false,
            list_assembler: ListAssembler::default(),
        }
    }

    /// Returns true if the process has sent a heartbeat.
    pub(super) fn has_received_heartbeat(&self) -> bool {
        self.heartbeat.version == PROTOCOL_VERSION
    }

    /// Appends messages to those that wait for space in the socket's buffer.
    pub(super) fn queue(&mut self, messages: impl IntoIterator<Item = HandoffMessage>) {
        self.queue.extend(messages);
    }

    /// Returns true if messages wait for space in the socket's buffer.
    pub(super) fn has_queued_messages(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Sends the queued messages, in their order, until the socket's buffer is full.
    ///
    /// # Errors
    /// If a message can't be sent; it is removed from the queue.
    pub(super) fn send_queued(&mut self) -> io::Result<QueueState> {
        while let Some(message) = self.queue.pop_front() {
            match self.connection.send(&message, &[], &[]) {
                Ok(SendOutcome::Sent) => {}
                Ok(SendOutcome::WouldBlock) => {
                    self.queue.push_front(message);
                    return Ok(QueueState::Waiting);
                }
                // The other process has ended, which is noticed when its last messages have been read.
                Err(error) if is_connection_end(&error) => self.queue.clear(),
                Err(error) => return Err(error),
            }
        }
        Ok(QueueState::Empty)
    }

    /// Requests that the complete endpoint list is sent after the queued messages. Changes are not queued behind others,
    /// so that the queue stays short however long the other process stands still.
    pub(super) fn request_complete_list(&mut self) {
        self.is_complete_list_requested = true;
    }

    /// Returns true if the complete endpoint list was requested since the last call.
    pub(super) fn take_complete_list_request(&mut self) -> bool {
        std::mem::take(&mut self.is_complete_list_requested)
    }

    /// Adds a part of the other process's endpoint list. Returns the list if it was the last part.
    pub(super) fn assemble_list(&mut self, part: EndpointListPart) -> Option<ReceivedList> {
        self.list_assembler.add(part)
    }
}

fn is_connection_end(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::BrokenPipe | io::ErrorKind::ConnectionReset
    )
}
