//! Several nodes that form a cluster and keep their files across restarts.

use super::address::{listen, ReservedAddress};
use super::node_process::{send_signal, spawn_with_operator_file};
use super::requests::admin_call_at;
use super::rig::example_config;
use super::syscall_faults::SyscallFaults;
use super::wait::wait_until;
use serde_json::Value;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;

/// One node of the cluster.
pub struct ClusterNode {
    name: String,
    client: ReservedAddress,
    admin: ReservedAddress,
    cluster: ReservedAddress,
    process: Option<Child>,
}

/// The nodes, and a discovery service that never answers.
pub struct Cluster {
    nodes: Vec<ClusterNode>,
    directory: PathBuf,
    discovery: TcpListener,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for node in 0..self.nodes.len() {
            self.kill(node);
            if std::thread::panicking() {
                eprintln!("log of node {node}:\n{}", self.log(node));
            }
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl Cluster {
    /// Creates a cluster without starting its processes.
    pub fn new(node_count: usize) -> Cluster {
        let nodes: Vec<ClusterNode> = (0..node_count)
            .map(|number| ClusterNode {
                name: format!("n{number}"),
                client: ReservedAddress::any(),
                admin: ReservedAddress::any(),
                cluster: ReservedAddress::any(),
                process: None,
            })
            .collect();
        let port = nodes[0].client.address.port();
        let directory =
            std::env::temp_dir().join(format!("lupincrank-cluster-{}-{port}", std::process::id()));
        std::fs::create_dir(&directory).unwrap();
        let cluster = Cluster {
            nodes,
            directory,
            discovery: listen(),
        };
        for node in 0..node_count {
            cluster.write_files(node);
        }
        cluster
    }

    /// Starts a cluster and waits until all nodes know its leader.
    pub fn start(node_count: usize) -> Cluster {
        let mut cluster = Cluster::new(node_count);
        for node in 0..node_count {
            cluster.spawn(node, None);
        }
        cluster.wait_for_leader(&(0..node_count).collect::<Vec<_>>());
        cluster
    }

    fn path(&self, node: usize, extension: &str) -> PathBuf {
        self.directory.join(format!("n{node}.{extension}"))
    }

    fn write_files(&self, node: usize) {
        let ClusterNode {
            name,
            client,
            admin,
            cluster,
            ..
        } = &self.nodes[node];
        let mut config = example_config();
        config["name"] = name.as_str().into();
        config["listen"] = client.address.to_string().into();
        config["management"] = admin.address.to_string().into();
        config["discovery"] = self.discovery.local_addr().unwrap().to_string().into();
        std::fs::write(self.path(node, "json"), config.to_string()).unwrap();
        let names: Vec<String> = self
            .nodes
            .iter()
            .map(|node| format!("{:?}", node.name))
            .collect();
        let seeds: Vec<String> = self
            .nodes
            .iter()
            .map(|node| format!("{} = \"{}\"", node.name, node.cluster.address))
            .collect();
        let text = format!(
            "[fleet]\nname = \"test\"\nnodes = [{}]\nlisten = \"{}\"\nfolder = \"{}\"\n[fleet.seeds]\n{}\n",
            names.join(", "),
            cluster.address,
            self.directory.display(),
            seeds.join("\n")
        );
        std::fs::write(self.path(node, "toml"), text).unwrap();
        std::fs::File::create(self.path(node, "log")).unwrap();
    }

    /// Starts a node's process, with optional system call faults.
    pub fn spawn(&mut self, node: usize, faults: Option<&SyscallFaults>) {
        let process =
            spawn_with_operator_file(&self.path(node, "json"), &self.path(node, "toml"), faults);
        self.nodes[node].process = Some(process);
    }

    /// Kills a node's process with SIGKILL.
    pub fn kill(&mut self, node: usize) {
        if let Some(mut process) = self.nodes[node].process.take() {
            send_signal(&process, "-KILL");
            let _ = process.wait();
        }
    }

    /// Terminates a node's process with SIGTERM and waits for its exit.
    pub fn terminate(&mut self, node: usize) {
        if let Some(mut process) = self.nodes[node].process.take() {
            send_signal(&process, "-TERM");
            let _ = process.wait();
        }
    }

    /// The log of a node.
    pub fn log(&self, node: usize) -> String {
        std::fs::read_to_string(self.path(node, "log")).unwrap_or_default()
    }

    fn query(&self, node: usize, what: &str) -> Option<Value> {
        let answer = admin_call_at(self.nodes[node].admin.address, &format!("fleet {what}\r\n"));
        serde_json::from_str(answer.strip_prefix("done ")?).ok()
    }

    /// The name of the leader that a node knows.
    pub fn leader(&self, node: usize) -> Option<String> {
        let status = self.query(node, "status")?;
        status["council"]["leader"].as_str().map(str::to_string)
    }

    /// The names of the nodes that a node considers running, itself included.
    pub fn members(&self, node: usize) -> Vec<String> {
        let members = self.query(node, "members").unwrap_or_default();
        let names = members.as_array().into_iter().flatten();
        names
            .filter_map(|member| member["name"].as_str().map(str::to_string))
            .collect()
    }

    /// The index of the last log entry that a node has applied.
    pub fn applied_index(&self, node: usize) -> u64 {
        let status = self.query(node, "status").unwrap_or_default();
        status["council"]["index"].as_u64().unwrap_or_default()
    }

    /// Waits until these nodes know the same leader and its process is running.
    pub fn wait_for_leader(&self, nodes: &[usize]) -> String {
        wait_until("a leader", || {
            let leader = self.leader(nodes[0])?;
            let number: usize = leader[1..].parse().unwrap();
            let is_running = self.nodes[number].process.is_some();
            let is_agreed = nodes
                .iter()
                .all(|node| self.leader(*node).as_ref() == Some(&leader));
            (is_running && is_agreed).then_some(leader)
        })
    }

    /// Waits until a node considers `count` nodes running.
    pub fn wait_for_member_count(&self, node: usize, count: usize) {
        wait_until("members", || {
            (self.members(node).len() == count).then_some(())
        });
    }
}
