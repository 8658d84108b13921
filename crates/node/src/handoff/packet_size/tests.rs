use super::*;
use rstest::rstest;

#[rstest]
#[case::empty(&[], &[0])]
#[case::one(&[1], &[1])]
#[case::exactly_full(&[PACKET_BYTES / 2, PACKET_BYTES / 2], &[2])]
#[case::one_more(&[PACKET_BYTES / 2, PACKET_BYTES / 2, 1], &[2, 1])]
#[case::large_items(&[3 * PACKET_BYTES, 3 * PACKET_BYTES, 1], &[1, 1, 1])]
fn a_group_ends_once_it_is_full(#[case] sizes: &[usize], #[case] group_lengths: &[usize]) {
    let groups = group_by_size(sizes.to_vec(), |size| *size);
    let lengths: Vec<usize> = groups.iter().map(Vec::len).collect();
    assert_eq!(lengths, group_lengths);
    assert_eq!(groups.concat(), sizes, "items are lost or reordered");
}
