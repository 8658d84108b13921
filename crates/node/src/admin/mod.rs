//! The second address, for the staff: each connection carries one line, and one line comes back that begins with `done` or
//! `error`. It knows the syntax only; what a call does is the node's matter.

pub mod status_table;

use crate::cluster_agent;
use crate::command::{AdminConnectionCommand, Message};
use crate::component::{WellKnownComponent, FIRST_ADMIN_CONNECTION_ID};
use crate::deadline::DeadlineKind;
use crate::handoff;
use crate::state::{NodeContext, NodeState};
use crate::upstream::attempt::LONGEST_LINE;
use lupincrank_reactor::poll::{self, Registered};
use lupincrank_reactor::{poller_key, Interest, Readiness};
use lupincrank_reactor::{ComponentId, Connection, Lifecycle};
use slog::{info, warn};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A caller may say nothing, or half of its call, for this long; and has this long to end after its answer.
const PATIENCE: Duration = Duration::from_secs(5);
const LINGER: Duration = Duration::from_secs(1);
/// How long a call waits for its answer, which is due within 1 s.
const ASKED: Duration = Duration::from_secs(3);
/// How long the listener rests when no descriptor is left.
const REST: Duration = Duration::from_millis(50);
/// What is read of an answer: a line on each of a thousand nodes.
const LONGEST_ANSWER: u64 = 4 << 20;
/// New calls that one turn of the loop takes.
const ACCEPTS: usize = 8;
/// What is read of a caller after its call.
const MOST_DRAINED: usize = 4 * LONGEST_LINE;

/// A call.
#[derive(Debug, PartialEq, Eq)]
enum Call<'a> {
    Check,
    SetDown(&'a str),
    SetUp(&'a str),
    Fleet(&'a str),
    Budgets(&'a str, Option<&'a str>),
}

/// Reads one line without its end; an error says what is wrong with it.
fn call(line: &[u8]) -> Result<Call<'_>, String> {
    let text = std::str::from_utf8(line).map_err(|_| "the call is not UTF-8".to_string())?;
    let words: Vec<&str> = text.split(' ').filter(|word| !word.is_empty()).collect();
    match words.as_slice() {
        [] => Err("the call is empty".into()),
        ["check"] => Ok(Call::Check),
        ["set-down", server] => Ok(Call::SetDown(server)),
        ["set-up", server] => Ok(Call::SetUp(server)),
        ["fleet", what] => Ok(Call::Fleet(what)),
        ["budgets", what] => Ok(Call::Budgets(what, None)),
        ["budgets", what, whole] => Ok(Call::Budgets(what, Some(whole))),
        ["budgets"] => Err("budgets needs one of show, plan and set".into()),
        ["fleet"] => Err("fleet needs one of status, members, log and reseed".into()),
        ["set-down" | "set-up"] => Err(format!("{} needs the id of a transcriber", words[0])),
        ["check" | "set-down" | "set-up" | "fleet" | "budgets", ..] => {
            Err(format!("{} has too many arguments", words[0]))
        }
        [word, ..] => Err(format!(
            "no call {word:?}; there are check, set-down ID, set-up ID, fleet and budgets"
        )),
    }
}

/// Makes one call at another process and gives its answer, without the line's end.
pub fn ask(address: SocketAddr, call: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, ASKED)?;
    stream.set_read_timeout(Some(ASKED))?;
    stream.write_all(format!("{call}\r\n").as_bytes())?;
    let mut answer = String::new();
    // The end of the connection follows the line.
    stream.take(LONGEST_ANSWER).read_to_string(&mut answer)?;
    match answer.trim_end() {
        "" => Err(io::Error::new(
            io::ErrorKind::UnexpectedEof,
            "it ended without an answer",
        )),
        answer => Ok(answer.to_string()),
    }
}

/// The calls that are held, the oldest first.
type Held = Rc<RefCell<BTreeSet<ComponentId>>>;

/// Takes calls in.
pub struct Management {
    socket: Registered<TcpListener>,
    held: Held,
    next: ComponentId,
}

