//! Scripted nodes that break one rule each, so that a judge can be seen to name it. They speak as much of the protocol as that
//! needs: a client's first line goes on to a transcriber, and bytes go both ways.

use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::{Application, ComponentId, Connection, Context, Lifecycle, Reactor};
use lupincrank_reactor::{Interest, Readiness};
use lupincrank_test_servers::key;
use lupincrank_test_servers::lines::Lines;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// What it does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// It says BUSY after UP.
    AnswersTwice,
    /// It says nothing at all.
    Silent,
    /// It sends a request to two transcribers at once.
    TwoAtOnce,
    /// It sends to a transcriber that drains.
    PastGrace,
    /// It sends all to one that is cold.
    ColdCrowd,
    /// It cuts standing connections off.
    Cuts,
    /// It ends by itself.
    Crashes,
}

impl std::str::FromStr for Wrong {
    type Err = String;
    fn from_str(text: &str) -> Result<Wrong, String> {
        Ok(match text {
            "answers-twice" => Wrong::AnswersTwice,
            "silent" => Wrong::Silent,
            "two-at-once" => Wrong::TwoAtOnce,
            "past-grace" => Wrong::PastGrace,
            "cold-crowd" => Wrong::ColdCrowd,
            "cuts" => Wrong::Cuts,
            "crashes" => Wrong::Crashes,
            other => return Err(format!("no wrongdoer {other:?}")),
        })
    }
}

/// A standing connection is cut off, or the process ends, after this.
const SOON: Duration = Duration::from_millis(1500);

struct Script {
    wrong: Wrong,
    /// Name, address, whether it drains, and since when it runs, as last told.
    hosts: BTreeMap<String, (SocketAddr, bool, u64)>,
    turn: usize,
}

impl Application for Script {
    type DeadlineKind = u64;
    type Message = ();
    fn after_callback(
        _context: &mut Context<Script>,
        _objects: &mut dyn Iterator<Item = ComponentId>,
    ) {
    }
    fn on_deadline(_context: &mut Context<Script>, _kind: u64) {
        std::process::exit(3);
    }
    fn is_finished(&self) -> bool {
        false
    }
    fn on_undelivered(&mut self, _id: ComponentId, _message: ()) {}
}

impl Script {
    fn take(&mut self, list: &serde_json::Value) {
        for host in list["hosts"].as_array().into_iter().flatten() {
            let (Some(name), Some(dial)) = (host["host"].as_str(), host["dial"].as_str()) else {
                continue;
            };
            let Ok(dial) = dial.parse() else { continue };
            let drains = host["health"] == "DRAINING";
            if host["health"] == "DELETED" {
                self.hosts.remove(name);
            } else {
                self.hosts.insert(
                    name.into(),
                    (dial, drains, host["born_ms"].as_u64().unwrap_or(0)),
                );
            }
        }
    }

    /// Where the next request goes.
    fn choose(&mut self) -> Option<SocketAddr> {
        self.turn += 1;
        let all: Vec<&(SocketAddr, bool, u64)> = self.hosts.values().collect();
        let wanted = match self.wrong {
            Wrong::PastGrace => all.iter().find(|(_, drains, _)| *drains),
            Wrong::ColdCrowd => all.iter().find(|(_, _, born)| *born > 0),
            _ => None,
        };
        let ready: Vec<_> = all.iter().filter(|(_, drains, _)| !drains).collect();
        let other = || ready.get(self.turn % ready.len().max(1)).copied();
        wanted.or_else(other).map(|(at, ..)| *at)
    }
}

/// Serves with the configuration at this path until it is killed.
pub fn serve(wrong: Wrong, config: &str) -> Result<(), String> {
    let text = std::fs::read_to_string(config).map_err(|error| error.to_string())?;
    let config: serde_json::Value =
        serde_json::from_str(&text).map_err(|error| error.to_string())?;
    let address = |name: &str| {
        let told = config[name].as_str().unwrap_or_default();
        told.parse::<SocketAddr>()
            .map_err(|_| format!("{name}: {told:?}"))
    };
    let named = |error: io::Error| error.to_string();
    let mut script = Script {
        wrong,
        hosts: BTreeMap::new(),
        turn: 0,
    };
    script.take(&config["known"]);
    let mut reactor = Reactor::new(script, 2).map_err(named)?;
    let context = &mut reactor.context;
    let listener = poll::listen(address("listen")?).map_err(named)?;
    let listener =
        Registered::new(&context.poller, listener, key(1, 0), Interest::READ).map_err(named)?;
    context.register(1, Box::new(Door { listener }));
    let stream = poll::connect(&context.poller, address("discovery")?, key(2, 0)).map_err(named)?;
    context.register(
        2,
        Box::new(List {
            lines: Lines::new(stream),
            asked: false,
        }),
    );
    if wrong == Wrong::Crashes {
        context.deadlines.set(
            lupincrank_reactor::APPLICATION,
            0,
            Instant::now() + SOON * 2,
        );
    }
    reactor.run().map_err(named)
}

struct List {
    lines: Lines,
    asked: bool,
}

