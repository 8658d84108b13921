//! A scenario: the world, its clients and what goes wrong, as a TOML file with a version.
//!
//! Every key has a default, so that a file names only what it is about; a key that does not exist is an error.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::Path;

/// The version of the format that this build reads and writes.
pub const VERSION: u32 = 1;

/// A whole scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The version of the format.
    pub version: u32,
    /// What it is called.
    #[serde(default)]
    pub name: String,
    /// What it is for, for people.
    #[serde(default)]
    pub about: String,
    /// Another file beside this one that this one changes: tables are merged key by key, arrays replaced.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub extends: Option<String>,
    /// Simulated seconds; what is under way at the end is not judged.
    #[serde(default = "default_length")]
    pub length_s: f64,
    /// The transcribers.
    #[serde(default)]
    pub fleet: Fleet,
    /// The balancer nodes and what they are told.
    #[serde(default)]
    pub nodes: Nodes,
    /// Zones and delays.
    #[serde(default)]
    pub net: Net,
    /// Discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// Clients, arrivals and groups.
    #[serde(default)]
    pub clients: Clients,
    /// The figures of the four rules.
    #[serde(default)]
    pub rules: Rules,
    /// How service is put into one figure.
    #[serde(default)]
    pub goal: Goal,
    /// The classes of requests.
    #[serde(default = "default_classes")]
    pub class: Vec<Class>,
    /// What goes wrong, and when.
    #[serde(default)]
    pub trouble: Vec<Trouble>,
    /// Where `hunt` found it: what `replay` compares with.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub found: Option<Found>,
}

fn default_length() -> f64 {
    60.0
}

/// What `hunt` saw.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Found {
    /// The seed of the run.
    pub seed: u64,
    /// The module's service.
    pub service: f64,
    /// The policy that it was compared with.
    pub against: String,
    /// That policy's service.
    pub against_service: f64,
}

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

fn default_classes() -> Vec<Class> {
    vec![Class::default()]
}

/// Something that goes wrong. `part` is the share of the transcribers (or nodes) it strikes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// What it is.
    pub kind: TroubleKind,
    /// When it begins, s.
    pub at_s: f64,
    /// How long it lasts, s.
    #[serde(default = "default_trouble_length")]
    pub for_s: f64,
    /// The share that it strikes.
    #[serde(default = "default_part")]
    pub part: f64,
    /// How much: the factor of `slow` and `surge`, the divisor of `shrink`, the drops a second of `reset`, the
    /// share of the fleet in one step of `deploy`.
    #[serde(default)]
    pub size: f64,
    /// Seconds that a transcriber drains for, at `deploy` and `shrink`.
    #[serde(default = "default_drain")]
    pub drain_s: f64,
    /// Of the clients that are too many for a shrunk fleet, the share that leaves while it shrinks.
    #[serde(default = "default_leave")]
    pub leave: f64,
}

fn default_leave() -> f64 {
    0.5
}

fn default_trouble_length() -> f64 {
    15.0
}
fn default_part() -> f64 {
    0.1
}
fn default_drain() -> f64 {
    4.0
}

/// Kinds of troubles.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TroubleKind {
    /// Machines give no sign, and come back cold.
    Silent,
    /// The processes of a zone, or `part` of them, end in the same moment, and are back cold after `for_s`.
    ZoneLost,
    /// Transcribers run slower by `size`.
    Slow,
    /// A rolling replacement of `part` of the fleet, `size` of it at a time.
    Deploy,
    /// The fleet shrinks to 1 / `size`, traffic likewise.
    Shrink,
    /// `part` of the nodes die, and are back after `for_s`.
    NodeDown,
    /// Discovery answers nothing.
    DiscoveryDown,
    /// Discovery answers, but learns of nothing.
    DiscoveryStale,
    /// Single standing connections break, `size` a second.
    Reset,
    /// Arrivals are `size` times as many.
    Surge,
}

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct Wrong {
    /// The file, the line and the key, as far as they are known.
    pub place: String,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}: {}", self.place, self.what)
    }
}

impl std::error::Error for Wrong {}

/// Files that may extend one another in a row.
const DEEPEST: usize = 8;

