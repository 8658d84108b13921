use super::*;
use crate::handoff::request_table::NodeTables;
use std::path::PathBuf;
use std::rc::Rc;

const FIVE_CLIENTS: ClientCounts = ClientCounts {
    clients: 5,
    unidentified: 70_000,
};

#[test]
fn the_numbers_of_a_running_process_are_known_at_once() {
    let name = format!("lupincrank-client-counts-{}", std::process::id());
    let paths: [PathBuf; 2] =
        ["0", "1"].map(|file| std::env::temp_dir().join(&name).with_extension(file));
    let open = || -> SharedTables {
        let tables = NodeTables::open(&paths, 10).unwrap();
        Rc::new(Some(tables).into())
    };
    let (older_tables, newer_tables) = (open(), open());
    for path in &paths {
        std::fs::remove_file(path).unwrap();
    }
    let older = SharedClientCounts::new(Rc::clone(&older_tables));
    let newer = SharedClientCounts::new(newer_tables);
    assert_eq!(newer.of_other_processes(), Some(ClientCounts::default()));
    older.publish(FIVE_CLIENTS);
    assert_eq!(newer.of_other_processes(), Some(FIVE_CLIENTS));
    older.publish(ClientCounts::default());
    assert_eq!(newer.of_other_processes(), Some(ClientCounts::default()));
    // The process terminates.
    older_tables.take();
    assert_eq!(newer.of_other_processes(), None);
}
