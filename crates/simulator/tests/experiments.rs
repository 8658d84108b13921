//! Runs repeat to the byte, the event queue and the number of events stay bounded, and errors in a scenario file are
//! reported with their location.

use lupincrank_simulator::experiments::{compare, search, sweep, Estimate};
use lupincrank_simulator::policy::PolicyName;
use lupincrank_simulator::scenario::{load, parse, Scenario};
use lupincrank_simulator::world::run_scenario;
use rstest::rstest;
use std::path::PathBuf;

fn scenarios() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("scenarios")
}

fn small() -> Scenario {
    let mut scenario = load(&scenarios().join("sabhalekh.toml")).expect("a valid scenario");
    scenario.length_s = 20.0;
    scenario
}

#[test]
fn a_seed_gives_the_same_bytes_for_any_number_of_threads() {
    let scenario = small();
    let bytes = |threads: usize| {
        let pool = rayon::ThreadPoolBuilder::new()
            .num_threads(threads)
            .build()
            .expect("a thread pool");
        pool.install(|| {
            let comparison = compare::compare(&scenario, &PolicyName::ALL, 1..4, || ());
            let runs: Vec<_> = PolicyName::ALL
                .iter()
                .map(|name| run_scenario(&scenario, 7, *name))
                .collect();
            serde_json::to_string(&(comparison, runs)).expect("results are JSON")
        })
    };
    assert_eq!(bytes(1), bytes(4));
    assert_eq!(bytes(4), bytes(4));
    assert_ne!(
        run_scenario(&scenario, 7, PolicyName::Module),
        run_scenario(&scenario, 8, PolicyName::Module),
        "different seeds gave the same outcome"
    );
}

/// With four times the load that the fleet has capacity for, the queue's length must be bounded by the number of
/// clients and not grow with the run's duration (60 s and 240 s).
#[test]
fn an_overloaded_simulation_keeps_its_queue_bounded() {
    let mut scenario = small();
    scenario.clients.load = 4.0;
    scenario.clients.most = 3_000;
    let mut peak = |length_s: f64| {
        scenario.length_s = length_s;
        let run = run_scenario(&scenario, 1, PolicyName::Plain);
        assert!(run.turned_away > 0, "the client limit was not reached");
        run.peak_queue
    };
    let (short, long) = (peak(60.0), peak(240.0));
    assert!(long < 3_000 * 12, "{long} queued events for 3,000 clients");
    assert!(long < short * 3 / 2, "{short} at 60 s, {long} at 240 s");
}

#[test]
fn events_grow_with_the_work_not_with_its_square() {
    let events = |server_count: u32| {
        let mut scenario = small();
        scenario.fleet.transcribers = server_count;
        scenario.nodes.count = server_count / 10;
        run_scenario(&scenario, 1, PolicyName::TwoChoices).events as f64
    };
    let (small_fleet, large_fleet) = (events(20), events(160));
    assert!(
        large_fleet / small_fleet < 8.0 * 1.3,
        "{small_fleet} events with 20 servers, {large_fleet} with 160"
    );
}

#[test]
fn every_scenario_of_the_folder_is_valid() {
    let mut seen = 0;
    for file in std::fs::read_dir(scenarios()).expect("the scenario directory") {
        let path = file.expect("a directory entry").path();
        load(&path).unwrap_or_else(|errors| panic!("{errors:?}"));
        seen += 1;
    }
    assert!(seen >= 12, "{seen} scenarios");
}

