//! Converts entries of the endpoint list into the endpoints that placement uses.

use super::endpoint_list::{name_index, EndpointListError, ListedEndpoint};
use crate::config::Config;
use crate::placement_driver::{ListedStart, PlacementDriver, ResolvedEndpoint};
use lupincrank_placement::{Endpoint, ServerId};
use std::sync::Arc;
use std::time::Instant;

/// The names of zones and machine kinds. Their indices are the numbers that placement uses.
pub(super) struct EndpointResolver {
    zones: Vec<String>,
    machine_kinds: Vec<String>,
}

impl EndpointResolver {
    /// Creates a resolver with the zones and machine kinds in the settings. Others are added when an entry names them.
    pub(super) fn new(config: &Config) -> EndpointResolver {
        EndpointResolver {
            zones: config.zones.clone(),
            machine_kinds: config.machine_kinds.clone(),
        }
    }

    /// Resolves one entry. `not_listed_at` is the time of the last contact with discovery before the list with this
    /// entry; `None` for the first list.
    ///
    /// # Errors
    /// If the address is invalid or the health is unknown.
    pub(super) fn resolve(
        &mut self,
        placement: &mut PlacementDriver,
        endpoint: &ListedEndpoint,
        not_listed_at: Option<Instant>,
    ) -> Result<ResolvedEndpoint, EndpointListError> {
        let address = endpoint.dial_address()?;
        let health = endpoint.parsed_health()?;
        let server = ServerId::from(endpoint.server.as_str());
        let started_at_ms = endpoint.started_at_ms.unwrap_or(0);
        Ok(ResolvedEndpoint {
            address,
            endpoint: Endpoint {
                started_at: placement.start_time(&server, started_at_ms, not_listed_at),
                server,
                health,
                weight: endpoint.weight.unwrap_or(1.0),
                zone: name_index(&mut self.zones, endpoint.zone.as_deref()),
                cell: endpoint.cell.unwrap_or(0),
                machine_kind: name_index(&mut self.machine_kinds, endpoint.machine_kind.as_deref()),
            },
        })
    }
}

/// Returns the start times of the servers of a list, except for servers with an unknown health.
pub(super) fn listed_starts(
    endpoints: &[Arc<ListedEndpoint>],
) -> impl Iterator<Item = ListedStart> + '_ {
    endpoints.iter().filter_map(|endpoint| {
        Some(ListedStart {
            server: ServerId::from(endpoint.server.as_str()),
            health: endpoint.parsed_health().ok()?,
            started_at_ms: endpoint.started_at_ms.unwrap_or(0),
        })
    })
}
