//! The switch of the faults: a test creates or removes a file to turn them on or off.

use crate::raw_syscall;
use std::ffi::{CStr, CString};
use std::io;
use std::sync::OnceLock;

/// The path of the switch file; `None` if faults are always active. Set once at start-up.
static SWITCH_PATH: OnceLock<Option<CString>> = OnceLock::new();

/// Activates faults: while the file at `path` exists, or always if there is no path.
///
/// # Errors
/// If the path contains a zero byte.
pub(crate) fn install(path: Option<String>) -> io::Result<()> {
    let path = path.map(CString::new).transpose()?;
    SWITCH_PATH.get_or_init(|| path);
    Ok(())
}

/// Returns true if faults are active.
pub(crate) fn is_on() -> bool {
    let Some(switch_path) = SWITCH_PATH.get() else {
        return false;
    };
    let Some(path) = switch_path else {
        return true;
    };
    file_exists(path)
}

#[cfg(target_arch = "x86_64")]
fn file_exists(path: &CStr) -> bool {
    let arguments = [path.as_ptr() as i64, i64::from(libc::F_OK), 0, 0, 0, 0];
    // SAFETY: the path is a zero-terminated string that is valid until the process ends.
    unsafe { raw_syscall::call(libc::SYS_access, &arguments) == 0 }
}

/// Linux on `aarch64` has no `access`.
#[cfg(target_arch = "aarch64")]
fn file_exists(path: &CStr) -> bool {
    let arguments = [
        i64::from(libc::AT_FDCWD),
        path.as_ptr() as i64,
        i64::from(libc::F_OK),
        0,
        0,
        0,
    ];
    // SAFETY: the path is a zero-terminated string that is valid until the process ends.
    unsafe { raw_syscall::call(libc::SYS_faccessat, &arguments) == 0 }
}
