//! The source files of the workspace, without tests.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// One Rust source file of a crate.
#[derive(Clone, Debug)]
pub struct SourceFile {
    /// The path of the file.
    pub path: PathBuf,
    /// The module path within its crate; empty for the root of the crate.
    pub module: Vec<String>,
    /// The source text without line comments.
    pub code: String,
}

/// The root of the workspace.
pub fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The folders of all crates of the workspace, sorted by name.
///
/// # Errors
/// If the folder `crates` can't be read.
pub fn crate_folders() -> io::Result<Vec<PathBuf>> {
    let mut folders = Vec::new();
    for entry in fs::read_dir(workspace_root().join("crates"))? {
        let path = entry?.path();
        if path.join("Cargo.toml").is_file() {
            folders.push(path);
        }
    }
    folders.sort();
    Ok(folders)
}

/// The source files of one crate without tests, sorted by path.
///
/// # Errors
/// If a folder or file below `src` can't be read.
pub fn source_files(crate_folder: &Path) -> io::Result<Vec<SourceFile>> {
    let source_root = crate_folder.join("src");
    let mut paths = Vec::new();
    collect_rust_files(&source_root, &mut paths)?;
    paths.sort();
    let mut files = Vec::new();
    for path in paths {
        files.push(read_source_file(&source_root, path)?);
    }
    Ok(files)
}

fn collect_rust_files(folder: &Path, paths: &mut Vec<PathBuf>) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            collect_rust_files(&path, paths)?;
        } else if is_source(&path) {
            paths.push(path);
        }
    }
    Ok(())
}

fn is_source(path: &Path) -> bool {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    name.ends_with(".rs") && name != "tests.rs" && !name.ends_with("_tests.rs")
}

fn read_source_file(source_root: &Path, path: PathBuf) -> io::Result<SourceFile> {
    let text = fs::read_to_string(&path)?;
    let relative = path.strip_prefix(source_root).unwrap_or(&path);
    let mut module: Vec<String> = relative
        .with_extension("")
        .iter()
        .map(|name| name.to_string_lossy().into_owned())
        .collect();
    let is_module_root = module
        .last()
        .is_some_and(|name| matches!(name.as_str(), "mod" | "lib" | "main"));
    if is_module_root {
        module.pop();
    }
    Ok(SourceFile {
        module,
        code: without_comments(&text),
        path,
    })
}

/// Returns the text without line comments. A `//` inside a string literal truncates its line, too, which hides only the
/// code after it in that line from the checks.
fn without_comments(text: &str) -> String {
    let lines = text.lines().map(|line| match line.find("//") {
        Some(start) => &line[..start],
        None => line,
    });
    lines.collect::<Vec<_>>().join("\n")
}
