//! Checks that, in placement, only the modules that the deploy file lists as the policy decide on requests.

use lupincrank_tidy::policy::{deciding_modules, listed_policy_files, modules_in_policy_folder};

#[test]
fn the_deploy_file_names_each_module_of_the_policy() {
    let listed = listed_policy_files();
    assert!(!listed.is_empty(), "the deploy file lists no policy file");
    assert_eq!(listed, modules_in_policy_folder());
}

#[test]
fn requests_are_sent_rejected_and_failed_by_modules_of_the_policy_only() {
    let deciding = deciding_modules();
    assert!(!deciding.is_empty(), "no module decides on requests");
    let listed = listed_policy_files();
    let elsewhere: Vec<_> = deciding.difference(&listed).collect();
    assert!(
        elsewhere.is_empty(),
        "modules outside the policy decide on requests: {elsewhere:?}"
    );
}
