//! A decoder of HTTP's chunked transfer coding.

use thiserror::Error;

/// Limit of the length of a chunk size line, with its extensions.
const MAX_SIZE_LINE_BYTES: usize = 1024;

/// The chunked transfer coding is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum ChunkError {
    /// The chunk's data is not followed by CRLF.
    #[error("chunk data is not followed by CRLF")]
    MissingLineEnd,
    /// The chunk size line is invalid or too long.
    #[error("invalid chunk size")]
    Size,
}

/// The state of the body after the decoded bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyState {
    /// More chunks may follow.
    Open,
    /// The last chunk was received.
    Ended,
}

/// The next expected element of the coding.
#[derive(Clone, Copy, Debug, Default)]
enum Expecting {
    /// The line with the size of a chunk.
    #[default]
    Size,
    /// This number of bytes of a chunk's data.
    Data(u64),
    /// The carriage return after a chunk.
    CarriageReturn,
    /// The line feed after a chunk.
    LineFeed,
}

/// Decodes a body that is received in pieces of any length.
#[derive(Default)]
pub(crate) struct ChunkedDecoder {
    /// Received bytes that are not decoded yet.
    input: Vec<u8>,
    expecting: Expecting,
}

impl ChunkedDecoder {
    /// Decodes received bytes and appends the data to `output`.
    ///
    /// # Errors
    /// If the chunked coding is invalid. Nothing can be decoded after an error.
    pub(crate) fn decode(
        &mut self,
        bytes: &[u8],
        output: &mut Vec<u8>,
    ) -> Result<BodyState, ChunkError> {
        self.input.extend_from_slice(bytes);
        let mut position = 0;
        let state = self.decode_input(&mut position, output)?;
        self.input.drain(..position);
        Ok(state)
    }

    /// Decodes the received bytes from `position` on, as far as they are complete.
    fn decode_input(
        &mut self,
        position: &mut usize,
        output: &mut Vec<u8>,
    ) -> Result<BodyState, ChunkError> {
        loop {
            let rest = self.input.get(*position..).unwrap_or_default();
            if rest.is_empty() {
                return Ok(BodyState::Open);
            }
            match self.expecting {
                Expecting::Data(remaining) => {
                    let available = usize::try_from(remaining).unwrap_or(usize::MAX);
                    let length = rest.len().min(available);
                    output.extend_from_slice(&rest[..length]);
                    *position += length;
                    self.expecting = after_data(remaining - length as u64);
                }
                Expecting::CarriageReturn => {
                    expect_byte(rest, b'\r')?;
                    *position += 1;
                    self.expecting = Expecting::LineFeed;
                }
                Expecting::LineFeed => {
                    expect_byte(rest, b'\n')?;
                    *position += 1;
                    self.expecting = Expecting::Size;
                }
                Expecting::Size => match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((_, 0))) => return Ok(BodyState::Ended),
                    Ok(httparse::Status::Complete((length, size))) => {
                        *position += length;
                        self.expecting = Expecting::Data(size);
                    }
                    Ok(httparse::Status::Partial) if rest.len() < MAX_SIZE_LINE_BYTES => {
                        return Ok(BodyState::Open);
                    }
                    _ => return Err(ChunkError::Size),
                },
            }
        }
    }
}

fn after_data(remaining: u64) -> Expecting {
    if remaining == 0 {
        Expecting::CarriageReturn
    } else {
        Expecting::Data(remaining)
    }
}

fn expect_byte(rest: &[u8], expected: u8) -> Result<(), ChunkError> {
    if rest[0] == expected {
        Ok(())
    } else {
        Err(ChunkError::MissingLineEnd)
    }
}

#[cfg(test)]
mod tests;
