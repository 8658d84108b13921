//! A proxy before each node that counts all datagrams and streams from others by who sent them; so the figures are not the
//! program's own.
//!
//! There is one proxy a node, where fault injection has one a link: the number of sockets must not grow with the square of
//! the nodes.

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

/// How often the proxies look whether they are to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What a deadline is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum DeadlineKind {
    /// The loop looks whether it is to stop.
    CheckStop,
    /// Delayed datagrams are due.
    SendDatagrams,
    /// Bytes that were read from this side are due.
    RelayStream(Side),
}

/// What the proxies do with traffic, and where they count it.
pub struct ProxyOptions {
    /// The condition of all links: delay and loss.
    pub condition: LinkCondition,
    /// What losses are drawn from.
    pub seed: u64,
    /// The counters.
    pub counters: Arc<TrafficCounters>,
    /// Set to end the proxies.
    pub stop: Arc<AtomicBool>,
}

/// The state that all proxies share.
struct ProxyState {
    counters: Arc<TrafficCounters>,
    node_by_name: HashMap<String, usize>,
    node_by_address: HashMap<SocketAddr, usize>,
    condition: LinkCondition,
    random: Pcg64Mcg,
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
            random: Pcg64Mcg::new(u128::from(options.seed) << 8 | 5),
            stop: options.stop,
        }
    }

    /// Draws whether something is lost, and counts it; without a draw if nothing is lost.
    fn draw_loss(&mut self) -> bool {
        let loss_ratio = self.condition.loss_ratio;
        let is_lost = loss_ratio > 0.0 && self.random.random::<f64>() < loss_ratio;
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

/// Opens the proxies of all nodes and relays until they are stopped. `on_opened` gets the result of the first.
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
