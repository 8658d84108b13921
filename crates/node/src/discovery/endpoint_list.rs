//! The endpoint list in the format of discovery.

use lupincrank_placement::Health;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;

/// The endpoint list can't be applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EndpointListError {
    /// The address of an endpoint is invalid.
    #[error("endpoint {server:?}: dial {address:?} is not an address:port")]
    Address {
        /// The id of the endpoint's server.
        server: String,
        /// The address as it was received.
        address: String,
    },
    /// The health of an endpoint is unknown.
    #[error("endpoint {server:?}: unknown health {health:?}")]
    Health {
        /// The id of the endpoint's server.
        server: String,
        /// The health as it was received.
        health: String,
    },
}

/// A complete endpoint list or a change of it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub(crate) struct EndpointListUpdate {
    /// The version of the list after this update.
    #[serde(rename = "seq")]
    pub(crate) version: u64,
    /// Whether the update contains all endpoints, rather than the changed ones only.
    #[serde(rename = "whole")]
    pub(crate) is_complete: bool,
    /// All endpoints, or the changed ones.
    #[serde(rename = "hosts")]
    pub(crate) endpoints: Vec<Arc<ListedEndpoint>>,
}

impl EndpointListUpdate {
    /// Checks that every endpoint can be applied.
    ///
    /// # Errors
    /// If an endpoint has an invalid address or an unknown health; the error names the first one.
    pub(crate) fn check(&self) -> Result<(), EndpointListError> {
        self.endpoints
            .iter()
            .try_for_each(|endpoint| endpoint.check())
    }
}

/// One endpoint, in the format of discovery.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ListedEndpoint {
    /// The server's id.
    #[serde(rename = "host")]
    pub(crate) server: String,
    /// The address at which this node reaches the server.
    #[serde(rename = "dial")]
    pub(crate) address: String,
    /// The name of the server's zone.
    #[serde(rename = "site")]
    pub(crate) zone: Option<String>,
    /// The name of the server's machine kind.
    #[serde(rename = "class")]
    pub(crate) machine_kind: Option<String>,
    /// The number of the server's cell.
    #[serde(rename = "block")]
    pub(crate) cell: Option<u32>,
    /// The server's health: `SERVING`, `DRAINING` or `DELETED`.
    pub(crate) health: String,
    /// The server's weight, 1 by default.
    #[serde(rename = "share")]
    pub(crate) weight: Option<f64>,
    /// The time when the server was started, in milliseconds of Unix time.
    #[serde(rename = "born_ms")]
    pub(crate) started_at_ms: Option<u64>,
}

impl ListedEndpoint {
    /// Checks that the endpoint can be applied.
    ///
    /// # Errors
    /// If its address is invalid or its health unknown.
    pub(crate) fn check(&self) -> Result<(), EndpointListError> {
        self.dial_address()?;
        self.parsed_health()?;
        Ok(())
    }

    /// Parses the address at which this node reaches the server.
    ///
    /// # Errors
    /// If it is not an address with a port.
    pub(crate) fn dial_address(&self) -> Result<SocketAddr, EndpointListError> {
        self.address
            .parse()
            .map_err(|_| EndpointListError::Address {
                server: self.server.clone(),
                address: self.address.clone(),
            })
    }

    /// Parses the server's health.
    ///
    /// # Errors
    /// If the health is unknown.
    pub(crate) fn parsed_health(&self) -> Result<Health, EndpointListError> {
        match self.health.as_str() {
            "SERVING" => Ok(Health::Ready),
            "DRAINING" => Ok(Health::Draining),
            "DELETED" => Ok(Health::Removed),
            unknown => Err(EndpointListError::Health {
                server: self.server.clone(),
                health: unknown.to_string(),
            }),
        }
    }
}

/// Returns the index of a name in `names`, to which a new name is appended. Without a name, the index is 0.
pub(crate) fn name_index(names: &mut Vec<String>, name: Option<&str>) -> u32 {
    let Some(name) = name else {
        return 0;
    };
    let known = names.iter().position(|known| known == name);
    let index = known.unwrap_or_else(|| {
        names.push(name.to_string());
        names.len() - 1
    });
    u32::try_from(index).unwrap_or(u32::MAX)
}
