//! The request ids that are in use at this node. A request claims its id before anything is done for it, and the claim
//! holds until the request has ended. While the node has two processes, an id is in use if either has claimed it: each
//! process publishes its claims in a file, see [`super::request_table`].
//!
//! If the class of a request does not allow it to be repeated, its id can't be claimed again once the request may have
//! been executed, see [`super::executed_requests`].

use super::executed_requests::{ExecutedRequests, OtherProcesses};
use super::request_table::{NodeTables, SharedTables, SlotOffset};
use super::runtime_files::RuntimeFiles;
use lupincrank_placement::{Outcome, RequestId, RetrySafety, Settings};
use lupincrank_reactor::ComponentId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use thiserror::Error;

/// The request id can't be claimed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum ClaimError {
    /// The id is in use.
    #[error(transparent)]
    InUse(#[from] ClaimConflict),
    /// A request with this id may have been executed and must not be executed again.
    #[error("may have been executed")]
    Executed,
}

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

/// Whether a request may be executed again under the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Repetition {
    /// Executing it again is harmless.
    Allowed,
    /// Once it may have been executed, its id is not accepted again.
    Forbidden,
}

impl Repetition {
    /// Returns what the class at this index allows. A class that the settings do not contain allows nothing.
    pub(crate) fn of_class(settings: &Settings, class: usize) -> Repetition {
        match settings.classes.get(class).map(|class| class.retry_safety) {
            Some(RetrySafety::Idempotent) => Repetition::Allowed,
            _ => Repetition::Forbidden,
        }
    }
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
    executed: ExecutedRequests,
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
        let others = if tables.is_other_process_running()? {
            OtherProcesses::Running
        } else {
            OtherProcesses::None
        };
        state.executed.open_files(files, tables.own_index, others)?;
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
    /// If the id is in use, or its request may have been executed. If two processes claim an id in the same moment, at
    /// most one of them succeeds: each publishes its claim before it looks at the other's. Executed requests are looked
    /// up last: a request is added to them before its claim is released.
    pub(crate) fn claim(
        &self,
        request: RequestId,
        owner: ComponentId,
        repetition: Repetition,
    ) -> Result<RequestClaim, ClaimError> {
        let claim = self.claim_unused(request, owner, repetition);
        if self.state.borrow().executed.contains(request) {
            return Err(ClaimError::Executed);
        }
        Ok(claim?)
    }

    fn claim_unused(
        &self,
        request: RequestId,
        owner: ComponentId,
        repetition: Repetition,
    ) -> Result<RequestClaim, ClaimConflict> {
        let claim = self.take_over(request, owner, repetition)?;
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
        repetition: Repetition,
    ) -> Result<RequestClaim, ClaimConflict> {
        if let Some(owner) = self.owner(request) {
            return Err(ClaimConflict::ThisProcess(owner));
        }
        self.state.borrow_mut().insert(request, owner);
        Ok(RequestClaim {
            request,
            repetition,
            execution: Execution::NotSent,
            state: Rc::clone(&self.state),
        })
    }

    /// The component of the request of this process that has claimed the id.
    pub(crate) fn owner(&self, request: RequestId) -> Option<ComponentId> {
        let state = self.state.borrow();
        state.entries.get(&request).map(|entry| entry.owner)
    }
}

/// How far the execution of a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Execution {
    /// It was not sent, or each attempt is known not to have been executed.
    NotSent,
    /// Its first attempt is in flight.
    InFlight,
    /// An attempt may have been executed.
    Possible,
}

/// A request's claim of its id; released when dropped.
pub(crate) struct RequestClaim {
    request: RequestId,
    repetition: Repetition,
    execution: Execution,
    state: Rc<RefCell<ClaimState>>,
}

impl RequestClaim {
    /// Records that an attempt is about to be sent: from now on the request may be executed, whatever becomes of its
    /// client and of this process.
    pub(crate) fn record_send(&mut self) {
        if self.execution != Execution::NotSent {
            return;
        }
        self.execution = Execution::InFlight;
        if self.repetition == Repetition::Forbidden {
            self.state.borrow_mut().executed.insert(self.request);
        }
    }

    /// Records the outcome of an attempt.
    pub(crate) fn record_outcome(&mut self, outcome: Outcome) {
        if self.execution != Execution::InFlight {
            return;
        }
        if !outcome.proves_not_executed() {
            self.execution = Execution::Possible;
            return;
        }
        self.execution = Execution::NotSent;
        if self.repetition == Repetition::Forbidden {
            self.state.borrow_mut().executed.remove(self.request);
        }
    }

    /// Records that the request's connection is established at a server.
    pub(crate) fn record_established(&mut self) {
        self.record_send();
        self.execution = Execution::Possible;
    }
}

impl Drop for RequestClaim {
    fn drop(&mut self) {
        self.state.borrow_mut().remove(self.request);
    }
}

#[cfg(test)]
mod tests;
