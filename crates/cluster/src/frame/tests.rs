use super::*;
use crate::message::{Handshake, Subject};
use proptest::prelude::*;
use rstest::rstest;

fn handshake() -> Message {
    Message::Handshake(Handshake {
        cluster_tag: 7,
        name: "n0".into(),
        incarnation: 9,
        started_at_ms: 5,
        build: "0.1".into(),
    })
}

#[rstest]
#[case::whole(1_000)]
#[case::byte_by_byte(1)]
#[case::odd(7)]
fn messages_are_decoded_for_any_chunk_size(#[case] chunk_size: usize) {
    let sent = [
        handshake(),
        Message::Ping,
        Message::Payload(Subject::Control, vec![3; 300]),
    ];
    let bytes: Vec<u8> = sent
        .iter()
        .flat_map(|message| encode_frame(message).unwrap())
        .collect();
    let mut decoder = FrameDecoder::default();
    let mut received = Vec::new();
    for chunk in bytes.chunks(chunk_size) {
        decoder.push(chunk);
        while let Some(message) = decoder.next_message().unwrap() {
            received.push(message);
        }
    }
    assert_eq!(received, sent);
}

#[rstest]
#[case::another_version(|bytes: &mut Vec<u8>| bytes[4] = 9, "protocol version 9, expected 2")]
#[case::too_long(|bytes: &mut Vec<u8>| bytes[0] = 1, "exceeds the maximum of 262144")]
#[case::undecodable(|bytes: &mut Vec<u8>| bytes[5] = 77, "undecodable message")]
fn a_malformed_frame_is_an_error_that_names_the_reason(
    #[case] corrupt: fn(&mut Vec<u8>),
    #[case] reason: &str,
) {
    let mut bytes = encode_frame(&handshake()).unwrap();
    corrupt(&mut bytes);
    let mut decoder = FrameDecoder::default();
    decoder.push(&bytes);
    let error = decoder.next_message().unwrap_err().to_string();
    assert!(error.contains(reason), "{error}");
    assert!(encode_frame(&Message::Payload(
        Subject::Control,
        vec![0; MAX_MESSAGE_BYTES]
    ))
    .is_err());
}

proptest! {
    #[test]
    fn no_received_bytes_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let mut decoder = FrameDecoder::default();
        decoder.push(&bytes);
        while let Ok(Some(_)) = decoder.next_message() {}
    }
}
