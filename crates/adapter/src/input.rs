//! The simulator's dialect: one JSON object a line, read into events and written from actions.

use lupincrank_placement::{
    Action, Balancer, Endpoint, Event, Health, Outcome, RequestId, RequestInfo, ServerId, Timestamp,
};
use lupincrank_settings::DeploymentSettings;
use serde::Deserialize;
use std::borrow::Cow;
use std::collections::HashMap;
use std::fmt::Display;
use std::io::Write;
use std::time::Duration;

/// One line of any kind; which fields it needs depends on `op`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Line<'a> {
    #[serde(rename = "op", borrow)]
    op: Cow<'a, str>,
    #[serde(borrow)]
    who: Option<Cow<'a, str>>,
    sim_time_ns: Option<u64>,
    prng: Option<u64>,
    conf: Option<DeploymentSettings>,
    kind: Option<u32>,
    nodes_list: Option<Vec<Node>>,
    #[serde(borrow)]
    req: Option<Cow<'a, str>>,
    returned: Option<bool>,
    expected_ns: Option<f64>,
    billing: Option<usize>,
    team_id: Option<String>,
    valid_until_ns: Option<u64>,
    affinity: Option<String>,
    stray: Option<bool>,
    lane: Option<usize>,
    #[serde(borrow)]
    server: Option<Cow<'a, str>>,
    rtt_ns: Option<u64>,
    state_code: Option<u32>,
    done_flag: Option<bool>,
    seq_no: Option<u32>,
    gauge: Option<Vec<Option<f64>>>,
    value: Option<f64>,
    handle: Option<u64>,
    msg: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Node {
    server: String,
    dc: Option<u32>,
    #[serde(rename = "Type")]
    kind: Option<u32>,
    unit_group: Option<u32>,
    health: Option<u32>,
    heft: Option<f64>,
    up_since_ns: Option<u64>,
}

fn node(node: Node) -> Result<Endpoint, String> {
    let health = match node.health.unwrap_or(0) {
        0 => Health::Ready,
        1 => Health::Gone,
        2 => Health::Draining,
        other => return Err(format!("Health: unknown code {other}")),
    };
    Ok(Endpoint {
        server: ServerId(node.server.into()),
        health,
        weight: node.heft.unwrap_or(1.0),
        zone: node.dc.unwrap_or(0),
        cell: node.unit_group.unwrap_or(0),
        machine_kind: node.kind.unwrap_or(0),
        started_at: node.up_since_ns.filter(|at| *at > 0).map(Timestamp),
    })
}

fn outcome(code: u32) -> Result<Outcome, String> {
    Ok(match code {
        1 => Outcome::Served,
        2 => Outcome::Error,
        3 => Outcome::Rejected,
        4 => Outcome::TimedOut,
        5 => Outcome::ConnectFailed,
        6 => Outcome::Reset,
        7 => Outcome::Cancelled,
        8 => Outcome::NotSent,
        other => return Err(format!("StateCode: unknown code {other}")),
    })
}

/// A missing field of the line at hand.
fn need<T>(value: Option<T>, name: &str) -> Result<T, String> {
    value.ok_or_else(|| format!("{name} is missing"))
}

fn request_id(text: Option<Cow<str>>) -> Result<RequestId, String> {
    let text = need(text, "Req")?;
    let plain = text.len() == 16
        && text
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    let id = u64::from_str_radix(&text, 16).ok().filter(|_| plain);
    id.map(RequestId)
        .ok_or_else(|| format!("Req: {text:?} is not 16 hex digits"))
}

fn incoming(line: Line) -> Result<RequestInfo, String> {
    Ok(RequestInfo {
        request: request_id(line.req)?,
        class: need(line.lane, "Lane")?,
        tenant: line.billing,
        group: line.team_id,
        key: line.affinity,
        load: line
            .expected_ns
            .filter(|load| *load > 0.0 && *load < 1e18)
            .map(|load| Duration::from_nanos(load as u64)),
        deadline: Timestamp(need(line.valid_until_ns, "ValidUntilNs")?),
        is_mid_flow: line.stray.unwrap_or(false),
        is_reconnect: line.returned.unwrap_or(false),
    })
}

