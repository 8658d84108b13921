use super::*;
use rstest::rstest;
use std::path::PathBuf;

/// Table files in a directory that is removed at the end.
struct TableFiles {
    directory: PathBuf,
    paths: [PathBuf; 2],
}

impl TableFiles {
    fn new(test_name: &str) -> TableFiles {
        let name = format!("lupincrank-{test_name}-{}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir(&directory).unwrap();
        let paths = ["0", "1"].map(|file| directory.join(file));
        TableFiles { directory, paths }
    }

    fn open(&self, capacity: usize) -> NodeTables {
        NodeTables::open(&self.paths, capacity).unwrap()
    }
}

impl Drop for TableFiles {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn ids() -> Vec<RequestId> {
    let consecutive = 0x00c0_ffee_0000_0000..0x00c0_ffee_0000_0100;
    let strided = (0..0x100).map(|number| number << 40);
    let extremes = [1, u64::MAX, 1 << 63, OCCUPIED - 1];
    let ids = consecutive.chain(strided).chain(extremes);
    ids.map(RequestId).collect()
}

/// Both processes see the other's requests and not their own, whatever the sizes of their tables.
#[rstest]
#[case::same_size(1_000, 1_000)]
#[case::smaller(1_000, 600)]
#[case::larger(600, 100_000)]
fn a_request_is_found_by_the_other_process_until_it_is_removed(
    #[case] older_capacity: usize,
    #[case] newer_capacity: usize,
) {
    let files = TableFiles::new(&format!("table-{older_capacity}-{newer_capacity}"));
    let older = files.open(older_capacity);
    let newer = files.open(newer_capacity);
    let is_found = |tables: &NodeTables, id| tables.others[0].contains(id).unwrap();
    let mut slots = Vec::new();
    for id in ids() {
        assert!(!is_found(&newer, id), "{id:?} before it is added");
        slots.push((id, older.own.insert(id).unwrap()));
        assert!(is_found(&newer, id), "{id:?} after it was added");
        assert!(!is_found(&older, id), "{id:?} in the newer process's table");
    }
    for (id, slot) in slots {
        assert!(is_found(&newer, id));
        older.own.remove(slot).unwrap();
        assert!(!is_found(&newer, id), "{id:?} after it was removed");
    }
}

#[test]
fn requests_of_a_terminated_process_are_not_found() {
    let files = TableFiles::new("table-terminated");
    let older = files.open(100);
    let newer = files.open(100);
    let id = RequestId(1);
    older.own.insert(id).unwrap();
    drop(older);
    assert!(!newer.others[0].contains(id).unwrap());
    let next = files.open(100);
    newer.own.insert(id).unwrap();
    assert!(next.others[0].contains(id).unwrap());
    assert!(
        !newer.others[0].contains(id).unwrap(),
        "a table starts empty"
    );
}

#[test]
fn a_full_bucket_takes_no_more_requests_and_a_removed_one_makes_room() {
    let files = TableFiles::new("table-full");
    let tables = files.open(1);
    let results = (0..1_000).map(|id| tables.own.insert(RequestId(id)));
    let (stored, failed): (Vec<_>, Vec<_>) = results.partition(io::Result::is_ok);
    assert_eq!(stored.len(), MIN_BUCKETS * SLOTS_PER_BUCKET);
    assert!(failed
        .iter()
        .all(|result| result.as_ref().unwrap_err().kind() == io::ErrorKind::StorageFull));
    tables.own.remove(*stored[0].as_ref().unwrap()).unwrap();
    let is_stored = |id| tables.own.insert(RequestId(id)).is_ok();
    assert!((1_000..1_100).any(is_stored));
}

#[test]
fn only_as_many_processes_as_files_have_a_table() {
    let files = TableFiles::new("table-files");
    let _tables = [files.open(10), files.open(10)];
    let third = NodeTables::open(&files.paths, 10).map(drop).unwrap_err();
    assert_eq!(third.kind(), io::ErrorKind::ResourceBusy);
}
