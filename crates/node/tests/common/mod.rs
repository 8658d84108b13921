//! A node with toy transcribers and a toy discovery around it, all on ephemeral loopback ports.
#![allow(dead_code)]

use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus};
use std::time::{Duration, Instant};

/// Longer than anything that is waited for takes.
pub const GENEROUS: Duration = Duration::from_secs(20);

/// Asks again and again until there is an answer.
pub fn within<T>(what: &str, mut ask: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + GENEROUS;
    loop {
        if let Some(answer) = ask() {
            return answer;
        }
        assert!(Instant::now() < end, "{what}: not in {GENEROUS:?}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn listen() -> TcpListener {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.set_nonblocking(true).unwrap();
    listener
}

/// An address where the node can listen, and what keeps others in this process from getting it: a socket that is bound and
/// does not listen.
fn free() -> (socket2::Socket, SocketAddr) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket
        .bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())
        .unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}

/// One end of a connection, read by lines.
pub struct Line {
    pub stream: TcpStream,
    bytes: Vec<u8>,
}

impl Line {
    pub fn new(stream: TcpStream) -> Line {
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(GENEROUS)).unwrap();
        Line {
            stream,
            bytes: Vec::new(),
        }
    }

    pub fn say(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// The next line without its end; what is left at the end of the connection; `RST` if it was reset.
    pub fn hear(&mut self) -> String {
        let mut byte = [0];
        loop {
            match self.stream.read(&mut byte) {
                Ok(0) => {
                    return std::mem::take(&mut self.bytes)
                        .iter()
                        .map(|byte| *byte as char)
                        .collect()
                }
                Ok(_) => self.bytes.push(byte[0]),
                Err(error) if error.kind() == ErrorKind::ConnectionReset => return "RST".into(),
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => panic!("nothing to hear: {error}"),
            }
            if self.bytes.ends_with(b"\r\n") {
                let line = String::from_utf8(std::mem::take(&mut self.bytes)).unwrap();
                return line.trim_end().to_string();
            }
        }
    }

    /// Whether nothing has come.
    pub fn quiet(&mut self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let read = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).unwrap();
        matches!(read, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }
}

/// A line goes to the transcriber and one comes back.
pub fn pass(client: &mut Line, peer: &mut Line) {
    client.say("hello\r\n");
    assert_eq!(peer.hear(), "hello");
    peer.say("hello\r\n");
    assert_eq!(client.hear(), "hello");
}

/// A transcriber whose queue is full: see `Rig::clog`.
pub struct Clog {
    listener: TcpListener,
    fillers: Vec<socket2::Socket>,
}

impl Clog {
    /// Fills the queue of this listener.
    pub fn of(listener: &TcpListener) -> Clog {
        let listener = listener.try_clone().unwrap();
        SockRef::from(&listener).listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        let mut fillers = Vec::new();
        loop {
            let filler =
                socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            let up = filler
                .connect_timeout(&address.into(), Duration::from_millis(100))
                .is_ok();
            fillers.push(filler);
            if !up {
                break;
            }
        }
        Clog { listener, fillers }
    }

    /// Lets connections come up again; gives the next one that is not of those that filled the queue.
    pub fn open(self) -> Line {
        SockRef::from(&self.listener).listen(128).unwrap();
        let ours: Vec<_> = self
            .fillers
            .iter()
            .filter_map(|filler| filler.local_addr().ok()?.as_socket())
            .collect();
        drop(self.fillers);
        within("a connection that was late", || {
            let (stream, from) = self.listener.accept().ok()?;
            (!ours.contains(&from)).then(|| Line::new(stream))
        })
    }
}

/// Which build of the program a process runs.
#[derive(Clone, Copy, Debug)]
pub enum Build {
    /// The one that is tested.
    This,
    /// The program that the environment variable `LUPINCRANK_OTHER_BUILD` names; the one that is tested where it names
    /// none.
    Other,
}

impl Build {
    fn program(self) -> std::ffi::OsString {
        let this = env!("CARGO_BIN_EXE_lupincrank");
        match self {
            Build::This => this.into(),
            Build::Other => std::env::var_os("LUPINCRANK_OTHER_BUILD").unwrap_or(this.into()),
        }
    }
}

