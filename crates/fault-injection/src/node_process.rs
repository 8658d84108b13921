//! Node processes, each with its own configuration, folder and loopback address.

use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// Ports of each node at its own address.
const CLIENT_PORT: u16 = 8000;
const ADMIN_PORT: u16 = 8001;
const CLUSTER_PORT: u16 = 7400;
/// A listener at this port and host of a block marks the block as used.
const RESERVATION_PORT: u16 = 7399;
const RESERVATION_HOST: u8 = 254;
/// Number of blocks that are tried before the reservation fails.
const MAX_BLOCK_ATTEMPTS: u32 = 2_000;
/// Linux counts CPU time in hundredths of a second.
const MS_PER_CLOCK_TICK: u64 = 10;

/// A block of loopback addresses, `127.high.low.*`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddressBlock {
    /// The second byte of its addresses.
    pub high: u8,
    /// The third byte of its addresses.
    pub low: u8,
}

impl AddressBlock {
    /// Returns the address of the block with this last byte.
    pub fn address(self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.high, self.low, host))
    }
}

/// The reservation of a block, which no other run on this machine uses until the reservation is dropped.
pub struct BlockReservation {
    block: AddressBlock,
    _listener: TcpListener,
}

impl BlockReservation {
    /// Reserves a block.
    ///
    /// # Errors
    ///
    /// `AddrInUse` if all blocks that were tried are in use.
    pub fn reserve() -> io::Result<BlockReservation> {
        let process = std::process::id();
        for attempt in 0..MAX_BLOCK_ATTEMPTS {
            let block = AddressBlock {
                high: 64 + (process.wrapping_add(attempt) % 128) as u8,
                low: ((process / 128).wrapping_add(attempt) % 250) as u8,
            };
            if let Ok(listener) =
                TcpListener::bind((block.address(RESERVATION_HOST), RESERVATION_PORT))
            {
                return Ok(BlockReservation {
                    block,
                    _listener: listener,
                });
            }
        }
        Err(io::Error::new(
            io::ErrorKind::AddrInUse,
            "no block of loopback addresses is free",
        ))
    }

    /// Returns the reserved block.
    pub fn block(&self) -> AddressBlock {
        self.block
    }
}

/// The state of a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// Not started yet, or exited.
    Stopped,
    /// Running.
    Running,
    /// Stopped by SIGSTOP.
    Frozen,
    /// Asked to terminate by SIGTERM.
    Terminating,
}

/// The identity of a node, and the program that it runs.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// Name of the node.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// The program, with the arguments before `serve`.
    pub program: Vec<String>,
    /// IP address of the node.
    pub ip: IpAddr,
    /// The folder of its configuration, log and temporary files.
    pub folder: PathBuf,
}

/// A node and its process, which is killed on drop.
pub struct NodeProcess {
    identity: NodeIdentity,
    state: ProcessState,
    child: Option<Child>,
    start_count: u32,
    is_accepting_clients: bool,
    is_foreign: bool,
    status: Option<Value>,
}

impl NodeProcess {
    /// Creates a node whose process is not started yet.
    pub fn new(identity: NodeIdentity) -> NodeProcess {
        NodeProcess {
            identity,
            state: ProcessState::Stopped,
            child: None,
            start_count: 0,
            is_accepting_clients: false,
            is_foreign: false,
            status: None,
        }
    }

    /// Returns the node's name.
    pub fn name(&self) -> &str {
        &self.identity.name
    }

    /// Returns the node's zone.
    pub fn zone(&self) -> &str {
        &self.identity.zone
    }

    /// Returns the state of the process.
    pub fn state(&self) -> ProcessState {
        self.state
    }

    /// Returns true if the process is running.
    pub fn is_running(&self) -> bool {
        self.state == ProcessState::Running
    }

    /// Returns how many times the process was started.
    pub fn start_count(&self) -> u32 {
        self.start_count
    }

    /// Returns true if the node answered the last PING with PONG.
    pub fn is_accepting_clients(&self) -> bool {
        self.is_accepting_clients
    }

    /// Records whether the node answered a PING with PONG.
    pub(crate) fn set_accepting_clients(&mut self, is_accepting: bool) {
        self.is_accepting_clients = is_accepting;
    }

    /// Returns true if the node currently belongs to another cluster.
    pub fn is_foreign(&self) -> bool {
        self.is_foreign
    }

    /// Sets whether the node belongs to another cluster from its next start on.
    pub(crate) fn set_foreign(&mut self, is_foreign: bool) {
        self.is_foreign = is_foreign;
    }

    /// Returns the node's last answer to `fleet status`.
    pub fn status(&self) -> Option<&Value> {
        self.status.as_ref()
    }