impl Management {
    /// Listens on this address.
    pub fn new(context: &NodeContext, address: SocketAddr) -> io::Result<Management> {
        let named = |error| io::Error::other(format!("management at {address}: {error}"));
        let socket = poll::listen(address).map_err(named)?;
        let socket = Registered::new(
            &context.poller,
            socket,
            poller_key(WellKnownComponent::AdminListener.id(), 0),
            Interest::READ,
        )?;
        info!(context.log, "taking calls"; "management" => %address);
        Ok(Management {
            socket,
            held: Held::default(),
            next: FIRST_ADMIN_CONNECTION_ID,
        })
    }

    fn take(&mut self, context: &mut NodeContext) -> io::Result<()> {
        for _ in 0..ACCEPTS {
            let stream = match self.socket.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => continue,
                Err(error) => return Err(error),
            };
            stream.set_nonblocking(true)?;
            self.next += 1;
            let id = self.next;
            let stream =
                Registered::new(&context.poller, stream, poller_key(id, 0), Interest::READ)?;
            self.held.borrow_mut().insert(id);
            let mut caller = Caller {
                id,
                held: Rc::clone(&self.held),
                stream,
                bytes: Vec::new(),
                answered: false,
            };
            // Guards against callers by the hundred that say nothing and keep out one that does.
            if self.held.borrow().len() > context.config.most_calls() {
                if let Some(oldest) = self.held.borrow_mut().pop_first() {
                    context.send(oldest, AdminConnectionCommand::Close);
                }
            }
            if caller.read(context) == Lifecycle::Continue {
                context.deadlines.set(
                    id,
                    DeadlineKind::AdminConnection,
                    Instant::now() + caller.patience(),
                );
                context.register(id, Box::new(caller));
            }
        }
        Ok(())
    }
}

impl Connection<NodeState> for Management {
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        _socket: usize,
        _readiness: Readiness,
    ) -> Lifecycle {
        if let Err(error) = self.take(context) {
            warn!(context.log, "cannot take calls for now"; "error" => %error);
            if self.socket.set_interest(Interest::NONE).is_ok() {
                context.deadlines.set(
                    WellKnownComponent::AdminListener.id(),
                    DeadlineKind::ResumeAccepting,
                    Instant::now() + REST,
                );
            }
        }
        Lifecycle::Continue
    }

    fn on_deadline(&mut self, context: &mut NodeContext, _kind: DeadlineKind) -> Lifecycle {
        if self.socket.set_interest(Interest::READ).is_err() {
            context.deadlines.set(
                WellKnownComponent::AdminListener.id(),
                DeadlineKind::ResumeAccepting,
                Instant::now() + REST,
            );
        }
        Lifecycle::Continue
    }

    fn on_message(&mut self, _node: &mut NodeContext, _message: Message) -> Lifecycle {
        Lifecycle::Continue
    }
}

/// One call.
struct Caller {
    id: ComponentId,
    held: Held,
    stream: Registered<TcpStream>,
    /// What has come of the call; once it is answered, what is not written of the answer.
    bytes: Vec<u8>,
    answered: bool,
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.held.borrow_mut().remove(&self.id);
    }
}

impl Caller {
    fn patience(&self) -> Duration {
        if self.answered {
            LINGER
        } else {
            PATIENCE
        }
    }

    fn read(&mut self, context: &mut NodeContext) -> Lifecycle {
        let (mut scratch, mut taken) = ([0; 4 << 10], 0);
        while taken < MOST_DRAINED {
            let read = match self.stream.read(&mut scratch) {
                Ok(0) if self.answered || self.bytes.is_empty() => return Lifecycle::Close,
                Ok(0) => return self.answer(context, Err("the call does not end".into())),
                Ok(read) => read,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Lifecycle::Continue
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return Lifecycle::Close,
            };
            taken += read;
            if self.answered {
                continue;
            }
            self.bytes.extend_from_slice(&scratch[..read]);
            let end = self.bytes.iter().position(|byte| *byte == b'\n');
            let flow = match end {
                Some(end) if end < LONGEST_LINE => {
                    let mut line = std::mem::take(&mut self.bytes);
                    line.truncate(end);
                    let outcome = carry_out(context, line.strip_suffix(b"\r").unwrap_or(&line));
                    self.answer(context, outcome)
                }
                _ if self.bytes.len() >= LONGEST_LINE => {
                    self.answer(context, Err("the call is longer than 4 KiB".into()))
                }
                _ => Lifecycle::Continue,
            };
            if flow == Lifecycle::Close {
                return Lifecycle::Close;
            }
        }
        Lifecycle::Close
    }

