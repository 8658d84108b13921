//! The handoff between two processes of one node: which other process runs, the servers that an operator has drained, and
//! the connections that the older process transfers to its successor. Without a listener that the platform opened there is
//! one process only, and no file, lock or socket is made.

pub(crate) mod admin_drain_file;
mod agent;
mod incoming;
mod inherited_listener;
mod lifecycle;
pub(crate) mod message;
pub(crate) mod peer_process;
mod runtime_files;
pub(crate) mod socket;
mod transfer;

pub(crate) use agent::HandoffAgent;
pub(crate) use inherited_listener::inherited_listener;
pub(crate) use lifecycle::{begin, open_if_ready, start_handover};
