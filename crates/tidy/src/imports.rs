//! Imports among the modules of one crate, and the cycles in them.
//!
//! A cycle of imports means that no module of it can be understood, tested or moved without the others.

use crate::sources::SourceFile;
use regex::Regex;
use std::collections::{BTreeMap, BTreeSet};

/// Which files of a crate use which others, by their positions in the list of files.
#[derive(Debug, Default)]
pub struct ImportGraph {
    edges: BTreeMap<usize, BTreeSet<usize>>,
}

/// One path that a file names: where it starts from, and the names that follow.
struct NamedPath {
    anchor: Anchor,
    names: Vec<String>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Anchor {
    Crate,
    Super,
}

impl ImportGraph {
    /// The graph of a crate's files: an edge for each path that begins with `crate::` or `super::` and leads to another
    /// file.
    ///
    /// # Panics
    /// If the pattern for paths is not a valid regular expression.
    pub fn of(files: &[SourceFile]) -> ImportGraph {
        let path_pattern =
            Regex::new(r"\b(crate|super)((?:::\w+)*)(?:::\{([^;]*?)\};)?").expect("a pattern");
        let modules: BTreeMap<&[String], usize> = files
            .iter()
            .enumerate()
            .map(|(position, file)| (file.module.as_slice(), position))
            .collect();
        let mut graph = ImportGraph::default();
        for (position, file) in files.iter().enumerate() {
            let targets = named_paths(&path_pattern, &file.code)
                .into_iter()
                .filter_map(|path| resolve(&modules, file, &path))
                .filter(|target| *target != position)
                .collect();
            graph.edges.insert(position, targets);
        }
        graph
    }

    /// Groups of two or more files that reach each other, each sorted.
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

    /// Every file that can be reached over at least one edge.
    fn reachable_from(&self, start: usize) -> BTreeSet<usize> {
        let mut reached = BTreeSet::new();
        let mut open = vec![start];
        while let Some(position) = open.pop() {
            for target in &self.edges[&position] {
                if reached.insert(*target) {
                    open.push(*target);
                }
            }
        }
        reached
    }
}

fn named_paths(pattern: &Regex, code: &str) -> Vec<NamedPath> {
    let mut paths = Vec::new();
    for found in pattern.captures_iter(code) {
        let anchor = match &found[1] {
            "crate" => Anchor::Crate,
            _ => Anchor::Super,
        };
        let prefix: Vec<String> = split_path(&found[2]);
        for item in found.get(3).map_or("", |list| list.as_str()).split(',') {
            let mut names = prefix.clone();
            names.extend(split_path(item));
            paths.push(NamedPath { anchor, names });
        }
        paths.push(NamedPath {
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

/// The file that a path leads to: the longest prefix of it that is a module.
fn resolve(
    modules: &BTreeMap<&[String], usize>,
    file: &SourceFile,
    path: &NamedPath,
) -> Option<usize> {
    let mut full: Vec<String> = match path.anchor {
        Anchor::Crate => Vec::new(),
        Anchor::Super => parent_module(file).to_vec(),
    };
    full.extend(path.names.iter().cloned());
    while !full.is_empty() {
        if let Some(position) = modules.get(full.as_slice()) {
            return Some(*position);
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
