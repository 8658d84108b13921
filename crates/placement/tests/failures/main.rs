//! Regression tests for failures found in runs with faults, each reproduced with one balancer or a few.

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
