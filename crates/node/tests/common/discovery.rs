//! The stub discovery service.

use super::address::{listen, ReservedAddress};
use super::endpoint_list::{endpoint_list, endpoint_list_json};
use super::line_stream::LineStream;
use super::rig::Rig;
use super::wait::wait_until;
use serde_json::Value;
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

/// The response head of a watch and its first chunk, a line feed.
const WATCH_ANSWER: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";

impl Rig {
    /// Accepts the node's next discovery call; returns it and its request line.
    pub fn accept_discovery_call(&mut self) -> (LineStream, String) {
        let mut call = wait_until("a discovery call", || {
            self.discovery
                .accept()
                .ok()
                .map(|(stream, _)| LineStream::new(stream))
        });
        let request = call.receive();
        while !call.receive().is_empty() {}
        (call, request)
    }

    /// Sends a last heartbeat on the watch and accepts the call that the node makes after the silence.
    pub fn accept_discovery_call_after_silence(&mut self) -> (LineStream, String) {
        self.write_to_watch(b"\n", 1);
        self.accept_discovery_call()
    }

    /// Accepts a call and opens the watch that it requests.
    pub fn accept_watch(&mut self) {
        let (mut call, _) = self.accept_discovery_call();
        call.send(WATCH_ANSWER);
        self.watch = Some(call);
    }

    /// Opens the watch with a complete list. The response has a `Date` header if `clock` is given.
    pub fn accept_watch_with_list(&mut self, list: &str, clock: Option<SystemTime>) {
        let (mut call, _) = self.accept_discovery_call();
        let date = clock.map_or_else(String::new, |now| {
            format!("Date: {}\r\n", httpdate::fmt_http_date(now))
        });
        call.send(&format!(
            "HTTP/1.1 200 OK\r\n{date}Transfer-Encoding: chunked\r\n\r\n"
        ));
        self.watch = Some(call);
        self.write_to_watch(format!("{list}\n").as_bytes(), list.len() + 1);
    }

    /// Sends the health of one server on the watch.
    pub fn announce_health(&mut self, server: usize, health: &str, seq: u64) {
        let line = endpoint_list(&self.server_addresses[server..=server], health, seq, false)
            .replace("s-0", &format!("s-{server}"))
            + "\n";
        self.watch
            .as_mut()
            .unwrap()
            .send(&format!("{:x}\r\n{line}\r\n", line.len()));
    }

    /// Sends the start of a server, at this Unix time, on the watch.
    pub fn announce_start(&mut self, server: usize, started_at_ms: u64, seq: u64) {
        let line = endpoint_list(
            &self.server_addresses[server..=server],
            "SERVING",
            seq,
            false,
        )
        .replace("s-0", &format!("s-{server}"))
        .replace("\"born_ms\":0", &format!("\"born_ms\":{started_at_ms}"));
        self.write_to_watch(format!("{line}\n").as_bytes(), line.len() + 1);
    }

    /// The entries of this many servers, all at the address of the first one, that have just started.
    pub fn fleet_entries(&self, server_count: usize) -> Value {
        let mut entry = self.endpoint_list(&["SERVING"], 1, true)["hosts"][0].clone();
        let started_at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        entry["born_ms"] = (started_at.as_millis() as u64).into();
        let entries = (0..server_count).map(|index| {
            entry["host"] = format!("s-{index}").into();
            entry.clone()
        });
        entries.collect()
    }

    /// Sends a complete list of [`Rig::fleet_entries`].
    pub fn announce_fleet(&mut self, server_count: usize) {
        let mut list = self.endpoint_list(&[], 2, true);
        list["hosts"] = self.fleet_entries(server_count);
        let line = format!("{list}\n");
        self.write_to_watch(line.as_bytes(), line.len());
        self.wait_for_log("endpoint list changed");
    }

    /// A list of the first servers, one for each of these health values.
    pub fn endpoint_list(&self, health: &[&str], seq: u64, is_complete: bool) -> serde_json::Value {
        endpoint_list_json(&self.server_addresses, health, seq, is_complete)
    }

    /// Writes bytes on the watch in chunks of `chunk_size`, each sent before the next.
    pub fn write_to_watch(&mut self, bytes: &[u8], chunk_size: usize) {
        let watch = self.watch.as_mut().unwrap();
        for chunk in bytes.chunks(chunk_size) {
            watch
                .stream
                .write_all(format!("{:x}\r\n", chunk.len()).as_bytes())
                .unwrap();
            watch.stream.write_all(chunk).unwrap();
            watch.stream.write_all(b"\r\n").unwrap();
        }
    }

    /// Stops discovery: its watch breaks, and calls are refused. Returns its address, which stays reserved.
    pub fn stop_discovery(&mut self) -> ReservedAddress {
        let address = self.discovery.local_addr().unwrap();
        self.watch = None;
        self.discovery = listen();
        wait_until("the address of discovery is free", || {
            ReservedAddress::at(address)
        })
    }

    /// Restarts discovery at its reserved address.
    pub fn restart_discovery(&mut self, reserved: ReservedAddress) {
        self.discovery = reserved.listen();
    }

    /// Moves discovery to another address and reloads the node's configuration with it.
    pub fn move_discovery(&mut self) {
        self.discovery = listen();
        self.config["discovery"] = self.discovery.local_addr().unwrap().to_string().into();
        self.reload_config(&self.config.to_string());
    }
}