impl Connection<Script> for List {
    fn on_ready(
        &mut self,
        context: &mut Context<Script>,
        _socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        if !std::mem::replace(&mut self.asked, true) {
            let _ = self
                .lines
                .say("GET /v1/endpoints?watch=1&from=0 HTTP/1.1\r\nHost: x\r\n\r\n");
        }
        if readiness.readable && self.lines.read().is_err() {
            return Lifecycle::Close;
        }
        while let Some(line) = self.lines.line() {
            if let Ok(list) = serde_json::from_str::<serde_json::Value>(&line) {
                context.application.take(&list);
            }
        }
        Lifecycle::Continue
    }
    fn on_deadline(&mut self, _context: &mut Context<Script>, _kind: u64) -> Lifecycle {
        Lifecycle::Continue
    }
    fn on_message(&mut self, _context: &mut Context<Script>, _message: ()) -> Lifecycle {
        Lifecycle::Continue
    }
}

struct Door {
    listener: Registered<TcpListener>,
}

impl Connection<Script> for Door {
    fn on_ready(
        &mut self,
        context: &mut Context<Script>,
        _socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        while let Ok((stream, _)) = self.listener.accept() {
            let id = context.allocate_id();
            if stream.set_nonblocking(true).is_err() {
                continue;
            }
            if let Ok(client) = Registered::new(&context.poller, stream, key(id, 0), Interest::READ)
            {
                context.register(
                    id,
                    Box::new(Pair {
                        id,
                        client,
                        peers: Vec::new(),
                        line: Vec::new(),
                        up: false,
                    }),
                );
            }
        }
        Lifecycle::Continue
    }
    fn on_deadline(&mut self, _context: &mut Context<Script>, _kind: u64) -> Lifecycle {
        Lifecycle::Continue
    }
    fn on_message(&mut self, _context: &mut Context<Script>, _message: ()) -> Lifecycle {
        Lifecycle::Continue
    }
}

/// A client and what it was sent to; only the first one's bytes go back.
struct Pair {
    id: ComponentId,
    client: Registered<TcpStream>,
    peers: Vec<Registered<TcpStream>>,
    line: Vec<u8>,
    up: bool,
}

impl Pair {
    fn client(&mut self, context: &mut Context<Script>) -> Lifecycle {
        let mut bytes = [0; 4096];
        let read = match self.client.read(&mut bytes) {
            Ok(0) => return Lifecycle::Close,
            Ok(read) => read,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Lifecycle::Continue,
            Err(_) => return Lifecycle::Close,
        };
        if let Some(peer) = self.peers.first_mut() {
            let sent = if self.up {
                peer.write(&bytes[..read]).map(drop)
            } else {
                Ok(())
            };
            return if sent.is_ok() {
                Lifecycle::Continue
            } else {
                Lifecycle::Close
            };
        }
        self.line.extend_from_slice(&bytes[..read]);
        if !self.line.ends_with(b"\n") {
            return Lifecycle::Continue;
        }
        if self.line.starts_with(b"PING") {
            let _ = self.client.write(b"PONG\r\n");
            return Lifecycle::Close;
        }
        let wrong = context.application.wrong;
        if wrong == Wrong::Silent {
            return Lifecycle::Continue;
        }
        let copies = if wrong == Wrong::TwoAtOnce { 2 } else { 1 };
        for side in 0..copies {
            let Some(at) = context.application.choose() else {
                return Lifecycle::Close;
            };
            // The second one reports under the client's side: its bytes are never read.
            if let Ok(peer) = poll::connect(&context.poller, at, key(self.id, 1 - side)) {
                self.peers.push(peer);
            }
        }
        Lifecycle::Continue
    }

    fn peer(&mut self, context: &mut Context<Script>) -> Lifecycle {
        let Some(peer) = self.peers.first_mut() else {
            return Lifecycle::Continue;
        };
        let mut bytes = [0; 4096];
        match peer.read(&mut bytes) {
            Ok(read) if read > 0 => {
                let first = !std::mem::replace(&mut self.up, true);
                if self.client.write(&bytes[..read]).is_err() {
                    return Lifecycle::Close;
                }
                match context.application.wrong {
                    Wrong::AnswersTwice if first => drop(self.client.write(b"BUSY\r\n")),
                    Wrong::Cuts if first => {
                        context.deadlines.set(self.id, 0, Instant::now() + SOON);
                    }
                    _ => {}
                }
                Lifecycle::Continue
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Lifecycle::Continue,
            // What its transcriber does is no fault of this script's: the client has an answer.
            _ if !self.up => {
                let _ = self.client.write(b"ERR\r\n");
                Lifecycle::Close
            }
            _ => Lifecycle::Close,
        }
    }
}

impl Connection<Script> for Pair {
    fn on_ready(
        &mut self,
        context: &mut Context<Script>,
        socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        if readiness.writable {
            for peer in &mut self.peers {
                if peer.set_interest(Interest::READ).is_err() || peer.write(&self.line).is_err() {
                    let _ = self.client.write(b"ERR\r\n");
                    return Lifecycle::Close;
                }
            }
        }
        match (readiness.readable, socket) {
            (true, 0) => self.client(context),
            (true, _) => self.peer(context),
            _ => Lifecycle::Continue,
        }
    }
    fn on_deadline(&mut self, _context: &mut Context<Script>, _kind: u64) -> Lifecycle {
        Lifecycle::Close
    }
    fn on_message(&mut self, _context: &mut Context<Script>, _message: ()) -> Lifecycle {
        Lifecycle::Close
    }
}
