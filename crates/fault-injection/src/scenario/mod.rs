//! A trial's file: sizes, clients, the time line of faults, and what must hold. What is wrong with one is told with its line.

use serde::{Deserialize, Serialize};
use toml::Spanned;

/// A whole file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What it shows, in a line.
    pub about: String,
    /// Processes of the program: 1 to 60.
    pub nodes: Spanned<usize>,
    /// The number of nodes that the settings name; as many as there are if it is not said.
    pub instances: Option<usize>,
    /// Zones; nodes and transcribers go round.
    #[serde(default = "one")]
    pub zones: usize,
    /// Transcribers that are warm from the start: 1 to 60.
    pub transcribers: Spanned<usize>,
    /// How long clients come, after all nodes are ready: 2 to 600 s.
    pub seconds: Spanned<f64>,
    /// Whether the nodes talk: without it they get no operator's file.
    #[serde(default = "yes")]
    pub talk: bool,
    /// Clients wait for the council's first slices, where there is one.
    #[serde(default = "yes")]
    pub settled: bool,
    /// Whether each node has a folder that outlives its processes.
    #[serde(default)]
    pub folder: bool,
    /// What clients are like.
    #[serde(default)]
    pub clients: Clients,
    /// What transcribers bear.
    #[serde(default)]
    pub bears: Bears,
    /// The cold budget.
    pub cold: Option<Cold>,
    /// The time line.
    #[serde(default)]
    pub fault: Vec<Spanned<Fault>>,
    /// What must hold besides the rules.
    #[serde(default)]
    pub hold: Hold,
}

fn one() -> usize {
    1
}

fn yes() -> bool {
    true
}

/// Clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// New ones in a second, over all nodes.
    pub rate: f64,
    /// How long each stands, in the mean, in seconds.
    pub stand_s: f64,
    /// How long each waits for its answer, in milliseconds.
    pub wait_ms: u64,
    /// A line goes out each so many milliseconds.
    pub line_ms: u64,
    /// Groups that they belong to.
    pub groups: u64,
    /// The front sends the first node so many times as many as each other one: 1 to 1,000.
    pub skew: f64,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            rate: 20.0,
            stand_s: 8.0,
            wait_ms: 1500,
            line_ms: 1000,
            groups: 500,
            skew: 1.0,
        }
    }
}

/// Transcribers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bears {
    /// Connections that a warm one holds well.
    pub held: f64,
    /// How long one is cold.
    pub cold_s: f64,
    /// How long a set-up takes on an idle one, in milliseconds.
    pub setup_ms: u64,
}

impl Default for Bears {
    fn default() -> Bears {
        Bears {
            held: 80.0,
            cold_s: 8.0,
            setup_ms: 5,
        }
    }
}

/// The cold budget, as the operator's file has it; without talk it is only judged.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// New connections to cold transcribers in any second, over the fleet.
    pub whole: u32,
    /// Set aside for each node.
    #[serde(default)]
    pub floor: u32,
    /// Spans, in seconds after the first client, in which clients want more than the whole: its use is taken there.
    #[serde(default)]
    pub enough: Vec<(f64, f64)>,
}

/// What must hold besides the rules.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hold {
    /// The least part of the visits that is served in time.
    pub service: f64,
    /// At the end all living nodes name one leader, and know all of each other.
    pub council: bool,
    /// At the end the slices take at least this part of what is handed out.
    pub taken: f64,
    /// The least part of a budget that is in use in its spans of `enough`.
    pub used: f64,
    /// The most councils that may be founded; any number if it is not said.
    pub foundings: usize,
}

/// One fault.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When, in seconds after the first client.
    pub at_s: f64,
    /// What.
    pub kind: Kind,
    /// For how long, where it ends; the kind says what comes then.
    #[serde(default)]
    pub for_s: f64,
    /// Which party: `n0`, `t3`, `discovery`, `leader`, `follower`, `zone0`, `all`.
    #[serde(default)]
    pub on: String,
    /// The other party of a link; `all` if it is not said.
    #[serde(default)]
    pub to: String,
    /// Only from `on` to `to`.
    #[serde(default)]
    pub one_way: bool,
    /// How much: datagrams lost, doubled or out of order (0 to 1), milliseconds of delay or jitter, or kilobytes a second.
    #[serde(default)]
    pub much: f64,
    /// How often, for `loop`, and how many, for `release`.
    #[serde(default)]
    pub times: usize,
}

/// What a fault does.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// SIGKILL to nodes; after `for_s`, if given, a new process under the name with an empty folder.
    Kill,
    /// SIGSTOP, and SIGCONT after `for_s`.
    Freeze,
    /// SIGTERM; after `for_s`, if given, a new process under the name.
    Term,
    /// SIGKILL and a new process at once, `times` times, `for_s` apart.
    Loop,
    /// A node that nobody announced begins.
    Join,
    /// Another process begins under the name of a node that lives, at an address of its own.
    Twin,
    /// SIGKILL to nodes; a process of another fleet begins at the address of each, and after `for_s`, if given, the node
    /// is back.
    Foreign,
    /// The link carries nothing, both ways or one way.
    Cut,
    /// A part of the datagrams is lost.
    Loss,
    /// A part of the datagrams comes twice.
    Double,
    /// A part of the datagrams is held back behind later ones.
    Reorder,
    /// All is later by so much.
    Delay,
    /// All is later by up to so much.
    Jitter,
    /// A stream carries at most so many kilobytes a second.
    Throttle,
    /// All connections on the link are reset.
    Reset,
    /// `times` new transcribers begin, cold.
    Release,
    /// A transcriber drains, and is gone after `for_s`.
    Drain,
    /// Transcribers die; they come back cold after `for_s`.
    Die,
    /// Transcribers answer nothing for `for_s`.
    Silence,
    /// Discovery tells `on` nothing new.
    Stale,
    /// Discovery is down for `on`.
    Down,
    /// Discovery is slow for `on`, by `much` milliseconds.
    Slow,
    /// A person sets the whole of the cold budget to `much`, at `on`.
    Whole,
}

