//! Cuts a stream of JSON objects apart, however they are laid out and wherever its bytes are cut. Discovery writes an object a
//! line, or indented over many. What an object holds is read by a JSON library; this only finds where it ends.

/// The longest object that is read.
pub const LONGEST: usize = 4 << 20;

/// What has come of the stream and is not taken yet.
#[derive(Default)]
pub struct Objects {
    bytes: Vec<u8>,
    /// How far it has been looked through, and how many braces and brackets are open there.
    at: usize,
    depth: usize,
    /// There it is within a string, and behind a backslash in it.
    quoted: bool,
    escaped: bool,
}

impl Objects {
    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole object. `None` while its end, or all of it, is still to come: white space between objects is passed over.
    /// An error says what else stands there, or that an object is too long; nothing can be taken after it.
    pub fn take(&mut self) -> Result<Option<Vec<u8>>, String> {
        if self.depth == 0 {
            let blank = self
                .bytes
                .iter()
                .take_while(|byte| byte.is_ascii_whitespace())
                .count();
            self.bytes.drain(..blank);
            self.at = 0;
        }
        while let Some(byte) = self.bytes.get(self.at) {
            self.at += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.quoted => self.escaped = true,
                b'"' if self.depth > 0 => self.quoted = !self.quoted,
                _ if self.quoted => {}
                b'{' => self.depth += 1,
                b'[' if self.depth > 0 => self.depth += 1,
                b'}' | b']' if self.depth > 0 => {
                    self.depth -= 1;
                    if self.depth == 0 {
                        return Ok(Some(self.bytes.drain(..self.at).collect()));
                    }
                }
                _ if self.depth == 0 => {
                    return Err(format!("{:?} where an object begins", char::from(*byte)))
                }
                _ => {}
            }
        }
        if self.bytes.len() > LONGEST {
            return Err("an object is too long".into());
        }
        Ok(None)
    }

    /// Whether an object has begun and not ended.
    pub fn half(&self) -> bool {
        self.depth > 0
    }
}

#[cfg(test)]
mod tests;
