//! What can be wrong with a node's configuration.

use crate::discovery::endpoint_list::EndpointListError;
use lupincrank_settings::{SettingsError, ValidationError};
use std::io;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Neither the command line nor the environment names a file.
    #[error("no configuration: set RELAY_CONFIG or give --config")]
    NoPath,
    /// A fault of a file.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// The fault.
        source: Box<ConfigError>,
    },
    /// The file cannot be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The file is not JSON, or a value is of another type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The file may not replace the one in use.
    #[error(transparent)]
    Validation(#[from] ValidationError),
    /// A value of the settings is unknown.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The settings have no request class.
    #[error("settings: Categories names no class")]
    NoClasses,
    /// A required entry is set neither in the environment nor in the file.
    #[error("neither {variable} nor {key:?} is set")]
    Missing {
        /// The environment variable.
        variable: &'static str,
        /// The key in the file.
        key: &'static str,
    },
    /// An entry is no socket address.
    #[error("{variable} / {key:?}: {value:?} is not an address:port")]
    InvalidAddress {
        /// The environment variable.
        variable: &'static str,
        /// The key in the file.
        key: &'static str,
        /// The value.
        value: String,
    },
    /// The changed address of discovery is no socket address.
    #[error("discovery: {value:?} is not an address:port")]
    InvalidDiscoveryAddress {
        /// The value.
        value: String,
    },
    /// The inherited descriptor is no number over those of the standard streams.
    #[error("RELAY_INHERITED_FD: {value:?} is no descriptor over 2")]
    InvalidDescriptor {
        /// The value.
        value: String,
    },
    /// The seed is no hexadecimal number.
    #[error("seed: {value:?} is not hexadecimal")]
    InvalidSeed {
        /// The value.
        value: String,
    },
    /// The process may hold too few descriptors.
    #[error("limits.sockets: {value} is too few, {min} are needed")]
    TooFewSockets {
        /// The value.
        value: usize,
        /// The smallest number that is accepted.
        min: usize,
    },
    /// The part of a core is not a positive number.
    #[error("limits.cores: {value} is no part of a core")]
    InvalidCores {
        /// The value.
        value: f64,
    },
    /// The process may take too little memory.
    #[error("limits.memory_mb: {value} is too little, {min} are needed")]
    TooLittleMemory {
        /// The value.
        value: usize,
        /// The smallest number that is accepted.
        min: usize,
    },
    /// An entry of the known endpoint list is wrong.
    #[error("known: {0}")]
    KnownEndpoints(EndpointListError),
}
