use super::*;
use rstest::rstest;

const EXAMPLE: &str = include_str!("../../../../examples/config.json");

#[test]
fn an_environment_variable_overrides_the_file() {
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
    #[case] buffered_bytes: usize,
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
        (accepts, clients, buffered_bytes)
    );
    assert!(
        buffered_bytes * 4 * clients <= (memory_mb << 20),
        "all buffers together"
    );
}

const DEADLINE: &str = "\"DeadlineNs\": 2000000000";

/// Each case replaces `original` by `replacement` in the example file; the error must contain `expected`.
#[rstest]
#[case::negative(DEADLINE, "\"DeadlineNs\": -5", "Categories[0].DeadlineNs: -5")]
#[case::zero(DEADLINE, "\"DeadlineNs\": 0", "Categories[0].DeadlineNs: 0")]
#[case::null(DEADLINE, "\"DeadlineNs\": null", "Categories[0].DeadlineNs")]
#[case::text(DEADLINE, "\"DeadlineNs\": \"2\"", "Categories[0].DeadlineNs: \"2\"")]
#[case::fraction("\"SendCap\": 3", "\"SendCap\": 0.4", "settings.Limits.SendCap: 0.4")]
#[case::not_whole("\"SendCap\": 3", "\"SendCap\": 2.5", "settings.Limits.SendCap: 2.5")]
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
#[case::removed_key(
    "Stream",
    "Stream",
    "limits.swap is missing, but the file in use has it"
)]
#[case::no_classes(
    "\"Categories\"",
    "\"Categories\": [], \"Old\"",
    "settings.Categories contains no class"
)]
#[case::no_settings("\"settings\"", "\"Settings\"", "settings.Instances is missing")]
#[case::no_list("\"known\"", "\"Known\"", "known is missing")]
#[case::empty("", "", "EOF while parsing a value at line 1")]
fn an_invalid_file_does_not_replace_the_one_in_use(
    #[case] original: &str,
    #[case] replacement: &str,
    #[case] expected: &str,
) {
    let path = std::env::temp_dir().join(format!("lupincrank-strict-{}", std::process::id()));
    let path = path.with_extension(expected.replace(|c: char| !c.is_alphanumeric(), ""));
    let swap = if expected.starts_with("limits.swap") {
        "\"limits\": { \"swap\": 1, "
    } else {
        "\"limits\": { "
    };
    std::fs::write(&path, EXAMPLE.replace("\"limits\": { ", swap)).unwrap();
    let config = Config::load(path.to_str(), |_| None).unwrap();
    let text = EXAMPLE.replacen(original, replacement, 1).replace(
        "\"WindowNs\"",
        if replacement.contains("by_key") {
            "\"Old\""
        } else {
            "\"WindowNs\""
        },
    );
    std::fs::write(
        &path,
        if original.is_empty() {
            String::new()
        } else {
            text
        },
    )
    .unwrap();
    let error = config.reread(|_| None).err().unwrap().to_string();
    assert!(
        error.contains(expected) && error.contains(path.to_str().unwrap()),
        "{error}"
    );
    // A truncated file is rejected too.
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
fn an_invalid_value_is_named(
    #[case] original: &str,
    #[case] replacement: &str,
    #[case] expected: &str,
) {
    let error = Config::parse(&EXAMPLE.replace(original, replacement), |_| None)
        .err()
        .unwrap()
        .to_string();
    assert!(error.contains(expected), "{error}");
}