/// The node and what is around it.
pub struct Rig {
    pub peers: Vec<Option<TcpListener>>,
    pub discovery: TcpListener,
    pub watch: Option<Line>,
    node: Child,
    /// The clients' listening socket and the folder of both processes, where the rig holds them; and the older process.
    holder: Option<(TcpListener, std::path::PathBuf)>,
    pub older: Option<Child>,
    listen: SocketAddr,
    management: SocketAddr,
    kept: Vec<socket2::Socket>,
    hosts: Vec<SocketAddr>,
    pub config: serde_json::Value,
    file: std::path::PathBuf,
    next: u64,
}

impl Drop for Rig {
    fn drop(&mut self) {
        for node in self.older.iter_mut().chain([&mut self.node]) {
            let _ = node.kill();
            let _ = node.wait();
        }
        if let Some((_, folder)) = &self.holder {
            let _ = std::fs::remove_dir_all(folder);
        }
        if std::thread::panicking() {
            let log = std::fs::read_to_string(self.file.with_extension("log"));
            eprintln!("the node's log:\n{}", log.unwrap_or_default());
        }
        let _ = std::fs::remove_file(&self.file);
        let _ = std::fs::remove_file(self.file.with_extension("log"));
    }
}

impl Rig {
    /// A node that knows `peers` transcribers, ready to serve.
    pub fn start(peers: usize) -> Rig {
        Rig::with_sockets(peers, 1024)
    }

    /// The same with so many descriptors.
    pub fn with_sockets(peers: usize, sockets: usize) -> Rig {
        let mut rig = Rig::launch(peers, sockets);
        rig.watched();
        if peers > 0 {
            within("PONG", || (rig.ask("PING\r\n") == "PONG").then_some(()));
        }
        rig
    }

    /// A node that inherits its listener and may be started a second time.
    pub fn inherits(peers: usize) -> Rig {
        Rig::inherits_with_build(Build::This, peers)
    }

    /// The same with a node of this build.
    pub fn inherits_with_build(build: Build, peers: usize) -> Rig {
        let listener = listen();
        let port = listener.local_addr().unwrap().port();
        let folder = std::env::temp_dir().join(format!("lupincrank-{}-{port}", std::process::id()));
        std::fs::create_dir(&folder).unwrap();
        let holder = Some((listener, folder));
        let mut rig = Rig::begin_with(build, peers, 1024, holder, |_| {});
        rig.watched();
        rig.ready();
        rig
    }

    /// The folder of both processes.
    pub fn folder(&self) -> &std::path::Path {
        &self.holder.as_ref().unwrap().1
    }

    /// Waits until the newest process says that it can serve.
    pub fn ready(&self) {
        within("done", || {
            (self.manage("check\r\n") == "done").then_some(())
        });
    }

    /// Starts the node a second time, beside itself, with another management address.
    pub fn second(&mut self) {
        self.second_with_build(Build::This);
    }

    /// The same with a process of this build.
    pub fn second_with_build(&mut self, build: Build) {
        let (kept, management) = free();
        self.kept.push(kept);
        self.management = management;
        self.config["management"] = self.management.to_string().into();
        std::fs::write(&self.file, self.config.to_string()).unwrap();
        let fresh = spawn(build, &self.file, self.holder.as_ref());
        if let Some(mut older) = self.older.replace(std::mem::replace(&mut self.node, fresh)) {
            let _ = older.wait();
        }
    }

    /// Starts it a second time and ends the first one.
    pub fn upgrade(&mut self) {
        self.second();
        self.watched();
        self.ready();
        self.end_older();
    }

    /// Sends the older process SIGTERM and waits for its end.
    pub fn end_older(&mut self) {
        kill(self.oldest(), "-TERM");
        self.ended();
    }

    /// The older process, or the only one.
    pub fn oldest(&mut self) -> &mut Child {
        self.older.as_mut().unwrap_or(&mut self.node)
    }

    /// Waits for its orderly end.
    pub fn ended(&mut self) {
        let oldest = self.oldest();
        assert!(within("the older process ends", || oldest.try_wait().unwrap()).success());
    }

