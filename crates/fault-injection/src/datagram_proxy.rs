//! The proxy of one link's datagrams, from one node to one other: passes, loses, doubles, delays and reorders.

use crate::links::Party;
use crate::stage::Stage;
use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::{ComponentId, Connection, Context, Lifecycle};
use lupincrank_reactor::{Interest, Readiness};
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
    id: ComponentId,
    from: Party,
    to: Party,
    target: SocketAddr,
    socket: Registered<UdpSocket>,
    held: BTreeMap<(Instant, u64), Vec<u8>>,
    numbered: u64,
}

/// Opens the way at this address; what comes goes on to `target`.
pub fn open(
    context: &mut Context<Stage>,
    from: Party,
    to: Party,
    at: SocketAddr,
    target: SocketAddr,
) -> io::Result<()> {
    let id = context.allocate_id();
    let socket = UdpSocket::bind(at)?;
    socket.set_nonblocking(true)?;
    let socket = Registered::new(&context.poller, socket, key(id, 0), Interest::READ)?;
    context.register(
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
    fn take(&mut self, context: &mut Context<Stage>, bytes: &[u8]) {
        let way = context.application.links.way(self.from, self.to);
        let random = &mut context.application.random;
        let mut chance = |part: f64| part > 0.0 && random.random::<f64>() < part;
        if way.cut || chance(way.loss) {
            return;
        }
        let (copies, late) = (1 + usize::from(chance(way.double)), chance(way.reorder));
        for _ in 0..copies {
            let jitter = if way.jitter.is_zero() {
                0.0
            } else {
                context.application.random.random::<f64>()
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

    fn next(&self, context: &mut Context<Stage>) {
        if let Some(((at, _), _)) = self.held.first_key_value() {
            context.deadlines.set(self.id, 0, *at);
        }
    }
}

impl Connection<Stage> for Hop {
    fn on_ready(
        &mut self,
        context: &mut Context<Stage>,
        _socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        let mut bytes = [0; 2048];
        for _ in 0..TURN {
            match self.socket.recv_from(&mut bytes) {
                Ok((length, _)) => self.take(context, &bytes[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                // The answer of a dead node's machine to one before.
                Err(_) => {}
            }
        }
        self.next(context);
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut Context<Stage>, _kind: u64) -> Lifecycle {
        let (now, cut) = (
            Instant::now(),
            context.application.links.way(self.from, self.to).cut,
        );
        while let Some(first) = self.held.first_entry().filter(|first| first.key().0 <= now) {
            let bytes = first.remove();
            if !cut {
                let _ = self.socket.send_to(&bytes, self.target);
            }
        }
        self.next(context);
        Lifecycle::Continue
    }

    fn on_message(&mut self, _context: &mut Context<Stage>, _note: Note) -> Lifecycle {
        Lifecycle::Continue
    }
}
