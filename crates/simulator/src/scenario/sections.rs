//! The sections of a scenario with the defaults of their keys.

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
    /// The servers.
    Fleet {
        /// Number of servers at the start.
        transcribers: u32 = 13,
        /// Machine kinds, in the proportion of their shares.
        kind: Vec<MachineKind> = vec![MachineKind::default()],
        /// Mean number of connections that saturate one core of speed 1.
        per_core: f64 = 30.0,
        /// Connection limit of a server, as a multiple of the number that saturates it; 0 for no limit.
        cap: f64 = 1.7,
        /// Absolute connection limit of a server, which overrides `cap`; 0 to use `cap`.
        cap_connections: u32 = 0,
        /// Backlog in seconds of work beyond which a server drops connections.
        buffer_s: f64 = 1.5,
        /// Work per message in ms on an idle core of speed 1, bursts included.
        message_ms: f64 = 5.0,
        /// Extra load of each group with a connection on a server, in units of the mean connection load.
        group_cost: f64 = 1.5,
        /// Whether a draining server gradually asks its clients to reconnect elsewhere.
        goaway: bool = true,
        /// Largest relative error of the weights in the endpoint list.
        weight_error: f64 = 0.3,
    }
}

section! {
    /// A kind of machine.
    MachineKind {
        /// The name of the machine kind.
        name: String = "std-2c".into(),
        /// Share of the fleet, relative to the shares of the other kinds.
        share: f64 = 1.0,
        /// Number of cores.
        cores: u32 = 2,
        /// Speed of a core.
        speed: f64 = 1.0,
        /// Coefficient of variation of the speed from machine to machine.
        speed_cv: f64 = 0.0,
        /// Number of concurrent setups; 0 for one per core.
        slots: u32 = 0,
        /// Length of the setup queue; setups beyond it are rejected.
        queue: u32 = 8,
        /// Loss of throughput under overload: capacity is divided by 1 + `thrash` * (load / capacity - 1).
        thrash: f64 = 0.3,
        /// Fraction of its capacity that a server has when it starts.
        cold_from: f64 = 0.4,
        /// Duration of the warm-up, s.
        cold_s: f64 = 6.0,
        /// Mean seconds between pauses; 0 for none.
        pause_every_s: f64 = 0.0,
        /// Length of a pause in ms.
        pause_ms: f64 = 0.0,
        /// Fraction of setups that end in an error.
        error_rate: f64 = 0.0,
    }
}

section! {
    /// The nodes.
    Nodes {
        /// Number of nodes.
        count: u32 = 2,
        /// Maximum number of attempts per request.
        attempts: u32 = 3,
        /// Longest retry delay that a rejection contains, ms; 0 for none.
        retry_after_ms: f64 = 2000.0,
        /// The message delays that a node observes: `all` reports them once a second, `none` never. `sockets`
        /// reports only unusually long setups, as an overloaded server still echoes lines at once.
        delays: DelayVisibility = DelayVisibility::All,
        /// Whether nodes receive the load of each connection.
        loads: bool = true,
        /// Seconds without answers after which connections are reported as unresponsive; 0 for never.
        silence_s: f64 = 1.0,
        /// Connect timeout, ms.
        connect_timeout_ms: f64 = 150.0,
        /// Seconds after which the front load balancer stops assigning clients to a failed node.
        front_notice_s: f64 = 2.0,
    }
}

/// The message delays that a node observes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DelayVisibility {
    /// Message delays, once a second.
    All,
    /// The delays of unusually long setups only.
    Sockets,
    /// No delays.
    None,
}

section! {
    /// Zones and one-way network delays.
    Net {
        /// Number of zones; servers and nodes are assigned to them in rotation.
        zones: u32 = 2,
        /// Delay within a zone, ms.
        same_ms: f64 = 0.2,
        /// Delay between zones, ms.
        cross_ms: f64 = 4.0,
        /// Delay between a client and its node, ms.
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
        /// Calls answered per second.
        capacity: f64 = 5.0,
        /// Longest wait of a call in the queue before it fails, s.
        timeout_s: f64 = 3.0,
        /// Seconds until discovery learns that a process drains or has ended.
        notice_s: f64 = 1.5,
        /// Seconds until discovery learns that a machine has stopped answering.
        silent_notice_s: f64 = 9.0,
        /// Seconds until discovery learns that a process has started.
        add_s: f64 = 1.0,
        /// Longest delay of a change notification to a node, ms; drawn for each node and change.
        spread_ms: f64 = 50.0,
        /// Seconds by which the start times that discovery reports are ahead.
        clock_ahead_s: f64 = 0.0,
    }
}

