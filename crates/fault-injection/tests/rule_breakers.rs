//! Verifies that the checker detects each kind of violation: for each rule, a scripted node process breaks that rule.

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

fn outcome(kind: &str, faults: &str) -> Outcome {
    let text = format!(
        "about = \"a wrongdoer\"\nnodes = 1\ntranscribers = 3\nseconds = 5.0\ntalk = false\n\
         [clients]\nrate = 20.0\nstand_s = 3.0\n[bears]\nheld = 10.0\ncold_s = 20.0\n[cold]\nwhole = 10\n{faults}"
    );
    run(kind, Scenario::parse(&text).unwrap(), 7, options(kind)).unwrap()
}

const DRAIN: &str = "[[fault]]\nat_s = 0.5\nkind = \"drain\"\non = \"t1\"\nfor_s = 7.0\n";
const ADD_SERVER: &str = "[[fault]]\nat_s = 0.3\nkind = \"release\"\ntimes = 1\n";

#[rstest]
#[case::second_answer("answers-twice", "", "one-answer")]
#[case::no_answer("silent", "", "one-answer")]
#[case::two_attempts("two-at-once", "", "one-attempt")]
#[case::attempts_at_a_draining_server("past-grace", DRAIN, "drain-grace")]
#[case::overload_of_a_server_that_is_warming_up("cold-crowd", ADD_SERVER, "cold-fell")]
#[case::budget_exceeded("cold-crowd", ADD_SERVER, "budget")]
#[case::unexpected_close("cuts", "", "cut-off")]
#[case::unexpected_exit("crashes", "", "crash")]
fn each_rule_breaker_is_detected(#[case] kind: &str, #[case] faults: &str, #[case] rule: &str) {
    let outcome = outcome(kind, faults);
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
    // No other rule is reported, except by the two kinds that may violate further rules.
    let others = violated
        .iter()
        .filter(|other| **other != rule && kind != "cold-crowd" && kind != "crashes");
    assert_eq!(others.count(), 0, "{:#?}", outcome.verdict.violations);
}
