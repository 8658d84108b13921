//! The rig: the node and what is around it.

use super::address::{listen, ReservedAddress};
use super::endpoint_list::endpoint_list;
use super::full_backlog::FullBacklog;
use super::line_stream::LineStream;
use super::node_process::{send_signal, spawn, Build, InheritedListener};
use super::syscall_faults::SyscallFaults;
use super::wait::wait_until;
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, ExitStatus};
use std::thread::JoinHandle;
use std::time::Instant;

/// How many descriptors a node may use unless a test says otherwise.
const DEFAULT_DESCRIPTORS: usize = 1024;

/// A node with stub servers and a stub discovery service.
pub struct Rig {
    /// The servers' listeners; `None` for one that is gone.
    pub servers: Vec<Option<TcpListener>>,
    pub(super) server_addresses: Vec<SocketAddr>,
    pub discovery: TcpListener,
    /// The node's watch of the endpoint list.
    pub watch: Option<LineStream>,
    /// The node's newest process.
    pub(super) process: Child,
    /// The older process of the node, if it has two.
    pub predecessor: Option<Child>,
    pub(super) inherited: Option<InheritedListener>,
    /// What fails in the processes of the node.
    pub(super) faults: Option<SyscallFaults>,
    pub(super) listen_address: SocketAddr,
    /// The admin address of the newest process.
    pub(super) admin_address: SocketAddr,
    pub(super) reserved: Vec<ReservedAddress>,
    pub config: Value,
    pub(super) config_path: PathBuf,
    pub(super) last_request_id: u64,
}

impl Drop for Rig {
    fn drop(&mut self) {
        for process in self.predecessor.iter_mut().chain([&mut self.process]) {
            let _ = process.kill();
            let _ = process.wait();
        }
        if let Some(inherited) = &self.inherited {
            let _ = std::fs::remove_dir_all(&inherited.runtime_directory);
        }
        let log_path = self.config_path.with_extension("log");
        if std::thread::panicking() {
            let log = std::fs::read_to_string(&log_path);
            eprintln!("the node's log:\n{}", log.unwrap_or_default());
        }
        let _ = std::fs::remove_file(&self.config_path);
        let _ = std::fs::remove_file(log_path);
    }
}

/// Starting a node.
impl Rig {
    /// A node that knows so many servers, ready to serve.
    pub fn start(server_count: usize) -> Rig {
        Rig::start_with_descriptors(server_count, DEFAULT_DESCRIPTORS)
    }

    /// The same with so many descriptors.
    pub fn start_with_descriptors(server_count: usize, descriptors: usize) -> Rig {
        let mut rig = Rig::launch(server_count, descriptors);
        rig.accept_watch();
        if server_count > 0 {
            rig.wait_for_pong();
        }
        rig
    }

    /// A node in which these calls fail, ready to serve.
    pub fn start_with_faults(server_count: usize, faults: SyscallFaults) -> Rig {
        Rig::start_changed(server_count, DEFAULT_DESCRIPTORS, Some(faults), |_| {})
    }

    /// A node with a changed configuration, ready to serve.
    pub fn start_with_config(server_count: usize, change: impl FnOnce(&mut Value)) -> Rig {
        Rig::start_changed(server_count, DEFAULT_DESCRIPTORS, None, change)
    }

    /// A node with so many descriptors and a changed configuration in which calls may fail, ready to serve.
    pub fn start_changed(
        server_count: usize,
        descriptors: usize,
        faults: Option<SyscallFaults>,
        change: impl FnOnce(&mut Value),
    ) -> Rig {
        let mut rig =
            Rig::launch_build(Build::This, server_count, descriptors, None, faults, change);
        rig.accept_watch();
        rig.wait_for_pong();
        rig.switch_faults_on();
        rig
    }

    /// A node in which calls fail from its start on, and whose first call to discovery is still to be answered.
    pub fn launch_with_faults(
        server_count: usize,
        descriptors: usize,
        faults: SyscallFaults,
        change: impl FnOnce(&mut Value),
    ) -> Rig {
        faults.switch_on();
        Rig::launch_build(
            Build::This,
            server_count,
            descriptors,
            None,
            Some(faults),
            change,
        )
    }