    /// Descriptors that the node holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.node.id()))
            .unwrap()
            .count()
    }

    /// Calls a transcriber back and waits until it is used again: not at once, for it counts as cold.
    pub fn called_back(&mut self, at: usize) {
        assert_eq!(self.manage(&format!("set-up s-{at}\r\n")), "done");
        let mut held = Vec::new();
        within("it is used again", || {
            let (mut client, _) = self.open(&format!("d=1500,g={}", held.len()));
            let tried = within("a try or an answer", || {
                let tried = self
                    .peers
                    .iter()
                    .position(|peer| peer.as_ref().is_some_and(|peer| peer.accept().is_ok()));
                tried
                    .map(Some)
                    .or_else(|| (!client.quiet()).then_some(None))
            });
            held.push(client);
            (tried == Some(at)).then_some(())
        });
    }

    pub fn launch(peers: usize, sockets: usize) -> Rig {
        Rig::begin(peers, sockets, None)
    }

    /// One of so many nodes, with its watch open.
    pub fn one_of(nodes: u32, peers: usize) -> Rig {
        let mut rig = Rig::begin_with(Build::This, peers, 1024, None, |config| {
            config["settings"]["Instances"] = nodes.into();
        });
        rig.watched();
        within("PONG", || (rig.ask("PING\r\n") == "PONG").then_some(()));
        rig
    }

    /// A node that begins with this configuration.
    pub fn launch_with(
        peers: usize,
        sockets: usize,
        change: impl FnOnce(&mut serde_json::Value),
    ) -> Rig {
        Rig::begin_with(Build::This, peers, sockets, None, change)
    }

    /// Discovery ends: its watch breaks, and calls are refused. Its address is kept from others in what this gives.
    pub fn discovery_ends(&mut self) -> socket2::Socket {
        let at = self.discovery.local_addr().unwrap();
        self.watch = None;
        self.discovery = listen();
        within("its address is free", || {
            let socket =
                socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).ok()?;
            socket.set_reuse_address(true).ok()?;
            socket.bind(&at.into()).ok().map(|()| socket)
        })
    }

    /// It listens again where it did.
    pub fn discovery_returns(&mut self, kept: socket2::Socket) {
        kept.listen(128).unwrap();
        kept.set_nonblocking(true).unwrap();
        self.discovery = kept.into();
    }

    /// Where clients connect.
    pub fn client_address(&self) -> SocketAddr {
        self.listen
    }

    fn begin(
        peers: usize,
        sockets: usize,
        holder: Option<(TcpListener, std::path::PathBuf)>,
    ) -> Rig {
        Rig::begin_with(Build::This, peers, sockets, holder, |_| {})
    }

    fn begin_with(
        build: Build,
        peers: usize,
        sockets: usize,
        holder: Option<(TcpListener, std::path::PathBuf)>,
        change: impl FnOnce(&mut serde_json::Value),
    ) -> Rig {
        let peers: Vec<_> = (0..peers).map(|_| Some(listen())).collect();
        let hosts: Vec<_> = peers
            .iter()
            .flatten()
            .map(|peer| peer.local_addr().unwrap())
            .collect();
        let discovery = listen();
        let ((first, address), (second, management)) = (free(), free());
        let free = holder
            .as_ref()
            .map_or(address, |(listener, _)| listener.local_addr().unwrap());
        let example = include_str!("../../../../examples/config.json");
        let mut config: serde_json::Value = serde_json::from_str(example).unwrap();
        config["management"] = management.to_string().into();
        config["listen"] = free.to_string().into();
        config["discovery"] = discovery.local_addr().unwrap().to_string().into();
        config["limits"]["sockets"] = sockets.into();
        config["known"] = serde_json::from_str(&group(&hosts, "SERVING", 1, true)).unwrap();
        change(&mut config);
        let file = std::env::temp_dir().join(format!(
            "lupincrank-{}-{}.json",
            std::process::id(),
            free.port()
        ));
        std::fs::write(&file, config.to_string()).unwrap();
        std::fs::File::create(file.with_extension("log")).unwrap();
        let node = spawn(build, &file, holder.as_ref());
        Rig {
            peers,
            discovery,
            watch: None,
            node,
            holder,
            older: None,
            listen: free,
            management,
            kept: vec![first, second],
            hosts,
            config,
            file,
            next: 0,
        }
    }

    pub fn client(&self) -> Line {
        Line::new(within("the node listens", || {
            TcpStream::connect(self.listen).ok()
        }))
    }

    /// What one line on a connection of its own is answered.
    pub fn ask(&self, text: &str) -> String {
        let mut client = self.client();
        client.say(text);
        client.hear()
    }

    /// A caller at the second address of the newest process.
    pub fn caller(&self) -> Line {
        Line::new(within("the node takes calls", || {
            TcpStream::connect(self.management).ok()
        }))
    }

    /// That address.
    pub fn caller_address(&self) -> SocketAddr {
        self.management
    }

    /// What a call of the staff is answered.
    pub fn manage(&self, call: &str) -> String {
        self.manage_at(self.management, call)
    }

    /// The same at the second address of either process.
    pub fn manage_at(&self, address: SocketAddr, call: &str) -> String {
        let mut caller = Line::new(within("the node takes calls", || {
            TcpStream::connect(address).ok()
        }));
        caller.say(call);
        caller.hear()
    }

    /// A client whose `OPEN` line has these further fields, with that line.
    pub fn open(&mut self, fields: &str) -> (Line, String) {
        self.next += 1;
        let line = format!("OPEN {:016x} 7f3a9c21e0b4d655 c=chat,{fields}", self.next);
        let mut client = self.client();
        client.say(&format!("{line}\r\n"));
        (client, line)
    }

    /// The next connection at any transcriber that still listens: which one, and the connection.
    pub fn tried(&self) -> (usize, Line) {
        within("a try", || {
            let mut taken = self.peers.iter().enumerate().filter_map(|(n, peer)| {
                peer.as_ref()?
                    .accept()
                    .ok()
                    .map(|(stream, _)| (n, Line::new(stream)))
            });
            taken.next()
        })
    }

    pub fn untried(&self) -> bool {
        self.peers
            .iter()
            .flatten()
            .all(|peer| peer.accept().is_err())
    }

    /// A client whose connection is up: it, its transcriber's number, and the transcriber's end.
    pub fn up(&mut self) -> (Line, usize, Line) {
        self.up_in("5c0f6e1a")
    }

    /// The same for a client of this group.
    pub fn up_in(&mut self, group: &str) -> (Line, usize, Line) {
        let (mut client, _) = self.open(&format!("d=1500,g={group}"));
        let (at, mut peer) = self.tried();
        peer.hear();
        peer.say("UP r1\r\n");
        assert_eq!(client.hear(), "UP r1");
        (client, at, peer)
    }

    /// Takes the node's call to discovery; gives the request line.
    pub fn called(&mut self) -> (Line, String) {
        let mut call = within("a call", || {
            self.discovery
                .accept()
                .ok()
                .map(|(stream, _)| Line::new(stream))
        });
        let request = call.hear();
        while !call.hear().is_empty() {}
        (call, request)
    }

    /// The watch falls silent; takes the node's next call.
    pub fn called_after_silence(&mut self) -> (Line, String) {
        self.write_watch(b"\n", 1);
        self.called()
    }

    /// Opens the watch that the node asks for.
    pub fn watched(&mut self) {
        let (mut call, _) = self.called();
        call.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
        self.watch = Some(call);
    }

    /// Tells the state of one transcriber.
    pub fn tell(&mut self, peer: usize, health: &str, seq: u64) {
        let line = group(&self.hosts[peer..=peer], health, seq, false)
            .replace("s-0", &format!("s-{peer}"))
            + "\n";
        self.watch
            .as_mut()
            .unwrap()
            .say(&format!("{:x}\r\n{line}\r\n", line.len()));
    }

    /// A list with the first transcribers in these states.
    pub fn list(&self, health: &[&str], seq: u64, whole: bool) -> serde_json::Value {
        let entry = |(n, health): (usize, &&str)| {
            serde_json::json!({"host": format!("s-{n}"), "dial": self.hosts[n].to_string(), "site": "a", "class": "m",
                "block": 0, "health": health, "share": 1.0, "born_ms": 0})
        };
        let entries: Vec<_> = health.iter().enumerate().map(entry).collect();
        serde_json::json!({"seq": seq, "whole": whole, "hosts": entries})
    }

    /// Writes these bytes on the watch, in chunks of this size, each on its way before the next.
    pub fn write_watch(&mut self, bytes: &[u8], piece: usize) {
        let watch = self.watch.as_mut().unwrap();
        for part in bytes.chunks(piece) {
            watch
                .stream
                .write_all(format!("{:x}\r\n", part.len()).as_bytes())
                .unwrap();
            watch.stream.write_all(part).unwrap();
            watch.stream.write_all(b"\r\n").unwrap();
        }
    }

    pub fn signal(&self, name: &str) {
        kill(&self.node, name);
    }

    /// Replaces the configuration with this text and tells the node.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
        self.signal("-HUP");
    }

    /// Waits for a log line that holds this.
    pub fn logged(&self, text: &str) {
        self.logged_times(text, 1);
    }

    /// What both processes have logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.file.with_extension("log")).unwrap()
    }

    /// Waits until that many lines hold it, of either process.
    pub fn logged_times(&self, text: &str, times: usize) {
        let log = self.file.with_extension("log");
        within(text, || {
            let lines = std::fs::read_to_string(&log).unwrap();
            (lines.matches(text).count() >= times).then_some(())
        });
    }

    /// Lets discovery listen elsewhere and tells the node where.
    pub fn move_discovery(&mut self) {
        self.discovery = listen();
        self.config["discovery"] = self.discovery.local_addr().unwrap().to_string().into();
        self.reload(&self.config.to_string());
    }

    pub fn exit(&mut self) -> ExitStatus {
        within("the node ends", || self.node.try_wait().unwrap())
    }

    /// No connection to this transcriber comes up until the guard is dropped: its queue is full. The kernel tries those that
    /// wait for it again after a second.
    pub fn clog(&self, peer: usize) -> Clog {
        Clog::of(self.peers[peer].as_ref().unwrap())
    }

    /// Stops the node where it is; what comes meanwhile waits for it, and all of it lies in one turn once it goes on.
    pub fn freeze(&self) {
        self.signal("-STOP");
        let path = format!("/proc/{}/stat", self.node.id());
        within("it stands still", || {
            let stat = std::fs::read_to_string(&path).unwrap();
            stat.rsplit_once(") ")
                .unwrap()
                .1
                .starts_with('T')
                .then_some(())
        });
    }

    /// Waits until the end of this client's connection has arrived at the node, which may stand still: on a machine that has
    /// much to do the kernel takes its time to deliver it.
    pub fn left(&self, client: SocketAddr) {
        let hex = |at: SocketAddr| format!(":{:04X} ", at.port());
        within("the end arrives", || {
            let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
            let mut rows = table.lines().filter_map(|row| {
                let fields: Vec<&str> = row.split_whitespace().collect();
                Some((
                    format!("{} ", fields.get(1)?),
                    format!("{} ", fields.get(2)?),
                    fields.get(3)?.to_string(),
                ))
            });
            let ours = |local: &str, remote: &str| {
                local.ends_with(&hex(self.listen)) && remote.ends_with(&hex(client))
            };
            // 01 is an established one.
            rows.all(|(local, remote, state)| !ours(&local, &remote) || state != "01")
                .then_some(())
        });
    }

    /// Lets it go on.
    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    /// Changes the settings of the node while it serves.
    pub fn set(&mut self, change: impl FnOnce(&mut serde_json::Value)) {
        change(&mut self.config["settings"]);
        self.reload(&self.config.to_string());
        self.logged("configuration read again");
    }

    pub fn running(&mut self) -> bool {
        self.node.try_wait().unwrap().is_none()
    }
}

