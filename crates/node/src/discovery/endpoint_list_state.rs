//! The endpoint list of this process, and how recently discovery has confirmed it. Applies lists from the configuration
//! file, from discovery and from the other process of the node to placement.

use super::endpoint_list::{EndpointListError, EndpointListUpdate, ListedEndpoint};
use super::endpoint_resolver::{listed_starts, EndpointResolver};
use super::merged_list::{
    ListPosition, MergeOutcome, MergedEndpointList, SharedUpdate, WatchPosition,
};
use crate::config::Config;
use crate::placement_driver::{
    EndpointListScope, EndpointListSource, PlacementDriver, MAX_CURRENT_LIST_AGE,
};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The endpoint list of this process.
pub(crate) struct EndpointListState {
    merged: MergedEndpointList,
    resolver: EndpointResolver,
    /// The last time when discovery sent complete data, or refused, failed or closed a call. No change before that time
    /// counts as missed.
    last_contact: Instant,
    /// The last time when discovery confirmed the list, to this process or to the other one: it sent complete data, if
    /// only an empty line.
    confirmed_at: Option<Instant>,
    /// The list was current when this process received it or later. A server that is then listed for the first time has
    /// started since the last contact.
    has_been_current: bool,
}

impl EndpointListState {
    /// Creates the state without an endpoint.
    pub(crate) fn new(config: &Config) -> EndpointListState {
        EndpointListState {
            merged: MergedEndpointList::default(),
            resolver: EndpointResolver::new(config),
            last_contact: Instant::now(),
            confirmed_at: None,
            has_been_current: false,
        }
    }

    /// The position of the list. A watch from its version on brings all changes that the list lacks.
    pub(crate) fn position(&self) -> ListPosition {
        self.merged.position()
    }

    /// The position from which a new call watches the list.
    pub(super) fn watch_position(&self) -> WatchPosition {
        WatchPosition {
            list: self.position(),
            is_generation_known: self.confirmed_at.is_some(),
        }
    }

    /// The complete list, for the other process.
    pub(crate) fn complete_update(&self) -> SharedUpdate {
        self.merged.complete_update()
    }

    /// The last time when discovery confirmed the list, to either process.
    pub(crate) fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// The time since the last contact of this process with discovery.
    pub(crate) fn time_since_contact(&self) -> Duration {
        self.last_contact.elapsed()
    }

    /// Records that discovery refused, failed or closed a call.
    pub(super) fn on_contact(&mut self) {
        self.last_contact = Instant::now();
    }

    /// Records that discovery sent complete data on a watch. Returns true if discovery confirms the list for the first
    /// time.
    pub(super) fn on_watch_data(&mut self) -> bool {
        let now = Instant::now();
        let is_first = self.confirmed_at.is_none();
        self.last_contact = now;
        self.confirmed_at = Some(now);
        self.has_been_current = true;
        is_first
    }

    /// Applies the list of the configuration file, unless the list is newer already.
    ///
    /// # Errors
    /// If an endpoint is invalid; the list is unchanged in this case.
    pub(super) fn apply_known(
        &mut self,
        placement: &mut PlacementDriver,
        update: &EndpointListUpdate,
    ) -> Result<(), EndpointListError> {
        update.check()?;
        if self.merged.merge_known(update) == MergeOutcome::Merged {
            let scope = EndpointListScope::from(update);
            self.place(
                placement,
                &update.endpoints,
                scope,
                EndpointListSource::Cache,
            )?;
        }
        Ok(())
    }

    /// Applies an update from discovery, unless the list is newer already. `watch` is the position of the watch before
    /// this update, and is advanced.
    ///
    /// # Errors
    /// If an endpoint is invalid; the list is unchanged in this case.
    pub(super) fn apply_discovery_update(
        &mut self,
        placement: &mut PlacementDriver,
        update: &EndpointListUpdate,
        watch: &mut WatchPosition,
    ) -> Result<MergeOutcome, EndpointListError> {
        update.check()?;
        let outcome = self.merged.merge_discovery(update, watch);
        if outcome == MergeOutcome::Merged {
            let scope = EndpointListScope::from(update);
            if !self.has_been_current {
                placement.on_first_list(listed_starts(&update.endpoints), scope);
            }
            self.place(
                placement,
                &update.endpoints,
                scope,
                EndpointListSource::Discovery,
            )?;
        }
        Ok(outcome)
    }

    /// Applies an update from the other process, unless the list is newer already. `confirmed_at` is the time when
    /// discovery confirmed the other process's list.
    ///
    /// # Errors
    /// If an endpoint is invalid; the list is unchanged in this case.
    pub(crate) fn apply_shared_update(
        &mut self,
        placement: &mut PlacementDriver,
        update: &SharedUpdate,
        confirmed_at: Instant,
    ) -> Result<MergeOutcome, EndpointListError> {
        for endpoint in &update.endpoints {
            endpoint.check()?;
        }
        let is_from_file = self.confirmed_at.is_none();
        let outcome = self.merged.merge_shared(update, is_from_file);
        if outcome == MergeOutcome::Merged {
            let scope = match update.previous_version {
                None => EndpointListScope::Complete,
                Some(_) => EndpointListScope::Changes,
            };
            let source = EndpointListSource::PeerProcess;
            self.place(placement, &update.endpoints, scope, source)?;
        }
        // A newer list contains all that discovery had told the other process by then.
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        self.has_been_current |= confirmed_at.elapsed() <= MAX_CURRENT_LIST_AGE;
        placement.on_peer_list(confirmed_at);
        Ok(outcome)
    }

    fn place(
        &mut self,
        placement: &mut PlacementDriver,
        listed: &[Arc<ListedEndpoint>],
        scope: EndpointListScope,
        source: EndpointListSource,
    ) -> Result<(), EndpointListError> {
        let not_listed_at = self.has_been_current.then_some(self.last_contact);
        let mut endpoints = Vec::with_capacity(listed.len());
        for endpoint in listed {
            endpoints.push(self.resolver.resolve(placement, endpoint, not_listed_at)?);
        }
        placement.apply_endpoint_list(endpoints, scope, source);
        Ok(())
    }
}
