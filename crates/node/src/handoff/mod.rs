//! The handoff between two processes of one node: which other process runs, the servers that an operator has drained, and
//! the connections that the older process transfers to its successor. Without a listener that the platform opened there is
//! one process only, and no file, lock or socket is made.

pub mod admin_drain_file;
mod agent;
mod incoming;
mod inherited_listener;
mod lifecycle;
pub mod message;
pub mod peer_process;
mod runtime_files;
pub mod socket;
mod transfer;

pub use agent::HandoffAgent;
pub use inherited_listener::inherited_listener;
pub use lifecycle::{begin, open_if_ready, start_handover};
