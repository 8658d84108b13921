//! Whole runs of the program, small ones.

use rstest::rstest;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

/// The program beside this one: built by the same `cargo test --workspace`.
fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_lupincrank-scale")).with_file_name("lupincrank")
}

fn scale(more: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lupincrank-scale"))
        .args(more)
        .output()
        .unwrap()
}

#[rstest]
#[case::no_nodes(&["--nodes", "0"], "--nodes: 0 is not in 4 to 1000")]
#[case::too_many(&["--nodes", "1001"], "--nodes: 1001 is not in 4 to 1000")]
#[case::more_real_than_nodes(&["--nodes", "10", "--real", "11"], "--real: 11 is not in 2 to 10")]
#[case::more_expected_than_nodes(&["--nodes", "10", "--expected", "11"], "--expected: 11 is not in 3 to 10")]
#[case::no_time(&["--nodes", "10", "--seconds", "0"], "--seconds: 0 is not in 1 to 600")]
#[case::no_number(&["--nodes", "10", "--seconds", "NaN"], "--seconds: NaN is not in 1 to 600")]
#[case::all_lost(&["--nodes", "10", "--loss", "1"], "--loss: 1 is not in 0 to 0.9")]
#[case::no_descriptors(&["--nodes", "1000"], "--nodes: 1000 with 1000 of them in the file take 1003100 descriptors")]
#[case::no_program(&["--nodes", "10", "--program", "/nowhere"], "--program: \"/nowhere\" is no file")]
fn bad_input_names_its_place(#[case] more: &[&str], #[case] why: &str) {
    let output = scale(&[&["run"], more].concat());
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        output.status.code() == Some(2) && stderr.contains(why),
        "{:?}: {stderr}",
        output.status
    );
}

#[rstest]
#[case::not_there("/nowhere.json", "/nowhere.json: ")]
#[case::not_json(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/runs.rs"), "runs.rs: expected value")]
fn a_file_that_is_no_outcome_is_named(#[case] file: &str, #[case] why: &str) {
    let output = scale(&["fit", file]);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        output.status.code() == Some(2) && stderr.contains(why),
        "{stderr}"
    );
}

/// Twenty nodes, twelve of them real: a hollow one sends what a real one does, and each part of the outcome is there.
#[test]
fn a_hollow_node_costs_the_messages_of_a_real_one() {
    let out =
        std::env::temp_dir().join(format!("lupincrank-scale-test-{}.json", std::process::id()));
    let program = program();
    let more = [
        "run",
        "--nodes",
        "20",
        "--real",
        "12",
        "--seconds",
        "6",
        "--settle",
        "60",
        "--json",
    ];
    let output = Command::new(env!("CARGO_BIN_EXE_lupincrank-scale"))
        .args(more)
        .arg(&out)
        .arg("--program")
        .arg(&program)
        .output()
        .unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        output.status.success(),
        "{:?}: {stderr}{}",
        output.status,
        String::from_utf8_lossy(&output.stdout)
    );
    let outcome: Value = serde_json::from_str(&std::fs::read_to_string(&out).unwrap()).unwrap();
    std::fs::remove_file(&out).unwrap();
    assert_eq!(
        (outcome["nodes"].as_u64(), outcome["real"].as_u64()),
        (Some(20), Some(12))
    );
    assert_eq!(outcome["unknown"], 0, "the proxies know all traffic");
    let figure = |role: &str, name: &str| outcome["roles"][role][name].as_f64().unwrap();
    // Five vote, whichever they are: of the nine real ones that are no seeds, and of the eight hollow ones, some are left.
    for name in ["messages_per_s_mean", "bytes_out_per_s_mean"] {
        let (real, hollow) = (figure("node", name), figure("hollow-node", name));
        assert!(
            (hollow / real - 1.0).abs() < 0.25,
            "{name}: a real one {real}, a hollow one {hollow}"
        );
    }
    assert!(figure("control", "bytes_out_per_s_mean") > figure("node", "bytes_out_per_s_mean"));
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

/// The processes that one has begun.
fn children(of: u32) -> Vec<u32> {
    let all = std::fs::read_dir("/proc")
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
    all.filter(|pid| parent(*pid) == Some(of)).collect()
}

#[rstest]
#[case::interrupted(Signal::INT, Some(2))]
#[case::killed(Signal::KILL, None)]
fn a_run_that_ends_early_leaves_no_process_behind(
    #[case] signal: Signal,
    #[case] code: Option<i32>,
) {
    let mut run = Command::new(env!("CARGO_BIN_EXE_lupincrank-scale"))
        .args([
            "run",
            "--nodes",
            "8",
            "--real",
            "2",
            "--seconds",
            "60",
            "--program",
        ])
        .arg(program())
        .stderr(Stdio::piped())
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    let what = |pid: &u32| {
        let line = std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
        String::from_utf8_lossy(line.split(|byte| *byte == 0).nth(1).unwrap_or_default())
            .into_owned()
    };
    let until = Instant::now() + Duration::from_secs(30);
    let (mut real, mut hosts) = (Vec::new(), Vec::new());
    while (real.len(), hosts.len()) != (2, 1) {
        assert!(
            Instant::now() < until,
            "two real nodes begin and one process of hollow ones: {real:?}, {hosts:?}"
        );
        let begun = children(run.id());
        real = begun
            .iter()
            .copied()
            .filter(|pid| what(pid) == "serve")
            .collect();
        hosts = begun
            .iter()
            .copied()
            .filter(|pid| what(pid) == "host")
            .collect();
        std::thread::sleep(Duration::from_millis(20));
    }
    kill_process(Pid::from_raw(run.id() as i32).unwrap(), signal).unwrap();
    assert_eq!(run.wait().unwrap().code(), code);
    let lives = |pid: &u32| {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        stat.rsplit_once(')')
            .is_some_and(|(_, rest)| !rest.trim_start().starts_with('Z'))
    };
    if signal == Signal::KILL {
        // It can't end the real ones any more: they are ended here, by id, before anything else can fail.
        for pid in real.drain(..) {
            let _ = kill_process(Pid::from_raw(pid as i32).unwrap(), Signal::KILL);
        }
    }
    let until = Instant::now() + Duration::from_secs(30);
    while real.iter().chain(&hosts).any(lives) {
        assert!(Instant::now() < until, "{real:?} and {hosts:?} live on");
        std::thread::sleep(Duration::from_millis(20));
    }
}
