//! What a gateway keeps of each request, from its coming to the end of its connection.

use crate::state::fleet::Server;
use crate::state::server_table::ServerSlot;
use crate::{Class, IdempotencyScope, RetrySafety, Timestamp};
use std::time::Duration;

/// The part of the set-up aim that an attempt waits before the next server.
const PATIENCE: f64 = 0.4;

/// A send and what came of it.
pub struct Attempt {
    pub server: ServerSlot,
    /// Inherited, or the first try of a mid-flow connection: at its holder there is nothing to set up, so it
    /// neither takes a slot of the window nor teaches how long a set-up takes.
    pub skips_setup: bool,
    pub sent_at: Timestamp,
    pub is_established: bool,
}

/// A request as it was taken, and how far it has come.
#[derive(Default)]
pub struct RequestState {
    /// The position of its class in the present settings, past their end if it is dropped; and the rules that it came
    /// under, to which it is held whatever the settings are by now.
    pub class: usize,
    pub class_rules: Option<Class>,
    pub max_attempts: u32,
    pub tenant: Option<usize>,
    pub is_reconnect: bool,
    pub group: Option<u32>,
    pub key: u32,
    /// Which of a split group's servers it starts at, as a part of them: the same at every gateway.
    pub split_position: f64,
    pub load: Option<f64>,
    /// What it adds to its server's `load` now.
    pub accounted_load: f64,
    pub deadline: Timestamp,
    pub is_mid_flow: bool,
    pub attempt_count: u32,
    pub tried_servers: Vec<ServerSlot>,
    pub in_flight: Option<Attempt>,
    /// The earliest attempt that may have run: its zone, its cell and when it was sent.
    pub possible_execution: Option<(u32, u32, Timestamp)>,
    /// Answered or abandoned; kept only until its attempt's end is reported.
    pub is_finished: bool,
    /// Waits for what this server answers to a probe, or after an error, until then at the most.
    pub deferral: Option<(ServerSlot, Timestamp)>,
}

impl RequestState {
    /// Whether its connection stands and nothing has been said that ends it.
    pub fn is_established(&self) -> bool {
        !self.is_finished
            && self
                .in_flight
                .as_ref()
                .is_some_and(|out| out.is_established)
    }

    /// How long its next attempt may wait: short enough that another fits into the aim, longer where the whole fleet is slow
    /// to set up (a shared store, say; `usual` is what a set-up takes in seconds), and without limit where no further attempt is
    /// possible.
    pub fn attempt_timeout(&self, now: Timestamp, usual: f64) -> Duration {
        let left = self.deadline.saturating_duration_since(now);
        let Some(class) = self.class_rules else {
            return left;
        };
        let last = self.attempt_count + 1 >= self.max_attempts
            || class.retry_safety == RetrySafety::NotIdempotent;
        if last || class.setup_objective.is_zero() {
            return left; // where no aim is told nothing says what would be too long
        }
        let first = (class.setup_objective.as_secs_f64() * PATIENCE).max(4.0 * usual);
        Duration::from_secs_f64(first * f64::from(1u32 << self.attempt_count.min(8))).min(left)
    }

    /// Whether what may have run of it leaves this server to it now.
    pub fn may_retry_on(&self, now: Timestamp, server: &Server) -> bool {
        match (
            self.class_rules.map(|class| class.retry_safety),
            self.possible_execution,
        ) {
            (Some(RetrySafety::IdempotencyKey { scope, window }), Some((zone, cell, sent))) => {
                let inside = match scope {
                    IdempotencyScope::All => true,
                    IdempotencyScope::Zone => zone == server.zone,
                    IdempotencyScope::Cell => cell == server.cell,
                };
                inside && now.saturating_duration_since(sent) < window
            }
            (Some(RetrySafety::NotIdempotent), Some(_)) => false,
            _ => true,
        }
    }

    /// Whether its client may be told to come again: nothing of it may have run, or that does no harm.
    pub fn may_be_rejected(&self) -> bool {
        match self.class_rules.map(|class| class.retry_safety) {
            Some(
                RetrySafety::Idempotent
                | RetrySafety::IdempotencyKey {
                    scope: IdempotencyScope::All,
                    ..
                },
            ) => true,
            _ => self.possible_execution.is_none(),
        }
    }
}

/// Whether the server does the shared work of the connection's group already, or there is none to do.
pub fn server_holds_group(request: &RequestState, server: &Server) -> bool {
    request
        .group
        .is_none_or(|group| server.group_connections.contains_key(&group))
}
