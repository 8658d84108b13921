use super::*;
use std::path::PathBuf;

fn file(module: &str, code: &str) -> SourceFile {
    SourceFile {
        path: PathBuf::from(module),
        module: module.split("::").map(str::to_string).collect(),
        code: code.to_string(),
    }
}

#[test]
fn a_cycle_over_three_files_is_found() {
    let files = [
        file("a", "use crate::b::Thing;"),
        file("b", "use crate::{c::Other, d};"),
        file("c", "fn f() { super::a::call() }"),
        file("d", ""),
    ];
    assert_eq!(ImportGraph::of(&files).cycles(), [vec![0, 1, 2]]);
}

#[test]
fn imports_in_one_direction_are_no_cycle() {
    let files = [
        file("a", "use crate::b::{self, Thing};\nuse crate::c;"),
        file("b", "use crate::c::Other;"),
        file("c", ""),
    ];
    assert!(ImportGraph::of(&files).cycles().is_empty());
}