fn server(name: Option<Cow<str>>) -> Result<ServerId, String> {
    need(name, "Server").map(|name| ServerId(name.as_ref().into()))
}

fn report(gauge: Option<Vec<Option<f64>>>) -> Option<Vec<f64>> {
    gauge.map(|values| {
        values
            .into_iter()
            .map(|value| value.unwrap_or(0.0))
            .collect()
    })
}

/// Turns a line into an event; `None` for an op that a balancer has no use for.
fn event(line: Line) -> Result<Option<Event>, String> {
    Ok(Some(match line.op.as_ref() {
        "UPDATE" => {
            let entries = line
                .nodes_list
                .unwrap_or_default()
                .into_iter()
                .map(node)
                .collect::<Result<Vec<_>, _>>()?;
            match need(line.kind, "Kind")? {
                0 => Event::EndpointChange(entries),
                1 => Event::EndpointList {
                    entries,
                    cached: false,
                },
                2 => Event::EndpointList {
                    entries,
                    cached: true,
                },
                3 => Event::EndpointWatchFailed,
                other => return Err(format!("Kind: unknown code {other}")),
            }
        }
        "ACCEPT" => Event::RequestReceived(incoming(line)?),
        "RESUMED" => {
            let holder = server(line.server.clone())?;
            Event::ConnectionInherited(incoming(line)?, holder)
        }
        "CANCELLED_BY_CLIENT" => Event::ClientGone(request_id(line.req)?),
        "ESTABLISHED" => Event::ConnectionEstablished {
            request: request_id(line.req)?,
            took: Duration::from_nanos(line.rtt_ns.unwrap_or(0)),
        },
        "COMPLETED" => Event::AttemptEnded {
            request: request_id(line.req)?,
            attempt: need(line.seq_no, "SeqNo")?,
            outcome: outcome(need(line.state_code, "StateCode")?)?,
            done: line.done_flag.unwrap_or(false),
            report: report(line.gauge),
        },
        "PROGRESS" => {
            let request = request_id(line.req)?;
            let value = need(line.value, "Value")?;
            let millionths = if (0.0..1e12).contains(&value) {
                value
            } else {
                0.0
            };
            match need(line.kind, "Kind")? {
                1 => Event::LoadObserved {
                    request,
                    load: Duration::from_secs_f64(millionths / 1e6),
                },
                2 => Event::DelayObserved {
                    request,
                    delay: Duration::from_secs_f64(millionths / 1e3),
                },
                _ => return Ok(None),
            }
        }
        "HEALTH_RESULT" => Event::HealthCheckCompleted {
            server: server(line.server)?,
            passed: need(line.state_code, "StateCode")? == 1,
            report: report(line.gauge),
        },
        "WAKEUP" => Event::TimerFired(need(line.handle, "Handle")?),
        "PEER" => Event::Gossip(need(line.msg, "Msg")?),
        other => return Err(format!("unknown op {other:?}")),
    }))
}

/// The balancers of one process, and the batch being read.
#[derive(Default)]
pub struct Host {
    balancers: HashMap<String, (usize, Option<Balancer>)>,
    names: Vec<String>,
    now: Option<Timestamp>,
    /// Actions of this batch with the instance that wants them.
    actions: Vec<(usize, Action)>,
    fresh: Vec<Action>,
}

impl Host {
    /// Whether a `TICK` has been read and its `EOB` has not.
    pub fn inside_batch(&self) -> bool {
        self.now.is_some()
    }

    /// Takes in one line; true when it ends a batch and a reply is due.
    pub fn line(&mut self, text: &str) -> Result<bool, String> {
        let line: Line =
            serde_json::from_str(text).map_err(|error| format!("not a message: {error}"))?;
        match (line.op.as_ref(), self.now) {
            ("TICK", None) => {
                self.now = Some(Timestamp(need(line.sim_time_ns, "TICK: SimTimeNs")?));
                Ok(false)
            }
            ("TICK", Some(_)) => Err("TICK inside a batch".into()),
            (op, None) => Err(format!("{op:?} outside a batch")),
            ("EOB", Some(_)) => {
                self.now = None;
                Ok(true)
            }
            (_, Some(now)) => {
                let op = line.op.to_string();
                self.event(now, line)
                    .map_err(|error| format!("{op}: {error}"))?;
                Ok(false)
            }
        }
    }