    /// Records an answer to `fleet status`.
    pub(crate) fn set_status(&mut self, status: Value) {
        self.status = Some(status);
    }

    /// Returns the folder that persists across restarts of the process.
    pub fn persistent_folder(&self) -> PathBuf {
        self.identity.folder.join("kept")
    }

    /// Returns the address for clients.
    pub fn client_address(&self) -> SocketAddr {
        SocketAddr::new(self.identity.ip, CLIENT_PORT)
    }

    /// Returns the address for admin commands.
    pub fn admin_address(&self) -> SocketAddr {
        SocketAddr::new(self.identity.ip, ADMIN_PORT)
    }

    /// Returns the address for other nodes.
    pub fn cluster_address(&self) -> SocketAddr {
        SocketAddr::new(self.identity.ip, CLUSTER_PORT)
    }

    /// Returns the path of the node's log.
    pub fn log_path(&self) -> PathBuf {
        self.identity.folder.join("log")
    }

    /// Writes the node's configuration, and the operator's file if there is one.
    ///
    /// # Errors
    ///
    /// Any error of the file system.
    pub fn write_config(&self, config: &Value, operator_file: Option<&str>) -> io::Result<()> {
        let folder = &self.identity.folder;
        fs::create_dir_all(folder)?;
        fs::write(folder.join("config.json"), config.to_string())?;
        match operator_file {
            Some(text) => fs::write(folder.join("operator.toml"), text),
            None => Ok(()),
        }
    }

    /// Starts a process with a new and empty folder for temporary files.
    ///
    /// # Errors
    ///
    /// Any error of the file system, or of starting the process.
    pub fn start(&mut self, is_verbose: bool) -> io::Result<()> {
        let temporary = self
            .identity
            .folder
            .join(format!("tmp-{}", self.start_count));
        self.start_count += 1;
        fs::create_dir_all(&temporary)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path())?;
        let mut command = self.command(is_verbose)?;
        command
            .env_clear()
            .env("TMPDIR", temporary)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        self.child = Some(command.spawn()?);
        self.state = ProcessState::Running;
        Ok(())
    }

    fn command(&self, is_verbose: bool) -> io::Result<Command> {
        let Some((program, arguments)) = self.identity.program.split_first() else {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "no node program given",
            ));
        };
        let folder = &self.identity.folder;
        let mut command = Command::new(program);
        command
            .args(arguments)
            .args(["serve", "--config"])
            .arg(folder.join("config.json"));
        let operator_file = folder.join("operator.toml");
        if operator_file.exists() {
            command.arg("--operator").arg(operator_file);
        }
        if is_verbose {
            command.arg("--verbose");
        }
        Ok(command)
    }

    /// Stops the process with SIGSTOP.
    pub fn freeze(&mut self) {
        self.signal(Signal::STOP);
        self.state = ProcessState::Frozen;
    }

    /// Resumes a frozen process with SIGCONT.
    pub fn resume(&mut self) {
        self.signal(Signal::CONT);
        self.state = ProcessState::Running;
    }

    /// Asks the process to terminate with SIGTERM.
    pub fn terminate(&mut self) {
        self.signal(Signal::TERM);
        self.state = ProcessState::Terminating;
    }

    fn signal(&mut self, signal: Signal) {
        let child = self.child.as_ref();
        if let Some(pid) = child.and_then(|child| Pid::from_raw(child.id() as i32)) {
            // If the process has exited in the meantime, `poll_exit` detects it.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.on_stopped();
    }

    fn on_stopped(&mut self) {
        self.state = ProcessState::Stopped;
        self.is_accepting_clients = false;
        self.status = None;
    }

    /// Returns the exit status of the process if it has exited since the last call.
    pub fn poll_exit(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        self.on_stopped();
        Some(status.to_string())
    }

    /// Returns the CPU time of the process so far, user and system, in milliseconds.
    pub fn cpu_ms(&self) -> Option<u64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.as_ref()?.id())).ok()?;
        // The name in parentheses may contain any character; the 12th and 13th fields after it are the CPU times.
        let fields = stat.rsplit_once(')')?.1.split_whitespace();
        let ticks: Vec<u64> = fields
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse().ok())
            .collect();
        (ticks.len() == 2).then(|| ticks.iter().sum::<u64>() * MS_PER_CLOCK_TICK)
    }

    /// Returns the resident memory of the node's process in kB.
    pub fn resident_kb(&self) -> Option<u64> {
        resident_kb(self.child.as_ref()?.id())
    }
}

/// Returns the resident memory of a process in kB.
pub fn resident_kb(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
