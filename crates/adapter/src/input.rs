//! Parses lines of the external simulator's protocol into placement events.

use crate::error::MessageError;
use lupincrank_placement::{
    Endpoint, Event, Health, Outcome, RequestId, RequestInfo, ServerId, Timer, Timestamp,
};
use lupincrank_settings::DeploymentSettings;
use serde::Deserialize;
use std::borrow::Cow;
use std::time::Duration;

/// Number of hexadecimal digits of a request identifier.
const REQUEST_ID_LENGTH: usize = 16;

/// Expected loads of this many nanoseconds per second or more are ignored as implausible.
const MAX_LOAD_NS: f64 = 1e18;

/// Observed values at or above this bound, and negative ones, are implausible and count as 0.
const MAX_OBSERVED_VALUE: f64 = 1e12;

/// Observed loads are in millionths of a standard core.
const LOAD_UNITS_PER_CORE: f64 = 1e6;

/// Observed delays are in milliseconds.
const DELAY_UNITS_PER_SECOND: f64 = 1e3;

/// A line of any operation. The required fields depend on `operation`.
#[derive(Deserialize)]
#[serde(expecting = "struct Line")]
pub struct InputLine<'a> {
    /// The operation of the line.
    #[serde(rename = "op", borrow)]
    pub operation: Cow<'a, str>,
    /// The name of the instance that receives the message.
    #[serde(rename = "Who", borrow)]
    pub instance: Option<Cow<'a, str>>,
    /// The time of a batch.
    #[serde(rename = "SimTimeNs")]
    pub sim_time_ns: Option<u64>,
    /// The random seed of a new instance.
    #[serde(rename = "Prng")]
    pub seed: Option<u64>,
    /// The settings of a new instance.
    #[serde(rename = "Conf")]
    pub settings: Option<DeploymentSettings>,
    #[serde(rename = "Kind")]
    kind: Option<u32>,
    #[serde(rename = "NodesList")]
    endpoints: Option<Vec<EndpointEntry>>,
    #[serde(rename = "Req", borrow)]
    request: Option<Cow<'a, str>>,
    #[serde(rename = "Returned")]
    is_reconnect: Option<bool>,
    #[serde(rename = "ExpectedNs")]
    expected_load_ns: Option<f64>,
    #[serde(rename = "Billing")]
    tenant: Option<usize>,
    #[serde(rename = "TeamId")]
    group: Option<String>,
    #[serde(rename = "ValidUntilNs")]
    deadline_ns: Option<u64>,
    #[serde(rename = "Affinity")]
    key: Option<String>,
    #[serde(rename = "Stray")]
    is_mid_flow: Option<bool>,
    #[serde(rename = "Lane")]
    class: Option<usize>,
    #[serde(rename = "Server", borrow)]
    server: Option<Cow<'a, str>>,
    #[serde(rename = "RttNs")]
    setup_duration_ns: Option<u64>,
    #[serde(rename = "StateCode")]
    state_code: Option<u32>,
    #[serde(rename = "DoneFlag")]
    is_done: Option<bool>,
    #[serde(rename = "SeqNo")]
    attempt: Option<u32>,
    #[serde(rename = "Gauge")]
    load_report: Option<Vec<Option<f64>>>,
    #[serde(rename = "Value")]
    value: Option<f64>,
    #[serde(rename = "Handle")]
    timer_handle: Option<u64>,
    #[serde(rename = "Msg")]
    message: Option<String>,
}

/// An entry of the endpoint list.
#[derive(Deserialize)]
#[serde(expecting = "struct Node")]
struct EndpointEntry {
    #[serde(rename = "Server")]
    server: String,
    #[serde(rename = "Dc")]
    zone: Option<u32>,
    #[serde(rename = "Type")]
    machine_kind: Option<u32>,
    #[serde(rename = "UnitGroup")]
    cell: Option<u32>,
    #[serde(rename = "Health")]
    health_code: Option<u32>,
    #[serde(rename = "Heft")]
    weight: Option<f64>,
    #[serde(rename = "UpSinceNs")]
    started_at_ns: Option<u64>,
}

impl TryFrom<EndpointEntry> for Endpoint {
    type Error = MessageError;

    fn try_from(entry: EndpointEntry) -> Result<Endpoint, MessageError> {
        Ok(Endpoint {
            health: health(entry.health_code.unwrap_or(0))?,
            server: ServerId(entry.server.into()),
            weight: entry.weight.unwrap_or(1.0),
            zone: entry.zone.unwrap_or(0),
            cell: entry.cell.unwrap_or(0),
            machine_kind: entry.machine_kind.unwrap_or(0),
            started_at: entry
                .started_at_ns
                .filter(|started_at| *started_at > 0)
                .map(Timestamp),
        })
    }
}

