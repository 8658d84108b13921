//! The nodes: real processes of the program, each with a configuration, a folder and a loopback address of its own.

use rustix::process::{kill_process, Pid, Signal};
use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Instant;

/// The ports of each node's own address.
const LISTEN: u16 = 8000;
const MANAGEMENT: u16 = 8001;
const FLEET: u16 = 7400;

/// How a node's process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Never started, or ended.
    Dead,
    /// Running.
    Runs,
    /// Stopped by a signal.
    Frozen,
    /// Told to end.
    Ends,
}

/// One node.
pub struct Node {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The program that it runs, with what goes before `serve`.
    pub program: Vec<String>,
    /// Its address.
    pub ip: IpAddr,
    /// How it is.
    pub state: State,
    /// It answered the front's last PING with PONG.
    pub in_front: bool,
    /// It is of another fleet for now.
    pub foreign: bool,
    /// What it last said of its fleet, and when.
    pub status: Option<(Instant, serde_json::Value)>,
    child: Option<Child>,
    folder: PathBuf,
    /// Started so often.
    pub lives: u32,
}

/// An address block that no other trial of this machine uses now.
pub fn block() -> io::Result<(u8, u8, TcpListener)> {
    let first = std::process::id();
    for n in 0..2_000u32 {
        let (high, low) = (
            64 + (first.wrapping_add(n) % 128) as u8,
            ((first / 128).wrapping_add(n) % 250) as u8,
        );
        // Held for as long as the trial runs: what marks the block as taken.
        if let Ok(held) = TcpListener::bind((Ipv4Addr::new(127, high, low, 254), 7399)) {
            return Ok((high, low, held));
        }
    }
    Err(io::Error::new(
        io::ErrorKind::AddrInUse,
        "no block of loopback addresses is free",
    ))
}

impl Node {
    /// Not started yet.
    pub fn new(
        name: String,
        zone: String,
        program: Vec<String>,
        ip: IpAddr,
        folder: PathBuf,
    ) -> Node {
        Node {
            name,
            zone,
            program,
            ip,
            state: State::Dead,
            in_front: false,
            foreign: false,
            status: None,
            child: None,
            folder,
            lives: 0,
        }
    }

    /// A folder that outlives its processes.
    pub fn keeps(&self) -> PathBuf {
        self.folder.join("kept")
    }

    /// Where clients connect.
    pub fn listen(&self) -> SocketAddr {
        SocketAddr::new(self.ip, LISTEN)
    }

    /// Where calls of the staff come in.
    pub fn management(&self) -> SocketAddr {
        SocketAddr::new(self.ip, MANAGEMENT)
    }

    /// Where other nodes reach it.
    pub fn fleet(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FLEET)
    }

    /// Where its log is.
    pub fn log(&self) -> PathBuf {
        self.folder.join("log")
    }

    /// Writes what it is told at its start.
    pub fn tell(&self, config: &serde_json::Value, operator: Option<&str>) -> io::Result<()> {
        fs::create_dir_all(&self.folder)?;
        fs::write(self.folder.join("config.json"), config.to_string())?;
        match operator {
            Some(text) => fs::write(self.folder.join("operator.toml"), text),
            None => Ok(()),
        }
    }

    /// Starts it, from nothing: its folder for temporary files is new and empty.
    pub fn start(&mut self, verbose: bool) -> io::Result<()> {
        let temporary = self.folder.join(format!("tmp-{}", self.lives));
        self.lives += 1;
        fs::create_dir_all(&temporary)?;
        let log = File::options().create(true).append(true).open(self.log())?;
        let Some((program, before)) = self.program.split_first() else {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "no program"));
        };
        let mut command = Command::new(program);
        command
            .args(before)
            .args(["serve", "--config"])
            .arg(self.folder.join("config.json"));
        let operator = self.folder.join("operator.toml");
        if operator.exists() {
            command.arg("--operator").arg(operator);
        }
        if verbose {
            command.arg("--verbose");
        }
        command
            .env_clear()
            .env("TMPDIR", temporary)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        self.child = Some(command.spawn()?);
        self.state = State::Runs;
        Ok(())
    }

    /// Sends its process a signal.
    pub fn signal(&mut self, signal: Signal) {
        if let Some(pid) = self
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id() as i32))
        {
            // One that has ended meanwhile is waited for by `ended`.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        (self.state, self.in_front, self.status) = (State::Dead, false, None);
    }

    /// Processor time of its process so far, in milliseconds: user and system, which Linux counts in hundredths of a second.
    pub fn cpu_ms(&self) -> Option<u64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.as_ref()?.id())).ok()?;
        // The name in brackets may hold anything; the 12th and 13th fields behind it are the times.
        let fields = stat.rsplit_once(')')?.1.split_whitespace();
        let times: Vec<u64> = fields
            .skip(11)
            .take(2)
            .filter_map(|time| time.parse().ok())
            .collect();
        (times.len() == 2).then(|| times.iter().sum::<u64>() * 10)
    }

    /// Memory of its process that is resident, in kB.
    pub fn rss_kb(&self) -> Option<u64> {
        rss_kb(self.child.as_ref()?.id())
    }

    /// Whether its process has ended, and with which code.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        (self.state, self.in_front, self.status) = (State::Dead, false, None);
        Some(status.to_string())
    }
}

/// Memory of a process that is resident, in kB.
pub fn rss_kb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
