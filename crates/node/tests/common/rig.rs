//! The rig: a node and its environment.

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

/// Default limit of a node's descriptors.
const DEFAULT_DESCRIPTORS: usize = 1024;

/// A node with stub servers and a stub discovery service.
pub struct Rig {
    /// The servers' listeners; `None` for a server that has stopped.
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
    /// Faults in the processes of the node.
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
    /// Starts a node that knows `server_count` servers and waits until it can serve.
    pub fn start(server_count: usize) -> Rig {
        Rig::start_with_descriptors(server_count, DEFAULT_DESCRIPTORS)
    }

    /// Starts a node with this descriptor limit and waits until it can serve, if it has any server.
    pub fn start_with_descriptors(server_count: usize, descriptors: usize) -> Rig {
        let mut rig = Rig::launch(server_count, descriptors);
        rig.accept_watch();
        if server_count > 0 {
            rig.wait_for_pong();
        }
        rig
    }

    /// Starts a node, waits until it can serve and switches these faults on.
    pub fn start_with_faults(server_count: usize, faults: SyscallFaults) -> Rig {
        Rig::start_changed(server_count, DEFAULT_DESCRIPTORS, Some(faults), |_| {})
    }

    /// Starts a node with a changed configuration and waits until it can serve.
    pub fn start_with_config(server_count: usize, change: impl FnOnce(&mut Value)) -> Rig {
        Rig::start_changed(server_count, DEFAULT_DESCRIPTORS, None, change)
    }

    /// Starts a node with this descriptor limit and a changed configuration, waits until it can serve and switches the
    /// faults on.
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

    /// Starts a node with faults from its start on; its first discovery call is still unanswered.
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

    /// Sets the faults of the processes that are started later.
    pub fn set_faults(&mut self, faults: SyscallFaults) {
        self.faults = Some(faults);
    }

    /// Activates the faults of the node's processes, if there are any.
    pub fn switch_faults_on(&self) {
        self.faults.iter().for_each(SyscallFaults::switch_on);
    }

    /// Deactivates the faults.
    pub fn switch_faults_off(&self) {
        self.faults.iter().for_each(SyscallFaults::switch_off);
    }

    /// Starts a node that counts as one of `node_count` and waits until it can serve.
    pub fn start_as_one_of(node_count: u32, server_count: usize) -> Rig {
        let mut rig = Rig::launch_with_config(server_count, DEFAULT_DESCRIPTORS, |config| {
            config["settings"]["Instances"] = node_count.into();
        });
        rig.accept_watch();
        rig.wait_for_pong();
        rig
    }

    /// Starts a node that inherits its listener, so that it can have a successor.
    pub fn start_with_inherited_listener(server_count: usize) -> Rig {
        Rig::start_build_with_inherited_listener(Build::This, server_count)
    }

    /// Starts a node of this build that inherits its listener.
    pub fn start_build_with_inherited_listener(build: Build, server_count: usize) -> Rig {
        Rig::start_inheriting(build, server_count, DEFAULT_DESCRIPTORS, None)
    }

    /// Starts a node with this descriptor limit that inherits its listener.
    pub fn start_inheriting_with_descriptors(server_count: usize, descriptors: usize) -> Rig {
        Rig::start_inheriting(Build::This, server_count, descriptors, None)
    }

    /// Starts a node that inherits its listener, with these faults in its processes.
    pub fn start_inheriting_with_faults(server_count: usize, faults: SyscallFaults) -> Rig {
        let rig =
            Rig::start_inheriting(Build::This, server_count, DEFAULT_DESCRIPTORS, Some(faults));
        rig.switch_faults_on();
        rig
    }

    fn start_inheriting(
        build: Build,
        server_count: usize,
        descriptors: usize,
        faults: Option<SyscallFaults>,
    ) -> Rig {
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
            descriptors,
            Some(inherited),
            faults,
            |_| {},
        );
        rig.accept_watch();
        rig.wait_until_ready();
        rig
    }

    /// Starts a node whose first discovery call is still unanswered.
    pub fn launch(server_count: usize, descriptors: usize) -> Rig {
        Rig::launch_with_config(server_count, descriptors, |_| {})
    }

    /// Starts a node with a changed configuration; its first discovery call is still unanswered.
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

    /// Waits for the `PONG` after which the front sends clients to the node.
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
    /// Makes a server refuse connections. The listener is shut down and not only closed: a process that another test is
    /// starting may hold a copy of it until its exec, and the kernel would accept connections until then.
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
        wait_until("the node exits", || self.process.try_wait().unwrap())
    }

    pub fn process_id(&self) -> u32 {
        self.process.id()
    }

    /// Starts a thread that returns the time at which the process exited.
    pub fn watch_exit(&self) -> JoinHandle<Instant> {
        let path = format!("/proc/{}/stat", self.process.id());
        std::thread::spawn(move || {
            wait_until("the process exits", || {
                let is_running = std::fs::read_to_string(&path)
                    .is_ok_and(|stat| !stat.rsplit_once(") ").unwrap().1.starts_with('Z'));
                (!is_running).then_some(())
            });
            Instant::now()
        })
    }

    /// The number of open descriptors of the process.
    pub fn open_descriptor_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.process.id()))
            .unwrap()
            .count()
    }

    /// Pauses the process. Its event loop handles all events that arrive meanwhile in one turn after [`Rig::resume`].
    pub fn pause(&self) {
        self.signal("-STOP");
        let path = format!("/proc/{}/stat", self.process.id());
        wait_until("the process is stopped", || {
            let stat = std::fs::read_to_string(&path).unwrap();
            stat.rsplit_once(") ")
                .unwrap()
                .1
                .starts_with('T')
                .then_some(())
        });
    }

    /// Resumes the process.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Replaces the configuration with this text and sends SIGHUP.
    pub fn reload_config(&self, text: &str) {
        std::fs::write(&self.config_path, text).unwrap();
        self.signal("-HUP");
    }

    /// Changes the settings so that no delay of this machine counts as a server's overload, which would reject
    /// requests.
    pub fn allow_long_delays(&mut self) {
        const LONG_NS: u64 = 20_000_000_000;
        self.change_settings(|settings| {
            settings["FamilyInfo"]["MessageAimNs"] = vec![LONG_NS].into();
            settings["Categories"][0]["PromiseNs"] = LONG_NS.into();
        });
    }

    /// Changes the settings while the node serves.
    pub fn change_settings(&mut self, change: impl FnOnce(&mut Value)) {
        change(&mut self.config["settings"]);
        self.reload_config(&self.config.to_string());
        self.wait_for_log("configuration reloaded");
    }

    pub fn log_path(&self) -> PathBuf {
        self.config_path.with_extension("log")
    }

    /// The log of all processes of the node.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.config_path.with_extension("log")).unwrap()
    }

    /// Waits until the log contains this text.
    pub fn wait_for_log(&self, text: &str) {
        self.wait_for_log_count(text, 1);
    }

    /// Waits until the log of all processes contains this text `count` times.
    pub fn wait_for_log_count(&self, text: &str, count: usize) {
        wait_until(text, || {
            (self.log().matches(text).count() >= count).then_some(())
        });
    }

    /// Keeps connections to this server from being established until the guard is released. The kernel retries a
    /// waiting connect after a second.
    pub fn fill_backlog(&self, server: usize) -> FullBacklog {
        FullBacklog::fill(self.servers[server].as_ref().unwrap())
    }
}
