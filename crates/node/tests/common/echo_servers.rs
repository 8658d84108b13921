//! Servers that accept each request and return each line at once.

use super::line_stream::LineStream;
use super::rig::Rig;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// How long a listener is left alone when nothing waits there.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// The first lines that came, in their order.
type FirstLines = Arc<Mutex<Vec<String>>>;

/// The servers of a rig, played by threads until this is dropped.
pub struct EchoServers {
    first_lines: FirstLines,
    is_stopped: Arc<AtomicBool>,
    acceptors: Vec<JoinHandle<()>>,
}

impl EchoServers {
    /// Plays all servers of the rig.
    pub fn start(rig: &Rig) -> EchoServers {
        let first_lines = FirstLines::default();
        let is_stopped = Arc::new(AtomicBool::new(false));
        let acceptors = rig
            .servers
            .iter()
            .flatten()
            .map(|listener| {
                let listener = listener.try_clone().unwrap();
                let (first_lines, is_stopped) = (first_lines.clone(), is_stopped.clone());
                std::thread::spawn(move || accept_until(&listener, &first_lines, &is_stopped))
            })
            .collect();
        EchoServers {
            first_lines,
            is_stopped,
            acceptors,
        }
    }

    /// The first lines that came so far.
    pub fn first_lines(&self) -> Vec<String> {
        self.first_lines.lock().unwrap().clone()
    }

    /// How often a first line with this id came.
    pub fn count_of(&self, id: &str) -> usize {
        let lines = self.first_lines.lock().unwrap();
        lines.iter().filter(|line| line.contains(id)).count()
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

fn accept_until(listener: &TcpListener, first_lines: &FirstLines, is_stopped: &AtomicBool) {
    listener.set_nonblocking(true).unwrap();
    while !is_stopped.load(Ordering::Relaxed) {
        match listener.accept() {
            Ok((stream, _)) => {
                let first_lines = first_lines.clone();
                std::thread::spawn(move || serve(LineStream::new(stream), &first_lines));
            }
            Err(_) => std::thread::sleep(ACCEPT_INTERVAL),
        }
    }
}

fn serve(mut connection: LineStream, first_lines: &FirstLines) {
    let Some(line) = connection.try_receive() else {
        return;
    };
    first_lines.lock().unwrap().push(line);
    let mut reply = Some("UP r1".to_string());
    while let Some(line) = reply {
        if connection.try_send(&format!("{line}\r\n")).is_err() {
            return;
        }
        reply = connection.try_receive();
    }
}
