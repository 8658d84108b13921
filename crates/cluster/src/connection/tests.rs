use super::*;
use crate::message::Subject;
use polling::Events;
use std::net::TcpListener;

/// The poller keys of the two ends.
const INITIATOR_KEY: usize = 1;
const ACCEPTOR_KEY: usize = 2;

/// The two ends of a connection, in one poller.
struct Pair {
    poller: Rc<Poller>,
    initiator: ClusterConnection,
    acceptor: ClusterConnection,
}

impl Pair {
    fn new() -> Pair {
        let poller = Rc::new(Poller::new().unwrap());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let initiator = ClusterConnection::connect(&poller, address, INITIATOR_KEY).unwrap();
        let (stream, _) = listener.accept().unwrap();
        let acceptor = ClusterConnection::accept(&poller, stream, ACCEPTOR_KEY).unwrap();
        Pair {
            poller,
            initiator,
            acceptor,
        }
    }

    /// Handles events until the acceptor has received `count` messages.
    fn receive(&mut self, count: usize) -> Result<Vec<Message>, ConnectionError> {
        let mut received = Vec::new();
        while received.len() < count {
            let mut events = Events::new();
            self.poller.wait(&mut events, None).unwrap();
            for event in events.iter() {
                if event.key == ACCEPTOR_KEY {
                    received.extend(self.acceptor.on_ready(event.readable)?);
                } else {
                    self.initiator.on_ready(event.readable)?;
                }
            }
        }
        Ok(received)
    }
}

fn payload(length: usize) -> Message {
    Message::Payload(Subject::Control, vec![3; length])
}

#[test]
fn messages_sent_before_the_connection_is_established_arrive_in_order() {
    let mut pair = Pair::new();
    assert!(pair.initiator.is_initiator());
    assert!(!pair.acceptor.is_initiator());
    let sent = [payload(10), Message::Ping, payload(200_000)];
    for message in &sent {
        pair.initiator.send(message).unwrap();
    }
    assert_eq!(pair.receive(sent.len()).unwrap(), sent);
}

#[test]
fn the_end_of_the_stream_is_not_a_violation() {
    let mut pair = Pair::new();
    drop(pair.initiator);
    let error = loop {
        if let Err(error) = pair.acceptor.on_ready(true) {
            break error;
        }
    };
    let ConnectionError::Closed(reason) = error else {
        panic!("{error:?}");
    };
    assert!(matches!(
        reason,
        CloseReason::EndOfStream | CloseReason::Io(_)
    ));
}

#[test]
fn the_send_buffer_is_bounded() {
    // No event has reported the initiator as connected yet, so it queues all messages.
    let mut pair = Pair::new();
    let error = loop {
        if let Err(error) = pair.initiator.send(&payload(MAX_PENDING_BYTES / 10)) {
            break error;
        }
    };
    assert!(matches!(
        error,
        ConnectionError::Closed(CloseReason::SendBufferFull)
    ));
}

#[test]
fn an_excessive_message_rate_is_a_violation() {
    let mut pair = Pair::new();
    // Twice the limit, so that a window that starts halfway through also exceeds it.
    let message_count = 2 * MAX_MESSAGES_PER_SECOND + 1;
    for _ in 0..message_count {
        pair.initiator.send(&Message::Ping).unwrap();
    }
    let error = pair.receive(message_count as usize).unwrap_err();
    assert!(matches!(
        error,
        ConnectionError::Protocol(ProtocolViolation::RateExceeded)
    ));
}

#[test]
fn keep_alive_succeeds_on_a_new_connection() {
    let mut pair = Pair::new();
    pair.initiator.keep_alive().unwrap();
    pair.acceptor.keep_alive().unwrap();
}
