//! Checks that the modules of a crate import each other in one direction only.

use lupincrank_tidy::imports::ImportGraph;
use lupincrank_tidy::sources::{crate_folders, source_files};

#[test]
fn no_crate_has_a_cycle_of_imports() {
    let mut cycles = Vec::new();
    for folder in crate_folders().unwrap() {
        let files = source_files(&folder).unwrap();
        for cycle in ImportGraph::of(&files).cycles() {
            let paths: Vec<_> = cycle
                .into_iter()
                .map(|index| files[index].path.display().to_string())
                .collect();
            cycles.push(paths.join(" <-> "));
        }
    }
    assert!(cycles.is_empty(), "import cycles:\n{}", cycles.join("\n"));
}
