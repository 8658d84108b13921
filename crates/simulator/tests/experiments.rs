//! Runs repeat to the byte, nothing grows without bound, and what is wrong in a file is told with its place.

use lupincrank_simulator::experiments::{compare, search, sweep, Estimate};
use lupincrank_simulator::policy::PolicyName;
use lupincrank_simulator::scenario::{load, parse, Scenario};
use lupincrank_simulator::world::play;
use rstest::rstest;
use std::path::PathBuf;

fn scenarios() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("scenarios")
}

fn small() -> Scenario {
    let mut scenario = load(&scenarios().join("sabhalekh.toml")).expect("a scenario that holds");
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
            .expect("a pool of threads");
        pool.install(|| {
            let sides = compare::compare(&scenario, &PolicyName::ALL, 1..4, || ());
            let runs: Vec<_> = PolicyName::ALL
                .iter()
                .map(|name| play(&scenario, 7, *name))
                .collect();
            serde_json::to_string(&(sides, runs)).expect("results are JSON")
        })
    };
    assert_eq!(bytes(1), bytes(4));
    assert_eq!(bytes(4), bytes(4));
    assert_ne!(
        play(&scenario, 7, PolicyName::Module),
        play(&scenario, 8, PolicyName::Module),
        "seeds differ"
    );
}

/// Four times what the fleet can carry, for twice as long: what waits is bounded by the clients, not by the time.
#[test]
fn an_overloaded_simulation_keeps_its_queue_bounded() {
    let mut scenario = small();
    scenario.clients.load = 4.0;
    scenario.clients.most = 3_000;
    let mut peak = |length_s: f64| {
        scenario.length_s = length_s;
        let run = play(&scenario, 1, PolicyName::Plain);
        assert!(run.turned_away > 0, "the world is full");
        run.peak_queue
    };
    let (short, long) = (peak(60.0), peak(240.0));
    assert!(
        long < 3_000 * 12,
        "{long} happenings waited for 3,000 clients"
    );
    assert!(long < short * 3 / 2, "{short} at 60 s, {long} at 240 s");
}

#[test]
fn events_grow_with_the_work_not_with_its_square() {
    let events = |transcribers: u32| {
        let mut scenario = small();
        scenario.fleet.transcribers = transcribers;
        scenario.nodes.count = transcribers / 10;
        play(&scenario, 1, PolicyName::TwoChoices).events as f64
    };
    let (some, many) = (events(20), events(160));
    assert!(
        many / some < 8.0 * 1.3,
        "{some} events at 20, {many} at 160 transcribers"
    );
}

#[test]
fn every_scenario_of_the_folder_is_valid() {
    let mut seen = 0;
    for file in std::fs::read_dir(scenarios()).expect("the folder") {
        let path = file.expect("a file").path();
        load(&path).unwrap_or_else(|wrong| panic!("{wrong:?}"));
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
    let wrong = parse("x", text).expect_err("it does not hold");
    assert!(
        wrong
            .iter()
            .any(|wrong| wrong.location == place && wrong.message.contains(what)),
        "{wrong:?}"
    );
}

#[test]
fn all_values_out_of_bounds_are_reported_at_once() {
    let wrong = parse(
        "x",
        "version = 1\n[nodes]\ncount = 0\nattempts = 9\n[net]\nzones = 0",
    )
    .expect_err("wrong");
    assert_eq!(wrong.len(), 3, "{wrong:?}");
}

#[test]
fn a_sweep_sets_every_point_and_names_a_key_that_is_not_there() {
    let axis = |text: &str| text.parse::<sweep::Axis>().expect("an axis");
    let grid = [axis("nodes.count=1,3"), axis("clients.load=0.2,0.6")];
    let rows = sweep::sweep("x", &small(), &grid, &[PolicyName::Random], 1..3, || ())
        .expect("a grid that holds");
    assert_eq!(rows.len(), 4);
    let service = |at: usize| rows[at].figures[0].1.mean;
    assert!(
        service(0) > service(1) && service(2) > service(3),
        "more load, less service: {rows:?}"
    );
    let wrong = sweep::sweep(
        "x",
        &small(),
        &[axis("nodes.cuont=1")],
        &[PolicyName::Random],
        1..2,
        || (),
    );
    assert!(format!("{:?}", wrong.expect_err("no such key")).contains("the nearest is `count`"));
}

#[test]
fn a_shrunk_scenario_is_saved_and_replays_with_the_same_gap() {
    let others = [PolicyName::TwoChoices];
    let worst = search::find_worst(&small(), 5, 8, &others, || ()).expect("a day");
    let (before, gap) = (worst.scenario.faults.len(), worst.gap);
    let small = search::simplify(worst, &others);
    assert!(
        small.scenario.faults.len() <= before && small.gap >= gap * 0.8,
        "{small:?}"
    );
    let text = toml::to_string(&small.scenario).expect("it can be written");
    let again = parse("saved", &text).expect("it can be read");
    let found = again.found.clone().expect("what was found");
    let replayed = search::evaluate(again, found.seed, &others);
    assert!(small.gap.is_finite(), "{small:?}");
    assert_eq!(replayed.gap.to_bits(), small.gap.to_bits());
}

#[test]
fn an_interval_widens_with_the_spread_and_one_value_has_none() {
    assert_eq!(Estimate::of(&[2.0]).half_width, None);
    let narrow = Estimate::of(&[1.0, 1.1, 0.9, 1.0]);
    let wide = Estimate::of(&[1.0, 3.0, -1.0, 1.0]);
    assert!(
        narrow.beyond_noise() && !wide.beyond_noise(),
        "{narrow:?} {wide:?}"
    );
    // Student's t for three degrees of freedom is 3.182; the deviation of the first is 0.0816 over a root of 4.
    assert!((narrow.half_width.expect("several values") - 3.182 * 0.0816 / 2.0).abs() < 1e-3);
}
