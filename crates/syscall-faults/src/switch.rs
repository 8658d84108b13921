//! Whether calls fail now: a test switches that on and off with a file.

use crate::raw_syscall;
use std::ffi::CString;
use std::io;
use std::sync::OnceLock;

/// The path of the file; `None` where calls always fail. Set once at the start.
static SWITCH: OnceLock<Option<CString>> = OnceLock::new();

/// Lets calls fail from now on, while the file exists.
///
/// # Errors
/// Where the path holds a zero byte.
pub(crate) fn install(path: Option<String>) -> io::Result<()> {
    let path = path.map(CString::new).transpose()?;
    SWITCH.get_or_init(|| path);
    Ok(())
}

/// Whether calls fail now.
pub(crate) fn is_on() -> bool {
    let Some(switch) = SWITCH.get() else {
        return false;
    };
    let Some(path) = switch else {
        return true;
    };
    let arguments = [path.as_ptr() as i64, i64::from(libc::F_OK), 0, 0, 0, 0];
    // SAFETY: the path is a string that ends in zero and lives as long as the process.
    unsafe { raw_syscall::call(libc::SYS_access, &arguments) == 0 }
}
