//! The emulator against queueing theory: loss systems block as Erlang B says, waiting ones wait as Erlang C says.

use lupincrank_simulator::policy::PolicyName;
use lupincrank_simulator::scenario::{parse, Scenario};
use lupincrank_simulator::world::play;
use rstest::rstest;

const LINES: u32 = 6;

/// The share of arrivals that find all lines taken, for an offered load in lines.
fn erlang_b(load: f64, lines: u32) -> f64 {
    (1..=lines).fold(1.0, |blocked, line| {
        let more = load * blocked;
        more / (f64::from(line) + more)
    })
}

/// The share of arrivals that wait.
fn erlang_c(load: f64, lines: u32) -> f64 {
    let (blocked, used) = (erlang_b(load, lines), load / f64::from(lines));
    blocked / (1.0 - used * (1.0 - blocked))
}

/// One transcriber, one node, no delays, no second tries: a bare queue.
fn bare(rate: f64, length_s: f64, life_s: f64, work_ms: f64, cap: u32) -> Scenario {
    let text = format!(
        r"
        version = 1
        length_s = {length_s}
        [fleet]
        transcribers = 1
        cap = 0.0
        cap_connections = {cap}
        group_cost = 0.0
        [[fleet.kind]]
        cores = {LINES}
        queue = 1000000
        [nodes]
        count = 1
        attempts = 1
        connect_timeout_ms = 1.0
        [net]
        zones = 1
        same_ms = 0.0
        client_ms = 0.0
        handshake_rtts = 0.0
        [clients]
        rate = {rate}
        warm_start = false
        life_s = {life_s}
        life_sigma = 0.0
        group_size = 0.0
        retries = 0
        comes_back = false
        [[class]]
        load = 0.0
        change_s = 0.0
        idle = 0.0
        work_ms = {work_ms}
        deadline_ms = 600000.0
        "
    );
    parse("bare", &text).expect("a scenario that holds")
}

#[rstest]
#[case(2.0)]
#[case(4.0)]
#[case(7.0)]
fn a_full_server_blocks_as_erlang_b_predicts(#[case] load: f64) {
    let scenario = bare(load, 40_000.0, 1.0, 0.0, LINES);
    let (mut blocked, mut asked) = (0, 0);
    for seed in 1..=4 {
        let run = play(&scenario, seed, PolicyName::Plain);
        blocked += run.no_connect;
        asked += run.attempts;
    }
    let (seen, told) = (blocked as f64 / asked as f64, erlang_b(load, LINES));
    assert!(
        (seen / told - 1.0).abs() < 0.02,
        "load {load}: blocked {seen:.5}, Erlang B says {told:.5}"
    );
}

#[rstest]
#[case(3.0)]
#[case(4.2)]
#[case(5.1)]
fn setups_wait_as_erlang_c_predicts(#[case] load: f64) {
    let (work_s, rate) = (0.05, load / 0.05);
    let scenario = bare(rate, 4_000.0, 1e6, work_s * 1e3, 0);
    let (mut waits, mut waited) = (0.0, 0.0);
    let seeds = 4;
    for seed in 1..=seeds {
        let run = play(&scenario, seed, PolicyName::Plain);
        waits += run.set_up_wait_ms / 1e3 / seeds as f64;
        waited += run.set_up_waited / seeds as f64;
    }
    let share = erlang_c(load, LINES);
    let told = share * work_s / (f64::from(LINES) - load);
    assert!(
        (waited / share - 1.0).abs() < 0.02,
        "load {load}: {waited:.5} waited, Erlang C says {share:.5}"
    );
    assert!(
        (waits / told - 1.0).abs() < 0.02,
        "load {load}: a mean wait of {waits:.6} s, theory says {told:.6}"
    );
}
