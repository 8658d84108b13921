use super::*;
use polling::Events;
use std::io::Write;
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// Returns the keys of the sockets that are ready within 50 ms.
fn ready_keys(poller: &Poller) -> Vec<usize> {
    let mut events = Events::new();
    poller
        .wait(&mut events, Some(Duration::from_millis(50)))
        .unwrap();
    events.iter().map(|event| event.key).collect()
}

/// Returns a registered socket whose other end has written a byte, and the other end, which stays open.
fn readable_socket(poller: &Rc<Poller>, key: usize) -> (Registered<UnixStream>, UnixStream) {
    let (socket, mut other_end) = UnixStream::pair().unwrap();
    other_end.write_all(&[1]).unwrap();
    let registered = Registered::new(poller, socket, key, Interest::READ).unwrap();
    (registered, other_end)
}

#[test]
fn a_ready_socket_is_reported_until_it_is_read() {
    let poller = Rc::new(Poller::new().unwrap());
    let (_socket, _other_end) = readable_socket(&poller, 7);
    assert_eq!(ready_keys(&poller), [7]);
    assert_eq!(ready_keys(&poller), [7]);
}

#[test]
fn interest_and_key_can_be_changed() {
    let poller = Rc::new(Poller::new().unwrap());
    let (mut socket, _other_end) = readable_socket(&poller, 7);
    socket.rekey(9).unwrap();
    assert_eq!(ready_keys(&poller), [9]);
    socket.set_interest(Interest::NONE).unwrap();
    assert!(ready_keys(&poller).is_empty());
    socket.set_interest(Interest::READ).unwrap();
    assert_eq!(ready_keys(&poller), [9]);
}

#[test]
fn a_dropped_socket_is_not_reported() {
    let poller = Rc::new(Poller::new().unwrap());
    let (socket, _other_end) = readable_socket(&poller, 7);
    // The duplicate keeps the socket open, so that only deregistration can end the reports.
    let _duplicate = socket.try_clone().unwrap();
    drop(socket);
    assert!(ready_keys(&poller).is_empty());
}

#[test]
fn a_connected_socket_becomes_writable() {
    let poller = Rc::new(Poller::new().unwrap());
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let stream = connect(&poller, address, 3).unwrap();
    assert_eq!(ready_keys(&poller), [3]);
    assert!(stream.take_error().unwrap().is_none());
    assert_eq!(stream.peer_addr().unwrap(), address);
}

#[test]
fn take_error_returns_the_error_of_a_refused_connect() {
    let poller = Rc::new(Poller::new().unwrap());
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let refused = match connect(&poller, address, 3) {
        Err(error) => error,
        Ok(stream) => {
            assert_eq!(ready_keys(&poller), [3]);
            stream.take_error().unwrap().unwrap()
        }
    };
    assert_eq!(refused.kind(), io::ErrorKind::ConnectionRefused);
}
