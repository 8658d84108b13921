use super::*;
use rstest::rstest;

#[rstest]
#[case(1)]
#[case(3)]
#[case(100)]
fn a_body_is_decoded_however_it_is_cut(#[case] piece: usize) {
    let mut decoder = ChunkedDecoder::default();
    let mut output = Vec::new();
    let mut state = BodyState::Open;
    for bytes in b"5;note=x\r\nhello\r\n1\r\n\n\r\nA\r\n0123456789\r\n0\r\n\r\n".chunks(piece) {
        state = decoder.decode(bytes, &mut output).unwrap();
        if state == BodyState::Ended {
            break;
        }
    }
    assert_eq!(
        (output.as_slice(), state),
        (b"hello\n0123456789".as_slice(), BodyState::Ended)
    );
}

#[rstest]
#[case(b"xyz\r\n")]
#[case(b"1\r\nab\r\n")]
#[case(b"fffffffffffffffffff\r\n")]
fn what_is_not_a_chunk_is_an_error(#[case] bytes: &[u8]) {
    let mut decoder = ChunkedDecoder::default();
    assert!(decoder.decode(bytes, &mut Vec::new()).is_err());
}
