use super::*;
use proptest::prelude::*;
use rstest::rstest;

fn hello() -> Message {
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
fn messages_come_out_as_they_went_in_however_they_are_cut(#[case] piece: usize) {
    let said = [
        hello(),
        Message::Ping,
        Message::Payload(Subject::Control, vec![3; 300]),
    ];
    let bytes: Vec<u8> = said
        .iter()
        .flat_map(|message| encode_frame(message).unwrap())
        .collect();
    let (mut inbox, mut heard) = (FrameDecoder::default(), Vec::new());
    for piece in bytes.chunks(piece) {
        inbox.push(piece);
        while let Some(message) = inbox.next_message().unwrap() {
            heard.push(message);
        }
    }
    assert_eq!(heard, said);
}

#[rstest]
#[case::another_form(|bytes: &mut Vec<u8>| bytes[4] = 9, "form 9, this node speaks form 2")]
#[case::too_long(|bytes: &mut Vec<u8>| bytes[0] = 1, "262144 are the most")]
#[case::not_to_be_read(|bytes: &mut Vec<u8>| bytes[5] = 77, "can't be read")]
fn what_is_out_of_order_ends_the_link_with_the_reason(
    #[case] spoil: fn(&mut Vec<u8>),
    #[case] why: &str,
) {
    let mut bytes = encode_frame(&hello()).unwrap();
    spoil(&mut bytes);
    let mut inbox = FrameDecoder::default();
    inbox.push(&bytes);
    let error = inbox.next_message().unwrap_err();
    assert!(error.contains(why), "{error}");
    assert!(encode_frame(&Message::Payload(
        Subject::Control,
        vec![0; MAX_MESSAGE_BYTES]
    ))
    .is_err());
}

proptest! {
    #[test]
    fn no_bytes_from_outside_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let mut inbox = FrameDecoder::default();
        inbox.push(&bytes);
        while let Ok(Some(_)) = inbox.next_message() {}
    }
}
