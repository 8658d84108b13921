//! The sections of a scenario, each key with its default.

use serde::{Deserialize, Serialize};

macro_rules! section {
    ($(#[$doc:meta])* $name:ident { $($(#[$fdoc:meta])* $field:ident : $type:ty = $default:expr),* $(,)? }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct $name { $($(#[$fdoc])* pub $field: $type),* }
        impl Default for $name {
            fn default() -> Self {
                $name { $($field: $default),* }
            }
        }
    };
}

section! {
    /// The transcribers.
    Fleet {
        /// How many run at the start.
        transcribers: u32 = 13,
        /// Kinds of machines; each takes its share of the fleet.
        kind: Vec<Kind> = vec![Kind::default()],
        /// Mean connections that fill one core of speed 1.
        per_core: f64 = 30.0,
        /// Connections that a transcriber accepts, as a multiple of those that fill it; 0 for no cap.
        cap: f64 = 1.7,
        /// ... or as a number, which goes first; 0 for none.
        cap_connections: u32 = 0,
        /// Seconds of piled-up work past which connections are dropped.
        buffer_s: f64 = 1.5,
        /// Work of one message in ms on an idle core of speed 1, bursts included.
        message_ms: f64 = 5.0,
        /// Work of each group that a transcriber holds any of, in mean connection loads.
        group_cost: f64 = 1.5,
        /// Clients are asked to leave bit by bit while a transcriber drains.
        goaway: bool = true,
        /// How far the list's weights may be from the true capacity, as a share.
        weight_error: f64 = 0.3,
    }
}

section! {
    /// A kind of machine.
    Kind {
        /// Its name.
        name: String = "std-2c".into(),
        /// Its share of the fleet, relative to the other kinds'.
        share: f64 = 1.0,
        /// Cores.
        cores: u32 = 2,
        /// Speed of a core.
        speed: f64 = 1.0,
        /// Coefficient of variation of the speed from machine to machine.
        speed_cv: f64 = 0.0,
        /// Set-ups in work at once; 0 for as many as cores.
        slots: u32 = 0,
        /// Set-ups that may wait; those beyond are turned away.
        queue: u32 = 8,
        /// How much less it does for each multiple of its capacity that is asked of it beyond that.
        thrash: f64 = 0.3,
        /// The share of its capacity that a cold one starts with.
        cold_from: f64 = 0.4,
        /// Seconds until it is warm.
        cold_s: f64 = 6.0,
        /// Mean seconds between pauses; 0 for none.
        pause_every_s: f64 = 0.0,
        /// Length of a pause in ms.
        pause_ms: f64 = 0.0,
        /// Share of set-ups that end in an error.
        error_rate: f64 = 0.0,
    }
}

section! {
    /// The nodes.
    Nodes {
        /// How many.
        count: u32 = 2,
        /// Attempts for one request.
        attempts: u32 = 3,
        /// Clients are told when to come again, up to this many ms; 0 for not at all.
        retry_after_ms: f64 = 2000.0,
        /// What a node sees of messages: `all` tells their delay once a second, `sockets` only what set-ups
        /// that take long tell (lines are returned at once however crowded a transcriber is), `none` nothing.
        delays: Delays = Delays::All,
        /// Nodes hear of each connection's load.
        loads: bool = true,
        /// Seconds after which connections without answers are told as silent; 0 for never.
        silence_s: f64 = 1.0,
        /// Time in which a connection must come up, in ms.
        connect_timeout_ms: f64 = 150.0,
        /// Seconds after which the front leaves out a dead node.
        front_notice_s: f64 = 2.0,
    }
}

/// What a node sees of message delays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Delays {
    /// Their delay, once a second.
    All,
    /// Only set-ups that take long.
    Sockets,
    /// Nothing.
    None,
}

section! {
    /// Zones and delays, one way.
    Net {
        /// Zones; transcribers and nodes are spread over them in turn.
        zones: u32 = 2,
        /// Within a zone, ms.
        same_ms: f64 = 0.2,
        /// Between zones, ms.
        cross_ms: f64 = 4.0,
        /// Between a client and its node, ms.
        client_ms: f64 = 0.8,
        /// Coefficient of variation of each delay.
        jitter: f64 = 0.15,
        /// Round trips before the first line of a connection is sent.
        handshake_rtts: f64 = 2.0,
    }
}

