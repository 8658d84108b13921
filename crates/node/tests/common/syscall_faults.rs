//! Faults in system calls and the wall clock of the node's processes.

use lupincrank_syscall_faults::{LIBRARY_FILE, PLAN_VARIABLE, SEED_VARIABLE, SWITCH_VARIABLE};
use std::ffi::OsString;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Faults in the processes of a node, active while they are switched on.
pub struct SyscallFaults {
    plan: String,
    seed: u64,
    /// Calls fail while this file exists.
    switch: PathBuf,
}

impl SyscallFaults {
    /// Creates faults from a plan in the fault library's format. They are switched off.
    pub fn new(plan: &str, seed: u64) -> SyscallFaults {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("lupincrank-faults-{}-{number}", std::process::id());
        SyscallFaults {
            plan: plan.to_string(),
            seed,
            switch: std::env::temp_dir().join(name),
        }
    }

    /// Activates the faults.
    pub fn switch_on(&self) {
        std::fs::File::create(&self.switch).unwrap();
    }

    /// Deactivates the faults.
    pub fn switch_off(&self) {
        let _ = std::fs::remove_file(&self.switch);
    }

    /// Arguments that precede the program on its command line. They keep the library out of the shell that runs it.
    pub fn command_prefix(&self) -> Vec<OsString> {
        vec![
            "/usr/bin/env".into(),
            assignment("LD_PRELOAD", library_path()),
            assignment(PLAN_VARIABLE, &self.plan),
            assignment(SEED_VARIABLE, self.seed.to_string()),
            assignment(SWITCH_VARIABLE, &self.switch),
        ]
    }
}

impl Drop for SyscallFaults {
    fn drop(&mut self) {
        self.switch_off();
    }
}

fn assignment(variable: &str, value: impl Into<OsString>) -> OsString {
    let mut text = OsString::from(variable);
    text.push("=");
    text.push(value.into());
    text
}

/// The path of the fault library, which is built beside the test.
fn library_path() -> PathBuf {
    let path = std::env::current_exe()
        .unwrap()
        .with_file_name(LIBRARY_FILE);
    assert!(
        path.exists(),
        "fault library not found at {}",
        path.display()
    );
    path
}
