//! A node with stub servers and a stub discovery service around it, all on ephemeral loopback ports.
#![allow(dead_code, unused_imports)] // Each test file uses only some of it.

mod address;
mod cluster;
mod discovery;
mod echo_servers;
mod endpoint_list;
mod full_backlog;
mod line_stream;
mod node_process;
mod requests;
mod rig;
mod successor;
mod syscall_faults;
mod wait;

pub use cluster::Cluster;
pub use echo_servers::EchoServers;
pub use full_backlog::FullBacklog;
pub use line_stream::{exchange_lines, reset_connection, LineStream};
pub use node_process::{send_signal, Build};
pub use requests::admin_call_at;
pub use rig::Rig;
pub use syscall_faults::SyscallFaults;
pub use wait::{wait_until, WAIT_TIMEOUT};
