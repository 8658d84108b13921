//! Divides long lists among packets. This module does no I/O.

/// Target for the size of a packet, in bytes. A packet exceeds it by at most one item, which leaves room to the limits of
/// the receiver and of a socket's buffer.
pub(super) const PACKET_BYTES: usize = 32 << 10;

/// Divides items into at least one group, each for one packet, in their order. `estimated_bytes` is the size of an item in
/// a packet.
pub(super) fn group_by_size<Item>(
    items: Vec<Item>,
    estimated_bytes: impl Fn(&Item) -> usize,
) -> Vec<Vec<Item>> {
    let mut groups = Vec::new();
    let mut group = Vec::new();
    let mut group_bytes = 0;
    for item in items {
        if group_bytes >= PACKET_BYTES {
            groups.push(std::mem::take(&mut group));
            group_bytes = 0;
        }
        group_bytes += estimated_bytes(&item);
        group.push(item);
    }
    groups.push(group);
    groups
}

#[cfg(test)]
mod tests;
