use super::*;

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
    for path in files.request_table_paths() {
        let _ = std::fs::remove_file(path);
    }
    claims
}

#[test]
fn an_id_can_be_claimed_by_one_request_of_the_node_until_that_has_ended() {
    let [older, newer] = two_processes(1);
    let claim = older.claim(REQUEST, OWNER).unwrap();
    let conflict = |claims: &RequestClaims| claims.claim(REQUEST, OTHER_OWNER).err();
    assert_eq!(conflict(&older), Some(ClaimConflict::ThisProcess(OWNER)));
    assert_eq!(conflict(&newer), Some(ClaimConflict::OtherProcess));
    assert_eq!(newer.owner(REQUEST), None, "a failed claim is released");
    drop(claim);
    assert_eq!(conflict(&newer), None);
    assert_eq!(conflict(&older), None);
}

#[test]
fn the_claim_of_a_connection_that_is_handed_over_has_no_gap() {
    let [older, newer] = two_processes(2);
    let sent = older.claim(REQUEST, OWNER).unwrap();
    let taken = newer.take_over(REQUEST, OTHER_OWNER).unwrap();
    drop(sent);
    let conflict = older.claim(REQUEST, OWNER).err();
    assert_eq!(conflict, Some(ClaimConflict::OtherProcess));
    drop(taken);
    assert!(older.claim(REQUEST, OWNER).is_ok());
}

#[test]
fn claims_from_before_the_files_were_opened_are_published() {
    let files = RuntimeFiles::new(([127, 0, 0, 1], 3).into());
    let [older, newer] = [RequestClaims::default(), RequestClaims::default()];
    let _claim = older.claim(REQUEST, OWNER).unwrap();
    older.publish(&files, 100).unwrap();
    newer.publish(&files, 100).unwrap();
    for path in files.request_table_paths() {
        let _ = std::fs::remove_file(path);
    }
    let conflict = newer.claim(REQUEST, OTHER_OWNER).err();
    assert_eq!(conflict, Some(ClaimConflict::OtherProcess));
}
