//! The import graph of the modules of one crate, and its cycles.
//!
//! A module in an import cycle can't be understood, tested or moved without the other modules of the cycle.

use crate::sources::SourceFile;
use regex::Regex;
use std::collections::{BTreeMap, BTreeSet};

/// The imports between the files of a crate; a file is identified by its index in the list of files.
#[derive(Debug, Default)]
pub struct ImportGraph {
    edges: BTreeMap<usize, BTreeSet<usize>>,
}

/// A path in the code of a file: its start, and the names that follow.
struct ImportPath {
    anchor: Anchor,
    names: Vec<String>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Anchor {
    Crate,
    Super,
}

impl ImportGraph {
    /// Builds the graph of a crate's files: an edge for each path that begins with `crate::` or `super::` and refers to
    /// another file.
    ///
    /// # Panics
    /// If the pattern of paths is not a valid regular expression.
    pub fn of(files: &[SourceFile]) -> ImportGraph {
        let path_pattern = Regex::new(r"\b(crate|super)((?:::\w+)*)(?:::\{([^;]*?)\};)?")
            .expect("valid regular expression");
        let modules: BTreeMap<&[String], usize> = files
            .iter()
            .enumerate()
            .map(|(index, file)| (file.module.as_slice(), index))
            .collect();
        let mut graph = ImportGraph::default();
        for (index, file) in files.iter().enumerate() {
            let targets = import_paths(&path_pattern, &file.code)
                .into_iter()
                .filter_map(|path| resolve(&modules, file, &path))
                .filter(|target| *target != index)
                .collect();
            graph.edges.insert(index, targets);
        }
        graph
    }

    /// Sorted groups of two or more files that can reach each other.
    pub fn cycles(&self) -> Vec<Vec<usize>> {
        let reachable: BTreeMap<usize, BTreeSet<usize>> = self
            .edges
            .keys()
            .map(|start| (*start, self.reachable_from(*start)))
            .collect();
        let mut cycles = BTreeSet::new();
        for (start, targets) in &reachable {
            let group: Vec<usize> = targets
                .iter()
                .copied()
                .filter(|target| reachable[target].contains(start))
                .collect();
            if group.len() > 1 {
                cycles.insert(group);
            }
        }
        cycles.into_iter().collect()
    }

    /// All files that can be reached over one or more edges.
    fn reachable_from(&self, start: usize) -> BTreeSet<usize> {
        let mut reached = BTreeSet::new();
        let mut pending = vec![start];
        while let Some(index) = pending.pop() {
            for target in &self.edges[&index] {
                if reached.insert(*target) {
                    pending.push(*target);
                }
            }
        }
        reached
    }
}

fn import_paths(pattern: &Regex, code: &str) -> Vec<ImportPath> {
    let mut paths = Vec::new();
    for captures in pattern.captures_iter(code) {
        let anchor = match &captures[1] {
            "crate" => Anchor::Crate,
            _ => Anchor::Super,
        };
        let prefix: Vec<String> = split_path(&captures[2]);
        for item in captures.get(3).map_or("", |list| list.as_str()).split(',') {
            let mut names = prefix.clone();
            names.extend(split_path(item));
            paths.push(ImportPath { anchor, names });
        }
        paths.push(ImportPath {
            anchor,
            names: prefix,
        });
    }
    paths
}

fn split_path(text: &str) -> Vec<String> {
    text.split("::")
        .map(|name| name.trim_matches(|c: char| !c.is_alphanumeric() && c != '_'))
        .filter(|name| !name.is_empty())
        .map(str::to_string)
        .collect()
}

/// The file that a path refers to: the longest prefix of the path that is a module.
fn resolve(
    modules: &BTreeMap<&[String], usize>,
    file: &SourceFile,
    path: &ImportPath,
) -> Option<usize> {
    let mut full: Vec<String> = match path.anchor {
        Anchor::Crate => Vec::new(),
        Anchor::Super => parent_module(file).to_vec(),
    };
    full.extend(path.names.iter().cloned());
    while !full.is_empty() {
        if let Some(index) = modules.get(full.as_slice()) {
            return Some(*index);
        }
        full.pop();
    }
    None
}

fn parent_module(file: &SourceFile) -> &[String] {
    file.module.split_last().map_or(&[], |(_, parent)| parent)
}

#[cfg(test)]
mod tests;
