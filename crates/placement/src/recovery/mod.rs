//! Recovery from failed and overloaded servers: outlier detection and ejection, zone outages, migration of
//! connections, load shedding, redistribution of keys, and the periodic upkeep.

pub(crate) mod drain_migration;
pub(crate) mod ejection;
pub(crate) mod gossip;
pub(crate) mod key_fitting;
pub(crate) mod key_redistribution;
pub(crate) mod load_shedding;
pub(crate) mod lost_servers;
pub(crate) mod migration;
pub(crate) mod migration_budget;
pub(crate) mod outlier_detection;
pub(crate) mod shared_failures;
pub(crate) mod upkeep;
pub(crate) mod zone_outage;
pub(crate) mod zone_reachability;
