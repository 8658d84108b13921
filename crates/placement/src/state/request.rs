//! What a node keeps of each request, from its arrival to the end of its connection.

use crate::state::server::Server;
use crate::state::server_table::ServerSlot;
use crate::{Class, Timestamp};

/// A send to a server, and what came of it.
pub(crate) struct Attempt {
    pub(crate) server: ServerSlot,
    /// Inherited, or the first attempt of a connection in mid-flow: its holder has nothing to set up, so it neither
    /// takes a slot of the setup window nor teaches how long a setup takes.
    pub(crate) skips_setup: bool,
    pub(crate) sent_at: Timestamp,
    pub(crate) is_established: bool,
    /// The client of its connection was asked to reconnect.
    pub(crate) is_migrated: bool,
}

/// Where and when an attempt may have been executed.
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
    /// The server whose health check ends the wait early, or `UNKNOWN`.
    pub(crate) awaited_server: ServerSlot,
    pub(crate) until: Timestamp,
}

#[derive(Default)]
pub(crate) struct RequestState {
    /// The position of its class in the present settings, past their end if the class was dropped.
    pub(crate) class: usize,
    /// The rules of its class when it arrived; it keeps them whatever the settings are by now.
    pub(crate) class_rules: Option<Class>,
    pub(crate) max_attempts: u32,
    pub(crate) tenant: Option<usize>,
    pub(crate) is_reconnect: bool,
    /// The hash of its group.
    pub(crate) group: Option<u32>,
    /// The hash by which servers are ranked for it: that of its group, else of its client.
    pub(crate) key: u32,
    /// The hash of its own key, whatever its group: it differs between the connections of a group.
    pub(crate) connection_key: u32,
    /// Which of a split group's servers it starts at, as a part of them: the same at every node.
    pub(crate) split_position: f64,
    /// Its load, if declared or observed.
    pub(crate) load: Option<f64>,
    /// What it adds to its server's load now.
    pub(crate) accounted_load: f64,
    pub(crate) deadline: Timestamp,
    pub(crate) is_mid_flow: bool,
    pub(crate) attempt_count: u32,
    pub(crate) tried_servers: Vec<ServerSlot>,
    pub(crate) in_flight: Option<Attempt>,
    /// The earliest attempt that may have been executed.
    pub(crate) possible_execution: Option<PossibleExecution>,
    /// Answered or abandoned; kept only until the end of its attempt is reported.
    pub(crate) is_finished: bool,
    pub(crate) deferral: Option<Deferral>,
}

impl RequestState {
    /// Whether its connection is established and nothing has been said that ends it.
    pub(crate) fn is_established(&self) -> bool {
        let in_flight = self.in_flight.as_ref();
        !self.is_finished && in_flight.is_some_and(|attempt| attempt.is_established)
    }

    /// Whether many like it may come to all nodes at the same moment: connections break and servers drain for all clients at
    /// once, and what fails at one server is tried again at the next.
    pub(crate) fn may_come_in_wave(&self) -> bool {
        self.is_reconnect || self.attempt_count > 0
    }

    /// Whether it continues a connection in mid-flow and has not been sent yet.
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
    pub(crate) fn on_health_check_of(&mut self, slot: ServerSlot) {
        self.deferral = self
            .deferral
            .filter(|deferral| deferral.awaited_server != slot);
    }
}
