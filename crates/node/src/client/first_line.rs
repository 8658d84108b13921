//! Parsing of the first line of a client.

use crate::upstream::server_line::{parse_figure, MAX_LINE_BYTES};
use lupincrank_placement::{RequestId, RequestInfo, Timestamp};
use std::ops::Range;
use std::time::Duration;

/// The length of a request id in the protocol, in hexadecimal digits.
const REQUEST_ID_DIGITS: usize = 16;
const LINE_TERMINATOR: &[u8] = b"\r\n";

/// The names of the settings that first lines use.
#[derive(Clone, Copy)]
pub(super) struct SettingsNames<'a> {
    /// The classes.
    pub(super) classes: &'a [String],
    /// The tenants.
    pub(super) tenants: &'a [String],
}

/// What a first line asks for.
#[derive(Debug, PartialEq)]
pub(super) enum FirstLine {
    /// `PING`: whether this node can serve.
    Ping,
    /// `OPEN ...`: a connection to a server.
    Open(OpenRequest),
}

/// Why a client is answered with `ERR` on account of its first line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum FirstLineError {
    /// No end within the longest line.
    #[error("no line end in {MAX_LINE_BYTES} bytes")]
    Unterminated,
    /// The line does not end in CR LF, or is longer than the longest line.
    #[error("invalid line end or length")]
    InvalidTerminator,
    /// The line is no `PING`, and no `OPEN` with all fields that it needs.
    #[error("unknown request or invalid fields")]
    InvalidFields,
    /// More came behind the first line, ahead of the answer.
    #[error("more than one line")]
    MultipleLines,
    /// The line was not complete in time.
    #[error("timed out")]
    TimedOut,
    /// Another connection has a request of this id.
    #[error("request id in use")]
    RequestIdInUse,
    /// The line names a server that holds the connection, though this process began long ago.
    #[error("connection from before the start comes too late")]
    RestoredTooLate,
}

/// The fields of an `OPEN` line that placement needs.
#[derive(Debug, PartialEq)]
pub(super) struct OpenRequest {
    /// The request's id.
    pub(super) request: RequestId,
    /// The flow, which is the key of requests that name no other.
    pub(super) flow: String,
    /// The class, by its position in the settings.
    pub(super) class: usize,
    /// How long the client waits for its connection.
    pub(super) time_budget: TimeBudget,
    /// The tenant, by its position in the settings; `None` for one that they do not name.
    pub(super) tenant: Option<usize>,
    /// Group or key, as the settings say.
    pub(super) subject: Option<String>,
    /// The client connects again, after a break or a `MOVE`.
    pub(super) is_reconnect: bool,
    /// The server that holds the connection since before this process began.
    pub(super) current_server: Option<String>,
    /// The expected load, in work time per second.
    pub(super) load: Option<Duration>,
}

/// How long a client waits for its connection, and where the line says so.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct TimeBudget {
    /// How long.
    pub(super) duration: Duration,
    /// The position of the digits of field `d` in the line, in bytes.
    pub(super) digits: Range<usize>,
}

impl FirstLine {
    /// Parses a complete first line, its terminator included. `names` are those of the settings.
    ///
    /// # Errors
    /// Where the line has no proper end or is malformed.
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

    /// The request as placement takes it. `has_groups`: the subject is a group, and no key.
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

/// The fields of an `OPEN` line as far as they are parsed; of a field that comes twice the last one holds.
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
    /// Parses `FIELD=VALUE,...`, which begins at byte `start` of the line.
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

    /// Sets one field; unknown ones are ignored, and `None` says that the value is malformed.
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
            "h" => self.load = Some(Duration::from_secs_f64(parse_figure(value)? / 1e6)),
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

/// Whether this is text without control characters, and not empty.
fn is_valid_value(text: &str) -> bool {
    !text.is_empty() && !text.chars().any(char::is_control)
}

#[cfg(test)]
mod tests;
