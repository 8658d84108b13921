//! The state of each request, from its arrival to the end of its connection.

use crate::state::server::Server;
use crate::state::server_table::ServerSlot;
use crate::{Class, Timestamp};

/// An attempt on a server and its state.
pub(crate) struct Attempt {
    pub(crate) server: ServerSlot,
    /// Whether the connection was inherited, or this is the first attempt of a connection in mid-flow. Nothing has to
    /// be set up at its server then, so it neither counts in the setup window nor provides a setup duration.
    pub(crate) skips_setup: bool,
    pub(crate) sent_at: Timestamp,
    pub(crate) is_established: bool,
    /// Whether its client was asked to reconnect.
    pub(crate) is_migrated: bool,
}

/// The place and time at which an attempt may have been executed.
#[derive(Clone, Copy)]
pub(crate) struct PossibleExecution {
    pub(crate) zone: u32,
    pub(crate) cell: u32,
    pub(crate) sent_at: Timestamp,
}

impl PossibleExecution {
    pub(crate) fn new(server: &Server, sent_at: Timestamp) -> PossibleExecution {
        PossibleExecution {
            zone: server.zone,
            cell: server.cell,
            sent_at,
        }
    }
}

/// A wait before the next attempt.
#[derive(Clone, Copy)]
pub(crate) struct Deferral {
    /// The server whose health check result ends the wait early, or `UNKNOWN`.
    pub(crate) awaited_server: ServerSlot,
    pub(crate) until: Timestamp,
}

#[derive(Default)]
pub(crate) struct RequestState {
    /// The index of its class in the present settings, past their end if the class was dropped.
    pub(crate) class: usize,
    /// The rules of its class at its arrival, which later settings do not change.
    pub(crate) class_rules: Option<Class>,
    pub(crate) max_attempts: u32,
    pub(crate) tenant: Option<usize>,
    pub(crate) is_reconnect: bool,
    /// The hash of its group.
    pub(crate) group: Option<u32>,
    /// The hash by which servers are ranked for the request: that of its group if it has one, else that of its client.
    pub(crate) key: u32,
    /// The hash of its own key, which differs between the connections of a group.
    pub(crate) connection_key: u32,
    /// Where its ranking starts among the servers of a split group, as a fraction of them. For a first connection it
    /// follows from the key, so it is the same at every node; for a reconnect it is random.
    pub(crate) split_position: f64,
    /// The declared or observed load, if any.
    pub(crate) load: Option<f64>,
    /// The load with which it is accounted on its server at present.
    pub(crate) accounted_load: f64,
    pub(crate) deadline: Timestamp,
    pub(crate) is_mid_flow: bool,
    pub(crate) attempt_count: u32,
    pub(crate) tried_servers: Vec<ServerSlot>,
    pub(crate) in_flight: Option<Attempt>,
    /// The earliest attempt that may have been executed.
    pub(crate) possible_execution: Option<PossibleExecution>,
    /// Whether it was answered or abandoned, and is kept only until the end of its attempt is reported.
    pub(crate) is_finished: bool,
    pub(crate) deferral: Option<Deferral>,
}

impl RequestState {
    /// Returns true if the connection is established and the request is not finished.
    pub(crate) fn is_established(&self) -> bool {
        let in_flight = self.in_flight.as_ref();
        !self.is_finished && in_flight.is_some_and(|attempt| attempt.is_established)
    }

    /// Returns true if the request may be part of a wave: connections break and servers drain for many clients at once,
    /// which then reconnect to all nodes, and requests that fail at one server are retried at the next.
    pub(crate) fn may_be_in_wave(&self) -> bool {
        self.is_reconnect || self.attempt_count > 0
    }

    /// Returns true if the request continues a connection in mid-flow and has not been sent to any server.
    pub(crate) fn is_first_mid_flow_attempt(&self) -> bool {
        self.is_mid_flow && self.attempt_count == 0
    }

    pub(crate) fn begin_attempt(&mut self, attempt: Attempt) {
        self.attempt_count += 1;
        self.deferral = None;
        self.tried_servers.push(attempt.server);
        self.in_flight = Some(attempt);
    }

    /// The server of its attempt in flight.
    pub(crate) fn server(&self) -> Option<ServerSlot> {
        self.in_flight.as_ref().map(|attempt| attempt.server)
    }

    /// Ends a wait for the health check of this server.
    pub(crate) fn end_wait_for_health_check(&mut self, slot: ServerSlot) {
        self.deferral = self
            .deferral
            .filter(|deferral| deferral.awaited_server != slot);
    }
}
