//! The signal handler that executes, shortens or fails the system calls that the filter traps.

use crate::plan::{Fault, FaultPlan, Rule};
use crate::raw_syscall::{self, Arguments};
use crate::{filter, switch};
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// Index of the buffer length among the arguments of a call.
const LENGTH_ARGUMENT: usize = 2;
/// Index of the flags of `openat`.
const OPEN_FLAGS_ARGUMENT: usize = 2;
/// Index of the operation of `epoll_ctl`.
const EPOLL_OPERATION_ARGUMENT: usize = 1;
/// The registers that hold the arguments of a system call.
#[cfg(target_arch = "x86_64")]
const ARGUMENT_REGISTERS: [libc::c_int; 6] = [
    libc::REG_RDI,
    libc::REG_RSI,
    libc::REG_RDX,
    libc::REG_R10,
    libc::REG_R8,
    libc::REG_R9,
];

/// The fault plan; set once at start-up.
static PLAN: OnceLock<FaultPlan> = OnceLock::new();
/// The state of the random number generator.
static RNG_STATE: AtomicU64 = AtomicU64::new(0);

/// Installs the signal handler and the filter.
///
/// # Errors
/// If the kernel rejects the handler or the filter.
pub(crate) fn install(plan: FaultPlan, seed: u64) -> io::Result<()> {
    RNG_STATE.store(seed, Ordering::Relaxed);
    let calls = plan.calls();
    PLAN.get_or_init(|| plan);
    if calls.is_empty() {
        return Ok(());
    }
    install_handler()?;
    filter::install(&calls)
}

fn install_handler() -> io::Result<()> {
    // SAFETY: an all-zero action is valid, and the handler calls only functions that are safe in a signal handler.
    let result = unsafe {
        let mut action: libc::sigaction = std::mem::zeroed();
        action.sa_sigaction = on_trapped_call as *const () as usize;
        action.sa_flags = libc::SA_SIGINFO | libc::SA_NODEFER;
        libc::sigaction(libc::SIGSYS, &raw const action, std::ptr::null_mut())
    };
    if result == 0 {
        Ok(())
    } else {
        Err(io::Error::last_os_error())
    }
}

/// Draws a number below `bound` with the `SplitMix64` generator.
fn random_below(bound: u64) -> u64 {
    let state = RNG_STATE
        .fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed)
        .wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)) % bound.max(1)
}

/// Returns true if a rule may fail this call. Calls of `openat` and `epoll_ctl` that create nothing never fail: opening
/// an existing file, and changing or removing a registration.
fn can_fail(number: i64, arguments: &Arguments) -> bool {
    match number {
        libc::SYS_openat => arguments[OPEN_FLAGS_ARGUMENT] & i64::from(libc::O_CREAT) != 0,
        libc::SYS_epoll_ctl => {
            arguments[EPOLL_OPERATION_ARGUMENT] == i64::from(libc::EPOLL_CTL_ADD)
        }
        _ => true,
    }
}

/// Draws the rule that applies to this call, if any.
fn draw_rule(number: i64, arguments: &Arguments) -> Option<&'static Rule> {
    if !switch::is_on() || !can_fail(number, arguments) {
        return None;
    }
    let rules = &PLAN.get()?.rules;
    rules
        .iter()
        .find(|rule| rule.calls.contains(&number) && random_below(100) < u64::from(rule.percent))
}

/// Executes the call with the fault of its rule, if any. Returns the kernel's result, or a negated error number.
fn perform(number: i64, mut arguments: Arguments) -> i64 {
    let fault = draw_rule(number, &arguments).map(|rule| rule.fault);
    match fault {
        Some(Fault::Errno(errno)) if number == libc::SYS_connect && errno == libc::EINTR => {
            // An interrupted `connect` continues asynchronously in the kernel, so it is made before it fails.
            // SAFETY: the program made this call with these arguments.
            unsafe { raw_syscall::call(number, &arguments) };
            return -i64::from(errno);
        }
        Some(Fault::Errno(errno)) => return -i64::from(errno),
        Some(Fault::Short) if !matches!(number, libc::SYS_recvmsg | libc::SYS_sendmsg) => {
            let length = arguments[LENGTH_ARGUMENT];
            if length > 1 {
                arguments[LENGTH_ARGUMENT] = 1 + random_below(length as u64 - 1) as i64;
            }
        }
        Some(Fault::Short) | None => {}
    }
    // SAFETY: the program made this call; a shortened buffer lies within the program's buffer.
    unsafe { raw_syscall::call(number, &arguments) }
}

#[cfg(target_arch = "x86_64")]
extern "C" fn on_trapped_call(
    _signal: libc::c_int,
    _info: *mut libc::siginfo_t,
    context: *mut libc::c_void,
) {
    // SAFETY: the kernel passes the interrupted thread's context, which belongs to this handler until it returns.
    let registers = unsafe { &mut (*context.cast::<libc::ucontext_t>()).uc_mcontext.gregs };
    let number = registers[libc::REG_RAX as usize];
    let arguments = ARGUMENT_REGISTERS.map(|register| registers[register as usize]);
    registers[libc::REG_RAX as usize] = perform(number, arguments);
}

/// The number is in `x8`, the arguments are in `x0` to `x5`, and the result is returned in `x0`.
#[cfg(target_arch = "aarch64")]
extern "C" fn on_trapped_call(
    _signal: libc::c_int,
    _info: *mut libc::siginfo_t,
    context: *mut libc::c_void,
) {
    // SAFETY: the kernel passes the interrupted thread's context, which belongs to this handler until it returns.
    let registers = unsafe { &mut (*context.cast::<libc::ucontext_t>()).uc_mcontext.regs };
    let number = registers[8] as i64;
    let arguments = std::array::from_fn(|index| registers[index] as i64);
    registers[0] = perform(number, arguments) as u64;
}
