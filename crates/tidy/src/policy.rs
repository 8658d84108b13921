//! The files that the deploy file names as the placement policy.

use crate::sources::workspace_root;
use std::fs;
use std::path::PathBuf;

/// At most this many lines that are not blank may stand in all policy files together.
pub const MAX_POLICY_LINES: usize = 1200;

/// One file or folder that the deploy file names, with its lines that are not blank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyFile {
    /// The path, relative to the root of the workspace.
    pub path: PathBuf,
    /// Lines that are not blank.
    pub line_count: usize,
}

/// Reads the files that `deploy/balancer.toml` lists under `policy`.
///
/// # Panics
/// Where the deploy file or a file that it names can not be read: this is a check of the repository.
pub fn policy_files() -> Vec<PolicyFile> {
    let root = workspace_root();
    let deploy = fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let deploy: toml::Table = deploy.parse().expect("the deploy file is TOML");
    let policy = deploy["policy"].as_array().expect("a list under `policy`");
    policy
        .iter()
        .map(|path| PathBuf::from(path.as_str().expect("a path")))
        .map(|path| PolicyFile {
            line_count: non_blank_lines(&fs::read_to_string(root.join(&path)).expect("a file")),
            path,
        })
        .collect()
}

fn non_blank_lines(text: &str) -> usize {
    text.lines().filter(|line| !line.trim().is_empty()).count()
}
