//! What has to hold for the repository as a whole.

use lupincrank_tidy::imports::ImportGraph;
use lupincrank_tidy::policy::{policy_files, MAX_POLICY_LINES};
use lupincrank_tidy::sources::{crate_folders, source_files};

#[test]
fn no_crate_has_a_cycle_of_imports() {
    let mut cycles = Vec::new();
    for folder in crate_folders().unwrap() {
        let files = source_files(&folder).unwrap();
        for cycle in ImportGraph::of(&files).cycles() {
            let paths: Vec<_> = cycle
                .into_iter()
                .map(|position| files[position].path.display().to_string())
                .collect();
            cycles.push(paths.join(" <-> "));
        }
    }
    assert!(
        cycles.is_empty(),
        "cycles of imports:\n{}",
        cycles.join("\n")
    );
}

#[test]
fn the_policy_files_stay_small() {
    let files = policy_files();
    let total: usize = files.iter().map(|file| file.line_count).sum();
    assert!(!files.is_empty(), "the deploy file names no policy file");
    assert!(
        total <= MAX_POLICY_LINES,
        "{total} lines that are not blank in the policy files, {MAX_POLICY_LINES} are allowed: {files:#?}"
    );
}
