//! The state on which decisions are based: servers, requests, load, and totals over the fleet.

pub(crate) mod broken_connections;
pub(crate) mod candidate_scan;
pub(crate) mod decay;
pub(crate) mod departures;
pub(crate) mod elapsed;
pub(crate) mod fleet;
pub(crate) mod fleet_totals;
pub(crate) mod group_frequency;
pub mod learned_state;
pub(crate) mod load_accounting;
pub(crate) mod load_estimates;
pub(crate) mod ranking_index;
pub(crate) mod request;
pub(crate) mod request_rate;
pub(crate) mod server;
pub(crate) mod server_table;
pub(crate) mod tenant_usage;
