//! The simulated network: messages are delayed or lost, and links are cut in one direction.

use lupincrank_control::member::MemberId;
use lupincrank_control::message::ControlMessage;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// One direction of the link between two nodes, by node index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    pub from: usize,
    pub to: usize,
}

/// A message in flight.
pub struct Envelope {
    pub link: Link,
    /// The incarnation that sent it.
    pub sender: MemberId,
    pub message: ControlMessage,
}

/// Orders messages by arrival time, then by sending order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Arrival {
    time: Duration,
    sequence: u64,
}

#[derive(Default)]
pub struct Network {
    cut_links: BTreeSet<Link>,
    loss_ratio: f64,
    in_flight: BTreeMap<Arrival, Envelope>,
    sent_count: u64,
}

impl Network {
    pub fn cut(&mut self, link: Link) {
        self.cut_links.insert(link);
    }

    pub fn set_loss_ratio(&mut self, ratio: f64) {
        self.loss_ratio = ratio;
    }

    /// Restores all links and stops message loss.
    pub fn heal(&mut self) {
        self.cut_links.clear();
        self.loss_ratio = 0.0;
    }

    pub fn is_cut(&self, link: Link) -> bool {
        self.cut_links.contains(&link)
    }

    pub fn send(&mut self, now: Duration, rng: &mut Pcg64Mcg, envelope: Envelope) {
        if self.loss_ratio > 0.0 && rng.random::<f64>() < self.loss_ratio {
            return;
        }
        let delay = Duration::from_millis(rng.random_range(1..60));
        self.sent_count += 1;
        let arrival = Arrival {
            time: now + delay,
            sequence: self.sent_count,
        };
        self.in_flight.insert(arrival, envelope);
    }

    /// Returns the next message that has arrived by `now`.
    pub fn next_arrived(&mut self, now: Duration) -> Option<Envelope> {
        while let Some(first) = self.in_flight.first_entry() {
            if first.key().time > now {
                return None;
            }
            let envelope = first.remove();
            if !self.is_cut(envelope.link) {
                return Some(envelope);
            }
        }
        None
    }
}
