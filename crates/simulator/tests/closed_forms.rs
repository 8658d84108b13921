//! The simulator against queueing theory: without a queue, the blocking probability follows Erlang B; with a queue, the
//! delay probability and the mean wait follow Erlang C.

use lupincrank_simulator::policy::PolicyName;
use lupincrank_simulator::scenario::{parse, Scenario};
use lupincrank_simulator::world::run_scenario;
use rstest::rstest;

const CHANNELS: u32 = 6;

/// The probability that an arrival finds all channels busy, for an offered load in channels.
fn erlang_b(load: f64, channels: u32) -> f64 {
    (1..=channels).fold(1.0, |blocked, channel| {
        let offered = load * blocked;
        offered / (f64::from(channel) + offered)
    })
}

/// The probability that an arrival waits, for an offered load in channels.
fn erlang_c(load: f64, channels: u32) -> f64 {
    let (blocked, utilization) = (erlang_b(load, channels), load / f64::from(channels));
    blocked / (1.0 - utilization * (1.0 - blocked))
}

/// One server, one node, no delays and no retries: a plain queue.
fn single_server_scenario(
    rate: f64,
    length_s: f64,
    life_s: f64,
    work_ms: f64,
    cap: u32,
) -> Scenario {
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
        cores = {CHANNELS}
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
    parse("bare", &text).expect("a valid scenario")
}

#[rstest]
#[case(2.0)]
#[case(4.0)]
#[case(7.0)]
fn a_full_server_blocks_as_erlang_b_predicts(#[case] load: f64) {
    let scenario = single_server_scenario(load, 40_000.0, 1.0, 0.0, CHANNELS);
    let (mut blocked, mut attempts) = (0, 0);
    for seed in 1..=4 {
        let run = run_scenario(&scenario, seed, PolicyName::Plain);
        blocked += run.no_connect;
        attempts += run.attempts;
    }
    let (observed, expected) = (blocked as f64 / attempts as f64, erlang_b(load, CHANNELS));
    assert!(
        (observed / expected - 1.0).abs() < 0.02,
        "load {load}: blocking probability {observed:.5}, Erlang B gives {expected:.5}"
    );
}

#[rstest]
#[case(3.0)]
#[case(4.2)]
#[case(5.1)]
fn setups_wait_as_erlang_c_predicts(#[case] load: f64) {
    let (work_s, rate) = (0.05, load / 0.05);
    let scenario = single_server_scenario(rate, 4_000.0, 1e6, work_s * 1e3, 0);
    let (mut mean_wait_s, mut delayed_ratio) = (0.0, 0.0);
    let seeds = 4;
    for seed in 1..=seeds {
        let run = run_scenario(&scenario, seed, PolicyName::Plain);
        mean_wait_s += run.set_up_wait_ms / 1e3 / seeds as f64;
        delayed_ratio += run.set_up_waited / seeds as f64;
    }
    let expected_ratio = erlang_c(load, CHANNELS);
    let expected = expected_ratio * work_s / (f64::from(CHANNELS) - load);
    assert!(
        (delayed_ratio / expected_ratio - 1.0).abs() < 0.02,
        "load {load}: delay probability {delayed_ratio:.5}, Erlang C gives {expected_ratio:.5}"
    );
    assert!(
        (mean_wait_s / expected - 1.0).abs() < 0.02,
        "load {load}: mean wait {mean_wait_s:.6} s, theory gives {expected:.6} s"
    );
}