/// Ends a connection with a reset.
pub fn reset(line: Line) {
    SockRef::from(&line.stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
}

pub fn kill(process: &Child, signal: &str) {
    let kill = Command::new("kill")
        .args([signal, &process.id().to_string()])
        .status();
    assert!(kill.unwrap().success());
}

/// Starts the node; where the listener is held, as descriptor 7.
fn spawn(
    build: Build,
    file: &std::path::Path,
    holder: Option<&(TcpListener, std::path::PathBuf)>,
) -> Child {
    let log = std::fs::File::options()
        .append(true)
        .open(file.with_extension("log"))
        .unwrap();
    let mut command = Command::new("/bin/sh");
    let take = "[ -z \"$RELAY_INHERITED_FD\" ] || exec 7<&0 0</dev/null; exec \"$@\"";
    command
        .args(["-c", take, "sh"])
        .arg(build.program())
        .args(["serve", "--verbose", "--config"])
        .arg(file)
        .env_clear()
        .stderr(log)
        .stdin(std::process::Stdio::null());
    if let Some((listener, folder)) = holder {
        let listener = std::os::fd::OwnedFd::from(listener.try_clone().unwrap());
        command
            .env("RELAY_INHERITED_FD", "7")
            .env("TMPDIR", folder)
            .stdin(listener);
    }
    command.spawn().unwrap()
}

fn group(hosts: &[SocketAddr], health: &str, seq: u64, whole: bool) -> String {
    let entry = |(n, dial): (usize, &SocketAddr)| {
        format!(
            r#"{{"host":"s-{n}","dial":"{dial}","site":"a","class":"m","block":0,"health":"{health}","share":1.0,"born_ms":0}}"#
        )
    };
    let entries: Vec<String> = hosts.iter().enumerate().map(entry).collect();
    format!(
        r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#,
        entries.join(",")
    )
}
