//! The handle by which a run controls a process of hollow nodes.

use super::SharedProgress;
use crate::error::RunError;
use crate::hollow_host::{HostCommand, HostRequest, NodeReport};
use lupincrank_fault_injection::node_process::resident_kb;
use std::io::{BufRead, BufReader, Write};
use std::ops::Range;
use std::path::Path;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::thread;

/// A process of hollow nodes. It is killed when the handle is dropped.
pub(super) struct HostProcess {
    child: Child,
    nodes: Range<usize>,
}

impl HostProcess {
    /// Starts a process and records its reports in `progress`.
    pub(super) fn start(
        program: &Path,
        request: &HostRequest,
        progress: &SharedProgress,
    ) -> Result<HostProcess, RunError> {
        let mut command = Command::new(program);
        command
            .arg("host")
            .args(request.to_arguments())
            .env_clear()
            .stdin(Stdio::piped())
            .stdout(Stdio::piped());
        let mut child = command.spawn().map_err(|source| RunError::Start {
            program: program.display().to_string(),
            source,
        })?;
        let output = child.stdout.take();
        let output = output.ok_or(RunError::NoPipe { pipe: "output" })?;
        let first_name = request.topology.name(request.first_node);
        let host = format!(
            "process of {first_name} and {} further hollow nodes",
            request.node_count - 1
        );
        let progress = progress.clone();
        thread::spawn(move || read_reports(output, &host, &progress));
        Ok(HostProcess {
            child,
            nodes: request.nodes(),
        })
    }

    /// Sends a command to all nodes of the process.
    pub(super) fn send(&mut self, command: &HostCommand) -> Result<(), RunError> {
        let input = self.child.stdin.as_mut();
        let input = input.ok_or(RunError::NoPipe { pipe: "input" })?;
        writeln!(input, "{command}").map_err(|source| RunError::HostCommand {
            first_node: self.nodes.start,
            source,
        })
    }

    /// Returns the nodes of the process.
    pub(super) fn nodes(&self) -> &Range<usize> {
        &self.nodes
    }

    /// Returns the process's resident memory in kB, divided by the number of its nodes.
    pub(super) fn resident_kb_per_node(&self) -> u64 {
        resident_kb(self.child.id()).unwrap_or(0) / self.nodes.len() as u64
    }
}

/// Records the reports that a process of hollow nodes writes. The end of its output means that the process exited,
/// which is recorded as a failure of the run.
fn read_reports(output: ChildStdout, host: &str, progress: &SharedProgress) {
    for line in BufReader::new(output).lines().map_while(Result::ok) {
        match serde_json::from_str::<NodeReport>(&line) {
            Ok(report) => progress.lock().record(report),
            Err(source) => progress.lock().record_failure(RunError::HostReport {
                host: host.to_string(),
                line,
                source,
            }),
        }
    }
    progress.lock().record_failure(RunError::HostEnded {
        host: host.to_string(),
    });
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        drop(self.child.stdin.take());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
