//! The first line of a client as it is sent to servers.

use std::time::Duration;

/// The first line as the client sent it, except for the remaining time, which is filled in when the line is sent.
pub(crate) struct ForwardedLine {
    /// The text before the number of milliseconds.
    pub(crate) before_time: Vec<u8>,
    /// The text after it, including the line's terminator.
    pub(crate) after_time: Vec<u8>,
}

impl ForwardedLine {
    /// The line for a server that has `time_left` to answer.
    pub(super) fn with_time_left(&self, time_left: Duration) -> Vec<u8> {
        let millis = time_left.as_millis().to_string();
        [&self.before_time, millis.as_bytes(), &self.after_time].concat()
    }
}