/// Reads a scenario's file and those that it extends.
///
/// # Errors
///
/// If a file cannot be read, is no scenario, extends too many files in a row, or holds values out of bounds.
pub fn load(path: &Path) -> Result<Scenario, Vec<Wrong>> {
    let mut chain: Vec<(String, String)> = Vec::new();
    let mut next = Some(path.to_path_buf());
    while let Some(path) = next.take() {
        let file = path.display().to_string();
        let wrong = |what: String| {
            vec![Wrong {
                place: file.clone(),
                what,
            }]
        };
        if chain.len() == DEEPEST {
            return Err(wrong(format!(
                "extends: more than {DEEPEST} files in a row, or a circle"
            )));
        }
        let text = std::fs::read_to_string(&path)
            .map_err(|error| wrong(format!("cannot read: {error}")))?;
        let own: Scenario = read(&file, &text)?;
        next = own
            .extends
            .as_ref()
            .and_then(|base| path.parent().map(|folder| folder.join(base)));
        chain.push((file, text));
    }
    let mut whole = toml::Table::new();
    for (file, text) in chain.iter().rev() {
        let own = toml::from_str(text).map_err(|error| told(file, text, &error))?;
        merge(&mut whole, own);
    }
    whole.remove("extends");
    let text = whole.to_string();
    let scenario = read(&chain[0].0, &text)?;
    let wrong = check(&scenario);
    if wrong.is_empty() {
        return Ok(scenario);
    }
    // A key is looked for in the file that was named, then in those that it extends.
    let place = |key: &str| {
        let found = chain
            .iter()
            .find_map(|(file, text)| line_of_key(text, key).map(|line| (file, line)));
        found.map_or(format!("{}: {key}", chain[0].0), |(file, line)| {
            format!("{file}:{line}: {key}")
        })
    };
    Err(wrong
        .into_iter()
        .map(|value| Wrong {
            place: place(&value.key),
            what: value.what,
        })
        .collect())
}

fn merge(into: &mut toml::Table, from: toml::Table) {
    for (key, value) in from {
        match (into.get_mut(&key), value) {
            (Some(toml::Value::Table(old)), toml::Value::Table(new)) => merge(old, new),
            (_, value) => {
                into.insert(key, value);
            }
        }
    }
}

fn told(file: &str, text: &str, error: &toml::de::Error) -> Vec<Wrong> {
    let line = error.span().map_or(0, |span| line_of(text, span.start));
    vec![Wrong {
        place: format!("{file}:{line}"),
        what: advise(error.message()),
    }]
}

/// Reads keys and types; bounds are not looked at.
fn read(file: &str, text: &str) -> Result<Scenario, Vec<Wrong>> {
    toml::from_str(text).map_err(|error| told(file, text, &error))
}

fn line_of_key(text: &str, key: &str) -> Option<usize> {
    let document = toml_edit::ImDocument::parse(text.to_string()).ok()?;
    span_of(document.as_item(), key).map(|at| line_of(text, at))
}

/// Reads a scenario; all that is out of bounds is told at once, each with file, line and key.
///
/// # Errors
///
/// If the text is no scenario, or if values are out of bounds.
pub fn parse(file: &str, text: &str) -> Result<Scenario, Vec<Wrong>> {
    let scenario = read(file, text)?;
    let wrong = check(&scenario);
    if wrong.is_empty() {
        return Ok(scenario);
    }
    let place = |key: &str| {
        line_of_key(text, key).map_or(format!("{file}: {key}"), |line| {
            format!("{file}:{line}: {key}")
        })
    };
    Err(wrong
        .into_iter()
        .map(|value| Wrong {
            place: place(&value.key),
            what: value.what,
        })
        .collect())
}

/// Adds the nearest known key to a message about an unknown one.
fn advise(message: &str) -> String {
    let mut quoted = message.split('`').skip(1).step_by(2);
    let Some(unknown) = quoted.next().filter(|_| message.starts_with("unknown ")) else {
        return message.to_string();
    };
    let near = quoted.min_by_key(|known| strsim::damerau_levenshtein(known, unknown));
    near.map_or(message.to_string(), |near| {
        format!("unknown key `{unknown}`; the nearest is `{near}`")
    })
}

fn line_of(text: &str, at: usize) -> usize {
    text.get(..at)
        .map_or(0, |before| before.matches('\n').count() + 1)
}

/// Where the value of a dotted key begins; numbers go into arrays.
fn span_of(item: &toml_edit::Item, key: &str) -> Option<usize> {
    let mut at = item;
    for part in key.split('.') {
        at = match part.parse::<usize>() {
            Ok(index) => at.get(index)?,
            Err(_) => at.get(part)?,
        };
    }
    at.span().map(|span| span.start)
}

/// A value that is out of bounds.
struct OutOfBounds {
    /// The dotted key of the value.
    key: String,
    /// The value and its bounds.
    what: String,
}

/// Collects the values of a scenario that are out of bounds.
#[derive(Default)]
struct BoundsCheck {
    out_of_bounds: Vec<OutOfBounds>,
}

