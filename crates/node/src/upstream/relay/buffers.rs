//! The bytes that a relay holds, which are bounded for both directions.

use super::{Side, READ_CHUNK_BYTES};
use crate::upstream::byte_buffer::ByteBuffer;
use crate::upstream::server_line::MAX_LINE_BYTES;

/// The bytes that were read from one side and not written to the other yet.
pub(super) struct RelayBuffers {
    pub(super) to_server: ByteBuffer,
    pub(super) to_client: ByteBuffer,
    /// The start of an incomplete line of the server. Only complete lines are forwarded to the client: guards against
    /// a `MOVE` in the middle of one.
    pub(super) partial_line: Vec<u8>,
    /// The maximum of each direction. A side is not read while its next bytes may exceed it, so that backpressure
    /// reaches the sender.
    max_pending_bytes: usize,
}

impl RelayBuffers {
    /// Creates empty buffers; `max_pending_bytes` is at least one line and one read.
    pub(super) fn new(max_pending_bytes: usize) -> RelayBuffers {
        RelayBuffers {
            to_server: ByteBuffer::new(max_pending_bytes),
            to_client: ByteBuffer::new(max_pending_bytes),
            partial_line: Vec::new(),
            max_pending_bytes,
        }
    }

    /// Continues with the pending bytes of another process.
    pub(super) fn restore(&mut self, to_server: &[u8], to_client: &[u8], partial_line: &[u8]) {
        self.to_server.push(to_server);
        self.to_client.push(to_client);
        self.partial_line = partial_line.to_vec();
    }

    /// Returns true if bytes may be read from this side: it has not ended its stream, and there is room for them.
    pub(super) fn can_read(&self, side: Side) -> bool {
        let (buffer, partial_bytes) = match side {
            Side::Client => (&self.to_server, 0),
            Side::Server => (&self.to_client, self.partial_line.len()),
        };
        let pending_bytes = buffer.pending().len() + partial_bytes;
        !buffer.has_ended() && pending_bytes + READ_CHUNK_BYTES <= self.max_pending_bytes
    }

    /// Appends bytes of the server to its incomplete line, calls `on_line` for each complete one, and forwards them. A
    /// line over the maximum length is forwarded in pieces rather than held forever.
    pub(super) fn push_server_bytes(&mut self, bytes: &[u8], mut on_line: impl FnMut(&[u8])) {
        let mut complete_bytes = 0;
        self.partial_line.extend_from_slice(bytes);
        while let Some(length) = line_length(&self.partial_line[complete_bytes..]) {
            let line_end = complete_bytes + length;
            on_line(&self.partial_line[complete_bytes..line_end]);
            complete_bytes = line_end;
        }
        if self.partial_line.len() - complete_bytes > MAX_LINE_BYTES {
            complete_bytes = self.partial_line.len();
        }
        self.to_client.push(&self.partial_line[..complete_bytes]);
        // Allocates no more than the incomplete line.
        self.partial_line = self.partial_line.split_off(complete_bytes);
    }

    /// Forwards the incomplete line as it is, since the server has ended its stream.
    pub(super) fn forward_partial_line(&mut self) {
        self.to_client.push(&self.partial_line);
        self.partial_line.clear();
    }
}

/// The length of the first line in `bytes`, including its line feed.
fn line_length(bytes: &[u8]) -> Option<usize> {
    let line_feed = bytes.iter().position(|byte| *byte == b'\n')?;
    Some(line_feed + 1)
}

#[cfg(test)]
mod tests;
