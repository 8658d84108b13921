//! Waiting for what happens in other processes.

use std::time::{Duration, Instant};

/// Longer than anything that is waited for takes.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Polls until there is a result, and panics if there is none in [`WAIT_TIMEOUT`].
pub fn wait_until<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(result) = poll() {
            return result;
        }
        assert!(Instant::now() < deadline, "{what}: not in {WAIT_TIMEOUT:?}");
        std::thread::sleep(POLL_INTERVAL);
    }
}
