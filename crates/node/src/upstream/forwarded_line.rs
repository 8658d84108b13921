//! The first line of a client as servers get it.

use std::time::Duration;

/// The first line as the client sent it, but for the time that is left: that is known when the line is sent.
pub(crate) struct ForwardedLine {
    /// What stands before the number of milliseconds.
    pub(crate) before_time: Vec<u8>,
    /// What stands behind it, the line's terminator included.
    pub(crate) after_time: Vec<u8>,
}

impl ForwardedLine {
    /// The line for a server that has so much time left.
    pub(super) fn with_time_left(&self, time_left: Duration) -> Vec<u8> {
        let millis = time_left.as_millis().to_string();
        [&self.before_time, millis.as_bytes(), &self.after_time].concat()
    }
}
