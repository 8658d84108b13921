//! A second process of the node beside the first.

use super::address::ReservedAddress;
use super::node_process::{send_signal, spawn, Build};
use super::rig::Rig;
use super::wait::wait_until;
use socket2::{Domain, SockAddr, Socket, Type};
use std::path::Path;
use std::process::Child;

impl Rig {
    /// The directory for the runtime files of both processes.
    pub fn runtime_directory(&self) -> &Path {
        &self.inherited.as_ref().unwrap().runtime_directory
    }

    /// Waits until the newest process reports that it can serve.
    pub fn wait_until_ready(&self) {
        wait_until("the newest process can serve", || {
            (self.admin_call("check\r\n") == "done").then_some(())
        });
    }

    /// Connects to the node in the role of its successor and sends the first heartbeat, with these additional fields.
    pub fn connect_as_successor(&self, heartbeat_fields: &str) -> Socket {
        let listen = self.config["listen"].as_str().unwrap().replace(':', "-");
        let successor = Socket::new(Domain::UNIX, Type::SEQPACKET, None).unwrap();
        let path = self
            .runtime_directory()
            .join(format!("lupincrank-{listen}.socket"));
        successor.connect(&SockAddr::unix(path).unwrap()).unwrap();
        let heartbeat = format!(
            "{{\"Beat\":{{\"version\":3,\"clients\":0,\"strangers\":0,\"open\":true{heartbeat_fields}}}}}\n"
        );
        successor.send(heartbeat.as_bytes()).unwrap();
        self.wait_for_log("successor connected");
        successor
    }

    /// Starts a second process of the node, with another admin address.
    pub fn start_successor(&mut self) {
        self.start_successor_build(Build::This);
    }

    /// Kills the newest process, and starts another one beside the older one, at the same admin address.
    pub fn restart_successor(&mut self) {
        self.signal("-KILL");
        self.wait_for_exit();
        self.process = spawn(
            Build::This,
            &self.config_path,
            self.inherited.as_ref(),
            self.faults.as_ref(),
        );
    }

    /// Starts a second process, of this build.
    pub fn start_successor_build(&mut self, build: Build) {
        let admin_listener = ReservedAddress::any();
        self.admin_address = admin_listener.address;
        self.reserved.push(admin_listener);
        self.config["management"] = self.admin_address.to_string().into();
        std::fs::write(&self.config_path, self.config.to_string()).unwrap();
        let successor = spawn(
            build,
            &self.config_path,
            self.inherited.as_ref(),
            self.faults.as_ref(),
        );
        let predecessor = std::mem::replace(&mut self.process, successor);
        if let Some(mut oldest) = self.predecessor.replace(predecessor) {
            let _ = oldest.wait();
        }
    }

    /// Starts a second process, waits until it can serve and terminates the first one.
    pub fn hand_over_to_successor(&mut self) {
        self.start_successor();
        self.accept_watch();
        self.wait_until_ready();
        self.terminate_predecessor();
    }

    /// Sends SIGTERM to the older process and waits for its exit.
    pub fn terminate_predecessor(&mut self) {
        send_signal(self.oldest_process(), "-TERM");
        self.wait_for_predecessor_exit();
    }

    /// The older process, or the only one.
    pub fn oldest_process(&mut self) -> &mut Child {
        self.predecessor.as_mut().unwrap_or(&mut self.process)
    }

    /// Waits for the older process to exit successfully.
    pub fn wait_for_predecessor_exit(&mut self) {
        let oldest = self.oldest_process();
        assert!(wait_until("the older process exits", || oldest.try_wait().unwrap()).success());
    }
}
