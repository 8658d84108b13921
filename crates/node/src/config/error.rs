//! Errors of a node's configuration.

use crate::discovery::endpoint_list::EndpointListError;
use lupincrank_settings::{SettingsError, ValidationError};
use std::io;

/// An error that makes a configuration unusable.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Neither the command line nor the environment contains the path of a file.
    #[error("no configuration file: set RELAY_CONFIG or pass --config")]
    NoPath,
    /// An error in a file.
    #[error("{path}: {source}")]
    File {
        /// The path of the file.
        path: String,
        /// The error.
        source: Box<ConfigError>,
    },
    /// The file cannot be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The file is not valid JSON, or a value has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The file must not replace the one in use.
    #[error(transparent)]
    Validation(#[from] ValidationError),
    /// The settings contain an unknown value.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The settings contain no request class.
    #[error("settings.Categories contains no class")]
    NoClasses,
    /// A required entry is set neither in the environment nor in the file.
    #[error("neither {variable} nor {key:?} is set")]
    Missing {
        /// The environment variable.
        variable: &'static str,
        /// The key in the file.
        key: &'static str,
    },
    /// An entry is not a valid socket address.
    #[error("{variable} / {key:?}: {value:?} is not an address:port")]
    InvalidAddress {
        /// The environment variable.
        variable: &'static str,
        /// The key in the file.
        key: &'static str,
        /// The value.
        value: String,
    },
    /// The new address of discovery is not a valid socket address.
    #[error("discovery: {value:?} is not an address:port")]
    InvalidDiscoveryAddress {
        /// The value.
        value: String,
    },
    /// The inherited descriptor is not a number above those of the standard streams.
    #[error("RELAY_INHERITED_FD: {value:?} is not a file descriptor above 2")]
    InvalidDescriptor {
        /// The value.
        value: String,
    },
    /// The seed is not a 64-bit hexadecimal number.
    #[error("seed: {value:?} is not a 64-bit hexadecimal number")]
    InvalidSeed {
        /// The value.
        value: String,
    },
    /// The descriptor limit is too small.
    #[error("limits.sockets: {value} is below the minimum of {min}")]
    TooFewSockets {
        /// The value.
        value: usize,
        /// The smallest accepted value.
        min: usize,
    },
    /// The number of cores is not a positive, finite number.
    #[error("limits.cores: {value} is not a positive number")]
    InvalidCores {
        /// The value.
        value: f64,
    },
    /// The memory limit is too small.
    #[error("limits.memory_mb: {value} is below the minimum of {min}")]
    TooLittleMemory {
        /// The value.
        value: usize,
        /// The smallest accepted value.
        min: usize,
    },
    /// The known endpoint list contains an invalid entry.
    #[error("known: {0}")]
    KnownEndpoints(EndpointListError),
}