impl InputLine<'_> {
    /// Converts the line into an event; `None` if the balancer ignores it.
    ///
    /// # Errors
    ///
    /// If a required field is missing or invalid, or if the operation is unknown.
    pub fn into_event(self) -> Result<Option<Event>, MessageError> {
        let event = match self.operation.as_ref() {
            "UPDATE" => self.endpoint_update()?,
            "ACCEPT" => Event::RequestReceived(self.request_info()?),
            "RESUMED" => self.inherited_connection()?,
            "CANCELLED_BY_CLIENT" => Event::ClientDisconnected(request_id(self.request)?),
            "ESTABLISHED" => Event::ConnectionEstablished {
                request: request_id(self.request)?,
                setup_duration: Duration::from_nanos(self.setup_duration_ns.unwrap_or(0)),
            },
            "COMPLETED" => self.attempt_ended()?,
            "PROGRESS" => return self.observation(),
            "HEALTH_RESULT" => self.health_check_completed()?,
            "WAKEUP" => return self.timer_fired(),
            "PEER" => Event::Gossip(required(self.message, "Msg")?),
            other => {
                return Err(MessageError::UnknownOperation {
                    operation: other.to_string(),
                })
            }
        };
        Ok(Some(event))
    }

    fn endpoint_update(self) -> Result<Event, MessageError> {
        let entries = self
            .endpoints
            .unwrap_or_default()
            .into_iter()
            .map(Endpoint::try_from)
            .collect::<Result<Vec<_>, _>>()?;
        match required(self.kind, "Kind")? {
            0 => Ok(Event::EndpointChange(entries)),
            1 => Ok(Event::EndpointList {
                entries,
                cached: false,
            }),
            2 => Ok(Event::EndpointList {
                entries,
                cached: true,
            }),
            3 => Ok(Event::EndpointWatchFailed),
            code => Err(MessageError::UnknownCode {
                field: "Kind",
                code,
            }),
        }
    }

    fn request_info(self) -> Result<RequestInfo, MessageError> {
        Ok(RequestInfo {
            request: request_id(self.request)?,
            class: required(self.class, "Lane")?,
            tenant: self.tenant,
            group: self.group,
            key: self.key,
            load: self
                .expected_load_ns
                .filter(|load| *load > 0.0 && *load < MAX_LOAD_NS)
                .map(|load| Duration::from_nanos(load as u64)),
            deadline: Timestamp(required(self.deadline_ns, "ValidUntilNs")?),
            is_mid_flow: self.is_mid_flow.unwrap_or(false),
            is_reconnect: self.is_reconnect.unwrap_or(false),
        })
    }

    fn inherited_connection(mut self) -> Result<Event, MessageError> {
        let server = server_id(self.server.take())?;
        Ok(Event::ConnectionInherited(self.request_info()?, server))
    }

    fn attempt_ended(self) -> Result<Event, MessageError> {
        Ok(Event::AttemptEnded {
            request: request_id(self.request)?,
            attempt: required(self.attempt, "SeqNo")?,
            outcome: outcome(required(self.state_code, "StateCode")?)?,
            done: self.is_done.unwrap_or(false),
            report: load_report(self.load_report),
        })
    }

    /// Converts an observation of an established connection: load in millionths of a core, or message delay in
    /// milliseconds. Other kinds are ignored.
    fn observation(self) -> Result<Option<Event>, MessageError> {
        let request = request_id(self.request)?;
        let reported = required(self.value, "Value")?;
        let is_plausible = (0.0..MAX_OBSERVED_VALUE).contains(&reported);
        let value = if is_plausible { reported } else { 0.0 };
        Ok(match required(self.kind, "Kind")? {
            1 => Some(Event::LoadObserved {
                request,
                load: Duration::from_secs_f64(value / LOAD_UNITS_PER_CORE),
            }),
            2 => Some(Event::DelayObserved {
                request,
                delay: Duration::from_secs_f64(value / DELAY_UNITS_PER_SECOND),
            }),
            _ => None,
        })
    }

    /// Converts the expiry of a timer. Handles that no balancer sets are ignored.
    fn timer_fired(self) -> Result<Option<Event>, MessageError> {
        let handle = required(self.timer_handle, "Handle")?;
        Ok(Timer::from_handle(handle).map(Event::TimerFired))
    }

    fn health_check_completed(self) -> Result<Event, MessageError> {
        Ok(Event::HealthCheckCompleted {
            server: server_id(self.server)?,
            passed: required(self.state_code, "StateCode")? == 1,
            report: load_report(self.load_report),
        })
    }
}

/// Returns the value of a required field.
///
/// # Errors
///
/// If the field is missing; the error names `field`.
pub fn required<T>(value: Option<T>, field: &'static str) -> Result<T, MessageError> {
    value.ok_or(MessageError::Missing { field })
}

fn health(code: u32) -> Result<Health, MessageError> {
    match code {
        0 => Ok(Health::Ready),
        1 => Ok(Health::Removed),
        2 => Ok(Health::Draining),
        _ => Err(MessageError::UnknownCode {
            field: "Health",
            code,
        }),
    }
}

fn outcome(code: u32) -> Result<Outcome, MessageError> {
    match code {
        1 => Ok(Outcome::Served),
        2 => Ok(Outcome::Error),
        3 => Ok(Outcome::Rejected),
        4 => Ok(Outcome::TimedOut),
        5 => Ok(Outcome::ConnectFailed),
        6 => Ok(Outcome::Reset),
        7 => Ok(Outcome::Cancelled),
        8 => Ok(Outcome::NotSent),
        _ => Err(MessageError::UnknownCode {
            field: "StateCode",
            code,
        }),
    }
}

fn request_id(text: Option<Cow<str>>) -> Result<RequestId, MessageError> {
    let text = required(text, "Req")?;
    // `from_str_radix` alone would also accept a sign and uppercase letters.
    let is_lowercase_hex = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    let is_well_formed = text.len() == REQUEST_ID_LENGTH && text.bytes().all(is_lowercase_hex);
    match u64::from_str_radix(&text, 16) {
        Ok(id) if is_well_formed => Ok(RequestId(id)),
        _ => Err(MessageError::InvalidRequestId {
            text: text.into_owned(),
        }),
    }
}

fn server_id(name: Option<Cow<str>>) -> Result<ServerId, MessageError> {
    let name = required(name, "Server")?;
    Ok(ServerId::from(name.as_ref()))
}

/// Returns the values of a load report, with 0 for null.
fn load_report(values: Option<Vec<Option<f64>>>) -> Option<Vec<f64>> {
    let values = values?;
    Some(values.into_iter().map(Option::unwrap_or_default).collect())
}
