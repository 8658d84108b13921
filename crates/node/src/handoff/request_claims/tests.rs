use super::*;
use rstest::rstest;

const REQUEST: RequestId = RequestId(0x00c0_ffee);
const OWNER: ComponentId = 20;
const OTHER_OWNER: ComponentId = 21;

/// The claims of two processes of one node.
fn two_processes(port: u16) -> [RequestClaims; 2] {
    let files = RuntimeFiles::new(([127, 0, 0, 1], port).into());
    let claims = [RequestClaims::default(), RequestClaims::default()];
    for process in &claims {
        process.publish(&files, 100).unwrap();
    }
    remove_files(&files);
    claims
}

fn remove_files(files: &RuntimeFiles) {
    let executed = files.executed_request_paths();
    for path in files.request_table_paths().iter().chain(&executed) {
        let _ = std::fs::remove_file(path);
    }
}

/// Claims the id for a request that may be repeated.
fn claim(claims: &RequestClaims, owner: ComponentId) -> Result<RequestClaim, ClaimError> {
    claims.claim(REQUEST, owner, Repetition::Allowed)
}

/// Claims the id for a request that must not be repeated.
fn claim_once(claims: &RequestClaims) -> Result<RequestClaim, ClaimError> {
    claims.claim(REQUEST, OWNER, Repetition::Forbidden)
}

#[test]
fn an_id_can_be_claimed_by_one_request_of_the_node_until_that_has_ended() {
    let [older, newer] = two_processes(1);
    let first = claim(&older, OWNER).unwrap();
    let conflict = |claims: &RequestClaims| claim(claims, OTHER_OWNER).err();
    let in_use = |conflict: ClaimConflict| Some(ClaimError::InUse(conflict));
    assert_eq!(conflict(&older), in_use(ClaimConflict::ThisProcess(OWNER)));
    assert_eq!(conflict(&newer), in_use(ClaimConflict::OtherProcess));
    assert_eq!(newer.owner(REQUEST), None, "a failed claim is released");
    drop(first);
    assert_eq!(conflict(&newer), None);
    assert_eq!(conflict(&older), None);
}

#[test]
fn the_claim_of_a_connection_that_is_handed_over_has_no_gap() {
    let [older, newer] = two_processes(2);
    let sent = claim(&older, OWNER).unwrap();
    let taken = newer
        .take_over(REQUEST, OTHER_OWNER, Repetition::Allowed)
        .unwrap();
    drop(sent);
    let conflict = claim(&older, OWNER).err();
    assert_eq!(conflict, Some(ClaimConflict::OtherProcess.into()));
    drop(taken);
    assert!(claim(&older, OWNER).is_ok());
}

#[test]
fn claims_from_before_the_files_were_opened_are_published() {
    let files = RuntimeFiles::new(([127, 0, 0, 1], 3).into());
    let [older, newer] = [RequestClaims::default(), RequestClaims::default()];
    let _claim = claim(&older, OWNER).unwrap();
    older.publish(&files, 100).unwrap();
    newer.publish(&files, 100).unwrap();
    remove_files(&files);
    let conflict = claim(&newer, OTHER_OWNER).err();
    assert_eq!(conflict, Some(ClaimConflict::OtherProcess.into()));
}

/// The outcomes of a request's attempts, and whether its id may be claimed again after it has ended.
#[rstest]
#[case::turned_away(&[Outcome::Rejected], true)]
#[case::not_connected(&[Outcome::ConnectFailed], true)]
#[case::error(&[Outcome::Error], false)]
#[case::reset(&[Outcome::Reset], false)]
#[case::timed_out(&[Outcome::TimedOut], false)]
#[case::given_up(&[Outcome::Cancelled], false)]
#[case::client_left(&[], false)]
#[case::turned_away_later(&[Outcome::Reset, Outcome::Rejected], false)]
#[case::error_later(&[Outcome::Rejected, Outcome::Error], false)]
fn the_id_of_a_request_that_may_have_been_executed_is_not_claimed_again(
    #[case] outcomes: &[Outcome],
    #[case] may_be_claimed: bool,
) {
    let mut port = 10 + outcomes.iter().map(|outcome| *outcome as u16).sum::<u16>();
    port += 100 * outcomes.len() as u16;
    let [older, newer] = two_processes(port);
    let mut request = claim_once(&older).unwrap();
    request.record_send();
    for outcome in outcomes {
        request.record_outcome(*outcome);
        request.record_send();
        request.record_outcome(*outcome);
    }
    drop(request);
    for process in [&older, &newer] {
        assert_eq!(claim_once(process).is_ok(), may_be_claimed);
        assert_eq!(claim(process, OWNER).is_ok(), may_be_claimed);
    }
}

#[test]
fn an_established_request_counts_as_executed_and_a_repeatable_one_does_not() {
    let [older, newer] = two_processes(4);
    let mut repeatable = claim(&older, OWNER).unwrap();
    repeatable.record_established();
    drop(repeatable);
    assert!(claim_once(&newer).is_ok());
    let mut handed_over = newer
        .take_over(REQUEST, OWNER, Repetition::Forbidden)
        .unwrap();
    handed_over.record_established();
    drop(handed_over);
    assert_eq!(claim_once(&older).err(), Some(ClaimError::Executed));
}

/// The process that holds the id may stand still, so nobody waits for its answer.
#[test]
fn an_id_in_use_that_may_have_been_executed_is_rejected_without_a_question() {
    let [older, newer] = two_processes(5);
    let mut request = claim_once(&older).unwrap();
    let conflict = claim_once(&newer).err();
    assert_eq!(conflict, Some(ClaimConflict::OtherProcess.into()));
    request.record_send();
    for process in [&older, &newer] {
        assert_eq!(claim_once(process).err(), Some(ClaimError::Executed));
    }
}
