//! Small runs of the whole program, and its errors for invalid input.

use rstest::rstest;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

/// Path of the node program, which the same `cargo test --workspace` builds in the directory of `lupincrank-scale`.
fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_lupincrank-scale")).with_file_name("lupincrank")
}

fn scale(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lupincrank-scale"))
        .args(arguments)
        .output()
        .unwrap()
}

#[rstest]
#[case::zero_nodes(&["--nodes", "0"], "--nodes: 0 is not in 4 to 1000")]
#[case::too_many_nodes(&["--nodes", "1001"], "--nodes: 1001 is not in 4 to 1000")]
#[case::more_real_than_nodes(&["--nodes", "10", "--real", "11"], "--real: 11 is not in 2 to 10")]
#[case::more_expected_than_nodes(&["--nodes", "10", "--expected", "11"], "--expected: 11 is not in 3 to 10")]
#[case::zero_seconds(&["--nodes", "10", "--seconds", "0"], "--seconds: 0 is not in 1 to 600")]
#[case::seconds_nan(&["--nodes", "10", "--seconds", "NaN"], "--seconds: NaN is not in 1 to 600")]
#[case::loss_too_high(&["--nodes", "10", "--loss", "1"], "--loss: 1 is not in 0 to 0.9")]
#[case::too_few_descriptors(&["--nodes", "1000"], "--nodes: 1000 nodes, 1000 of them in the operator's file, need 1003100 file descriptors")]
#[case::program_missing(&["--nodes", "10", "--program", "/nowhere"], "--program: \"/nowhere\" is not a file")]
fn the_error_for_an_invalid_option_names_it(#[case] arguments: &[&str], #[case] message: &str) {
    let output = scale(&[&["run"], arguments].concat());
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        output.status.code() == Some(2) && stderr.contains(message),
        "{:?}: {stderr}",
        output.status
    );
}

#[rstest]
#[case::missing("/nowhere.json", "/nowhere.json: ")]
#[case::not_json(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/runs.rs"), "runs.rs: expected value")]
fn the_error_for_an_invalid_outcome_file_names_it(#[case] file: &str, #[case] message: &str) {
    let output = scale(&["fit", file]);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        output.status.code() == Some(2) && stderr.contains(message),
        "{stderr}"
    );
}

/// Runs a cluster with these arguments, and returns the outcome.
fn run_cluster(arguments: &[&str]) -> Value {
    let file_name = format!("lupincrank-scale-test-{}.json", std::process::id());
    let path = std::env::temp_dir().join(file_name);
    let output = Command::new(env!("CARGO_BIN_EXE_lupincrank-scale"))
        .arg("run")
        .args(arguments)
        .arg("--json")
        .arg(&path)
        .arg("--program")
        .arg(program())
        .output()
        .unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        output.status.success(),
        "{:?}: {stderr}{}",
        output.status,
        String::from_utf8_lossy(&output.stdout)
    );
    let outcome = serde_json::from_str(&std::fs::read_to_string(&path).unwrap()).unwrap();
    std::fs::remove_file(&path).unwrap();
    outcome
}

/// In a cluster of 12 real and 8 hollow nodes, hollow nodes send as much as real nodes, within 25%, and the outcome is
/// complete.
#[test]
fn a_hollow_node_sends_as_much_as_a_real_node() {
    let outcome = run_cluster(&[
        "--nodes",
        "20",
        "--real",
        "12",
        "--seconds",
        "6",
        "--settle",
        "60",
    ]);
    assert_eq!(
        (outcome["nodes"].as_u64(), outcome["real"].as_u64()),
        (Some(20), Some(12))
    );
    assert_eq!(
        outcome["unknown"], 0,
        "the proxies attribute and decode all traffic"
    );
    let metric = |role: &str, name: &str| outcome["roles"][role][name].as_f64().unwrap();
    // The five voters can be any nodes, so at least four of the nine real nodes that are not seeds, and three of the
    // eight hollow nodes, are not voters.
    for name in ["messages_per_s_mean", "bytes_out_per_s_mean"] {
        let (real, hollow) = (metric("node", name), metric("hollow-node", name));
        assert!(
            (hollow / real - 1.0).abs() < 0.25,
            "{name}: real node {real}, hollow node {hollow}"
        );
    }
    assert!(metric("control", "bytes_out_per_s_mean") > metric("node", "bytes_out_per_s_mean"));
    for key in ["p50", "p99", "all"] {
        assert!(
            outcome["change_ms"][key].as_f64().unwrap() > 0.0,
            "{}",
            outcome["change_ms"]
        );
    }
    let budget = &outcome["budgets"][0];
    assert!(
        budget["peak"].as_u64().unwrap() <= budget["whole"].as_u64().unwrap(),
        "{budget}"
    );
    assert!(budget["total"].as_u64().unwrap() > 0);
}

