//! A wall clock that is ahead or behind. Replaces `clock_gettime` of the C library, which makes no system call if the
//! kernel maps its clock into the process (vDSO).

use crate::{raw_syscall, switch};
use std::sync::atomic::{AtomicI64, Ordering};

/// Seconds by which the wall clock is ahead.
static OFFSET_SECONDS: AtomicI64 = AtomicI64::new(0);

/// Sets the offset of the wall clock while faults are active.
pub(crate) fn set_offset(seconds: i64) {
    OFFSET_SECONDS.store(seconds, Ordering::Relaxed);
}

/// Replaces `clock_gettime` of the C library.
///
/// # Safety
/// As for the function of the C library: `time` must point to a `timespec`.
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
