//! Processes of the node.

use super::syscall_faults::SyscallFaults;
use rustix::process::{kill_process, Pid, Signal};
use std::ffi::OsString;
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Moves the inherited listener, if there is one, to descriptor 7 and runs the program.
const START_SCRIPT: &str = "[ -z \"$RELAY_INHERITED_FD\" ] || exec 7<&0 0</dev/null; exec \"$@\"";

/// The build of the program that a process runs.
#[derive(Clone, Copy, Debug)]
pub enum Build {
    /// The tested build.
    This,
    /// The program that the environment variable `LUPINCRANK_OTHER_BUILD` names; the tested build if it is not set.
    Other,
}

impl Build {
    fn program(self) -> OsString {
        let this = env!("CARGO_BIN_EXE_lupincrank");
        match self {
            Build::This => this.into(),
            Build::Other => std::env::var_os("LUPINCRANK_OTHER_BUILD").unwrap_or(this.into()),
        }
    }
}

/// The clients' listening socket that both processes of a node inherit, and their directory for runtime files.
pub struct InheritedListener {
    pub listener: TcpListener,
    pub runtime_directory: PathBuf,
}

/// Starts the node; an inherited listener is its descriptor 7.
pub fn spawn(
    build: Build,
    config_path: &Path,
    inherited: Option<&InheritedListener>,
    faults: Option<&SyscallFaults>,
) -> Child {
    let log = std::fs::File::options()
        .append(true)
        .open(config_path.with_extension("log"))
        .unwrap();
    let mut command = Command::new("/bin/sh");
    command
        .args(["-c", START_SCRIPT, "sh"])
        .args(
            faults
                .map(SyscallFaults::command_prefix)
                .unwrap_or_default(),
        )
        .arg(build.program())
        .args(["serve", "--verbose", "--config"])
        .arg(config_path)
        .env_clear()
        .stderr(log)
        .stdin(Stdio::null());
    if let Some(inherited) = inherited {
        let listener = OwnedFd::from(inherited.listener.try_clone().unwrap());
        command
            .env("RELAY_INHERITED_FD", "7")
            .env("TMPDIR", &inherited.runtime_directory)
            .stdin(listener);
    }
    command.spawn().unwrap()
}

/// Starts the node with an operator file and optional system call faults.
pub fn spawn_with_operator_file(
    config_path: &Path,
    operator_path: &Path,
    faults: Option<&SyscallFaults>,
) -> Child {
    let prefix = faults
        .map(SyscallFaults::command_prefix)
        .unwrap_or_default();
    let log = std::fs::File::options()
        .append(true)
        .open(config_path.with_extension("log"))
        .unwrap();
    let arguments = prefix.into_iter().chain([Build::This.program()]);
    let arguments: Vec<OsString> = arguments.collect();
    Command::new(&arguments[0])
        .args(&arguments[1..])
        .args(["serve", "--config"])
        .arg(config_path)
        .arg("--operator")
        .arg(operator_path)
        .env_clear()
        .stderr(log)
        .stdin(Stdio::null())
        .spawn()
        .unwrap()
}

/// Sends a signal, such as `-TERM`, to a process. No other process is started for it, so that the time of the signal is
/// known.
pub fn send_signal(process: &Child, signal: &str) {
    let signal = match signal {
        "-TERM" => Signal::TERM,
        "-HUP" => Signal::HUP,
        "-KILL" => Signal::KILL,
        "-STOP" => Signal::STOP,
        "-CONT" => Signal::CONT,
        other => panic!("unknown signal {other}"),
    };
    let process = Pid::from_raw(process.id() as i32).unwrap();
    kill_process(process, signal).unwrap();
}