/// Returns the child processes of a process.
fn children_of(process: u32) -> Vec<u32> {
    let processes = std::fs::read_dir("/proc")
        .unwrap()
        .filter_map(|entry| entry.ok()?.file_name().to_str()?.parse::<u32>().ok());
    let parent = |pid: u32| -> Option<u32> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        stat.rsplit_once(')')?
            .1
            .split_whitespace()
            .nth(1)?
            .parse()
            .ok()
    };
    processes
        .filter(|pid| parent(*pid) == Some(process))
        .collect()
}

/// Returns the first argument of a process.
fn first_argument(pid: u32) -> String {
    let line = std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
    let argument = line.split(|byte| *byte == 0).nth(1).unwrap_or_default();
    String::from_utf8_lossy(argument).into_owned()
}

/// Returns true if a process exists and is not a zombie.
fn is_running(pid: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    stat.rsplit_once(')')
        .is_some_and(|(_, rest)| !rest.trim_start().starts_with('Z'))
}

fn kill(pid: u32, signal: Signal) -> rustix::io::Result<()> {
    kill_process(Pid::from_raw(pid as i32).unwrap(), signal)
}

/// The processes of a run.
#[derive(Debug, Default)]
struct RunProcesses {
    real_nodes: Vec<u32>,
    hosts: Vec<u32>,
}

impl RunProcesses {
    /// Waits until a run has started two real nodes and one process of hollow nodes.
    fn await_started(run: u32) -> RunProcesses {
        let deadline = Instant::now() + Duration::from_secs(30);
        let mut processes = RunProcesses::default();
        while (processes.real_nodes.len(), processes.hosts.len()) != (2, 1) {
            assert!(
                Instant::now() < deadline,
                "expected two real nodes and one process of hollow nodes: {processes:?}"
            );
            let children = children_of(run);
            let with_argument = |argument: &str| {
                let children = children.iter().copied();
                children
                    .filter(|pid| first_argument(*pid) == argument)
                    .collect()
            };
            processes.real_nodes = with_argument("serve");
            processes.hosts = with_argument("host");
            std::thread::sleep(Duration::from_millis(20));
        }
        processes
    }

    fn is_any_running(&self) -> bool {
        let mut processes = self.real_nodes.iter().chain(&self.hosts);
        processes.any(|pid| is_running(*pid))
    }
}

#[rstest]
#[case::interrupted(Signal::INT, Some(2))]
#[case::killed(Signal::KILL, None)]
fn a_run_that_ends_early_leaves_no_process_behind(
    #[case] signal: Signal,
    #[case] code: Option<i32>,
) {
    let mut run = Command::new(env!("CARGO_BIN_EXE_lupincrank-scale"))
        .args(["run", "--nodes", "8", "--real", "2", "--seconds", "60"])
        .arg("--program")
        .arg(program())
        .stderr(Stdio::piped())
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    let mut processes = RunProcesses::await_started(run.id());
    kill(run.id(), signal).unwrap();
    assert_eq!(run.wait().unwrap().code(), code);
    if signal == Signal::KILL {
        // A killed run can't stop its real nodes: the test kills them, by id, before any other assertion can fail.
        for pid in processes.real_nodes.drain(..) {
            let _ = kill(pid, Signal::KILL);
        }
    }
    let deadline = Instant::now() + Duration::from_secs(30);
    while processes.is_any_running() {
        assert!(Instant::now() < deadline, "{processes:?} still running");
        std::thread::sleep(Duration::from_millis(20));
    }
}