    /// What fails in the processes that are started from now on.
    pub fn set_faults(&mut self, faults: SyscallFaults) {
        self.faults = Some(faults);
    }

    /// System calls of the node's processes fail from now on, where a plan says so.
    pub fn switch_faults_on(&self) {
        self.faults.iter().for_each(SyscallFaults::switch_on);
    }

    /// System calls do not fail any more.
    pub fn switch_faults_off(&self) {
        self.faults.iter().for_each(SyscallFaults::switch_off);
    }

    /// One of so many nodes, ready to serve.
    pub fn start_as_one_of(node_count: u32, server_count: usize) -> Rig {
        let mut rig = Rig::launch_with_config(server_count, DEFAULT_DESCRIPTORS, |config| {
            config["settings"]["Instances"] = node_count.into();
        });
        rig.accept_watch();
        rig.wait_for_pong();
        rig
    }

    /// A node that inherits its listener and may be started a second time.
    pub fn start_with_inherited_listener(server_count: usize) -> Rig {
        Rig::start_build_with_inherited_listener(Build::This, server_count)
    }

    /// The same with a node of this build.
    pub fn start_build_with_inherited_listener(build: Build, server_count: usize) -> Rig {
        Rig::start_inheriting(build, server_count, None)
    }

    /// A node that inherits its listener and in whose processes these calls fail.
    pub fn start_inheriting_with_faults(server_count: usize, faults: SyscallFaults) -> Rig {
        let rig = Rig::start_inheriting(Build::This, server_count, Some(faults));
        rig.switch_faults_on();
        rig
    }

    fn start_inheriting(build: Build, server_count: usize, faults: Option<SyscallFaults>) -> Rig {
        let listener = listen();
        let port = listener.local_addr().unwrap().port();
        let directory =
            std::env::temp_dir().join(format!("lupincrank-{}-{port}", std::process::id()));
        std::fs::create_dir(&directory).unwrap();
        let inherited = InheritedListener {
            listener,
            runtime_directory: directory,
        };
        let mut rig = Rig::launch_build(
            build,
            server_count,
            DEFAULT_DESCRIPTORS,
            Some(inherited),
            faults,
            |_| {},
        );
        rig.accept_watch();
        rig.wait_until_ready();
        rig
    }

    /// A node whose first call to discovery is still to be answered.
    pub fn launch(server_count: usize, descriptors: usize) -> Rig {
        Rig::launch_with_config(server_count, descriptors, |_| {})
    }

    /// The same with a changed configuration.
    pub fn launch_with_config(
        server_count: usize,
        descriptors: usize,
        change: impl FnOnce(&mut Value),
    ) -> Rig {
        Rig::launch_build(Build::This, server_count, descriptors, None, None, change)
    }

    fn launch_build(
        build: Build,
        server_count: usize,
        descriptors: usize,
        inherited: Option<InheritedListener>,
        faults: Option<SyscallFaults>,
        change: impl FnOnce(&mut Value),
    ) -> Rig {
        let servers: Vec<_> = (0..server_count).map(|_| Some(listen())).collect();
        let server_addresses: Vec<_> = servers
            .iter()
            .flatten()
            .map(|server| server.local_addr().unwrap())
            .collect();
        let discovery = listen();
        let client_listener = ReservedAddress::any();
        let admin_listener = ReservedAddress::any();
        let listen_address = inherited
            .as_ref()
            .map_or(client_listener.address, |inherited| {
                inherited.listener.local_addr().unwrap()
            });
        let mut config = example_config();
        config["management"] = admin_listener.address.to_string().into();
        config["listen"] = listen_address.to_string().into();
        config["discovery"] = discovery.local_addr().unwrap().to_string().into();
        config["limits"]["sockets"] = descriptors.into();
        let known_list = endpoint_list(&server_addresses, "SERVING", 1, true);
        config["known"] = serde_json::from_str(&known_list).unwrap();
        change(&mut config);
        let config_path = std::env::temp_dir().join(format!(
            "lupincrank-{}-{}.json",
            std::process::id(),
            listen_address.port()
        ));
        std::fs::write(&config_path, config.to_string()).unwrap();
        std::fs::File::create(config_path.with_extension("log")).unwrap();
        let process = spawn(build, &config_path, inherited.as_ref(), faults.as_ref());
        Rig {
            servers,
            server_addresses,
            discovery,
            watch: None,
            process,
            predecessor: None,
            inherited,
            faults,
            listen_address,
            admin_address: admin_listener.address,
            reserved: vec![client_listener, admin_listener],
            config,
            config_path,
            last_request_id: 0,
        }
    }

