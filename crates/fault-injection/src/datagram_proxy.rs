//! A proxy for the datagrams of one direction of a link: relays, drops, duplicates, delays and reorders them.

use crate::deadline::DeadlineKind;
use crate::harness::{Harness, HarnessContext};
use crate::link::LinkDirection;
use lupincrank_reactor::poll::Registered;
use lupincrank_reactor::{poller_key, ComponentId, Connection, Interest, Lifecycle, Readiness};
use lupincrank_test_servers::Command;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

/// Limit of datagrams received in one iteration of the event loop.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
/// Limit of delayed datagrams; further ones are dropped.
const MAX_DELAYED_DATAGRAMS: usize = 4096;
/// Maximum length of a datagram.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Additional delay of a reordered datagram.
const REORDER_DELAY: Duration = Duration::from_millis(60);

/// Orders delayed datagrams by due time, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DelayedKey {
    due_at: Instant,
    sequence: u64,
}

struct DatagramProxy {
    id: ComponentId,
    direction: LinkDirection,
    target: SocketAddr,
    socket: Registered<UdpSocket>,
    delayed: BTreeMap<DelayedKey, Vec<u8>>,
    last_sequence: u64,
}

/// Opens a proxy at `address` that forwards the datagrams it receives to `target`.
pub(crate) fn open(
    context: &mut HarnessContext,
    direction: LinkDirection,
    address: SocketAddr,
    target: SocketAddr,
) -> io::Result<()> {
    let id = context.allocate_id();
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    let key = poller_key(id, 0);
    let socket = Registered::new(&context.poller, socket, key, Interest::READ)?;
    let proxy = DatagramProxy {
        id,
        direction,
        target,
        socket,
        delayed: BTreeMap::new(),
        last_sequence: 0,
    };
    context.register(id, Box::new(proxy));
    Ok(())
}

/// Returns true with the given probability. Draws no random number if the probability is 0.
fn draw_bool(rng: &mut Pcg64Mcg, probability: f64) -> bool {
    probability > 0.0 && rng.random::<f64>() < probability
}

impl DatagramProxy {
    fn relay(&mut self, harness: &mut Harness, bytes: &[u8]) {
        let condition = harness.network.links.condition(self.direction);
        let rng = &mut harness.rng;
        if condition.is_cut || draw_bool(rng, condition.loss_ratio) {
            return;
        }
        let is_duplicated = draw_bool(rng, condition.duplicate_ratio);
        let is_reordered = draw_bool(rng, condition.reorder_ratio);
        let copy_count = 1 + usize::from(is_duplicated);
        for _ in 0..copy_count {
            let mut delay = condition.draw_latency(rng);
            if is_reordered {
                delay += REORDER_DELAY;
            }
            self.send_after(delay, bytes);
        }
    }

    fn send_after(&mut self, delay: Duration, bytes: &[u8]) {
        if delay.is_zero() {
            // A datagram that the kernel does not accept is lost, as in any network.
            let _ = self.socket.send_to(bytes, self.target);
        } else if self.delayed.len() < MAX_DELAYED_DATAGRAMS {
            self.last_sequence += 1;
            let key = DelayedKey {
                due_at: Instant::now() + delay,
                sequence: self.last_sequence,
            };
            self.delayed.insert(key, bytes.to_vec());
        }
    }

    fn schedule_next(&self, context: &mut HarnessContext) {
        if let Some((key, _)) = self.delayed.first_key_value() {
            context
                .deadlines
                .set(self.id, DeadlineKind::SendDatagram, key.due_at);
        }
    }
}

impl Connection<Harness> for DatagramProxy {
    fn on_ready(
        &mut self,
        context: &mut HarnessContext,
        _socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            match self.socket.recv_from(&mut bytes) {
                Ok((length, _)) => self.relay(&mut context.application, &bytes[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                // An earlier datagram was refused because the target node is not running.
                Err(_) => {}
            }
        }
        self.schedule_next(context);
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut HarnessContext, _kind: DeadlineKind) -> Lifecycle {
        let now = Instant::now();
        let is_cut = context.network.links.condition(self.direction).is_cut;
        while let Some(entry) = self.delayed.first_entry() {
            if entry.key().due_at > now {
                break;
            }
            let bytes = entry.remove();
            if !is_cut {
                let _ = self.socket.send_to(&bytes, self.target);
            }
        }
        self.schedule_next(context);
        Lifecycle::Continue
    }

    fn on_message(&mut self, _context: &mut HarnessContext, _command: Command) -> Lifecycle {
        Lifecycle::Continue
    }
}
