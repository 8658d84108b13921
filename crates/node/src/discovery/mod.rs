//! The client of the discovery service: watches the endpoint list and applies its changes.

mod call;
mod chunked;
mod client;
pub mod endpoint_list;
mod json_stream;

pub use client::DiscoveryClient;
