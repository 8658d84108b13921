//! A wall clock that is ahead or behind. The C library's function is replaced, for no system call is made where the kernel
//! maps its clock into the process.

use crate::{raw_syscall, switch};
use std::sync::atomic::{AtomicI64, Ordering};

/// How far the wall clock is ahead, in seconds.
static OFFSET_SECONDS: AtomicI64 = AtomicI64::new(0);

/// Sets how far the wall clock is ahead while calls fail.
pub(crate) fn set_offset(seconds: i64) {
    OFFSET_SECONDS.store(seconds, Ordering::Relaxed);
}

/// Takes the place of the C library's function.
///
/// # Safety
/// As the C library's: `time` points to a `timespec`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(
    clock: libc::clockid_t,
    time: *mut libc::timespec,
) -> libc::c_int {
    let arguments = [i64::from(clock), time as i64, 0, 0, 0, 0];
    let result = raw_syscall::call(libc::SYS_clock_gettime, &arguments);
    if result < 0 {
        *libc::__errno_location() = -result as libc::c_int;
        return -1;
    }
    let offset = OFFSET_SECONDS.load(Ordering::Relaxed);
    if clock == libc::CLOCK_REALTIME && offset != 0 && switch::is_on() {
        (*time).tv_sec += offset;
    }
    0
}
