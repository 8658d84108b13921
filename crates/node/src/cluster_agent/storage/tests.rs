use super::*;
use lupincrank_control::durable::{StoredEntry, StoredSnapshot};
use rstest::rstest;
use std::thread;

fn write(sequence: u64, entries: &[u64]) -> LogWrite {
    let entries = entries
        .iter()
        .map(|index| StoredEntry {
            index: *index,
            bytes: vec![*index as u8; 2_000],
        })
        .collect();
    LogWrite {
        sequence,
        entries,
        hard_state: Some(vec![sequence as u8]),
        ..LogWrite::default()
    }
}

/// Creates a file with some writes, as a killed process leaves it, and returns the state that results from them.
fn file_with_writes(path: &Path) -> DurableState {
    let OpenedStorage {
        database,
        mut state,
    } = open(path, "guj/n0", 7).unwrap();
    let cluster_id = ClusterId {
        epoch: 1,
        bootstrap_id: 3,
    };
    let start = LogWrite {
        starts_cluster: Some(cluster_id),
        snapshot: Some(StoredSnapshot {
            last_index: 1,
            bytes: vec![9],
        }),
        ..LogWrite::default()
    };
    let snapshot = LogWrite {
        sequence: 4,
        snapshot: Some(StoredSnapshot {
            last_index: 3,
            bytes: vec![8; 9_000],
        }),
        ..LogWrite::default()
    };
    for batch in [
        vec![start, write(2, &[2, 3, 4, 5])],
        vec![write(3, &[4])],
        vec![snapshot],
    ] {
        write_batch(&database, &batch).unwrap();
        for write in &batch {
            state.apply(write);
        }
    }
    state
}

fn storage_path(name: &str) -> std::path::PathBuf {
    let folder =
        std::env::temp_dir().join(format!("lupincrank-disk-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    folder.join("council-n0.redb")
}

#[test]
fn writes_and_identity_persist_across_a_restart() {
    let path = storage_path("whole");
    let stored_state = file_with_writes(&path);
    let reopened = open(&path, "guj/n0", 99).unwrap();
    assert_eq!(
        reopened.state,
        DurableState {
            start_count: 2,
            ..stored_state
        }
    );
    assert!(matches!(open(&path, "guj/n0", 1), Err(OpenError::InUse)));
    let _ = fs::remove_dir_all(path.parent().unwrap());
}

#[rstest]
#[case::of_another_node("guj/n1", 0, false)]
#[case::damaged_in_the_middle("guj/n0", 3, true)]
#[case::cut_in_half("guj/n0", 2, true)]
fn a_damaged_or_foreign_file_is_not_resumed(
    #[case] owner: &str,
    #[case] damage_kind: usize,
    #[case] is_damaged: bool,
) {
    let path = storage_path(&format!("damaged-{owner}-{damage_kind}").replace('/', "-"));
    let stored_state = file_with_writes(&path);
    let mut bytes = fs::read(&path).unwrap();
    match damage_kind {
        2 => bytes.truncate(bytes.len() / 2),
        // Flips a bit in every byte whose value occurs in the entries or in the last snapshot.
        3 => bytes
            .iter_mut()
            .filter(|byte| [4, 5, 8].contains(*byte))
            .for_each(|byte| *byte ^= 64),
        _ => {}
    }
    fs::write(&path, bytes).unwrap();
    match open(&path, owner, 99) {
        Err(OpenError::Damaged(_)) if is_damaged => {
            set_aside(&path).unwrap();
            let recreated = open(&path, owner, 99).unwrap().state;
            assert_eq!(
                (
                    recreated.member_id,
                    recreated.start_count,
                    recreated.cluster_id
                ),
                (99, 1, None)
            );
        }
        Err(error @ OpenError::ForeignOwner { .. }) if !is_damaged => {
            assert!(error.to_string().contains("guj/n0"), "{error}");
        }
        other => panic!("{:?} of {stored_state:?}", other.map(|opened| opened.state)),
    }
    let _ = fs::remove_dir_all(path.parent().unwrap());
}

#[test]
fn the_writer_reports_completed_writes_and_ends_when_dropped() {
    let path = storage_path("thread");
    let OpenedStorage { database, state } = open(&path, "guj/n0", 7).unwrap();
    let file = StorageFile {
        path: path.clone(),
        owner: "guj/n0".to_string(),
        database,
        state,
    };
    let mut writer = StorageWriter::start(file).unwrap();
    (1..=20).for_each(|number| writer.write(write(number, &[number])).unwrap());
    let mut last = 0;
    while last < 20 {
        match writer.next_event().unwrap() {
            Some(StorageEvent::Completed(sequence)) => last = sequence,
            Some(StorageEvent::Failing(error)) => panic!("{error}"),
            None => thread::yield_now(),
        }
    }
    drop(writer);
    let reopened = loop {
        match open(&path, "guj/n0", 9) {
            Err(OpenError::InUse) => thread::yield_now(),
            other => break other.unwrap().state,
        }
    };
    assert_eq!(
        (
            reopened.member_id,
            reopened.entries.len(),
            reopened.hard_state
        ),
        (7, 20, Some(vec![20]))
    );
    let _ = fs::remove_dir_all(path.parent().unwrap());
}

/// The new file contains the whole state, and the path stays locked while both files are open.
#[test]
fn a_rewritten_file_holds_the_whole_state() {
    let path = storage_path("rewritten");
    let stored_state = file_with_writes(&path);
    let opened = open(&path, "guj/n0", 99).unwrap();
    let rewritten = rewrite(&path, "guj/n0", &opened.state).unwrap();
    assert!(matches!(open(&path, "guj/n0", 1), Err(OpenError::InUse)));
    drop((opened.database, rewritten));
    let reopened = open(&path, "guj/n0", 99).unwrap();
    assert_eq!(
        reopened.state,
        DurableState {
            start_count: 3,
            ..stored_state
        }
    );
    let _ = fs::remove_dir_all(path.parent().unwrap());
}

/// A file written by revision c925b3d: an identity that has started once, its cluster id, a snapshot up to entry 1, and
/// three entries. The file is not compacted: no node compacts its file, and redb 3 reports wrong checksums when a
/// compacted file is opened for the second time.
const EARLIER_BUILD_FILE: &[u8] = include_bytes!("../../../tests/fixtures/council-n0.redb");

#[test]
fn a_file_of_an_earlier_build_is_resumed() {
    let path = storage_path("earlier-build");
    fs::create_dir_all(path.parent().unwrap()).unwrap();
    fs::write(&path, EARLIER_BUILD_FILE).unwrap();
    let OpenedStorage { database, state } = open(&path, "guj/n0", 99).unwrap();
    let expected = DurableState {
        member_id: 0x0123_4567_89ab_cdef,
        start_count: 2,
        cluster_id: Some(ClusterId {
            epoch: 1,
            bootstrap_id: 0xfeed,
        }),
        snapshot: Some(vec![1, 2, 3]),
        hard_state: Some(vec![6, 7, 8]),
        entries: (2..=4).map(|index| (index, vec![index as u8; 5])).collect(),
    };
    assert_eq!(state, expected);
    write_batch(&database, &[write(3, &[4, 5])]).unwrap();
    drop(database);
    let mut updated = expected;
    updated.apply(&write(3, &[4, 5]));
    updated.start_count = 3;
    assert_eq!(open(&path, "guj/n0", 99).unwrap().state, updated);
    let _ = fs::remove_dir_all(path.parent().unwrap());
}
