use super::*;

#[test]
fn the_slot_of_a_removed_row_is_reused_by_the_next_one() {
    let mut table = ServerTable::default();
    let (a, b) = (table.insert("a".into(), 1), table.insert("b".into(), 2));
    table.remove(a);
    assert_eq!(
        (table.len(), table.slot(&"a".into()), table.id(a)),
        (1, UNKNOWN, None)
    );
    let c = table.insert("c".into(), 3);
    assert_eq!((c, table.get(c), table.get(b)), (a, Some(&3), Some(&2)));
    assert_eq!(table.slots(), [c, b]);
    table.remove(UNKNOWN);
    assert_eq!((table.len(), table.get(UNKNOWN)), (2, None));
}
