//! Waiting for events in other processes.

use std::time::{Duration, Instant};

/// Longer than any event that a test waits for.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Polls until there is a result; panics if there is none within [`WAIT_TIMEOUT`].
pub fn wait_until<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(result) = poll() {
            return result;
        }
        assert!(
            Instant::now() < deadline,
            "{what}: did not happen within {WAIT_TIMEOUT:?}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}
