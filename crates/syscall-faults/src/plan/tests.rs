use super::{Fault, FaultPlan, PlanError};
use rstest::rstest;

#[test]
fn a_plan_contains_rules_and_a_clock_offset() {
    let plan = FaultPlan::parse("recv=EINTR:20,send=SHORT:50,clock=-3600").unwrap();
    assert_eq!(plan.clock_offset_seconds, -3600);
    assert_eq!(plan.rules.len(), 2);
    assert_eq!(plan.rules[0].fault, Fault::Errno(libc::EINTR));
    assert_eq!(plan.rules[0].percent, 20);
    assert_eq!(plan.rules[1].fault, Fault::Short);
    assert!(plan.calls().contains(&libc::SYS_sendto));
}

#[rstest]
#[case::no_value("recv", PlanError::Form("recv".into()))]
#[case::no_percent("recv=EINTR", PlanError::Form("EINTR".into()))]
#[case::unknown_call("reap=EINTR:1", PlanError::Call("reap".into()))]
#[case::unknown_fault("recv=EWHAT:1", PlanError::Fault("EWHAT".into()))]
#[case::percent_above_100("recv=EINTR:101", PlanError::Number("101".into()))]
#[case::invalid_seconds("clock=soon", PlanError::Number("soon".into()))]
fn an_invalid_plan_is_an_error(#[case] text: &str, #[case] error: PlanError) {
    assert_eq!(FaultPlan::parse(text), Err(error));
}
