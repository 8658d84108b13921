//! Divides a stream of bytes into the JSON objects that it holds, however they are laid out and wherever the bytes are cut.
//! The discovery service writes one object a line, or indented over many lines. What an object holds is read by a JSON
//! library; this module only finds its end.

use thiserror::Error;

/// The longest object that is read.
const MAX_OBJECT_BYTES: usize = 4 << 20;

/// Why a stream holds no further object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum JsonStreamError {
    /// Something other than an object or white space was found between two objects.
    #[error("{0:?} where an object begins")]
    UnexpectedCharacter(char),
    /// The object has no end within the longest length that is read.
    #[error("an object is too long")]
    ObjectTooLong,
}

/// Where in an object's text the scan stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ScanState {
    /// Outside strings.
    #[default]
    Structure,
    /// Within a string.
    Text,
    /// Within a string, after a backslash.
    Escape,
}

/// A buffer of received bytes that returns one JSON object after the other.
#[derive(Default)]
pub(crate) struct JsonStream {
    buffer: Vec<u8>,
    /// How far the buffer has been scanned.
    scanned: usize,
    /// Braces and brackets that are open there.
    depth: usize,
    state: ScanState,
}

impl JsonStream {
    /// Appends received bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete object, without the white space before it; `None` while more bytes are needed.
    ///
    /// # Errors
    /// Where something other than an object begins, or the object is too long; no object can be read after that.
    pub(crate) fn next_object(&mut self) -> Result<Option<Vec<u8>>, JsonStreamError> {
        if self.depth == 0 {
            self.skip_white_space();
        }
        while let Some(byte) = self.buffer.get(self.scanned).copied() {
            self.scanned += 1;
            if self.is_object_end(byte)? {
                return Ok(Some(self.buffer.drain(..self.scanned).collect()));
            }
        }
        if self.buffer.len() > MAX_OBJECT_BYTES {
            return Err(JsonStreamError::ObjectTooLong);
        }
        Ok(None)
    }

    /// Whether an object has begun and not ended.
    pub(crate) fn has_partial_object(&self) -> bool {
        self.depth > 0
    }

    fn skip_white_space(&mut self) {
        let length = self
            .buffer
            .iter()
            .take_while(|byte| byte.is_ascii_whitespace())
            .count();
        self.buffer.drain(..length);
        self.scanned = 0;
    }

    /// Follows one byte of the text; whether it ends the object.
    fn is_object_end(&mut self, byte: u8) -> Result<bool, JsonStreamError> {
        match self.state {
            ScanState::Structure => return self.is_structure_end(byte),
            ScanState::Escape => self.state = ScanState::Text,
            ScanState::Text => match byte {
                b'\\' => self.state = ScanState::Escape,
                b'"' => self.state = ScanState::Structure,
                _ => {}
            },
        }
        Ok(false)
    }

    /// Follows one byte outside strings; whether it ends the object.
    fn is_structure_end(&mut self, byte: u8) -> Result<bool, JsonStreamError> {
        if self.depth == 0 && byte != b'{' {
            return Err(JsonStreamError::UnexpectedCharacter(char::from(byte)));
        }
        match byte {
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            b'"' => self.state = ScanState::Text,
            _ => {}
        }
        Ok(self.depth == 0)
    }
}

#[cfg(test)]
mod tests;
