//! The request ids that are in use at this node. A request claims its id before anything is done for it, and the claim
//! holds until the request has ended. While the node has two processes, an id is in use if either has claimed it: each
//! process publishes its claims in a file, see [`super::request_table`].

use super::request_table::{NodeTables, SharedTables, SlotOffset};
use super::runtime_files::RuntimeFiles;
use lupincrank_placement::RequestId;
use lupincrank_reactor::ComponentId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use thiserror::Error;

/// The request id is in use.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum ClaimConflict {
    /// The request of this component of the same process has claimed the id.
    #[error("in use in this process")]
    ThisProcess(ComponentId),
    /// A request of another process of the node has claimed the id.
    #[error("in use in the other process")]
    OtherProcess,
}

/// A claim of this process.
struct ClaimEntry {
    /// The component of the request's client.
    owner: ComponentId,
    /// Where the claim is published; `None` if it is not.
    slot: Option<SlotOffset>,
}

#[derive(Default)]
struct ClaimState {
    entries: HashMap<RequestId, ClaimEntry>,
    tables: SharedTables,
}

impl ClaimState {
    fn insert(&mut self, request: RequestId, owner: ComponentId) {
        let tables = self.tables.borrow();
        // A claim that can't be published holds in this process.
        let slot = tables
            .as_ref()
            .and_then(|tables| tables.own.insert(request).ok());
        self.entries.insert(request, ClaimEntry { owner, slot });
    }

    fn remove(&mut self, request: RequestId) {
        let slot = self.entries.remove(&request).and_then(|entry| entry.slot);
        if let (Some(tables), Some(slot)) = (&*self.tables.borrow(), slot) {
            // If this fails, the other process asks this one whether the id is in use.
            let _ = tables.own.remove(slot);
        }
    }

    /// Returns true if another process has claimed the id. A table that can't be read contains none.
    fn is_claimed_elsewhere(&self, request: RequestId) -> bool {
        self.tables.borrow().as_ref().is_some_and(|tables| {
            let mut others = tables.others.iter();
            others.any(|table| table.contains(request).unwrap_or(false))
        })
    }
}

/// The claims of this process, and access to those of the other processes of the node.
#[derive(Clone, Default)]
pub(crate) struct RequestClaims {
    state: Rc<RefCell<ClaimState>>,
}

impl RequestClaims {
    /// Publishes the claims of this process in the files of the node, unless it has done so.
    ///
    /// # Errors
    /// If the files can't be opened or created.
    pub(super) fn publish(&self, files: &RuntimeFiles, max_requests: usize) -> io::Result<()> {
        let mut state = self.state.borrow_mut();
        if state.tables.borrow().is_some() {
            return Ok(());
        }
        let tables = NodeTables::open(&files.request_table_paths(), max_requests)?;
        for (request, entry) in &mut state.entries {
            entry.slot = tables.own.insert(*request).ok();
        }
        state.tables.replace(Some(tables));
        Ok(())
    }

    /// The tables, once the claims are published.
    pub(crate) fn tables(&self) -> SharedTables {
        Rc::clone(&self.state.borrow().tables)
    }

    /// Claims the id for the request of the client at the component `owner`.
    ///
    /// # Errors
    /// If the id is in use. If two processes claim an id in the same moment, at most one of them succeeds: each
    /// publishes its claim before it looks at the other's.
    pub(crate) fn claim(
        &self,
        request: RequestId,
        owner: ComponentId,
    ) -> Result<RequestClaim, ClaimConflict> {
        let claim = self.take_over(request, owner)?;
        if self.state.borrow().is_claimed_elsewhere(request) {
            return Err(ClaimConflict::OtherProcess);
        }
        Ok(claim)
    }

    /// Claims the id of a request that another process of the node hands over and has claimed too.
    ///
    /// # Errors
    /// If the id is in use in this process.
    pub(crate) fn take_over(
        &self,
        request: RequestId,
        owner: ComponentId,
    ) -> Result<RequestClaim, ClaimConflict> {
        if let Some(owner) = self.owner(request) {
            return Err(ClaimConflict::ThisProcess(owner));
        }
        self.state.borrow_mut().insert(request, owner);
        Ok(RequestClaim {
            request,
            state: Rc::clone(&self.state),
        })
    }

    /// The component of the request of this process that has claimed the id.
    pub(crate) fn owner(&self, request: RequestId) -> Option<ComponentId> {
        let state = self.state.borrow();
        state.entries.get(&request).map(|entry| entry.owner)
    }
}

/// A request's claim of its id; released when dropped.
pub(crate) struct RequestClaim {
    request: RequestId,
    state: Rc<RefCell<ClaimState>>,
}

impl Drop for RequestClaim {
    fn drop(&mut self) {
        self.state.borrow_mut().remove(self.request);
    }
}

#[cfg(test)]
mod tests;
