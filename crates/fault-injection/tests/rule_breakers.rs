//! The checker finds each violation: one scripted node breaks each rule, as a process of its own.

use lupincrank_fault_injection::run::{run, RunOptions};
use lupincrank_fault_injection::scenario::Scenario;
use lupincrank_fault_injection::Outcome;
use rstest::rstest;
use std::collections::BTreeMap;
use std::sync::Arc;

fn options(kind: &str) -> RunOptions {
    let program = vec![
        env!("CARGO_BIN_EXE_lupincrank-fault-injection").into(),
        "wrongdoer".into(),
        kind.into(),
    ];
    RunOptions {
        program,
        node_programs: BTreeMap::new(),
        log_folder: None,
        is_verbose: false,
        stop: Arc::default(),
        on_progress: Box::new(|_| ()),
    }
}

fn outcome(kind: &str, more: &str) -> Outcome {
    let text = format!(
        "about = \"a wrongdoer\"\nnodes = 1\ntranscribers = 3\nseconds = 5.0\ntalk = false\n\
         [clients]\nrate = 20.0\nstand_s = 3.0\n[bears]\nheld = 10.0\ncold_s = 20.0\n[cold]\nwhole = 10\n{more}"
    );
    run(kind, Scenario::parse(&text).unwrap(), 7, options(kind)).unwrap()
}

const DRAIN: &str = "[[fault]]\nat_s = 0.5\nkind = \"drain\"\non = \"t1\"\nfor_s = 7.0\n";
const RELEASE: &str = "[[fault]]\nat_s = 0.3\nkind = \"release\"\ntimes = 1\n";

#[rstest]
#[case::a_second_answer("answers-twice", "", "one-answer")]
#[case::no_answer("silent", "", "one-answer")]
#[case::two_attempts("two-at-once", "", "one-attempt")]
#[case::new_work_for_one_that_drains("past-grace", DRAIN, "drain-grace")]
#[case::a_cold_one_pushed_over("cold-crowd", RELEASE, "cold-fell")]
#[case::more_than_the_whole("cold-crowd", RELEASE, "budget")]
#[case::cut_off("cuts", "", "cut-off")]
#[case::an_end_unasked("crashes", "", "crash")]
fn each_rule_breaker_is_found(#[case] kind: &str, #[case] more: &str, #[case] rule: &str) {
    let outcome = outcome(kind, more);
    let violated: Vec<String> = outcome
        .verdict
        .violations
        .iter()
        .map(|violation| violation.rule.to_string())
        .collect();
    assert!(
        violated.iter().any(|other| other == rule),
        "{rule} is not among {violated:?}; {:?}",
        outcome.events
    );
    // No other rule is reported.
    let others = violated
        .iter()
        .filter(|other| **other != rule && kind != "cold-crowd" && kind != "crashes");
    assert_eq!(others.count(), 0, "{:#?}", outcome.verdict.violations);
}
