//! Decisions on requests stand in the modules that the deploy file names as the policy, and nowhere else in placement.

use lupincrank_tidy::policy::{listed_policy_files, modules_in_policy_folder, modules_that_decide};

#[test]
fn the_deploy_file_names_each_module_of_the_policy() {
    let listed = listed_policy_files();
    assert!(!listed.is_empty(), "the deploy file names no policy file");
    assert_eq!(listed, modules_in_policy_folder());
}

#[test]
fn requests_are_sent_rejected_and_failed_by_modules_of_the_policy_only() {
    let deciding = modules_that_decide();
    assert!(!deciding.is_empty(), "no module decides on requests");
    let listed = listed_policy_files();
    let elsewhere: Vec<_> = deciding.difference(&listed).collect();
    assert!(
        elsewhere.is_empty(),
        "decisions on requests in {elsewhere:?}"
    );
}
