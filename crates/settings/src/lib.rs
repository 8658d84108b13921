//! The settings of a deployment: the JSON object that the simulator's first message and a node's configuration file share.
//!
//! [`DeploymentSettings`] is that object as it is written; [`DeploymentSettings::placement_settings`] converts it for the
//! balancer. [`validate`] is the strict check for a configuration file that replaces another at run time.

#![forbid(unsafe_code)]

mod conversion;
mod deployment;
mod error;
mod validation;

pub use deployment::DeploymentSettings;
pub use error::{SettingsError, ValidationError};
pub use validation::validate;