    fn answer(&mut self, context: &mut NodeContext, outcome: Result<String, String>) -> Lifecycle {
        self.answered = true;
        self.bytes = match outcome {
            Ok(told) if told.is_empty() => b"done\r\n".to_vec(),
            Ok(told) => format!("done {told}\r\n").into_bytes(),
            Err(why) => format!("error {why}\r\n").into_bytes(),
        };
        context.deadlines.set(
            self.id,
            DeadlineKind::AdminConnection,
            Instant::now() + LINGER,
        );
        self.flush()
    }

    /// Writes what is left of the answer and ends the sending; the caller's end is awaited, for closing at once could
    /// destroy an answer that it has not read yet.
    fn flush(&mut self) -> Lifecycle {
        while !self.bytes.is_empty() {
            match self.stream.write(&self.bytes) {
                Ok(sent) => drop(self.bytes.drain(..sent)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return if self.stream.set_interest(Interest::READ_WRITE).is_ok() {
                        Lifecycle::Continue
                    } else {
                        Lifecycle::Close
                    };
                }
                Err(_) => return Lifecycle::Close,
            }
        }
        if self.stream.shutdown(Shutdown::Write).is_err()
            || self.stream.set_interest(Interest::READ).is_err()
        {
            return Lifecycle::Close;
        }
        Lifecycle::Continue
    }
}

/// Does what a call asks for.
fn carry_out(context: &mut NodeContext, line: &[u8]) -> Result<String, String> {
    let outcome = match call(line)? {
        Call::Check => {
            // Whoever hears yes may end the other process at once, which has to know of this one by then.
            handoff::open(context);
            return context
                .check_serving()
                .map(|()| String::new())
                .map_err(|error| error.to_string());
        }
        Call::SetDown(server) => context.by_hand(server, true).map(|()| String::new()),
        Call::SetUp(server) => context.by_hand(server, false).map(|()| String::new()),
        Call::Fleet(what) => {
            let told =
                cluster_agent::run_fleet_command(context, what).map_err(|error| error.to_string());
            if what != "reseed" {
                // Asked often, and nothing changes by it.
                return told;
            }
            told
        }
        Call::Budgets(what, whole) => {
            let told = cluster_agent::run_budget_command(context, what, whole)
                .map_err(|error| error.to_string());
            if what != "set" {
                return told;
            }
            told
        }
    };
    let told = String::from_utf8_lossy(line).into_owned();
    info!(context.log, "call"; "line" => told, "error" => outcome.as_ref().err().cloned());
    outcome
}

impl Connection<NodeState> for Caller {
    fn on_ready(
        &mut self,
        context: &mut NodeContext,
        _socket: usize,
        readiness: Readiness,
    ) -> Lifecycle {
        if readiness.writable && self.answered && self.flush() == Lifecycle::Close {
            return Lifecycle::Close;
        }
        if readiness.readable {
            self.read(context)
        } else {
            Lifecycle::Continue
        }
    }

    fn on_deadline(&mut self, context: &mut NodeContext, _kind: DeadlineKind) -> Lifecycle {
        if self.answered {
            Lifecycle::Close
        } else {
            self.answer(context, Err("no whole call came in time".into()))
        }
    }

    fn on_message(&mut self, _node: &mut NodeContext, message: Message) -> Lifecycle {
        match message {
            Message::AdminConnection(AdminConnectionCommand::Close) => Lifecycle::Close,
            _ => Lifecycle::Continue,
        }
    }
}

#[cfg(test)]
mod tests;
