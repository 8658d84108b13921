//! The proxy of one link's datagrams, from one node to one other: passes, loses, doubles, delays and reorders.

use crate::links::Party;
use crate::stage::Stage;
use lupincrank_reactor::poll::Watched;
use lupincrank_reactor::{Connection, Flow, Hands, Id};
use lupincrank_test_servers::{key, Note};
use rand::Rng;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

/// Datagrams in one turn, and those that are held.
const TURN: usize = 64;
const MOST_HELD: usize = 4096;
/// One that is held back comes so much later than those behind it.
const BEHIND: Duration = Duration::from_millis(60);

struct Hop {
    id: Id,
    from: Party,
    to: Party,
    target: SocketAddr,
    socket: Watched<UdpSocket>,
    held: BTreeMap<(Instant, u64), Vec<u8>>,
    numbered: u64,
}

/// Opens the way at this address; what comes goes on to `target`.
pub fn open(
    hands: &mut Hands<Stage>,
    from: Party,
    to: Party,
    at: SocketAddr,
    target: SocketAddr,
) -> io::Result<()> {
    let id = hands.name();
    let socket = UdpSocket::bind(at)?;
    socket.set_nonblocking(true)?;
    let socket = Watched::new(&hands.poller, socket, key(id, 0), true, false)?;
    hands.adopt(
        id,
        Box::new(Hop {
            id,
            from,
            to,
            target,
            socket,
            held: BTreeMap::new(),
            numbered: 0,
        }),
    );
    Ok(())
}

impl Hop {
    fn take(&mut self, hands: &mut Hands<Stage>, bytes: &[u8]) {
        let way = hands.world.links.way(self.from, self.to);
        let random = &mut hands.world.random;
        let mut chance = |part: f64| part > 0.0 && random.random::<f64>() < part;
        if way.cut || chance(way.loss) {
            return;
        }
        let (copies, late) = (1 + usize::from(chance(way.double)), chance(way.reorder));
        for _ in 0..copies {
            let jitter = if way.jitter.is_zero() {
                0.0
            } else {
                hands.world.random.random::<f64>()
            };
            let wait =
                way.delay + way.jitter.mul_f64(jitter) + if late { BEHIND } else { Duration::ZERO };
            if wait.is_zero() {
                // What does not get through is lost, as datagrams are.
                let _ = self.socket.send_to(bytes, self.target);
            } else if self.held.len() < MOST_HELD {
                self.numbered += 1;
                self.held
                    .insert((Instant::now() + wait, self.numbered), bytes.to_vec());
            }
        }
    }

    fn next(&self, hands: &mut Hands<Stage>) {
        if let Some(((at, _), _)) = self.held.first_key_value() {
            hands.deadlines.set(self.id, 0, *at);
        }
    }
}

impl Connection<Stage> for Hop {
    fn ready(
        &mut self,
        hands: &mut Hands<Stage>,
        _side: usize,
        _readable: bool,
        _writable: bool,
    ) -> Flow {
        let mut bytes = [0; 2048];
        for _ in 0..TURN {
            match self.socket.recv_from(&mut bytes) {
                Ok((length, _)) => self.take(hands, &bytes[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                // The answer of a dead node's machine to one before.
                Err(_) => {}
            }
        }
        self.next(hands);
        Flow::Keep
    }

    fn due(&mut self, hands: &mut Hands<Stage>, _purpose: u64) -> Flow {
        let (now, cut) = (
            Instant::now(),
            hands.world.links.way(self.from, self.to).cut,
        );
        while let Some(first) = self.held.first_entry().filter(|first| first.key().0 <= now) {
            let bytes = first.remove();
            if !cut {
                let _ = self.socket.send_to(&bytes, self.target);
            }
        }
        self.next(hands);
        Flow::Keep
    }

    fn told(&mut self, _hands: &mut Hands<Stage>, _note: Note) -> Flow {
        Flow::Keep
    }
}
