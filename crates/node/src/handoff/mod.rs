//! The handoff between two processes of one node: detects the other process, shares the admin drains and the
//! request ids in use and the endpoint list, and transfers the connections of the older process to its successor. A node
//! whose client listener is not inherited has a single process and creates no file, lock or socket.

pub(crate) mod admin_drain_file;
mod agent;
pub(crate) mod claim_queries;
pub(crate) mod client_counts;
mod connected_peer;
pub(crate) mod endpoint_lists;
mod executed_requests;
mod incoming;
mod inherited_listener;
mod lifecycle;
mod list_parts;
mod machine_time;
pub(crate) mod message;
mod packet_size;
pub(crate) mod peer_process;
pub(crate) mod request_claims;
pub(crate) mod request_table;
mod runtime_files;
mod send_queue;
pub(crate) mod socket;
mod transfer;
mod unanswered_queries;

pub(crate) use agent::HandoffAgent;
pub(crate) use inherited_listener::inherited_listener;
pub(crate) use lifecycle::{accept_clients_if_ready, initialize, start_handover};