section! {
    /// Discovery: one service that handles calls one after another.
    Discovery {
        /// Calls a second.
        capacity: f64 = 5.0,
        /// A call that waits longer fails, s.
        timeout_s: f64 = 3.0,
        /// Seconds until it knows that a process drains or is gone.
        notice_s: f64 = 1.5,
        /// ... or that a machine went silent.
        silent_notice_s: f64 = 9.0,
        /// ... or that a process started.
        add_s: f64 = 1.0,
        /// Changes reach each node within this many ms of each other.
        spread_ms: f64 = 50.0,
        /// Its clock is ahead by so many seconds in what it says of starts.
        clock_ahead_s: f64 = 0.0,
    }
}

section! {
    /// Clients.
    Clients {
        /// Arrivals as a share of what the fleet can carry; used where `rate` is 0.
        load: f64 = 0.5,
        /// New connections a second.
        rate: f64 = 0.0,
        /// The rate over time: pairs of a second and a multiple, straight lines between.
        shape: Vec<[f64; 2]> = vec![],
        /// The world starts with the connections that such arrivals leave standing.
        warm_start: bool = true,
        /// Share of those that stand elsewhere than by rendezvous.
        start_skew: f64 = 0.1,
        /// Mean seconds that a client wants its connection.
        life_s: f64 = 90.0,
        /// Spread of lives: sigma of a log-normal; 0 for exponential lives.
        life_sigma: f64 = 1.0,
        /// Mean connections of a group; 0 for no groups.
        group_size: f64 = 8.0,
        /// Skew of group sizes.
        group_zipf: f64 = 0.7,
        /// Retries of one try inside its deadline.
        retries: u32 = 1,
        /// Wait before a retry, ms; doubled each time.
        backoff_ms: f64 = 60.0,
        /// Clients that were refused, failed or cut off come again until they are done.
        comes_back: bool = true,
        /// Most time until a client is back after a break, ms; the least is 50.
        rejoin_ms: f64 = 1900.0,
        /// Time until a moved client is back, ms.
        move_ms: f64 = 60.0,
        /// Share of clients that heed the wait they are told.
        honour: f64 = 0.9,
        /// Clients at once; arrivals beyond are counted as turned away. Bounds what the world holds.
        most: u32 = 1_000_000,
        /// Messages: one every so many seconds.
        message_every_s: f64 = 2.0,
    }
}

section! {
    /// The rules' figures, as they are told to the nodes.
    Rules {
        /// Nothing new to a transcriber so long after it was told to drain, ms.
        drain_grace_ms: f64 = 500.0,
        /// A final answer may come so long after the deadline, ms.
        answer_slack_ms: f64 = 20.0,
        /// The told share of its capacity that a cold one starts with, at the least.
        start_capacity: f64 = 0.3,
        /// The told time until it is warm, s.
        cold_s: f64 = 8.7,
        /// A cold one falls over at this multiple of what it can do.
        fall_multiple: f64 = 3.0,
        /// ... kept up so long, s.
        fall_s: f64 = 3.0,
    }
}

section! {
    /// Parts of the figure for service and what is taken off it.
    Goal {
        /// Weight of the whole run.
        whole: f64 = 0.55,
        /// Weight of the worst 10 s.
        worst_window: f64 = 0.15,
        /// Weight of the worst class.
        worst_class: f64 = 0.3,
        /// Taken off for work wasted, as much as was asked for.
        waste: f64 = 0.25,
        /// ... for each first try crossing zones once.
        cross_zone: f64 = 0.1,
        /// ... for each client moved once.
        moves: f64 = 0.022,
    }
}

section! {
    /// A class of requests.
    Class {
        /// Its name.
        name: String = "live-captions".into(),
        /// Its share of new connections, relative to the others'.
        share: f64 = 1.0,
        /// Its load relative to the usual.
        load: f64 = 1.0,
        /// Its life relative to the usual.
        life: f64 = 1.0,
        /// Sigma of the log-normal of loads from connection to connection.
        load_sigma: f64 = 0.7,
        /// ... and over a connection's life.
        swing_sigma: f64 = 0.5,
        /// Mean seconds between changes of load; 0 for none.
        change_s: f64 = 10.0,
        /// Share of the time without load.
        idle: f64 = 0.2,
        /// Work of a set-up in ms on a core of speed 1.
        work_ms: f64 = 8.0,
        /// Coefficient of variation of that work: 1 is exponential, 0 fixed, others gamma.
        work_cv: f64 = 1.0,
        /// Set-ups are wanted within, ms.
        aim_ms: f64 = 300.0,
        /// A try is given up after, ms.
        deadline_ms: f64 = 1800.0,
        /// Messages are wanted within, ms.
        message_aim_ms: f64 = 150.0,
        /// Worth of a second.
        worth: f64 = 1.0,
    }
}

pub(super) fn default_classes() -> Vec<Class> {
    vec![Class::default()]
}
