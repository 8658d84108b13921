use super::*;
use std::net::SocketAddr;

/// As many first lines with new ids as a node gets in several seconds from clients at full speed.
const RECENT_IDS: u64 = 10_000;

/// The files of a node, which are removed at the end.
struct NodeFiles(RuntimeFiles);

impl NodeFiles {
    fn new(port: u16) -> NodeFiles {
        let address = SocketAddr::from(([127, 0, 0, 2], port));
        NodeFiles(RuntimeFiles::new(address))
    }

    fn open(&self, own_index: usize, others: OtherProcesses) -> ExecutedRequests {
        let mut executed = ExecutedRequests::default();
        executed.open_files(&self.0, own_index, others).unwrap();
        executed
    }
}

impl Drop for NodeFiles {
    fn drop(&mut self) {
        for path in self.0.executed_request_paths() {
            let _ = std::fs::remove_file(path);
        }
    }
}

fn ids(range: std::ops::Range<u64>) -> impl Iterator<Item = RequestId> {
    // Neither consecutive nor spread as the table spreads them.
    range.map(|number| RequestId(number.wrapping_mul(0xd134_2543_de82_ef95)))
}

/// A client that sends ever new ids must not make the table grow, nor push out the ids of the last seconds.
#[test]
fn a_table_keeps_recent_ids_and_does_not_grow() {
    let files = NodeFiles::new(1);
    let in_file = files.open(0, OtherProcesses::None);
    for mut executed in [ExecutedRequests::default(), in_file] {
        let count = 4 * MAX_IDS as u64;
        for id in ids(0..count) {
            executed.insert(id);
        }
        assert!(ids(count - RECENT_IDS..count).all(|id| executed.contains(id)));
        let kept = ids(0..count).filter(|id| executed.contains(*id)).count();
        assert_eq!(kept, MAX_IDS);
    }
    let length = std::fs::metadata(&files.0.executed_request_paths()[0]).map(|file| file.len());
    assert_eq!(length.unwrap(), TABLE_BYTES as u64);
}

/// Requests that servers turn away are added and removed: they must not push out the others.
#[test]
fn removed_ids_replace_no_others() {
    let mut executed = ExecutedRequests::default();
    let kept = MAX_IDS as u64;
    for id in ids(0..2 * kept) {
        executed.insert(id);
    }
    let before: Vec<_> = ids(0..2 * kept)
        .filter(|id| executed.contains(*id))
        .collect();
    for id in ids(2 * kept..4 * kept) {
        executed.insert(id);
        executed.remove(id);
        assert!(!executed.contains(id));
    }
    let lost = before.iter().filter(|id| !executed.contains(**id)).count();
    assert!(
        lost <= BUCKET_COUNT,
        "{lost}: more than one for each bucket"
    );
}

#[test]
fn a_successor_knows_the_ids_of_all_processes_before_it() {
    let files = NodeFiles::new(2);
    let all: Vec<_> = ids(0..3)
        .chain([RequestId(0), RequestId(u64::MAX)])
        .collect();
    let mut oldest = files.open(0, OtherProcesses::None);
    for id in &all {
        oldest.insert(*id);
    }
    let mut second = files.open(1, OtherProcesses::Running);
    assert!(all.iter().all(|id| second.contains(*id)));
    drop(oldest);
    assert!(
        all.iter().all(|id| second.contains(*id)),
        "its process has ended"
    );
    second.insert(RequestId(99));
    let mut third = files.open(0, OtherProcesses::Running);
    assert!(
        all.iter().all(|id| third.contains(*id)),
        "its file is used again"
    );
    assert!(third.contains(RequestId(99)));
    third.insert(RequestId(100));
    assert!(second.contains(RequestId(100)), "both ways");
    assert!(!second.contains(RequestId(101)));
}

#[test]
fn a_process_without_others_starts_from_nothing() {
    let files = NodeFiles::new(3);
    let mut crashed = files.open(0, OtherProcesses::None);
    crashed.insert(RequestId(1));
    let next = files.open(1, OtherProcesses::None);
    assert!(!next.contains(RequestId(1)));
}

#[test]
fn an_id_whose_file_can_not_be_written_is_kept_in_memory() {
    let files = NodeFiles::new(4);
    let mut executed = files.open(0, OtherProcesses::None);
    let read_only = File::open(&files.0.executed_request_paths()[0]).unwrap();
    executed.own_file = Some(ExecutedTable::new(Slots::File(read_only)));
    executed.insert(RequestId(1));
    assert!(executed.contains(RequestId(1)));
    executed.remove(RequestId(1));
    assert!(!executed.contains(RequestId(1)));
}
