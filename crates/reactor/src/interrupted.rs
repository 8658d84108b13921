//! Calls that a signal interrupts before they have done anything.

use std::io;

/// Makes a call again for as long as it returns that a signal has interrupted it (`EINTR`).
///
/// # Errors
/// The call's own, any other than [`io::ErrorKind::Interrupted`].
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