impl Scenario {
    /// Reads a file.
    pub fn load(path: &str) -> Result<Scenario, String> {
        let text = std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
        Scenario::read(&text).map_err(|why| format!("{path}: {why}"))
    }

    /// Reads a file's text; an error names line and reason.
    pub fn read(text: &str) -> Result<Scenario, String> {
        let line = |at: usize| {
            text.as_bytes()
                .iter()
                .take(at)
                .filter(|byte| **byte == b'\n')
                .count()
                + 1
        };
        let scenario: Scenario = toml::from_str(text).map_err(|error| {
            format!(
                "line {}: {}",
                error.span().map_or(1, |span| line(span.start)),
                error.message()
            )
        })?;
        scenario
            .check()
            .map_err(|(at, why)| format!("line {}: {why}", line(at)))?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), (usize, String)> {
        let within = |name: &str, value: f64, least: f64, most: f64, at: usize| {
            if value >= least && value <= most {
                Ok(())
            } else {
                Err((at, format!("{name}: {value} is not in {least} to {most}")))
            }
        };
        within(
            "nodes",
            *self.nodes.get_ref() as f64,
            1.0,
            60.0,
            self.nodes.span().start,
        )?;
        within(
            "transcribers",
            *self.transcribers.get_ref() as f64,
            1.0,
            60.0,
            self.transcribers.span().start,
        )?;
        within(
            "seconds",
            *self.seconds.get_ref(),
            2.0,
            600.0,
            self.seconds.span().start,
        )?;
        within("zones", self.zones as f64, 1.0, 10.0, 0)?;
        within("clients.rate", self.clients.rate, 0.0, 2_000.0, 0)?;
        within("clients.stand_s", self.clients.stand_s, 0.1, 600.0, 0)?;
        within(
            "clients.wait_ms",
            self.clients.wait_ms as f64,
            100.0,
            10_000.0,
            0,
        )?;
        within(
            "clients.line_ms",
            self.clients.line_ms as f64,
            50.0,
            10_000.0,
            0,
        )?;
        within("clients.groups", self.clients.groups as f64, 1.0, 1e9, 0)?;
        within("clients.skew", self.clients.skew, 1.0, 1_000.0, 0)?;
        let spans = self.cold.iter().flat_map(|cold| &cold.enough);
        for (from, to) in spans {
            within(
                "cold.enough: its end",
                *to,
                from + 0.1,
                *self.seconds.get_ref(),
                0,
            )?;
        }
        within("bears.held", self.bears.held, 1.0, 10_000.0, 0)?;
        within("bears.cold_s", self.bears.cold_s, 0.1, 600.0, 0)?;
        let joins = self
            .fault
            .iter()
            .filter(|fault| {
                fault.get_ref().kind == Kind::Join || fault.get_ref().kind == Kind::Twin
            })
            .count();
        within(
            "nodes with those that join",
            (self.nodes.get_ref() + joins) as f64,
            1.0,
            62.0,
            0,
        )?;
        for fault in &self.fault {
            let (at, fault) = (fault.span().start, fault.get_ref());
            within("at_s", fault.at_s, 0.0, *self.seconds.get_ref(), at)?;
            within("for_s", fault.for_s, 0.0, 600.0, at)?;
            within("times", fault.times as f64, 0.0, 100.0, at)?;
            let most = match fault.kind {
                Kind::Loss | Kind::Double | Kind::Reorder => 1.0,
                _ => 60_000.0,
            };
            within("much", fault.much, 0.0, most, at)?;
            let links = matches!(
                fault.kind,
                Kind::Cut
                    | Kind::Loss
                    | Kind::Double
                    | Kind::Reorder
                    | Kind::Delay
                    | Kind::Jitter
                    | Kind::Throttle
                    | Kind::Reset
            );
            for (name, selector) in [("on", &fault.on), ("to", &fault.to)] {
                let needed = name == "on" && !matches!(fault.kind, Kind::Join | Kind::Release);
                if (needed && selector.is_empty()) || !self.names(selector) {
                    return Err((
                        at,
                        format!("{name}: {selector:?} is no party of this trial"),
                    ));
                }
            }
            if !links && (!fault.to.is_empty() || fault.one_way) {
                return Err((at, "to and one_way are for links".into()));
            }
            let lasts = matches!(fault.kind, Kind::Freeze | Kind::Silence | Kind::Drain);
            if lasts && fault.for_s <= 0.0 {
                return Err((at, "for_s: it has to end".into()));
            }
            if matches!(fault.kind, Kind::Loop | Kind::Release) && fault.times == 0 {
                return Err((at, "times: how often, or how many".into()));
            }
        }
        Ok(())
    }

    /// Whether this names parties; nothing names all.
    fn names(&self, selector: &str) -> bool {
        let number = |prefix: &str, most: usize| {
            let rest = selector
                .strip_prefix(prefix)
                .and_then(|rest| rest.parse::<usize>().ok());
            rest.is_some_and(|number| number < most)
        };
        matches!(
            selector,
            "" | "all" | "nodes" | "transcribers" | "discovery" | "leader" | "follower"
        ) || number("n", 62)
            || number("t", 160)
            || number("zone", self.zones)
    }
}

#[cfg(test)]
mod tests;
