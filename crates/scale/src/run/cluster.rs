//! The proxies, real nodes and processes of hollow nodes of a run.

use super::admin_call::ClusterStatus;
use super::host_process::HostProcess;
use super::SharedProgress;
use crate::counting_proxy::{self, ProxyOptions, TrafficCounters};
use crate::error::RunError;
use crate::hollow_host::{unix_us, HostCommand, HostRequest, NodeReport};
use crate::options::RunOptions;
use crate::outcome::NodeReading;
use crate::topology::Topology;
use lupincrank_fault_injection::link::LinkCondition;
use lupincrank_fault_injection::node_process::{NodeIdentity, NodeProcess};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::thread::{self, JoinHandle};

/// Maximum number of hollow nodes per process.
const MAX_NODES_PER_HOST: usize = 100;
/// Number of log lines in the error for a node that exited.
const LOG_TAIL_LINE_COUNT: usize = 3;
const US_PER_MS: u64 = 1000;

/// The thread that runs all proxies.
struct ProxyThread {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

/// All processes of a run. They are killed when the cluster is dropped.
pub(super) struct Cluster<'a> {
    options: &'a RunOptions,
    topology: Topology,
    real_nodes: Vec<NodeProcess>,
    hosts: Vec<HostProcess>,
    progress: SharedProgress,
    counters: Arc<TrafficCounters>,
    /// Name of the node whose failure is to be detected; empty for none.
    watched_node: String,
    folder: PathBuf,
    proxies: Option<ProxyThread>,
}

