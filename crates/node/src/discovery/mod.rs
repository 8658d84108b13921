//! The client of service discovery: watches the endpoint list and applies its changes.

mod call;
mod chunked;
mod client;
pub(crate) mod endpoint_list;
pub(crate) mod endpoint_list_state;
mod endpoint_resolver;
mod json_stream;
pub(crate) mod merged_list;

pub(crate) use client::DiscoveryClient;
