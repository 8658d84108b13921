//! The settings of a deployment: a JSON object in the simulator's first message and in a node's configuration file.
//!
//! [`DeploymentSettings`] is the form of that object; [`DeploymentSettings::placement_settings`] converts it for the
//! placement module. [`validate`] strictly checks a configuration file that replaces another at run time.

#![forbid(unsafe_code)]

mod conversion;
mod deployment;
mod error;
mod list_entries;
mod validation;

pub use deployment::DeploymentSettings;
pub use error::{SettingsError, ValidationError};
pub use list_entries::summarize_known_hosts;
pub use validation::validate;
