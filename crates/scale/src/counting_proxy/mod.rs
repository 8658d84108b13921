//! A proxy in front of each node, which counts the datagrams and streams of other nodes by sender, so that the results
//! do not depend on counters of the measured program.
//!
//! There is one proxy per node, whereas fault injection has one per link: the number of sockets must not grow with the
//! square of the number of nodes.

mod counted_stream;
mod counters;
mod listener;

pub use counters::{NodeTraffic, TrafficCounters};

use crate::topology::Topology;
use listener::ProxyListener;
use lupincrank_fault_injection::link::LinkCondition;
use lupincrank_fault_injection::stream_relay::Side;
use lupincrank_reactor::{Application, ComponentId, Context, Reactor, APPLICATION};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval at which the proxies check the stop flag.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The purpose of a deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum DeadlineKind {
    /// Check the stop flag.
    CheckStop,
    /// Send delayed datagrams.
    SendDatagrams,
    /// Relay delayed bytes that were read from this side.
    RelayStream(Side),
}

/// Options of the proxies.
pub struct ProxyOptions {
    /// Condition of all links: delay and loss.
    pub condition: LinkCondition,
    /// Seed of the random losses.
    pub seed: u64,
    /// Traffic counters.
    pub counters: Arc<TrafficCounters>,
    /// Set to stop the proxies.
    pub stop: Arc<AtomicBool>,
}

/// State shared by all proxies.
struct ProxyState {
    counters: Arc<TrafficCounters>,
    node_by_name: HashMap<String, usize>,
    node_by_address: HashMap<SocketAddr, usize>,
    condition: LinkCondition,
    rng: Pcg64Mcg,
    stop: Arc<AtomicBool>,
}

type ProxyContext = Context<ProxyState>;

impl ProxyState {
    fn new(topology: &Topology, options: ProxyOptions) -> ProxyState {
        let nodes = 0..topology.node_count();
        let names = nodes.clone().map(|node| (topology.name(node), node));
        let addresses = nodes.map(|node| (topology.cluster_address(node), node));
        ProxyState {
            counters: options.counters,
            node_by_name: names.collect(),
            node_by_address: addresses.collect(),
            condition: options.condition,
            rng: Pcg64Mcg::new(u128::from(options.seed) << 8 | 5),
            stop: options.stop,
        }
    }

    /// Draws whether a datagram or chunk is lost, and counts the loss. Draws nothing if the loss ratio is 0.
    fn draw_loss(&mut self) -> bool {
        let loss_ratio = self.condition.loss_ratio;
        let is_lost = loss_ratio > 0.0 && self.rng.random::<f64>() < loss_ratio;
        if is_lost {
            self.counters.count_lost();
        }
        is_lost
    }
}

impl Application for ProxyState {
    type DeadlineKind = DeadlineKind;
    type Message = ();

    fn after_callback(
        _context: &mut ProxyContext,
        _components: &mut dyn Iterator<Item = ComponentId>,
    ) {
    }

    fn on_deadline(context: &mut ProxyContext, kind: DeadlineKind) {
        let next_check = Instant::now() + STOP_CHECK_INTERVAL;
        context.deadlines.set(APPLICATION, kind, next_check);
    }

    fn is_finished(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn on_undelivered(&mut self, _id: ComponentId, _message: ()) {}
}

/// Opens the proxies of all nodes.
fn open_all(context: &mut ProxyContext, topology: &Topology) -> io::Result<()> {
    for node in 0..topology.node_count() {
        let address = topology.proxy_address(node);
        let target = topology.cluster_address(node);
        ProxyListener::open(context, node, address, target)
            .map_err(|error| io::Error::other(format!("{address}: {error}")))?;
    }
    Ok(())
}

/// Opens the proxies of all nodes, calls `on_opened` with the result, and relays until the stop flag is set.
///
/// # Errors
///
/// Any error of the event loop.
pub fn serve(
    topology: &Topology,
    options: ProxyOptions,
    on_opened: impl FnOnce(io::Result<()>),
) -> io::Result<()> {
    let mut reactor = Reactor::new(ProxyState::new(topology, options), 0)?;
    let opened = open_all(&mut reactor.context, topology);
    let is_open = opened.is_ok();
    on_opened(opened);
    if !is_open {
        return Ok(());
    }
    reactor
        .context
        .deadlines
        .set(APPLICATION, DeadlineKind::CheckStop, Instant::now());
    reactor.run()
}
