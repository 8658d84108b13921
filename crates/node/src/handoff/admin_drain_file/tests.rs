use super::*;
use rstest::rstest;

#[test]
fn a_damaged_file_is_rejected_as_a_whole() {
    let drained: BTreeSet<ServerId> = ["s-1", "s \"2\"\n"]
        .into_iter()
        .map(ServerId::from)
        .collect();
    let text = format(&drained).unwrap();
    assert_eq!(parse(&text).unwrap(), drained);
    for length in 0..text.len() {
        assert!(
            parse(&text[..length]).is_err(),
            "truncated to {length} bytes"
        );
    }
    for index in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[index] ^= 1;
        let damaged = String::from_utf8_lossy(&bytes);
        assert!(parse(&damaged).is_err(), "damaged at byte {index}");
    }
}

#[rstest]
#[case::no_file(None, &["s"])]
#[case::other_process(Some("lupincrank-out 1 624ac597\n[\"t\"]\n"), &["s", "t"])]
#[case::damaged(Some("lupincrank-out 1 00000000\n[\"t\"]\n"), &["p", "s"])]
fn a_change_adds_to_what_the_other_process_wrote(
    #[case] file: Option<&str>,
    #[case] expected: &[&str],
) {
    let name = format!(
        "lupincrank-admin-drains-{}-{}",
        std::process::id(),
        expected.concat()
    );
    let path = std::env::temp_dir().join(name).with_extension("out");
    if let Some(text) = file {
        fs::write(&path, text).unwrap();
    }
    let drain_file = AdminDrainFile::new(path.clone());
    let fallback = BTreeSet::from([ServerId::from("p")]);
    let drained = drain_file
        .update(&"s".into(), DrainChange::Drain, &fallback)
        .unwrap();
    assert_eq!(drain_file.read().unwrap(), drained);
    assert_eq!(
        drained.iter().map(|id| &*id.0).collect::<Vec<_>>(),
        expected
    );
    assert_eq!(
        drain_file
            .update(&"s".into(), DrainChange::Release, &fallback)
            .unwrap()
            .len(),
        expected.len() - 1
    );
    for extension in ["out", "out-lock"] {
        fs::remove_file(path.with_extension(extension)).unwrap();
    }
}

/// The fixtures were written by revision c925b3d. They fix the format of the file, which two processes of different
/// builds read and write during a handoff.
#[rstest]
#[case::no_server(&[], include_str!("../fixtures/no_admin_drains.out"))]
#[case::two_servers(&["s-1", "s \"2\"\n"], include_str!("../fixtures/admin_drains.out"))]
fn the_file_is_read_and_written_as_by_earlier_builds(
    #[case] servers: &[&str],
    #[case] fixture: &str,
) {
    let drained: BTreeSet<ServerId> = servers.iter().copied().map(ServerId::from).collect();
    assert_eq!(format(&drained).unwrap(), fixture);
    assert_eq!(parse(fixture).unwrap(), drained);
}
