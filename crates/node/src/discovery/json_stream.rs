//! Splits a stream of bytes into JSON objects, whatever their layout and wherever the bytes are split. Discovery writes
//! each object on one line, or indented over several lines. This module only finds the end of an object; a JSON library
//! parses the contents.

use thiserror::Error;

/// Maximum length of an object.
const MAX_OBJECT_BYTES: usize = 4 << 20;

/// The stream contains no further valid object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum JsonStreamError {
    /// Something other than an object or white space was found between two objects.
    #[error("found {0:?} instead of the start of a JSON object")]
    UnexpectedCharacter(char),
    /// The object is longer than [`MAX_OBJECT_BYTES`].
    #[error("JSON object is longer than 4 MiB")]
    ObjectTooLong,
}

/// The context of the next byte to be scanned.
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

/// A buffer of received bytes that returns the JSON objects one by one.
#[derive(Default)]
pub(crate) struct JsonStream {
    buffer: Vec<u8>,
    /// Number of bytes of the buffer that have been scanned.
    scanned: usize,
    /// Number of braces and brackets that are open after the scanned bytes.
    depth: usize,
    state: ScanState,
}

impl JsonStream {
    /// Appends received bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete object, without the white space before it. Returns `None` while more bytes
    /// are needed.
    ///
    /// # Errors
    /// If something other than an object begins, or the object is too long. No object can be read after an error.
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

    /// Returns true if an object has begun and not ended.
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

    /// Scans one byte. Returns true if it ends the object.
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

    /// Scans one byte outside strings. Returns true if it ends the object.
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
