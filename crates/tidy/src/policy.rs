//! The files that the deploy file names as the placement policy, and the files of placement that decide on requests.

use crate::sources::workspace_root;
use regex::Regex;
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Where the modules of the policy stand.
const POLICY_FOLDER: &str = "crates/placement/src/policy";
/// Where all modules of placement stand.
const PLACEMENT_FOLDER: &str = "crates/placement/src";
/// An action by which a request is sent to a server, rejected or failed.
const DECISION_PATTERN: &str = r"\bAction::(StartAttempt|Reject|Fail)\b";

/// The files that `deploy/balancer.toml` lists under `policy`, relative to the root of the workspace.
///
/// # Panics
/// Where the deploy file can not be read: this is a check of the repository.
pub fn listed_policy_files() -> BTreeSet<PathBuf> {
    let root = workspace_root();
    let deploy = fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let deploy: toml::Table = deploy.parse().expect("the deploy file is TOML");
    let policy = deploy["policy"].as_array().expect("a list under `policy`");
    policy
        .iter()
        .map(|path| PathBuf::from(path.as_str().expect("a path")))
        .collect()
}

/// The modules that stand in the folder of the policy, without their unit tests.
pub fn modules_in_policy_folder() -> BTreeSet<PathBuf> {
    source_files(POLICY_FOLDER).into_iter().collect()
}

/// The modules of placement that send a request to a server, reject it or fail it, without their unit tests.
///
/// # Panics
/// Where a file can not be read: this is a check of the repository.
pub fn modules_that_decide() -> BTreeSet<PathBuf> {
    let decision = Regex::new(DECISION_PATTERN).expect("a regular expression");
    let root = workspace_root();
    source_files(PLACEMENT_FOLDER)
        .into_iter()
        .filter(|path| decision.is_match(&fs::read_to_string(root.join(path)).expect("a file")))
        .collect()
}

fn source_files(folder: &str) -> Vec<PathBuf> {
    let mut files = Vec::new();
    add_source_files(&workspace_root(), Path::new(folder), &mut files);
    files
}

/// Adds the files of a folder and of those below it; unit tests stand in files called `tests.rs` or `..._tests.rs`.
fn add_source_files(root: &Path, folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(root.join(folder)).expect("a folder") {
        let entry = entry.expect("an entry");
        let path = folder.join(entry.file_name());
        if entry.file_type().expect("its type").is_dir() {
            add_source_files(root, &path, files);
        } else if is_source_file(&path) {
            files.push(path);
        }
    }
}

/// Whether this is a source file and holds no tests only.
fn is_source_file(path: &Path) -> bool {
    let is_rust = path.extension().is_some_and(|extension| extension == "rs");
    let stem = path.file_stem().unwrap_or_default().to_string_lossy();
    is_rust && stem != "tests" && !stem.ends_with("_tests")
}
