//! Traffic counters of all nodes, which the run reads while the proxies update them.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of the traffic that one node sent and received through the proxies.
#[derive(Debug, Default)]
struct NodeCounters {
    bytes_out: AtomicU64,
    messages_out: AtomicU64,
    bytes_in: AtomicU64,
    messages_in: AtomicU64,
}

/// Traffic that one node sent and received since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeTraffic {
    /// Bytes sent.
    pub bytes_out: u64,
    /// Messages sent.
    pub messages_out: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Messages received.
    pub messages_in: u64,
}

/// Traffic counters of all nodes.
pub struct TrafficCounters {
    nodes: Vec<NodeCounters>,
    lost: AtomicU64,
    unknown: AtomicU64,
}

fn add(counter: &AtomicU64, count: u64) {
    counter.fetch_add(count, Ordering::Relaxed);
}

fn read(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

impl TrafficCounters {
    /// Creates the counters of `node_count` nodes.
    pub fn new(node_count: usize) -> TrafficCounters {
        TrafficCounters {
            nodes: (0..node_count).map(|_| NodeCounters::default()).collect(),
            lost: AtomicU64::new(0),
            unknown: AtomicU64::new(0),
        }
    }

    /// Returns the traffic that a node sent and received.
    pub fn traffic(&self, node: usize) -> NodeTraffic {
        let counters = &self.nodes[node];
        NodeTraffic {
            bytes_out: read(&counters.bytes_out),
            messages_out: read(&counters.messages_out),
            bytes_in: read(&counters.bytes_in),
            messages_in: read(&counters.messages_in),
        }
    }

    /// Returns the number of injected losses: datagrams dropped, and retransmission delays added to stream chunks.
    pub fn lost(&self) -> u64 {
        read(&self.lost)
    }

    /// Returns the number of datagrams of unknown senders, undecodable directions of streams, and streams that could
    /// not be opened.
    pub fn unknown(&self) -> u64 {
        read(&self.unknown)
    }

    /// Counts traffic from one node to another.
    pub(super) fn count_sent(&self, from: usize, to: usize, bytes: u64, messages: u64) {
        add(&self.nodes[from].bytes_out, bytes);
        add(&self.nodes[from].messages_out, messages);
        add(&self.nodes[to].bytes_in, bytes);
        add(&self.nodes[to].messages_in, messages);
    }

    pub(super) fn count_lost(&self) {
        add(&self.lost, 1);
    }

    pub(super) fn count_unknown(&self) {
        add(&self.unknown, 1);
    }
}
