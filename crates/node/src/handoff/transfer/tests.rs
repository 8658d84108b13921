use super::*;
use std::collections::BTreeSet;

/// Guards against a connection with two owners or none when the other process fails in the middle of a transfer. For
/// each number of answers before the failure, with accepted, rejected and unsent connections in between, every
/// connection is either accepted or kept, and at most `MAX_IN_FLIGHT` are in flight.
#[test]
fn each_connection_has_one_owner_wherever_the_other_process_breaks() {
    for answers in 0..40 {
        let mut transfers = TransferQueue::default();
        let (mut accepted, mut kept) = (BTreeSet::new(), BTreeSet::new());
        transfers.enqueue(1..=20);
        let mut sent = VecDeque::new();
        for step in 0..answers {
            for id in transfers.next_batch() {
                let is_sent = (id + step) % 3 != 0;
                sent.extend(is_sent.then(|| transfers.next_number()));
                let outcome = if is_sent {
                    SendOutcome::Sent
                } else {
                    SendOutcome::WouldBlock
                };
                transfers.record_send(id, outcome);
            }
            assert!(sent.len() <= MAX_IN_FLIGHT);
            let Some(number) = sent.pop_front() else {
                continue;
            };
            let (answer, owned) = if number % 4 != 0 {
                (TransferAnswer::Accepted, &mut accepted)
            } else {
                (TransferAnswer::Rejected, &mut kept)
            };
            let id = transfers.record_answer(number, answer).unwrap();
            assert!(owned.insert(id));
            let repeated = transfers.record_answer(number, answer);
            assert_eq!(repeated, None, "answered twice");
        }
        kept.extend(transfers.cancel());
        assert!(accepted.is_disjoint(&kept));
        assert!(transfers.is_idle() && transfers.next_batch().is_empty());
        assert_eq!(transfers.accepted_count(), accepted.len());
    }
}
