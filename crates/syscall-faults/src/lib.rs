//! Makes system calls of a process fail in ways that Linux documents, for tests only.
//!
//! A test starts a program with this library in `LD_PRELOAD` and a plan in [`PLAN_VARIABLE`], such as
//! `recv=EINTR:20,send=SHORT:50,clock=3600`. At start-up the library installs a seccomp filter that traps the calls of
//! the plan. A signal handler executes each trapped call, or shortens or fails it at random. Without the variable the
//! library does nothing. It supports Linux on `x86_64` and `aarch64`.
#![allow(unsafe_code)] // System calls, signal handlers and seccomp filters have no safe interface.

mod filter;
mod handler;
mod plan;
mod raw_syscall;
mod switch;
mod wall_clock;

use std::io;

pub use plan::{Fault, FaultPlan, PlanError, Rule};

/// The environment variable with the plan; see [`FaultPlan`].
pub const PLAN_VARIABLE: &str = "SYSCALL_FAULTS";
/// The environment variable with the path of the switch file: faults are active only while the file exists. Without the
/// variable they are always active.
pub const SWITCH_VARIABLE: &str = "SYSCALL_FAULTS_SWITCH";
/// The environment variable with the seed of the random number generator.
pub const SEED_VARIABLE: &str = "SYSCALL_FAULTS_SEED";
/// The file name of the library.
pub const LIBRARY_FILE: &str = "liblupincrank_syscall_faults.so";

/// Called by the dynamic linker before `main`.
#[used]
#[link_section = ".init_array"]
static INITIALIZER: extern "C" fn() = initialize;

extern "C" fn initialize() {
    let Ok(text) = std::env::var(PLAN_VARIABLE) else {
        return;
    };
    let seed = std::env::var(SEED_VARIABLE)
        .ok()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(1);
    let switch = std::env::var(SWITCH_VARIABLE).ok();
    if let Err(error) = install(&text, switch, seed) {
        eprintln!("{PLAN_VARIABLE}: {error}");
        std::process::exit(1);
    }
}

fn install(plan: &str, switch: Option<String>, seed: u64) -> io::Result<()> {
    let plan = FaultPlan::parse(plan).map_err(io::Error::other)?;
    wall_clock::set_offset(plan.clock_offset_seconds);
    switch::install(switch)?;
    handler::install(plan, seed)
}
