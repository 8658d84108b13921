use super::retry_interrupted;
use std::io;

#[test]
fn an_interrupted_call_is_retried() {
    let mut results = vec![Ok(7), Err(interrupted()), Err(interrupted())];
    assert_eq!(retry_interrupted(|| results.pop().unwrap()).unwrap(), 7);
    assert!(results.is_empty());
}

#[test]
fn another_error_is_returned() {
    let mut calls = 0;
    let result: io::Result<()> = retry_interrupted(|| {
        calls += 1;
        Err(io::ErrorKind::WouldBlock.into())
    });
    assert_eq!(result.unwrap_err().kind(), io::ErrorKind::WouldBlock);
    assert_eq!(calls, 1);
}

fn interrupted() -> io::Error {
    io::ErrorKind::Interrupted.into()
}