    fn event(&mut self, now: Timestamp, mut line: Line) -> Result<(), String> {
        let who = need(line.who.take(), "Who")?;
        if line.op == "SPAWN" {
            let seed = need(line.prng, "Prng")?;
            let mut balancer = Balancer::new(
                need(line.conf, "Conf")?
                    .placement_settings()
                    .map_err(|error| error.to_string())?,
                seed,
            );
            balancer.handle(now, Event::Start, &mut self.fresh);
            let next = self.names.len();
            let slot = self
                .balancers
                .entry(who.to_string())
                .or_insert((next, None));
            if slot.0 == next {
                self.names.push(who.to_string());
            }
            slot.1 = Some(balancer);
            let index = slot.0;
            self.actions
                .extend(self.fresh.drain(..).map(|action| (index, action)));
            return Ok(());
        }
        let Some((index, slot)) = self.balancers.get_mut(who.as_ref()) else {
            return Err(format!("{who:?} was never spawned"));
        };
        if line.op == "TEARDOWN" {
            // What this life still wanted must not be said in the name of the next.
            self.actions.retain(|(owner, _)| owner != index);
            *slot = None;
            return Ok(());
        }
        let Some(balancer) = slot else {
            return Err(format!("{who:?} was torn down and not spawned again"));
        };
        if let Some(event) = event(line)? {
            balancer.handle(now, event, &mut self.fresh);
            self.actions
                .extend(self.fresh.drain(..).map(|action| (*index, action)));
        }
        Ok(())
    }

    /// Writes the reply to the batch just read.
    pub fn reply(&mut self, out: &mut Vec<u8>) {
        for (index, action) in self.actions.drain(..) {
            write_action(out, &self.names[index], action);
        }
        out.extend_from_slice(b"{\"op\":\"YIELD\"}\n");
    }
}

fn text(value: &str) -> impl Display + '_ {
    serde_json::Value::from(value)
}

fn write_action(out: &mut Vec<u8>, who: &str, action: Action) {
    let who = text(who);
    let written = match action {
        Action::StartAttempt {
            request,
            server,
            patience,
        } => writeln!(
            out,
            r#"{{"op":"ISSUE","Who":{who},"Req":"{:016x}","TryForNs":{},"Server":{}}}"#,
            request.0,
            patience.as_nanos().max(1),
            text(&server.0)
        ),
        Action::Reject {
            request,
            retry_after,
        } => writeln!(
            out,
            r#"{{"op":"NOT_NOW","Who":{who},"Req":"{:016x}","StayAwayNs":{}}}"#,
            request.0,
            retry_after.as_nanos()
        ),
        Action::Fail(request) => writeln!(
            out,
            r#"{{"op":"LOSE","Who":{who},"Req":"{:016x}"}}"#,
            request.0
        ),
        Action::Migrate(request) => writeln!(
            out,
            r#"{{"op":"SHIFT","Who":{who},"Req":"{:016x}"}}"#,
            request.0
        ),
        Action::CheckHealth(server) => {
            writeln!(
                out,
                r#"{{"op":"ASK_LOAD","Who":{who},"Server":{}}}"#,
                text(&server.0)
            )
        }
        Action::Gossip(message) => {
            writeln!(
                out,
                r#"{{"op":"SHARE","Who":{who},"Whom":-1,"Msg":{}}}"#,
                text(&message)
            )
        }
        Action::SetTimer { after, handle } => {
            writeln!(
                out,
                r#"{{"op":"DEFER","Who":{who},"AfterNs":{},"Handle":{handle}}}"#,
                after.as_nanos()
            )
        }
        Action::WatchEndpoints => writeln!(out, r#"{{"op":"SUBSCRIBE","Who":{who},"Want":true}}"#),
    };
    debug_assert!(written.is_ok(), "writing to memory cannot fail");
}
