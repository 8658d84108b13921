//! Recovery from failed and overloaded servers.

pub(crate) mod gossip;
pub(crate) mod key_redistribution;
pub(crate) mod load_shedding;
pub(crate) mod migration;
pub(crate) mod outlier_detection;
pub(crate) mod redistribution;
pub(crate) mod upkeep;
pub(crate) mod zone_failure;
