//! The endpoint list of one process, merged from all of its sources: the configuration file, discovery, and the other
//! process of the node. This module does no I/O; it decides which of two lists is newer.

use super::endpoint_list::{EndpointListUpdate, ListedEndpoint};
use lupincrank_placement::Health;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A position in the sequence of discovery's lists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ListPosition {
    /// How often discovery was seen to begin its versions anew, with a lower one.
    pub(crate) generation: u32,
    /// Discovery's version of the list.
    pub(crate) version: u64,
}

/// The position of a watch: what its call asked for, or the last update on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WatchPosition {
    /// The position of the list.
    pub(crate) list: ListPosition,
    /// Whether the generation is known from discovery. That of a version from the configuration file is not: the file may
    /// have been written before or after discovery began its versions anew.
    pub(crate) is_generation_known: bool,
}

/// An update that the other process of the node passes on.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SharedUpdate {
    /// The position of the sender's list after this update.
    pub(crate) position: ListPosition,
    /// For changes, the version of the sender's list before them; `None` for a complete list.
    pub(crate) previous_version: Option<u64>,
    /// The endpoints of the complete list, or the changed ones.
    pub(crate) endpoints: Vec<Arc<ListedEndpoint>>,
}

/// Whether an update is part of the merged list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// The update was merged and has to be applied.
    Merged,
    /// The list was at least as new already, so the update must not be applied.
    Outdated,
}

/// An endpoint list with its position.
#[derive(Debug, Default)]
pub(crate) struct MergedEndpointList {
    position: ListPosition,
    endpoints: BTreeMap<String, Arc<ListedEndpoint>>,
}

impl MergedEndpointList {
    /// The position up to which all changes are merged.
    pub(crate) fn position(&self) -> ListPosition {
        self.position
    }

    /// The complete list, for the other process.
    pub(crate) fn complete_update(&self) -> SharedUpdate {
        SharedUpdate {
            position: self.position,
            previous_version: None,
            endpoints: self.endpoints.values().cloned().collect(),
        }
    }

    /// Merges the list of the configuration file.
    pub(crate) fn merge_known(&mut self, update: &EndpointListUpdate) -> MergeOutcome {
        let position = ListPosition {
            generation: 0,
            version: update.version,
        };
        if position < self.position {
            return MergeOutcome::Outdated;
        }
        self.position = position;
        self.set_endpoints(update);
        MergeOutcome::Merged
    }

    /// Merges an update from discovery. `watch` is the position of the watch before this update: the one that the call
    /// asked for, or that of the last update; it is advanced.
    ///
    /// Discovery's versions increase along one watch, so a lower one shows that discovery has begun them anew. An update
    /// that is not lower, but behind the merged list, is late: the other process was sent the same changes before.
    pub(crate) fn merge_discovery(
        &mut self,
        update: &EndpointListUpdate,
        watch: &mut WatchPosition,
    ) -> MergeOutcome {
        let has_begun_anew = update.version < watch.list.version;
        let is_of_earlier_generation = watch.list.generation < self.position.generation;
        let is_comparable =
            !is_of_earlier_generation || !watch.is_generation_known || has_begun_anew;
        watch.list.version = update.version;
        if !is_comparable && !update.is_complete {
            // A watch from before the versions began anew, as at another address of discovery: its changes count, but
            // their versions can't be compared with those of the list.
            self.set_endpoints(update);
            return MergeOutcome::Merged;
        }
        if has_begun_anew && !is_of_earlier_generation {
            self.position.generation += 1;
        } else if update.version < self.position.version {
            watch.list.generation = self.position.generation;
            watch.is_generation_known = true;
            return MergeOutcome::Outdated;
        }
        self.position.version = update.version;
        *watch = WatchPosition {
            list: self.position,
            is_generation_known: true,
        };
        self.set_endpoints(update);
        MergeOutcome::Merged
    }

    /// Merges an update from the other process. A complete list of the same position replaces this one only if
    /// `replaces_equal` is set. Changes are merged only if this list contains all that precede them.
    pub(crate) fn merge_shared(
        &mut self,
        update: &SharedUpdate,
        replaces_equal: bool,
    ) -> MergeOutcome {
        let is_newer =
            update.position > self.position || (replaces_equal && update.position == self.position);
        let is_mergeable = match update.previous_version {
            None => true,
            Some(previous_version) => {
                update.position.generation == self.position.generation
                    && previous_version <= self.position.version
            }
        };
        if !is_newer || !is_mergeable {
            return MergeOutcome::Outdated;
        }
        self.position = update.position;
        if update.previous_version.is_none() {
            self.endpoints.clear();
        }
        for endpoint in &update.endpoints {
            self.set_endpoint(endpoint);
        }
        MergeOutcome::Merged
    }

    fn set_endpoints(&mut self, update: &EndpointListUpdate) {
        if update.is_complete {
            self.endpoints.clear();
        }
        for endpoint in &update.endpoints {
            self.set_endpoint(endpoint);
        }
    }

    fn set_endpoint(&mut self, endpoint: &Arc<ListedEndpoint>) {
        if endpoint.parsed_health() == Ok(Health::Removed) {
            self.endpoints.remove(&endpoint.server);
        } else {
            self.endpoints
                .insert(endpoint.server.clone(), Arc::clone(endpoint));
        }
    }
}

#[cfg(test)]
mod tests;
