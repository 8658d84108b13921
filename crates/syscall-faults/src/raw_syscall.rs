//! System calls from one known instruction, which the filter allows.

use std::arch::global_asm;

/// The arguments of a system call, in order.
pub(crate) type Arguments = [i64; 6];

#[cfg(target_arch = "x86_64")]
global_asm!(
    ".hidden syscall_faults_raw",
    ".hidden syscall_faults_raw_return",
    ".globl syscall_faults_raw",
    ".globl syscall_faults_raw_return",
    "syscall_faults_raw:",
    "mov rax, rdi",
    "mov r11, rsi",
    "mov rdi, [r11]",
    "mov rsi, [r11 + 8]",
    "mov rdx, [r11 + 16]",
    "mov r10, [r11 + 24]",
    "mov r8, [r11 + 32]",
    "mov r9, [r11 + 40]",
    "syscall",
    "syscall_faults_raw_return:",
    "ret",
);

#[cfg(target_arch = "aarch64")]
global_asm!(
    ".hidden syscall_faults_raw",
    ".hidden syscall_faults_raw_return",
    ".globl syscall_faults_raw",
    ".globl syscall_faults_raw_return",
    "syscall_faults_raw:",
    "mov x8, x0",
    "mov x9, x1",
    "ldp x0, x1, [x9]",
    "ldp x2, x3, [x9, #16]",
    "ldp x4, x5, [x9, #32]",
    "svc #0",
    "syscall_faults_raw_return:",
    "ret",
);

extern "C" {
    fn syscall_faults_raw(number: i64, arguments: *const i64) -> i64;
    fn syscall_faults_raw_return();
}

/// Makes a system call; a negative result is a negated error number.
///
/// # Safety
/// The requirements of the system call itself.
pub(crate) unsafe fn call(number: i64, arguments: &Arguments) -> i64 {
    syscall_faults_raw(number, arguments.as_ptr())
}

/// The address after the instruction of [`call`], by which the filter recognizes its system calls.
pub(crate) fn return_address() -> u64 {
    syscall_faults_raw_return as *const () as u64
}
