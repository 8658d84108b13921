//! Parsing of a client's first line.

use crate::upstream::server_line::{parse_number, MAX_LINE_BYTES};
use lupincrank_placement::{RequestId, RequestInfo, Timestamp};
use std::ops::Range;
use std::time::Duration;

/// The length of a request id in the protocol, in hexadecimal digits.
const REQUEST_ID_DIGITS: usize = 16;
const LINE_TERMINATOR: &[u8] = b"\r\n";

/// The names in the settings that first lines refer to.
#[derive(Clone, Copy)]
pub(super) struct SettingsNames<'a> {
    /// The classes.
    pub(super) classes: &'a [String],
    /// The tenants.
    pub(super) tenants: &'a [String],
}

/// A parsed first line.
#[derive(Debug, PartialEq)]
pub(super) enum FirstLine {
    /// `PING`: asks whether this node can serve clients.
    Ping,
    /// `OPEN ...`: requests a connection to a server.
    Open(OpenRequest),
}

/// The reason why a first line is answered with `ERR`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum FirstLineError {
    /// No line end within the maximum line length.
    #[error("first line not terminated within {MAX_LINE_BYTES} bytes")]
    Unterminated,
    /// The line does not end in CR LF, or exceeds the maximum length.
    #[error("first line not terminated by CR LF, or too long")]
    InvalidTerminator,
    /// The line is neither a `PING` nor an `OPEN` with valid values for all required fields.
    #[error("unknown command or invalid fields in first line")]
    InvalidFields,
    /// The client sent more after the first line before its answer.
    #[error("client sent more than its first line before the answer")]
    MultipleLines,
    /// The line was not complete in time.
    #[error("first line not complete in time")]
    TimedOut,
    /// Another connection has a request of this id.
    #[error("request id already in use")]
    RequestIdInUse,
    /// A request with this id may have been executed, and its class does not allow it to be executed again.
    #[error("request with this id may have been executed")]
    RequestIdExecuted,
    /// The line names the server that holds the connection, but the time after this process's start in which such
    /// connections are restored is over.
    #[error("too late to restore a connection from before the node's start")]
    RestoredTooLate,
}

/// The fields of an `OPEN` line that placement needs.
#[derive(Debug, PartialEq)]
pub(super) struct OpenRequest {
    /// The request's id.
    pub(super) request: RequestId,
    /// The flow, which is the key of requests that contain no other.
    pub(super) flow: String,
    /// The class, by its index in the settings.
    pub(super) class: usize,
    /// How long the client waits for its connection.
    pub(super) time_budget: TimeBudget,
    /// The tenant, by its index in the settings; `None` if the settings do not contain it.
    pub(super) tenant: Option<usize>,
    /// The group or the key, depending on the settings.
    pub(super) subject: Option<String>,
    /// The client reconnects, after a broken connection or a `MOVE`.
    pub(super) is_reconnect: bool,
    /// The server that has held the connection since before this process started.
    pub(super) current_server: Option<String>,
    /// The expected load, in work time per second.
    pub(super) load: Option<Duration>,
}

/// The time that a client waits for its connection, and the position of its digits in the line.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct TimeBudget {
    /// The duration.
    pub(super) duration: Duration,
    /// The byte range of the digits of field `d` in the line.
    pub(super) digits: Range<usize>,
}

impl FirstLine {
    /// Parses a complete first line, including its terminator. `names` are the names in the settings.
    ///
    /// # Errors
    /// If the line is not properly terminated or is malformed.
    pub(super) fn parse(line: &[u8], names: SettingsNames) -> Result<FirstLine, FirstLineError> {
        let text = line
            .strip_suffix(LINE_TERMINATOR)
            .filter(|_| line.len() <= MAX_LINE_BYTES)
            .ok_or(FirstLineError::InvalidTerminator)?;
        let text = std::str::from_utf8(text).map_err(|_| FirstLineError::InvalidFields)?;
        if text == "PING" {
            return Ok(FirstLine::Ping);
        }
        OpenRequest::parse(text, names)
            .map(FirstLine::Open)
            .ok_or(FirstLineError::InvalidFields)
    }
}

