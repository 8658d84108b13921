//! Scripted nodes that break one rule each, to show that the checker detects the violation.
//!
//! They implement only the necessary part of the protocol: a client's first line is forwarded to an upstream server,
//! and bytes are relayed in both directions.

mod client_relay;
mod discovery_watch;

use client_relay::ClientListener;
use discovery_watch::DiscoveryWatch;
use lupincrank_reactor::{Application, ComponentId, Context, Reactor, APPLICATION};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Delay after which an established connection is dropped.
const DROP_DELAY: Duration = Duration::from_millis(1500);
/// Delay after which the process exits by itself.
const CRASH_DELAY: Duration = Duration::from_secs(3);
const CRASH_EXIT_CODE: i32 = 3;

/// The way in which a rule breaker breaks a rule, selected on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RuleBreakerKind {
    /// Answers BUSY after UP.
    AnswersTwice,
    /// Never answers.
    NeverAnswers,
    /// Sends a request to two upstream servers at once.
    AttemptsTwice,
    /// Sends requests to a draining server.
    IgnoresDrain,
    /// Sends all requests to a server that is warming up.
    IgnoresWarmUp,
    /// Drops established connections.
    DropsConnections,
    /// Exits by itself.
    Crashes,
}

/// The error of an argument that names no rule breaker.
#[derive(Clone, Debug, Error)]
#[error("unknown rule breaker {0:?}")]
pub struct UnknownRuleBreaker(String);

impl FromStr for RuleBreakerKind {
    type Err = UnknownRuleBreaker;

    fn from_str(word: &str) -> Result<RuleBreakerKind, UnknownRuleBreaker> {
        Ok(match word {
            "answers-twice" => RuleBreakerKind::AnswersTwice,
            "silent" => RuleBreakerKind::NeverAnswers,
            "two-at-once" => RuleBreakerKind::AttemptsTwice,
            "past-grace" => RuleBreakerKind::IgnoresDrain,
            "cold-crowd" => RuleBreakerKind::IgnoresWarmUp,
            "cuts" => RuleBreakerKind::DropsConnections,
            "crashes" => RuleBreakerKind::Crashes,
            other => return Err(UnknownRuleBreaker(other.to_string())),
        })
    }
}

/// The reason why a rule breaker can't serve.
#[derive(Debug, Error)]
pub enum RuleBreakerError {
    /// An error of the operating system.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The configuration is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The configuration has no valid address under this key.
    #[error("no valid address in the configuration: {key}: {value:?}")]
    Address {
        /// The key of the address.
        key: &'static str,
        /// The value of the key.
        value: String,
    },
}

/// The purpose of a deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum DeadlineKind {
    /// The process exits by itself.
    Crash,
    /// A client's connection is dropped.
    DropClient,
}

/// An endpoint as last announced by discovery.
#[derive(Clone, Copy, Debug)]
struct KnownEndpoint {
    address: SocketAddr,
    is_draining: bool,
    /// Unix time of the server's last start in milliseconds; 0 if the endpoint list reports none.
    started_ms: u64,
}

/// The state that all components share.
struct RuleBreaker {
    kind: RuleBreakerKind,
    /// The known endpoints by name.
    endpoints: BTreeMap<String, KnownEndpoint>,
    choice_count: usize,
}

impl Application for RuleBreaker {
    type DeadlineKind = DeadlineKind;
    type Message = ();

    fn after_callback(
        _context: &mut Context<RuleBreaker>,
        _components: &mut dyn Iterator<Item = ComponentId>,
    ) {
    }

    fn on_deadline(_context: &mut Context<RuleBreaker>, _kind: DeadlineKind) {
        std::process::exit(CRASH_EXIT_CODE);
    }

    fn is_finished(&self) -> bool {
        false
    }

    fn on_undelivered(&mut self, _id: ComponentId, _message: ()) {}
}

impl RuleBreaker {
    /// Applies an endpoint list.
    fn apply_endpoint_list(&mut self, list: &Value) {
        for endpoint in list["hosts"].as_array().into_iter().flatten() {
            self.apply_endpoint(endpoint);
        }
    }

    fn apply_endpoint(&mut self, endpoint: &Value) {
        let name = endpoint["host"].as_str();
        let address = endpoint["dial"].as_str();
        let address = address.and_then(|address| address.parse().ok());
        let (Some(name), Some(address)) = (name, address) else {
            return;
        };
        if endpoint["health"] == "DELETED" {
            self.endpoints.remove(name);
            return;
        }
        let known = KnownEndpoint {
            address,
            is_draining: endpoint["health"] == "DRAINING",
            started_ms: endpoint["born_ms"].as_u64().unwrap_or(0),
        };
        self.endpoints.insert(name.into(), known);
    }

    /// Chooses the endpoint for the next request.
    fn choose_endpoint(&mut self) -> Option<SocketAddr> {
        self.choice_count += 1;
        let mut endpoints = self.endpoints.values();
        let forbidden = match self.kind {
            RuleBreakerKind::IgnoresDrain => endpoints.find(|endpoint| endpoint.is_draining),
            RuleBreakerKind::IgnoresWarmUp => endpoints.find(|endpoint| endpoint.started_ms > 0),
            _ => None,
        };
        let endpoint = forbidden.or_else(|| self.next_ready_endpoint());
        endpoint.map(|endpoint| endpoint.address)
    }

    /// Returns the ready endpoints in turn.
    fn next_ready_endpoint(&self) -> Option<&KnownEndpoint> {
        let endpoints = self.endpoints.values();
        let ready: Vec<&KnownEndpoint> =
            endpoints.filter(|endpoint| !endpoint.is_draining).collect();
        ready.get(self.choice_count % ready.len().max(1)).copied()
    }
}

/// Reads an address from the configuration.
fn read_address(config: &Value, key: &'static str) -> Result<SocketAddr, RuleBreakerError> {
    let value = config[key].as_str().unwrap_or_default();
    value.parse().map_err(|_| RuleBreakerError::Address {
        key,
        value: value.to_string(),
    })
}

/// Serves with the configuration at this path until the process is killed.
///
/// # Errors
///
/// If the configuration can't be read or is invalid, or a socket can't be opened.
pub fn serve(kind: RuleBreakerKind, config_path: &str) -> Result<(), RuleBreakerError> {
    let text = std::fs::read_to_string(config_path)?;
    let config: Value = serde_json::from_str(&text)?;
    let mut rule_breaker = RuleBreaker {
        kind,
        endpoints: BTreeMap::new(),
        choice_count: 0,
    };
    rule_breaker.apply_endpoint_list(&config["known"]);
    let mut reactor = Reactor::new(rule_breaker, 0)?;
    let context = &mut reactor.context;
    ClientListener::open(context, read_address(&config, "listen")?)?;
    DiscoveryWatch::open(context, read_address(&config, "discovery")?)?;
    if kind == RuleBreakerKind::Crashes {
        let crash_at = Instant::now() + CRASH_DELAY;
        context
            .deadlines
            .set(APPLICATION, DeadlineKind::Crash, crash_at);
    }
    reactor.run()?;
    Ok(())
}
