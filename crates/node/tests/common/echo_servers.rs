//! Servers that accept each request and echo each line at once.

use super::line_stream::LineStream;
use super::rig::Rig;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Pause after an accept that found no connection.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// A first line and the server that received it.
#[derive(Clone)]
struct FirstLine {
    server: usize,
    text: String,
}

/// The first lines received, in order of arrival.
type FirstLines = Arc<Mutex<Vec<FirstLine>>>;

/// Threads that act as the servers of a rig until this value is dropped.
pub struct EchoServers {
    first_lines: FirstLines,
    is_stopped: Arc<AtomicBool>,
    acceptors: Vec<JoinHandle<()>>,
}

impl EchoServers {
    /// Starts threads for all servers of the rig.
    pub fn start(rig: &Rig) -> EchoServers {
        let first_lines = FirstLines::default();
        let is_stopped = Arc::new(AtomicBool::new(false));
        let acceptors = rig
            .servers
            .iter()
            .enumerate()
            .filter_map(|(server, listener)| {
                let listener = listener.as_ref()?.try_clone().unwrap();
                let first_lines = first_lines.clone();
                let is_stopped = is_stopped.clone();
                Some(std::thread::spawn(move || {
                    accept_until(server, &listener, &first_lines, &is_stopped);
                }))
            })
            .collect();
        EchoServers {
            first_lines,
            is_stopped,
            acceptors,
        }
    }

    /// The first lines received so far.
    pub fn first_lines(&self) -> Vec<String> {
        let lines = self.first_lines.lock().unwrap();
        lines.iter().map(|line| line.text.clone()).collect()
    }

    /// The number of first lines that this server has received.
    pub fn first_line_count(&self, server: usize) -> usize {
        let lines = self.first_lines.lock().unwrap();
        lines.iter().filter(|line| line.server == server).count()
    }
}

impl Drop for EchoServers {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        for acceptor in self.acceptors.drain(..) {
            let _ = acceptor.join();
        }
    }
}

fn accept_until(
    server: usize,
    listener: &TcpListener,
    first_lines: &FirstLines,
    is_stopped: &AtomicBool,
) {
    listener.set_nonblocking(true).unwrap();
    while !is_stopped.load(Ordering::Relaxed) {
        match listener.accept() {
            Ok((stream, _)) => {
                let first_lines = first_lines.clone();
                std::thread::spawn(move || serve(server, LineStream::new(stream), &first_lines));
            }
            Err(_) => std::thread::sleep(ACCEPT_INTERVAL),
        }
    }
}

fn serve(server: usize, mut connection: LineStream, first_lines: &FirstLines) {
    let Some(text) = connection.try_receive() else {
        return;
    };
    // `STATS` is a health check.
    if text == "STATS" {
        return answer_health_checks(connection);
    }
    first_lines.lock().unwrap().push(FirstLine { server, text });
    let mut reply = Some("UP r1".to_string());
    while let Some(line) = reply {
        if connection.try_send(&format!("{line}\r\n")).is_err() {
            return;
        }
        reply = connection.try_receive();
    }
}

/// Answers a health check and those that follow on the same connection.
fn answer_health_checks(mut connection: LineStream) {
    while connection.try_send("PONG\r\n").is_ok() {
        if connection.try_receive().is_none() {
            return;
        }
    }
}
