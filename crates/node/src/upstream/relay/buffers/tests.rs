use super::*;
use rstest::rstest;

const MAX_PENDING_BYTES: usize = 8 << 10;

/// Bytes of a side that sends without end, in reads and lines of these lengths.
fn fill(buffers: &mut RelayBuffers, side: Side, read_bytes: usize, line_bytes: usize) {
    let mut line = vec![b'x'; line_bytes - 1];
    line.push(b'\n');
    let mut sent = line.iter().copied().cycle();
    while buffers.can_read(side) {
        let bytes: Vec<u8> = sent.by_ref().take(read_bytes).collect();
        match side {
            Side::Client => buffers.to_server.push(&bytes),
            Side::Server => buffers.push_server_bytes(&bytes, |_| ()),
        }
    }
}

fn allocated_bytes(buffers: &RelayBuffers) -> usize {
    let directions = [&buffers.to_server, &buffers.to_client];
    let in_directions: usize = directions.map(ByteBuffer::allocated_bytes).iter().sum();
    in_directions + buffers.partial_line.capacity()
}

/// Hundreds of connections whose peers read nothing took both processes of an upgrade over the memory limit: their
/// buffers were four times as large as the limit of a direction.
#[rstest]
fn both_directions_of_a_blocked_relay_are_bounded(
    #[values(1, 100, 1_000, 3_001, READ_CHUNK_BYTES)] read_bytes: usize,
    #[values(2, 202, 4_000, MAX_LINE_BYTES, 10_000)] line_bytes: usize,
) {
    let mut buffers = RelayBuffers::new(MAX_PENDING_BYTES);
    fill(&mut buffers, Side::Client, read_bytes, line_bytes);
    fill(&mut buffers, Side::Server, read_bytes, line_bytes);
    let pending = buffers.to_client.pending().len() + buffers.partial_line.len();
    assert!(buffers.to_server.pending().len() <= MAX_PENDING_BYTES);
    assert!(pending <= MAX_PENDING_BYTES, "{pending}");
    let allocated = allocated_bytes(&buffers);
    assert!(
        allocated <= 2 * MAX_PENDING_BYTES + MAX_LINE_BYTES,
        "{allocated}"
    );
}

/// A server that has sent only a part of its longest line must be read on.
#[test]
fn an_incomplete_line_is_read_to_its_end() {
    let mut buffers = RelayBuffers::new(MAX_PENDING_BYTES);
    buffers.push_server_bytes(&[b'x'; MAX_LINE_BYTES], |_| panic!("no line"));
    assert_eq!(buffers.to_client.pending(), b"");
    assert!(buffers.can_read(Side::Server));
    let mut lines = 0;
    buffers.push_server_bytes(b"\nnext", |line| lines += line.len());
    assert_eq!(lines, MAX_LINE_BYTES + 1);
    assert_eq!(buffers.partial_line, b"next");
}

/// Another process may have held more than this one would read.
#[test]
fn restored_bytes_are_kept_beyond_the_limit() {
    let mut buffers = RelayBuffers::new(MAX_PENDING_BYTES);
    let many = vec![b'x'; 3 * MAX_PENDING_BYTES];
    buffers.restore(&many, &many, b"part");
    assert_eq!(buffers.to_server.pending(), many);
    assert_eq!(buffers.to_client.pending(), many);
    assert!(!buffers.can_read(Side::Client) && !buffers.can_read(Side::Server));
}
