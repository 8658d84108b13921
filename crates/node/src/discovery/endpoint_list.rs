//! The endpoint list as the discovery service writes it.

use lupincrank_placement::Health;
use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// Why an endpoint list can't be applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EndpointListError {
    /// An endpoint's address can't be read.
    #[error("{server:?}: dial {address:?} is not an address:port")]
    Address {
        /// The endpoint's server.
        server: String,
        /// The address as it was written.
        address: String,
    },
    /// An endpoint's health is not one that is known.
    #[error("{server:?}: unknown health {health:?}")]
    Health {
        /// The endpoint's server.
        server: String,
        /// The health as it was written.
        health: String,
    },
}

/// The endpoint list or a change of it.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct EndpointListUpdate {
    /// The version of the list after this update.
    #[serde(rename = "seq")]
    pub(crate) version: u64,
    /// Whether every endpoint is named; otherwise only the changed ones are.
    #[serde(rename = "whole")]
    pub(crate) is_complete: bool,
    /// The endpoints.
    #[serde(rename = "hosts")]
    pub(crate) endpoints: Vec<ListedEndpoint>,
}

impl EndpointListUpdate {
    /// Checks that every endpoint can be applied.
    ///
    /// # Errors
    /// For the first endpoint whose address or health can't be read.
    pub(crate) fn check(&self) -> Result<(), EndpointListError> {
        for endpoint in &self.endpoints {
            endpoint.dial_address()?;
            endpoint.parsed_health()?;
        }
        Ok(())
    }
}

/// One endpoint, as the discovery service writes it.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ListedEndpoint {
    /// The server's id.
    #[serde(rename = "host")]
    pub(crate) server: String,
    /// Where the server listens, as this node reaches it.
    #[serde(rename = "dial")]
    pub(crate) address: String,
    /// The name of its zone.
    #[serde(rename = "site")]
    pub(crate) zone: Option<String>,
    /// The name of its machine kind.
    #[serde(rename = "class")]
    pub(crate) machine_kind: Option<String>,
    /// The number of its cell.
    #[serde(rename = "block")]
    pub(crate) cell: Option<u32>,
    /// Its health: `SERVING`, `DRAINING` or `DELETED`.
    pub(crate) health: String,
    /// Its weight; 1 where none is given.
    #[serde(rename = "share")]
    pub(crate) weight: Option<f64>,
    /// When it was started, in milliseconds of Unix time.
    #[serde(rename = "born_ms")]
    pub(crate) started_at_ms: Option<u64>,
}

impl ListedEndpoint {
    /// Where the server listens, as this node reaches it.
    ///
    /// # Errors
    /// Where that is not an address with a port.
    pub(crate) fn dial_address(&self) -> Result<SocketAddr, EndpointListError> {
        self.address
            .parse()
            .map_err(|_| EndpointListError::Address {
                server: self.server.clone(),
                address: self.address.clone(),
            })
    }

    /// The server's health.
    ///
    /// # Errors
    /// Where it is not one of the known words.
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

/// The number of a name: its position in `names`, where a new name is appended; 0 for no name.
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
