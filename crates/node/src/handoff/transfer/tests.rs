use super::*;
use std::collections::BTreeSet;

/// The other process takes, refuses and has no room by turns, and breaks after so many answers: each connection is
/// either taken or stays, never both, and few are under way.
#[test]
fn each_connection_has_one_owner_wherever_the_other_process_breaks() {
    for answers in 0..40 {
        let (mut custody, mut taken, mut stays) =
            (Custody::default(), BTreeSet::new(), BTreeSet::new());
        custody.enqueue(1..=20);
        let mut sent = VecDeque::new();
        for step in 0..answers {
            for id in custody.turn() {
                let went = (id + step) % 3 != 0;
                sent.extend(went.then(|| custody.number()));
                custody.sent(id, went);
            }
            assert!(sent.len() <= UNDER_WAY);
            let Some(number) = sent.pop_front() else {
                continue;
            };
            let took = number % 4 != 0;
            let id = custody.answered(number, took).unwrap();
            assert!((if took { &mut taken } else { &mut stays }).insert(id));
            assert_eq!(custody.answered(number, took), None, "answered twice");
        }
        stays.extend(custody.broke());
        assert!(taken.is_disjoint(&stays) && custody.idle() && custody.turn().is_empty());
        assert_eq!(custody.handed(), taken.len());
    }
}