#[rstest]
#[case("version = 1\nlenght_s = 3.0", "x:2", "the nearest is `length_s`")]
#[case("version = 2", "x:1: version", "not between 1 and 1")]
#[case(
    "version = 1\n[nodes]\ncount = 0",
    "x:3: nodes.count",
    "0 is not between"
)]
#[case(
    "version = 1\n[nodes]\nattempts = 4",
    "x:3: nodes.attempts",
    "4 is not between 1 and 3"
)]
#[case("version = 1\n[nodes]\ncount = \"two\"", "x:3", "invalid type")]
#[case(
    "version = 1\n[[class]]\nshare = -1.0",
    "x:3: class.0.share",
    "-1 is not between"
)]
#[case(
    "version = 1\n[[trouble]]\nkind = \"slow\"\nat_s = 1.0",
    "x: trouble.0.size",
    "0 is not between 1"
)]
#[case(
    "version = 1\n[[trouble]]\nkind = \"flood\"\nat_s = 1.0",
    "x:3",
    "unknown"
)]
#[case(
    "version = 1\n[clients]\nlife_s = nan",
    "x:3: clients.life_s",
    "NaN is not between"
)]
#[case(
    "version = 1\n[clients]\nshape = [[5.0, 1.0], [2.0, 1.0]]",
    "x:3: clients.shape.1",
    "2 is not between 5"
)]
fn an_invalid_value_is_reported_with_its_place(
    #[case] text: &str,
    #[case] place: &str,
    #[case] what: &str,
) {
    let errors = parse("x", text).expect_err("an invalid scenario");
    assert!(
        errors
            .iter()
            .any(|error| error.location == place && error.message.contains(what)),
        "{errors:?}"
    );
}

#[test]
fn all_values_out_of_bounds_are_reported_at_once() {
    let errors = parse(
        "x",
        "version = 1\n[nodes]\ncount = 0\nattempts = 9\n[net]\nzones = 0",
    )
    .expect_err("invalid values");
    assert_eq!(errors.len(), 3, "{errors:?}");
}

#[test]
fn a_sweep_sets_every_point_and_names_a_key_that_is_not_there() {
    let axis = |text: &str| text.parse::<sweep::Axis>().expect("an axis");
    let grid = [axis("nodes.count=1,3"), axis("clients.load=0.2,0.6")];
    let rows = sweep::sweep("x", &small(), &grid, &[PolicyName::Random], 1..3, || ())
        .expect("a valid grid");
    assert_eq!(rows.len(), 4);
    let service = |index: usize| rows[index].figures[0].1.mean;
    assert!(
        service(0) > service(1) && service(2) > service(3),
        "service did not fall with load: {rows:?}"
    );
    let errors = sweep::sweep(
        "x",
        &small(),
        &[axis("nodes.cuont=1")],
        &[PolicyName::Random],
        1..2,
        || (),
    );
    assert!(format!("{:?}", errors.expect_err("no such key")).contains("the nearest is `count`"));
}

#[test]
fn a_shrunk_scenario_is_saved_and_replays_with_the_same_gap() {
    let others = [PolicyName::TwoChoices];
    let worst = search::find_worst(&small(), 5, 8, &others, || ()).expect("a scenario");
    let (before, gap) = (worst.scenario.faults.len(), worst.gap);
    let shrunk = search::simplify(worst, &others);
    assert!(
        shrunk.scenario.faults.len() <= before && shrunk.gap >= gap * 0.8,
        "{shrunk:?}"
    );
    let text = toml::to_string(&shrunk.scenario).expect("a serialized scenario");
    let reloaded = parse("saved", &text).expect("a valid scenario");
    let found = reloaded.found.clone().expect("the search result");
    let replayed = search::evaluate(reloaded, found.seed, &others);
    assert!(shrunk.gap.is_finite(), "{shrunk:?}");
    assert_eq!(replayed.gap.to_bits(), shrunk.gap.to_bits());
}

#[test]
fn an_interval_widens_with_the_spread_and_one_value_has_none() {
    assert_eq!(Estimate::of(&[2.0]).half_width, None);
    let narrow = Estimate::of(&[1.0, 1.1, 0.9, 1.0]);
    let wide = Estimate::of(&[1.0, 3.0, -1.0, 1.0]);
    assert!(
        narrow.excludes_zero() && !wide.excludes_zero(),
        "{narrow:?} {wide:?}"
    );
    // The 97.5% quantile of Student's t is 3.182 for three degrees of freedom. The standard deviation of `narrow` is
    // 0.0816, divided by the square root of its 4 values.
    assert!((narrow.half_width.expect("several values") - 3.182 * 0.0816 / 2.0).abs() < 1e-3);
}