section! {
    /// The clients.
    Clients {
        /// Offered load as a fraction of the fleet's capacity; used if `rate` is 0.
        load: f64 = 0.5,
        /// New connections per second; 0 to derive the rate from `load`.
        rate: f64 = 0.0,
        /// Factor of the arrival rate over time: pairs of a second and a factor, interpolated linearly.
        shape: Vec<[f64; 2]> = vec![],
        /// Whether the run starts with the connections that this arrival rate keeps established.
        warm_start: bool = true,
        /// Fraction of these initial connections that are on a random server, not on the top-ranked one.
        start_skew: f64 = 0.1,
        /// Mean time for which a client requests a connection, s.
        life_s: f64 = 90.0,
        /// Sigma of the log-normal distribution of that time; 0 for an exponential distribution.
        life_sigma: f64 = 1.0,
        /// Mean number of connections per group; 0 for no groups.
        group_size: f64 = 8.0,
        /// Zipf exponent of the group sizes.
        group_zipf: f64 = 0.7,
        /// Retries of a client's request within its deadline.
        retries: u32 = 1,
        /// Wait before the first retry, ms; doubled for each further retry.
        backoff_ms: f64 = 60.0,
        /// Whether clients connect again after a rejection, a failure or a broken connection.
        comes_back: bool = true,
        /// Longest time until a client reconnects after its connection broke, ms; the shortest is 50.
        rejoin_ms: f64 = 1900.0,
        /// Mean time until a migrated client reconnects, ms.
        move_ms: f64 = 60.0,
        /// Fraction of clients that honour the retry delay of a rejection.
        honour: f64 = 0.9,
        /// Maximum number of clients; further arrivals are counted as turned away. Bounds memory use.
        most: u32 = 1_000_000,
        /// Seconds between two messages of a connection.
        message_every_s: f64 = 2.0,
    }
}

section! {
    /// Parameters of the rules. The nodes' settings contain them too.
    Rules {
        /// Time for which a node may send attempts to a server after it learns that the server drains, ms.
        drain_grace_ms: f64 = 500.0,
        /// Tolerated delay of a final answer after the deadline, ms.
        answer_slack_ms: f64 = 20.0,
        /// Minimum fraction of its capacity that a server has when it starts, in the nodes' settings.
        start_capacity: f64 = 0.3,
        /// Duration of the warm-up in the nodes' settings, s.
        cold_s: f64 = 8.7,
        /// Load that makes a server fail during slow start if it lasts `fall_s`, as a multiple of the server's capacity
        /// for new connections.
        fall_multiple: f64 = 3.0,
        /// Duration of that overload after which the server fails, s.
        fall_s: f64 = 3.0,
    }
}

section! {
    /// Weights of the parts of the service score, and penalties that are subtracted from it.
    Goal {
        /// Weight of the whole run.
        whole: f64 = 0.55,
        /// Weight of the worst 10 seconds.
        worst_window: f64 = 0.15,
        /// Weight of the worst class.
        worst_class: f64 = 0.3,
        /// Penalty if all work is wasted; proportionally less for a fraction of it.
        waste: f64 = 0.25,
        /// Penalty per cross-zone attempt, relative to the number of first requests.
        cross_zone: f64 = 0.1,
        /// Penalty per migration, relative to the number of first requests.
        moves: f64 = 0.022,
    }
}

section! {
    /// A class of requests.
    Class {
        /// The name of the class.
        name: String = "live-captions".into(),
        /// Share of new connections, relative to the shares of the other classes.
        share: f64 = 1.0,
        /// Load of a connection, relative to the other classes.
        load: f64 = 1.0,
        /// Connection lifetime, as a multiple of `clients.life_s`.
        life: f64 = 1.0,
        /// Sigma of the log-normal distribution of the load between connections.
        load_sigma: f64 = 0.7,
        /// Sigma of the log-normal distribution of the load over the lifetime of a connection.
        swing_sigma: f64 = 0.5,
        /// Mean seconds between load changes; 0 for none.
        change_s: f64 = 10.0,
        /// Fraction of the time without load.
        idle: f64 = 0.2,
        /// Mean work of a setup in ms on a core of speed 1.
        work_ms: f64 = 8.0,
        /// Coefficient of variation of that work: 0 is constant, 1 exponential, other values gamma.
        work_cv: f64 = 1.0,
        /// Setup objective, ms.
        aim_ms: f64 = 300.0,
        /// Deadline of a request, ms.
        deadline_ms: f64 = 1800.0,
        /// Message delay objective, ms.
        message_aim_ms: f64 = 150.0,
        /// Weight of a connection-second in the service score.
        worth: f64 = 1.0,
    }
}

pub(super) fn default_classes() -> Vec<Class> {
    vec![Class::default()]
}
