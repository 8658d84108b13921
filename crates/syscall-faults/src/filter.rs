//! The seccomp filter that raises `SIGSYS` for the system calls of a plan.

use crate::raw_syscall;
use std::io;

/// Offsets in the kernel's `seccomp_data`.
const NUMBER_OFFSET: u32 = 0;
const INSTRUCTION_POINTER_OFFSET: u32 = 8;

const LOAD_WORD: u16 = (libc::BPF_LD | libc::BPF_W | libc::BPF_ABS) as u16;
const JUMP_IF_EQUAL: u16 = (libc::BPF_JMP | libc::BPF_JEQ | libc::BPF_K) as u16;
const RETURN: u16 = (libc::BPF_RET | libc::BPF_K) as u16;

fn statement(code: u16, value: u32) -> libc::sock_filter {
    libc::sock_filter {
        code,
        jt: 0,
        jf: 0,
        k: value,
    }
}

fn jump_if_equal(value: u32, if_equal: usize, otherwise: usize) -> libc::sock_filter {
    libc::sock_filter {
        code: JUMP_IF_EQUAL,
        jt: if_equal as u8,
        jf: otherwise as u8,
        k: value,
    }
}

/// Builds the filter: raises the signal for the given system calls unless [`raw_syscall`] makes them, and allows all
/// other calls.
fn program(calls: &[i64]) -> Vec<libc::sock_filter> {
    let exempt = raw_syscall::return_address();
    let count = calls.len();
    let mut program = vec![
        statement(LOAD_WORD, INSTRUCTION_POINTER_OFFSET),
        jump_if_equal(exempt as u32, 0, 2),
        statement(LOAD_WORD, INSTRUCTION_POINTER_OFFSET + 4),
        jump_if_equal((exempt >> 32) as u32, count + 1, 0),
        statement(LOAD_WORD, NUMBER_OFFSET),
    ];
    for (index, number) in calls.iter().enumerate() {
        program.push(jump_if_equal(*number as u32, count - index, 0));
    }
    program.push(statement(RETURN, libc::SECCOMP_RET_ALLOW));
    program.push(statement(RETURN, libc::SECCOMP_RET_TRAP));
    program
}

/// Installs the filter for the calling thread and all threads that are started from it later.
///
/// # Errors
/// If the kernel rejects the filter.
pub(crate) fn install(calls: &[i64]) -> io::Result<()> {
    let mut instructions = program(calls);
    let filter = libc::sock_fprog {
        len: instructions.len() as u16,
        filter: instructions.as_mut_ptr(),
    };
    // SAFETY: both calls only read their arguments, and `filter` points to instructions that outlive the calls.
    let results = unsafe {
        [
            libc::prctl(libc::PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0),
            libc::prctl(
                libc::PR_SET_SECCOMP,
                libc::SECCOMP_MODE_FILTER,
                &raw const filter,
            ),
        ]
    };
    if results == [0, 0] {
        Ok(())
    } else {
        Err(io::Error::last_os_error())
    }
}