    /// Waits until the front would send clients to the node.
    pub fn wait_for_pong(&self) {
        wait_until("PONG", || (self.query("PING\r\n") == "PONG").then_some(()));
    }
}

pub(super) fn example_config() -> Value {
    let example = include_str!("../../../../examples/config.json");
    serde_json::from_str(example).unwrap()
}

/// The node's newest process.
impl Rig {
    /// Makes a server refuse connections. Its listener is shut down and not only closed: a process that another test is just
    /// starting may hold a copy of it until its exec, and the kernel would accept connections for as long.
    pub fn stop_listening(&mut self, server: usize) {
        let listener = self.servers[server].take().unwrap();
        socket2::SockRef::from(&listener)
            .shutdown(std::net::Shutdown::Both)
            .unwrap();
    }

    pub fn signal(&self, name: &str) {
        send_signal(&self.process, name);
    }

    pub fn is_running(&mut self) -> bool {
        self.process.try_wait().unwrap().is_none()
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        wait_until("the node ends", || self.process.try_wait().unwrap())
    }

    pub fn process_id(&self) -> u32 {
        self.process.id()
    }

    /// A thread that tells when it has exited.
    pub fn watch_exit(&self) -> JoinHandle<Instant> {
        let path = format!("/proc/{}/stat", self.process.id());
        std::thread::spawn(move || {
            wait_until("it exits", || {
                let is_running = std::fs::read_to_string(&path)
                    .is_ok_and(|stat| !stat.rsplit_once(") ").unwrap().1.starts_with('Z'));
                (!is_running).then_some(())
            });
            Instant::now()
        })
    }

    /// How many descriptors it holds.
    pub fn open_descriptor_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.process.id()))
            .unwrap()
            .count()
    }

    /// Stops it where it is; what comes meanwhile waits for it, and all of it lies in one turn of its loop once it goes on.
    pub fn pause(&self) {
        self.signal("-STOP");
        let path = format!("/proc/{}/stat", self.process.id());
        wait_until("it stands still", || {
            let stat = std::fs::read_to_string(&path).unwrap();
            stat.rsplit_once(") ")
                .unwrap()
                .1
                .starts_with('T')
                .then_some(())
        });
    }

    /// Lets it go on.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Replaces the configuration with this text and sends SIGHUP.
    pub fn reload_config(&self, text: &str) {
        std::fs::write(&self.config_path, text).unwrap();
        self.signal("-HUP");
    }

    /// Changes the settings so that no delay of this machine counts as a server's overload, for which requests are rejected.
    pub fn allow_long_delays(&mut self) {
        const LONG_NS: u64 = 20_000_000_000;
        self.change_settings(|settings| {
            settings["FamilyInfo"]["MessageAimNs"] = vec![LONG_NS].into();
            settings["Categories"][0]["PromiseNs"] = LONG_NS.into();
        });
    }

    /// Changes the settings while it serves.
    pub fn change_settings(&mut self, change: impl FnOnce(&mut Value)) {
        change(&mut self.config["settings"]);
        self.reload_config(&self.config.to_string());
        self.wait_for_log("configuration reloaded");
    }

    pub fn log_path(&self) -> PathBuf {
        self.config_path.with_extension("log")
    }

    /// What all processes of the node have logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.config_path.with_extension("log")).unwrap()
    }

    /// Waits until a log line holds this text.
    pub fn wait_for_log(&self, text: &str) {
        self.wait_for_log_count(text, 1);
    }

    /// Waits until the log of all processes holds this text so many times.
    pub fn wait_for_log_count(&self, text: &str, count: usize) {
        wait_until(text, || {
            (self.log().matches(text).count() >= count).then_some(())
        });
    }

    /// Establishes no connection to this server until the guard is released. The kernel tries those that wait for it
    /// again after a second.
    pub fn fill_backlog(&self, server: usize) -> FullBacklog {
        FullBacklog::fill(self.servers[server].as_ref().unwrap())
    }
}
