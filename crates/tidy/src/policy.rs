//! The files that the deploy file lists as the placement policy, and the files of placement that decide on requests.

use crate::sources::workspace_root;
use regex::Regex;
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// The folder of the policy modules.
const POLICY_FOLDER: &str = "crates/placement/src/policy";
/// The folder of all placement modules.
const PLACEMENT_FOLDER: &str = "crates/placement/src";
/// Matches the actions that send a request to a server, reject it or fail it.
const DECISION_PATTERN: &str = r"\bAction::(StartAttempt|Reject|Fail)\b";

/// The files that `deploy/balancer.toml` lists under `policy`, relative to the root of the workspace.
///
/// # Panics
/// If the deploy file can't be read or parsed: a check of the repository fails by panicking.
pub fn listed_policy_files() -> BTreeSet<PathBuf> {
    let root = workspace_root();
    let deploy =
        fs::read_to_string(root.join("deploy/balancer.toml")).expect("readable deploy file");
    let deploy: toml::Table = deploy.parse().expect("deploy file in TOML");
    let policy = deploy["policy"].as_array().expect("`policy` is an array");
    policy
        .iter()
        .map(|path| PathBuf::from(path.as_str().expect("path as a string")))
        .collect()
}

/// The modules in the folder of the policy, without their unit tests.
pub fn modules_in_policy_folder() -> BTreeSet<PathBuf> {
    source_files(POLICY_FOLDER).into_iter().collect()
}

/// The placement modules that send a request to a server, reject it or fail it, without their unit tests.
///
/// # Panics
/// If a file can't be read: a check of the repository fails by panicking.
pub fn deciding_modules() -> BTreeSet<PathBuf> {
    let decision = Regex::new(DECISION_PATTERN).expect("valid regular expression");
    let root = workspace_root();
    source_files(PLACEMENT_FOLDER)
        .into_iter()
        .filter(|path| {
            decision.is_match(&fs::read_to_string(root.join(path)).expect("readable file"))
        })
        .collect()
}

fn source_files(folder: &str) -> Vec<PathBuf> {
    let mut files = Vec::new();
    add_source_files(&workspace_root(), Path::new(folder), &mut files);
    files
}

/// Adds the source files of a folder and its subfolders; files named `tests.rs` or `..._tests.rs` contain unit tests.
fn add_source_files(root: &Path, folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(root.join(folder)).expect("readable folder") {
        let entry = entry.expect("readable folder entry");
        let path = folder.join(entry.file_name());
        if entry
            .file_type()
            .expect("type of the folder entry")
            .is_dir()
        {
            add_source_files(root, &path, files);
        } else if is_source_file(&path) {
            files.push(path);
        }
    }
}

/// Returns true for a Rust source file that is not a file of unit tests.
fn is_source_file(path: &Path) -> bool {
    let is_rust = path.extension().is_some_and(|extension| extension == "rs");
    let stem = path.file_stem().unwrap_or_default().to_string_lossy();
    is_rust && stem != "tests" && !stem.ends_with("_tests")
}
