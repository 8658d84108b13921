use super::*;
use rstest::rstest;

const EXAMPLE: &str = include_str!("../../../../examples/config.json");

#[test]
fn a_variable_goes_before_the_file() {
    let listen = |name: &str| (name == "RELAY_LISTEN").then(|| "127.0.0.9:9".to_string());
    let config = Config::parse(EXAMPLE, listen).unwrap();
    assert_eq!(
        (config.listen_address.to_string(), config.name),
        ("127.0.0.9:9".into(), "n0".into())
    );
    assert_eq!(
        (config.seed, config.classes),
        (0x8c1f_30d2_7a5b_e964, vec!["chat".to_string()])
    );
}

#[rstest]
#[case(1.0, 1024, 192, 16, 433, 54487)]
#[case(0.2, 256, 32, 4, 92, 28493)]
fn limits_bound_turns_clients_and_buffers(
    #[case] cores: f64,
    #[case] sockets: usize,
    #[case] memory_mb: usize,
    #[case] accepts: usize,
    #[case] clients: usize,
    #[case] held: usize,
) {
    let limits =
        format!("\"cores\": {cores:?}, \"memory_mb\": {memory_mb}, \"sockets\": {sockets}");
    let text = EXAMPLE.replace(
        "\"cores\": 1.0, \"memory_mb\": 192, \"sockets\": 1024",
        &limits,
    );
    let config = Config::parse(&text, |_| None).unwrap();
    assert_eq!(
        (
            config.max_accepts_per_turn(),
            config.max_clients(),
            config.max_buffered_bytes()
        ),
        (accepts, clients, held)
    );
    assert!(
        held * 4 * clients <= (memory_mb << 20),
        "all buffers together"
    );
}

const DEADLINE: &str = "\"DeadlineNs\": 2000000000";

/// What is wrong with a file that is to replace the example, and the place that is named.
#[rstest]
#[case::negative(DEADLINE, "\"DeadlineNs\": -5", "Categories[0].DeadlineNs: -5")]
#[case::zero(DEADLINE, "\"DeadlineNs\": 0", "Categories[0].DeadlineNs: 0")]
#[case::null(DEADLINE, "\"DeadlineNs\": null", "Categories[0].DeadlineNs")]
#[case::text(DEADLINE, "\"DeadlineNs\": \"2\"", "Categories[0].DeadlineNs: \"2\"")]
#[case::fraction("\"SendCap\": 3", "\"SendCap\": 0.4", "settings.Limits.SendCap: 0.4")]
#[case::part_of_one("\"SendCap\": 3", "\"SendCap\": 2.5", "settings.Limits.SendCap: 2.5")]
#[case::none("\"SendCap\": 3", "\"SendCap\": 0", "settings.Limits.SendCap: 0")]
#[case::too_large(
    "\"SendCap\": 3",
    "\"SendCap\": 1e300",
    "settings.Limits.SendCap: 1e+300"
)]
#[case::no_attempts("\"SendCap\": 3,", "", "settings.Limits.SendCap is missing")]
#[case::no_deadline(
    "\"DeadlineNs\": 2000000000,",
    "",
    "Categories[0].DeadlineNs is missing"
)]
#[case::no_window("\"repeatable\"", "\"by_key\"", "Categories[0].WindowNs is missing")]
#[case::lost(
    "Stream",
    "Stream",
    "limits.swap is missing, and the present file has it"
)]
#[case::no_classes(
    "\"Categories\"",
    "\"Categories\": [], \"Old\"",
    "settings.Categories names no class"
)]
#[case::no_settings("\"settings\"", "\"Settings\"", "settings.Instances is missing")]
#[case::no_list("\"known\"", "\"Known\"", "known is missing")]
#[case::empty("", "", "EOF while parsing a value at line 1")]
fn a_file_that_does_not_hold_replaces_nothing(
    #[case] good: &str,
    #[case] bad: &str,
    #[case] named: &str,
) {
    let path = std::env::temp_dir().join(format!("lupincrank-strict-{}", std::process::id()));
    let path = path.with_extension(named.replace(|c: char| !c.is_alphanumeric(), ""));
    let swap = if named.starts_with("limits.swap") {
        "\"limits\": { \"swap\": 1, "
    } else {
        "\"limits\": { "
    };
    std::fs::write(&path, EXAMPLE.replace("\"limits\": { ", swap)).unwrap();
    let config = Config::load(path.to_str(), |_| None).unwrap();
    let text = EXAMPLE.replacen(good, bad, 1).replace(
        "\"WindowNs\"",
        if bad.contains("by_key") {
            "\"Old\""
        } else {
            "\"WindowNs\""
        },
    );
    std::fs::write(&path, if good.is_empty() { String::new() } else { text }).unwrap();
    let error = config.reread(|_| None).err().unwrap().to_string();
    assert!(
        error.contains(named) && error.contains(path.to_str().unwrap()),
        "{error}"
    );
    // And cut at any byte.
    for cut in (0..EXAMPLE.trim_end().len()).step_by(97) {
        std::fs::write(&path, &EXAMPLE[..cut]).unwrap();
        assert!(config.reread(|_| None).is_err(), "cut at {cut}");
    }
    std::fs::remove_file(&path).unwrap();
}

#[rstest]
#[case("127.0.0.1:18000", "nowhere", "RELAY_LISTEN")]
#[case("8c1f30d27a5be964", "no seed", "seed")]
#[case("\"sockets\": 1024", "\"sockets\": 8", "limits.sockets")]
#[case("\"memory_mb\": 192", "\"memory_mb\": 8", "limits.memory_mb")]
#[case("\"cores\": 1.0", "\"cores\": -1", "limits.cores")]
#[case("SERVING", "WELL", "known")]
#[case("repeatable", "sometimes", "Repeat")]
#[case("\"name\"", "\"nom\"", "RELAY_NAME")]
#[case("{", "[", "line 2 column")]
fn a_bad_value_is_named(#[case] good: &str, #[case] bad: &str, #[case] named: &str) {
    let error = Config::parse(&EXAMPLE.replace(good, bad), |_| None)
        .err()
        .unwrap()
        .to_string();
    assert!(error.contains(named), "{error}");
}