impl BoundsCheck {
    /// Records `value` unless it lies between `least` and `most`, both included. NaN never does.
    fn within(&mut self, key: &str, value: f64, least: f64, most: f64) {
        if value >= least && value <= most {
            return;
        }
        self.out_of_bounds.push(OutOfBounds {
            key: key.to_string(),
            what: format!("{value} is not between {least} and {most}"),
        });
    }
}

/// Returns each value that is out of bounds, in the order of the sections.
fn check(scenario: &Scenario) -> Vec<OutOfBounds> {
    let mut bounds = BoundsCheck::default();
    bounds.within(
        "version",
        f64::from(scenario.version),
        f64::from(VERSION),
        f64::from(VERSION),
    );
    bounds.within("length_s", scenario.length_s, 0.1, 1e6);
    check_fleet(&mut bounds, scenario);
    check_nodes(&mut bounds, scenario);
    check_net(&mut bounds, scenario);
    check_discovery(&mut bounds, scenario);
    check_clients(&mut bounds, scenario);
    check_rules(&mut bounds, scenario);
    check_goal(&mut bounds, scenario);
    check_classes(&mut bounds, scenario);
    check_faults(&mut bounds, scenario);
    bounds.out_of_bounds
}

fn check_fleet(bounds: &mut BoundsCheck, scenario: &Scenario) {
    bounds.within(
        "fleet.transcribers",
        f64::from(scenario.fleet.transcribers),
        1.0,
        20_000.0,
    );
    bounds.within("fleet.per_core", scenario.fleet.per_core, 1e-6, 1e9);
    bounds.within("fleet.cap", scenario.fleet.cap, 0.0, 1e6);
    bounds.within("fleet.buffer_s", scenario.fleet.buffer_s, 0.001, 1e6);
    bounds.within("fleet.message_ms", scenario.fleet.message_ms, 0.0, 1e5);
    bounds.within("fleet.group_cost", scenario.fleet.group_cost, 0.0, 1e3);
    bounds.within("fleet.weight_error", scenario.fleet.weight_error, 0.0, 0.9);
    bounds.within("fleet.kind", scenario.fleet.kind.len() as f64, 1.0, 64.0);
    for (index, kind) in scenario.fleet.kind.iter().enumerate() {
        check_machine_kind(bounds, index, kind);
    }
}

fn check_machine_kind(bounds: &mut BoundsCheck, index: usize, kind: &Kind) {
    let key = |name: &str| format!("fleet.kind.{index}.{name}");
    bounds.within(&key("share"), kind.share, 1e-9, 1e9);
    bounds.within(&key("cores"), f64::from(kind.cores), 1.0, 4096.0);
    bounds.within(&key("speed"), kind.speed, 1e-6, 1e6);
    bounds.within(&key("speed_cv"), kind.speed_cv, 0.0, 0.9);
    bounds.within(&key("queue"), f64::from(kind.queue), 0.0, 1e7);
    bounds.within(&key("thrash"), kind.thrash, 0.0, 100.0);
    bounds.within(&key("cold_from"), kind.cold_from, 0.01, 1.0);
    bounds.within(&key("cold_s"), kind.cold_s, 0.0, 1e4);
    bounds.within(&key("pause_every_s"), kind.pause_every_s, 0.0, 1e6);
    bounds.within(&key("pause_ms"), kind.pause_ms, 0.0, 1e5);
    bounds.within(&key("error_rate"), kind.error_rate, 0.0, 1.0);
}

fn check_nodes(bounds: &mut BoundsCheck, scenario: &Scenario) {
    bounds.within("nodes.count", f64::from(scenario.nodes.count), 1.0, 2000.0);
    bounds.within(
        "nodes.attempts",
        f64::from(scenario.nodes.attempts),
        1.0,
        3.0,
    );
    bounds.within(
        "nodes.retry_after_ms",
        scenario.nodes.retry_after_ms,
        0.0,
        1e6,
    );
    bounds.within("nodes.silence_s", scenario.nodes.silence_s, 0.0, 1e4);
    bounds.within(
        "nodes.connect_timeout_ms",
        scenario.nodes.connect_timeout_ms,
        0.0,
        1e6,
    );
    bounds.within(
        "nodes.front_notice_s",
        scenario.nodes.front_notice_s,
        0.0,
        1e4,
    );
}

