//! Retry of system calls that a signal interrupts before they have any effect.

use std::io;

/// Retries a call for as long as a signal interrupts it (`EINTR`).
///
/// # Errors
/// Those of the call, except for [`io::ErrorKind::Interrupted`].
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

#[cfg(test)]
mod tests;