impl OpenRequest {
    /// Parses `OPEN ID FLOW FIELD=VALUE,...`; `None` if it is malformed.
    fn parse(text: &str, names: SettingsNames) -> Option<OpenRequest> {
        let mut parts = text.split(' ');
        let verb = parts.next()?;
        let request_id = parts.next()?;
        let flow = parts.next()?;
        let field_list = parts.next()?;
        if verb != "OPEN" || parts.next().is_some() || !is_valid_value(flow) {
            return None;
        }
        let request = parse_request_id(request_id)?;
        let fields_start = text.len() - field_list.len();
        let fields = OpenFields::parse(field_list, fields_start, names)?;
        Some(OpenRequest {
            request,
            flow: flow.to_string(),
            class: fields.class?,
            tenant: fields.tenant,
            time_budget: fields.time_budget?,
            subject: fields.subject,
            is_reconnect: fields.is_reconnect,
            current_server: fields.current_server,
            load: fields.load,
        })
    }

    /// Returns the request for placement. If `has_groups` is true, the subject is a group, otherwise a key.
    pub(super) fn request_info(&self, has_groups: bool) -> RequestInfo {
        let subject = self.subject.clone();
        let flow = Some(self.flow.clone());
        let (group, key) = if has_groups {
            (subject, flow)
        } else {
            (None, subject.or(flow))
        };
        RequestInfo {
            request: self.request,
            class: self.class,
            tenant: self.tenant,
            group,
            key,
            load: self.load,
            deadline: Timestamp(0),
            is_mid_flow: false,
            is_reconnect: self.is_reconnect,
        }
    }
}

/// The fields of an `OPEN` line parsed so far; of a repeated field the last value wins.
#[derive(Default)]
struct OpenFields {
    class: Option<usize>,
    tenant: Option<usize>,
    time_budget: Option<TimeBudget>,
    subject: Option<String>,
    is_reconnect: bool,
    current_server: Option<String>,
    load: Option<Duration>,
}

impl OpenFields {
    /// Parses `FIELD=VALUE,...`, which starts at byte `start` of the line.
    fn parse(field_list: &str, start: usize, names: SettingsNames) -> Option<OpenFields> {
        let mut fields = OpenFields::default();
        let mut field_start = start;
        for field in field_list.split(',') {
            let (name, value) = field.split_once('=')?;
            if !is_valid_value(name) || !is_valid_value(value) {
                return None;
            }
            let value_start = field_start + name.len() + 1;
            fields.set(name, value, value_start, names)?;
            field_start += field.len() + 1;
        }
        Some(fields)
    }

    /// Sets one field; unknown ones are ignored. `None` if the value is malformed.
    fn set(
        &mut self,
        name: &str,
        value: &str,
        value_start: usize,
        names: SettingsNames,
    ) -> Option<()> {
        match name {
            "c" => self.class = Some(names.classes.iter().position(|class| class == value)?),
            "t" => self.tenant = names.tenants.iter().position(|tenant| tenant == value),
            "d" => self.time_budget = Some(TimeBudget::parse(value, value_start)?),
            "g" => self.subject = Some(value.to_string()),
            "again" => self.is_reconnect = value == "1",
            "at" => self.current_server = Some(value.to_string()),
            "h" => self.load = Some(Duration::from_secs_f64(parse_number(value)? / 1e6)),
            _ => {}
        }
        Some(())
    }
}

impl TimeBudget {
    fn parse(value: &str, start: usize) -> Option<TimeBudget> {
        if !value.bytes().all(|byte| byte.is_ascii_digit()) {
            return None;
        }
        let millis = value.parse::<u32>().ok()?;
        Some(TimeBudget {
            duration: Duration::from_millis(u64::from(millis)),
            digits: start..start + value.len(),
        })
    }
}

fn parse_request_id(text: &str) -> Option<RequestId> {
    let is_lowercase_hex = text
        .bytes()
        .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if text.len() != REQUEST_ID_DIGITS || !is_lowercase_hex {
        return None;
    }
    u64::from_str_radix(text, 16).ok().map(RequestId)
}

/// Returns true if the text is not empty and contains no control characters.
fn is_valid_value(text: &str) -> bool {
    !text.is_empty() && !text.chars().any(char::is_control)
}

#[cfg(test)]
mod tests;