fn check_net(bounds: &mut BoundsCheck, scenario: &Scenario) {
    bounds.within("net.zones", f64::from(scenario.net.zones), 1.0, 64.0);
    bounds.within("net.same_ms", scenario.net.same_ms, 0.0, 1e4);
    bounds.within("net.cross_ms", scenario.net.cross_ms, 0.0, 1e4);
    bounds.within("net.client_ms", scenario.net.client_ms, 0.0, 1e4);
    bounds.within("net.jitter", scenario.net.jitter, 0.0, 2.0);
    bounds.within(
        "net.handshake_rtts",
        scenario.net.handshake_rtts,
        0.0,
        100.0,
    );
}

fn check_discovery(bounds: &mut BoundsCheck, scenario: &Scenario) {
    bounds.within("discovery.capacity", scenario.discovery.capacity, 1e-3, 1e6);
    bounds.within(
        "discovery.timeout_s",
        scenario.discovery.timeout_s,
        1e-3,
        1e4,
    );
    bounds.within("discovery.notice_s", scenario.discovery.notice_s, 0.0, 1e4);
    bounds.within(
        "discovery.silent_notice_s",
        scenario.discovery.silent_notice_s,
        0.0,
        1e4,
    );
    bounds.within("discovery.add_s", scenario.discovery.add_s, 0.0, 1e4);
    bounds.within(
        "discovery.spread_ms",
        scenario.discovery.spread_ms,
        0.0,
        1e6,
    );
    bounds.within(
        "discovery.clock_ahead_s",
        scenario.discovery.clock_ahead_s,
        -1e4,
        1e4,
    );
}

fn check_clients(bounds: &mut BoundsCheck, scenario: &Scenario) {
    bounds.within("clients.load", scenario.clients.load, 0.0, 10.0);
    bounds.within("clients.rate", scenario.clients.rate, 0.0, 1e6);
    bounds.within("clients.start_skew", scenario.clients.start_skew, 0.0, 1.0);
    bounds.within("clients.life_s", scenario.clients.life_s, 1e-6, 1e6);
    bounds.within("clients.life_sigma", scenario.clients.life_sigma, 0.0, 3.0);
    bounds.within("clients.group_size", scenario.clients.group_size, 0.0, 1e6);
    bounds.within("clients.group_zipf", scenario.clients.group_zipf, 0.0, 10.0);
    bounds.within(
        "clients.retries",
        f64::from(scenario.clients.retries),
        0.0,
        10.0,
    );
    bounds.within("clients.backoff_ms", scenario.clients.backoff_ms, 1.0, 1e6);
    bounds.within("clients.rejoin_ms", scenario.clients.rejoin_ms, 50.0, 1e6);
    bounds.within("clients.move_ms", scenario.clients.move_ms, 1.0, 1e6);
    bounds.within("clients.honour", scenario.clients.honour, 0.0, 1.0);
    bounds.within("clients.most", f64::from(scenario.clients.most), 1.0, 1e7);
    bounds.within(
        "clients.message_every_s",
        scenario.clients.message_every_s,
        1e-3,
        1e4,
    );
    for (index, [at, times]) in scenario.clients.shape.iter().enumerate() {
        let before = index
            .checked_sub(1)
            .and_then(|before| scenario.clients.shape.get(before))
            .map_or(0.0, |p| p[0]);
        bounds.within(&format!("clients.shape.{index}"), *at, before, 1e6);
        bounds.within(&format!("clients.shape.{index}"), *times, 0.0, 1e3);
    }
}

fn check_rules(bounds: &mut BoundsCheck, scenario: &Scenario) {
    bounds.within(
        "rules.drain_grace_ms",
        scenario.rules.drain_grace_ms,
        0.0,
        1e6,
    );
    bounds.within(
        "rules.answer_slack_ms",
        scenario.rules.answer_slack_ms,
        0.0,
        1e6,
    );
    bounds.within(
        "rules.start_capacity",
        scenario.rules.start_capacity,
        0.01,
        1.0,
    );
    bounds.within("rules.cold_s", scenario.rules.cold_s, 0.0, 1e4);
    bounds.within(
        "rules.fall_multiple",
        scenario.rules.fall_multiple,
        1.0,
        1e3,
    );
    bounds.within("rules.fall_s", scenario.rules.fall_s, 0.01, 1e4);
}

fn check_goal(bounds: &mut BoundsCheck, scenario: &Scenario) {
    let weights = scenario.goal.whole + scenario.goal.worst_window + scenario.goal.worst_class;
    bounds.within("goal.whole", weights, 0.999, 1.001);
}

fn check_classes(bounds: &mut BoundsCheck, scenario: &Scenario) {
    bounds.within("class", scenario.class.len() as f64, 1.0, 64.0);
    for (index, class) in scenario.class.iter().enumerate() {
        check_class(bounds, index, class);
    }
}

