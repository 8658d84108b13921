//! Framing of messages in a byte stream: the body's length (four bytes, big endian), the protocol version (one byte),
//! and the body, a [`Message`] encoded with postcard.

use crate::message::Message;
use crate::PROTOCOL_VERSION;
use thiserror::Error;

/// The longest body of a frame.
pub const MAX_MESSAGE_BYTES: usize = 256 << 10;
/// The length of a frame's body and the protocol version.
const HEADER_BYTES: usize = 5;

/// Why a frame can't be written or read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The sender uses another version of the protocol.
    #[error("protocol version {received}, expected {PROTOCOL_VERSION}")]
    VersionMismatch {
        /// The version in the frame's header.
        received: u8,
    },
    /// The body exceeds [`MAX_MESSAGE_BYTES`].
    #[error("message of {length} bytes exceeds the maximum of {MAX_MESSAGE_BYTES}")]
    TooLong {
        /// The body's length in bytes.
        length: usize,
    },
    /// The body is not a valid [`Message`].
    #[error("undecodable message: {0}")]
    Undecodable(postcard::Error),
    /// The message could not be encoded.
    #[error(transparent)]
    Unencodable(postcard::Error),
}

/// Extracts complete messages from the bytes of a stream.
#[derive(Default)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
}

impl FrameDecoder {
    /// Appends bytes that were read from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next message, or `None` while it is incomplete.
    ///
    /// # Errors
    /// If the frame violates the protocol. The rest of the stream can't be decoded.
    pub fn next_message(&mut self) -> Result<Option<Message>, FrameError> {
        let Some(header) = self.buffer.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let [l0, l1, l2, l3, version] = *header;
        let length = u32::from_be_bytes([l0, l1, l2, l3]) as usize;
        if version != PROTOCOL_VERSION {
            return Err(FrameError::VersionMismatch { received: version });
        }
        if length > MAX_MESSAGE_BYTES {
            return Err(FrameError::TooLong { length });
        }
        let frame_end = HEADER_BYTES + length;
        let Some(body) = self.buffer.get(HEADER_BYTES..frame_end) else {
            return Ok(None);
        };
        let message = postcard::from_bytes(body);
        self.buffer.drain(..frame_end);
        message.map(Some).map_err(FrameError::Undecodable)
    }
}

/// Encodes a message as a frame.
///
/// # Errors
/// If the message is longer than [`MAX_MESSAGE_BYTES`].
pub fn encode_frame(message: &Message) -> Result<Vec<u8>, FrameError> {
    let body = postcard::to_stdvec(message).map_err(FrameError::Unencodable)?;
    if body.len() > MAX_MESSAGE_BYTES {
        return Err(FrameError::TooLong { length: body.len() });
    }
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frame.push(PROTOCOL_VERSION);
    frame.extend_from_slice(&body);
    Ok(frame)
}

#[cfg(test)]
mod tests;
