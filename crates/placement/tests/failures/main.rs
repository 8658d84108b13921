//! Failures found on rough days, each reproduced with one balancer or a few. Comments name the incident that showed it, where
//! there is one.

#[path = "../common/mod.rs"]
mod common;
mod fixtures;
mod group_placement;
mod load_report_admission;
mod migration;
mod outlier_detection;
mod overload;
mod restarts;
mod setup_window;
mod zone_failure;
