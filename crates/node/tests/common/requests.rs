//! Clients, admin calls, and the servers' ends of the node's attempts.

use super::line_stream::LineStream;
use super::rig::Rig;
use super::wait::wait_until;
use std::net::{SocketAddr, TcpStream};

/// The groups of [`Rig::establish_in_groups`].
const GROUP_COUNT: usize = 12;
/// The state of an established connection in the kernel's table of sockets.
const TCP_ESTABLISHED: &str = "01";

/// Clients.
impl Rig {
    /// The node's address for clients.
    pub fn client_address(&self) -> SocketAddr {
        self.listen_address
    }

    pub fn connect_client(&self) -> LineStream {
        LineStream::new(wait_until("the node listens", || {
            TcpStream::connect(self.listen_address).ok()
        }))
    }

    /// Sends text on a new connection and returns the answer.
    pub fn query(&self, text: &str) -> String {
        let mut client = self.connect_client();
        client.send(text);
        client.receive()
    }

    /// Sends an `OPEN` line with these additional fields; returns the client and the line.
    pub fn send_request(&mut self, fields: &str) -> (LineStream, String) {
        self.last_request_id += 1;
        let line = format!(
            "OPEN {:016x} 7f3a9c21e0b4d655 c=chat,{fields}",
            self.last_request_id
        );
        let mut client = self.connect_client();
        client.send(&format!("{line}\r\n"));
        (client, line)
    }

    /// Establishes a connection; returns the client, the index of its server, and the server's end.
    pub fn establish(&mut self) -> (LineStream, usize, LineStream) {
        self.establish_in_group("5c0f6e1a")
    }

    /// Establishes a connection for a client of this group.
    pub fn establish_in_group(&mut self, group: &str) -> (LineStream, usize, LineStream) {
        let (mut client, _) = self.send_request(&format!("d=1500,g={group}"));
        let (server_index, mut server) = self.accept_attempt();
        server.receive();
        server.send("UP r1\r\n");
        assert_eq!(client.receive(), "UP r1");
        (client, server_index, server)
    }

    /// Establishes connections, each for a client of another group; some go to each server in use. They have to be kept to
    /// the end of the test: if both ends of a connection are closed at once, the server may seem to have failed.
    #[must_use]
    pub fn establish_in_groups(&mut self) -> Vec<(LineStream, usize, LineStream)> {
        (0..GROUP_COUNT)
            .map(|index| self.establish_in_group(&format!("group-{index}")))
            .collect()
    }

    /// Establishes connections, each for a client of another group, and checks that all of them go to this server.
    #[must_use]
    pub fn establish_all_at(&mut self, server: usize) -> Vec<(LineStream, usize, LineStream)> {
        let connections = self.establish_in_groups();
        let used: Vec<usize> = connections.iter().map(|(_, used, _)| *used).collect();
        assert_eq!(used, [server; GROUP_COUNT]);
        connections
    }

    /// Waits until the close of this client's connection has arrived at the node, which may be paused. On a busy
    /// machine the kernel delivers it late.
    pub fn wait_for_client_close(&self, client: SocketAddr) {
        wait_until("the close arrives", || {
            let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
            table
                .lines()
                .all(|row| !is_established(row, self.listen_address, client))
                .then_some(())
        });
    }
}

/// Returns true if a row of the kernel's table of sockets is an established connection between these ports.
fn is_established(row: &str, local: SocketAddr, remote: SocketAddr) -> bool {
    let port_suffix = |address: SocketAddr| format!(":{:04X}", address.port());
    let mut columns = row.split_whitespace().skip(1);
    let (Some(row_local), Some(row_remote), Some(state)) =
        (columns.next(), columns.next(), columns.next())
    else {
        return false;
    };
    row_local.ends_with(&port_suffix(local))
        && row_remote.ends_with(&port_suffix(remote))
        && state == TCP_ESTABLISHED
}

/// The servers' ends.
impl Rig {
    /// Accepts the next connection at any listening server; returns the server's index and the connection.
    pub fn accept_attempt(&self) -> (usize, LineStream) {
        wait_until("an attempt", || {
            let mut accepted = self
                .servers
                .iter()
                .enumerate()
                .filter_map(|(index, server)| {
                    let (stream, _) = server.as_ref()?.accept().ok()?;
                    Some((index, LineStream::new(stream)))
                });
            accepted.next()
        })
    }

    /// Returns true if no connection waits at any server.
    pub fn has_no_attempt(&self) -> bool {
        self.servers
            .iter()
            .flatten()
            .all(|server| server.accept().is_err())
    }

    /// Ends a server's admin drain and waits until the server is used again, which takes a while because it counts as
    /// warming up.
    pub fn undrain(&mut self, server_index: usize) {
        assert_eq!(
            self.admin_call(&format!("set-up s-{server_index}\r\n")),
            "done"
        );
        let mut clients = Vec::new();
        wait_until("the server is used again", || {
            let (mut client, _) = self.send_request(&format!("d=1500,g={}", clients.len()));
            let attempted_index = wait_until("an attempt or an answer", || {
                let attempted_index = self.servers.iter().position(|server| {
                    server
                        .as_ref()
                        .is_some_and(|server| server.accept().is_ok())
                });
                attempted_index
                    .map(Some)
                    .or_else(|| (!client.is_quiet()).then_some(None))
            });
            clients.push(client);
            (attempted_index == Some(server_index)).then_some(())
        });
    }
}

/// Admin calls.
impl Rig {
    /// The admin address of the newest process.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Connects to the admin address.
    pub fn connect_admin(&self) -> LineStream {
        connect_admin(self.admin_address)
    }

    /// Makes an admin call and returns the answer.
    pub fn admin_call(&self, call: &str) -> String {
        admin_call_at(self.admin_address, call)
    }
}

/// Makes an admin call at the address of either process and returns the answer.
pub fn admin_call_at(address: SocketAddr, call: &str) -> String {
    let mut caller = connect_admin(address);
    caller.send(call);
    caller.receive()
}

fn connect_admin(address: SocketAddr) -> LineStream {
    LineStream::new(wait_until("the node accepts admin calls", || {
        TcpStream::connect(address).ok()
    }))
}