fn check_class(bounds: &mut BoundsCheck, index: usize, class: &Class) {
    let key = |name: &str| format!("class.{index}.{name}");
    bounds.within(&key("share"), class.share, 1e-9, 1e9);
    bounds.within(&key("load"), class.load, 0.0, 1e6);
    bounds.within(&key("life"), class.life, 1e-6, 1e6);
    bounds.within(&key("load_sigma"), class.load_sigma, 0.0, 3.0);
    bounds.within(&key("swing_sigma"), class.swing_sigma, 0.0, 3.0);
    bounds.within(&key("change_s"), class.change_s, 0.0, 1e6);
    bounds.within(&key("idle"), class.idle, 0.0, 0.99);
    bounds.within(&key("work_ms"), class.work_ms, 0.0, 1e7);
    bounds.within(&key("work_cv"), class.work_cv, 0.0, 10.0);
    bounds.within(&key("aim_ms"), class.aim_ms, 0.0, 1e9);
    bounds.within(&key("deadline_ms"), class.deadline_ms, 1.0, 1e9);
    bounds.within(&key("message_aim_ms"), class.message_aim_ms, 0.1, 1e9);
    bounds.within(&key("worth"), class.worth, 0.0, 1e6);
}

fn check_faults(bounds: &mut BoundsCheck, scenario: &Scenario) {
    for (index, trouble) in scenario.trouble.iter().enumerate() {
        check_fault(bounds, index, trouble);
    }
}

fn check_fault(bounds: &mut BoundsCheck, index: usize, trouble: &Trouble) {
    let key = |name: &str| format!("trouble.{index}.{name}");
    bounds.within(&key("at_s"), trouble.at_s, 0.0, 1e6);
    bounds.within(&key("for_s"), trouble.for_s, 0.1, 1e6);
    bounds.within(&key("part"), trouble.part, 0.0, 1.0);
    bounds.within(&key("drain_s"), trouble.drain_s, 0.0, 1e4);
    bounds.within(&key("leave"), trouble.leave, 0.0, 1.0);
    let (least, most) = match trouble.kind {
        TroubleKind::Slow | TroubleKind::Shrink => (1.0, 1e3),
        TroubleKind::Surge => (0.0, 100.0),
        TroubleKind::Reset => (0.01, 1e4),
        TroubleKind::Deploy => (0.001, 1.0),
        _ => (0.0, 1e9),
    };
    bounds.within(&key("size"), trouble.size, least, most);
}

impl Scenario {
    /// Mean load of a connection over its life, in cores of speed 1.
    pub fn mean_load(&self) -> f64 {
        1.0 / self.fleet.per_core
    }

    /// Over the classes, by their shares, the mean of a figure.
    fn over_classes(&self, of: impl Fn(&Class) -> f64) -> f64 {
        let all: f64 = self.class.iter().map(|class| class.share).sum();
        self.class
            .iter()
            .map(|class| class.share / all * of(class))
            .sum()
    }

    /// What a unit of a class's `load` stands for, in cores of speed 1.
    pub fn load_unit(&self) -> f64 {
        let standing = self.over_classes(|class| class.life);
        let loaded = self.over_classes(|class| class.load * class.life);
        self.mean_load() * standing / loaded.max(1e-12)
    }

    /// Cores of speed 1 that the fleet of the start has, on average over seeds.
    pub fn mean_capacity(&self) -> f64 {
        let all: f64 = self.fleet.kind.iter().map(|kind| kind.share).sum();
        let each = |kind: &Kind| kind.share / all * f64::from(kind.cores) * kind.speed;
        f64::from(self.fleet.transcribers) * self.fleet.kind.iter().map(each).sum::<f64>()
    }

    /// New connections a second, before `shape` and surges. The work that groups cost counts as load, each on one
    /// transcriber: what a policy adds by spreading them is its own doing.
    pub fn rate(&self) -> f64 {
        if self.clients.rate > 0.0 {
            return self.clients.rate;
        }
        let life = self.clients.life_s * self.over_classes(|class| class.life);
        let size = self.clients.group_size;
        let shared = if size > 0.0 {
            self.fleet.group_cost / size.max(1.0)
        } else {
            0.0
        };
        self.clients.load * self.mean_capacity() * self.fleet.per_core / (1.0 + shared) / life
    }

    /// Mean connections that stand at that rate.
    pub fn standing(&self) -> f64 {
        self.rate() * self.clients.life_s * self.over_classes(|class| class.life)
    }
}
