//! Splits an endpoint list into parts that fit in a message, and puts received parts together. This module does no I/O.

use super::machine_time::MachineTime;
use super::message::EndpointListPart;
use super::packet_size::group_by_size;
use crate::discovery::endpoint_list::ListedEndpoint;
use crate::discovery::merged_list::{ListPosition, SharedUpdate};
use std::mem;
use std::sync::Arc;

/// Maximum number of parts: a list that needs more is longer than one that discovery can send.
const MAX_PARTS: u32 = 256;
/// The size of an endpoint in a message, without its texts.
const BARE_ENDPOINT_BYTES: usize = 160;

/// A list of the other process, put together.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ReceivedList {
    pub(super) update: SharedUpdate,
    /// When discovery confirmed the other process's list.
    pub(super) confirmed_at: MachineTime,
}

/// Splits an update into at least one part. Returns `None` if there would be too many.
pub(super) fn split(
    update: SharedUpdate,
    confirmed_at: MachineTime,
) -> Option<Vec<EndpointListPart>> {
    let ListPosition {
        generation,
        version,
    } = update.position;
    let groups = group_by_size(update.endpoints, |endpoint| estimated_bytes(endpoint));
    let count = u32::try_from(groups.len()).ok()?;
    if count > MAX_PARTS {
        return None;
    }
    let parts = (0..count)
        .zip(groups)
        .map(|(index, endpoints)| EndpointListPart {
            generation,
            version,
            previous_version: update.previous_version,
            confirmed_at,
            index,
            count,
            endpoints,
        });
    Some(parts.collect())
}

fn estimated_bytes(endpoint: &ListedEndpoint) -> usize {
    let optional_bytes = |text: &Option<String>| text.as_ref().map_or(0, String::len);
    BARE_ENDPOINT_BYTES
        + endpoint.server.len()
        + endpoint.address.len()
        + endpoint.health.len()
        + optional_bytes(&endpoint.zone)
        + optional_bytes(&endpoint.machine_kind)
}

/// Puts the parts of one list after another together. The parts of a list that was cut short are dropped.
#[derive(Debug, Default)]
pub(super) struct ListAssembler {
    next_index: u32,
    endpoints: Vec<Arc<ListedEndpoint>>,
}

impl ListAssembler {
    /// Adds the next part. Returns the list if it was the last one.
    pub(super) fn add(&mut self, part: EndpointListPart) -> Option<ReceivedList> {
        if part.index == 0 {
            self.clear();
        }
        if part.index != self.next_index || part.count > MAX_PARTS {
            self.clear();
            return None;
        }
        self.next_index += 1;
        self.endpoints.extend(part.endpoints);
        if self.next_index < part.count {
            return None;
        }
        self.next_index = 0;
        let update = SharedUpdate {
            position: ListPosition {
                generation: part.generation,
                version: part.version,
            },
            previous_version: part.previous_version,
            endpoints: mem::take(&mut self.endpoints),
        };
        Some(ReceivedList {
            update,
            confirmed_at: part.confirmed_at,
        })
    }

    fn clear(&mut self) {
        self.next_index = 0;
        self.endpoints.clear();
    }
}

#[cfg(test)]
mod tests;