impl<'a> Cluster<'a> {
    /// Opens the proxies, then starts all processes.
    pub(super) fn start(
        options: &'a RunOptions,
        topology: &Topology,
    ) -> Result<Cluster<'a>, RunError> {
        let folder = temporary_folder(topology);
        std::fs::create_dir_all(&folder)?;
        let mut cluster = Cluster {
            options,
            topology: topology.clone(),
            real_nodes: Vec::new(),
            hosts: Vec::new(),
            progress: SharedProgress::default(),
            counters: Arc::new(TrafficCounters::new(topology.node_count())),
            watched_node: String::new(),
            folder,
            proxies: None,
        };
        cluster.start_proxies()?;
        for node in 0..topology.real_count {
            cluster.start_real_node(node)?;
        }
        cluster.start_hosts()?;
        Ok(cluster)
    }

    fn start_proxies(&mut self) -> Result<(), RunError> {
        let stop = Arc::new(AtomicBool::new(false));
        let (opened_sender, opened) = mpsc::channel();
        let proxy_options = ProxyOptions {
            condition: LinkCondition {
                loss_ratio: self.options.loss_ratio,
                ..LinkCondition::default()
            },
            seed: self.options.seed,
            counters: Arc::clone(&self.counters),
            stop: Arc::clone(&stop),
        };
        let topology = self.topology.clone();
        let progress = self.progress.clone();
        let thread = thread::spawn(move || {
            let on_opened = |result| drop(opened_sender.send(result));
            if let Err(source) = counting_proxy::serve(&topology, proxy_options, on_opened) {
                progress.lock().record_failure(RunError::Proxy { source });
            }
        });
        self.proxies = Some(ProxyThread { stop, thread });
        let result = opened.recv().map_err(|_| RunError::ProxyNotOpened)?;
        Ok(result?)
    }

    fn start_real_node(&mut self, node: usize) -> Result<(), RunError> {
        let topology = &self.topology;
        let program = &self.options.program;
        let mut process = NodeProcess::new(NodeIdentity {
            name: topology.name(node),
            zone: topology.zone(node),
            program: vec![program.clone()],
            ip: topology.ip(node),
            folder: self.folder.join(topology.name(node)),
        });
        let config = topology.config(node, self.options.seed)?;
        let operator_file = topology.operator_file(Some(node));
        process.write_config(&config, Some(&operator_file))?;
        process.start(false).map_err(|source| RunError::Start {
            program: program.clone(),
            source,
        })?;
        self.real_nodes.push(process);
        Ok(())
    }

    fn start_hosts(&mut self) -> Result<(), RunError> {
        let node_count = self.topology.node_count();
        let hollow_nodes = self.topology.real_count..node_count;
        for first_node in hollow_nodes.step_by(MAX_NODES_PER_HOST) {
            let request = HostRequest {
                first_node,
                node_count: MAX_NODES_PER_HOST.min(node_count - first_node),
                topology: self.topology.clone(),
                seed: self.options.seed,
            };
            let program = &self.options.host_program;
            let host = HostProcess::start(program, &request, &self.progress)?;
            self.hosts.push(host);
        }
        Ok(())
    }

    /// Returns the options of the run.
    pub(super) fn options(&self) -> &'a RunOptions {
        self.options
    }

    /// Returns the nodes of the run.
    pub(super) fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Returns the state of all nodes.
    pub(super) fn progress(&self) -> &SharedProgress {
        &self.progress
    }

    /// Returns the traffic counters.
    pub(super) fn counters(&self) -> &TrafficCounters {
        &self.counters
    }

    /// Returns the admin address of the first real node.
    pub(super) fn admin_address(&self) -> SocketAddr {
        self.real_nodes[0].admin_address()
    }

    /// Fails if the run was stopped, a process exited, or the proxies failed.
    pub(super) fn check(&mut self) -> Result<(), RunError> {
        if self.options.stop.load(Ordering::Relaxed) {
            return Err(RunError::Stopped);
        }
        for node in &mut self.real_nodes {
            if let Some(status) = node.poll_exit() {
                return Err(RunError::NodeEnded {
                    node: node.name().to_string(),
                    status,
                    log: log_tail(node),
                });
            }
        }
        match self.progress.lock().take_failure() {
            Some(failure) => Err(failure),
            None => Ok(()),
        }
    }

    /// Polls the state of the real nodes; hollow nodes report theirs without polling.
    pub(super) fn poll_real_nodes(&self) {
        let real_nodes = self.real_nodes.iter().enumerate();
        for (node, process) in real_nodes.filter(|(_, process)| process.is_running()) {
            let Ok(status) = ClusterStatus::request(process.admin_address()) else {
                continue;
            };
            let is_watched_node_live =
                self.watched_node.is_empty() || status.is_live(&self.watched_node);
            let report = NodeReport {
                node,
                at_us: unix_us(),
                epoch: status.epoch(),
                budget_limit: status.budget_limit(),
                has_leader: status.leader().is_some(),
                is_voter: status.is_voter(process.name()),
                live_count: status.live_count(),
                is_watched_node_live,
                ..NodeReport::default()
            };
            self.progress.lock().record(report);
        }
    }

    /// Sends a command to all hollow nodes.
    fn send(&mut self, command: &HostCommand) -> Result<(), RunError> {
        self.hosts
            .iter_mut()
            .try_for_each(|host| host.send(command))
    }

    /// Sets the total demand of the hollow nodes, as a ratio of the budget's limit per second.
    pub(super) fn set_demand(&mut self, ratio: f64) -> Result<(), RunError> {
        let budget_limit = f64::from(self.topology.budget_limit);
        let hollow_count = self.topology.hollow_count.max(1) as f64;
        self.send(&HostCommand::Demand(ratio * budget_limit / hollow_count))
    }

    /// Makes all nodes report whether this node is live.
    pub(super) fn watch(&mut self, node: usize) -> Result<(), RunError> {
        self.watched_node = self.topology.name(node);
        self.send(&HostCommand::Watch(self.watched_node.clone()))
    }

    /// Kills a real node.
    pub(super) fn kill(&mut self, node: usize) {
        self.real_nodes[node].kill();
    }

    /// Returns the current readings of all nodes.
    pub(super) fn readings(&self) -> Vec<NodeReading> {
        let memory_kb = self.hollow_memory_kb();
        let nodes = 0..self.topology.node_count();
        nodes.map(|node| self.reading(node, &memory_kb)).collect()
    }

    /// Returns the resident memory of each hollow node in kB, in the order of node numbers.
    fn hollow_memory_kb(&self) -> Vec<u64> {
        let hosts = self.hosts.iter();
        hosts
            .flat_map(|host| {
                let node_kb = host.resident_kb_per_node();
                std::iter::repeat_n(node_kb, host.nodes().len())
            })
            .collect()
    }

    fn reading(&self, node: usize, hollow_memory_kb: &[u64]) -> NodeReading {
        let traffic = self.counters.traffic(node);
        let mut reading = NodeReading {
            bytes_out: traffic.bytes_out,
            messages_out: traffic.messages_out,
            bytes_in: traffic.bytes_in,
            messages_in: traffic.messages_in,
            cpu_us: 0,
            rss_kb: 0,
        };
        if let Some(process) = self.real_nodes.get(node) {
            reading.cpu_us = process.cpu_ms().unwrap_or(0) * US_PER_MS;
            reading.rss_kb = process.resident_kb().unwrap_or(0);
        } else {
            let progress = self.progress.lock();
            let node_progress = progress.node(node);
            reading.cpu_us = node_progress.map_or(0, |node| node.report.cpu_us);
            let memory_kb = hollow_memory_kb.get(node - self.topology.real_count);
            reading.rss_kb = memory_kb.copied().unwrap_or(0);
        }
        reading
    }
}

/// Returns the folder of the real nodes' files.
fn temporary_folder(topology: &Topology) -> PathBuf {
    let process = std::process::id();
    let block = topology.address_block;
    let name = format!("lupincrank-scale-{process}-{}-{}", block.high, block.low);
    std::env::temp_dir().join(name)
}

/// Returns the last lines of a node's log, the last line first.
fn log_tail(node: &NodeProcess) -> String {
    let log = std::fs::read_to_string(node.log_path()).unwrap_or_default();
    let lines: Vec<&str> = log.lines().rev().take(LOG_TAIL_LINE_COUNT).collect();
    lines.join(" / ")
}

impl Drop for Cluster<'_> {
    fn drop(&mut self) {
        self.hosts.clear();
        self.real_nodes.iter_mut().for_each(NodeProcess::kill);
        if let Some(proxies) = self.proxies.take() {
            proxies.stop.store(true, Ordering::Relaxed);
            let _ = proxies.thread.join();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
