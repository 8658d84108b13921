//! Parsing of the lines that servers send on a request's connection.

/// The maximum length of a protocol line in bytes, including its terminator.
pub(crate) const MAX_LINE_BYTES: usize = 4 << 10;

/// Numbers in the protocol (loads, fields of load reports) are below this limit.
const NUMBER_LIMIT: f64 = 1e12;

/// One line of a server, by its first word.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ServerLine {
    /// `UP RECEIPT`: the server has accepted the request.
    Up,
    /// `BYE`: the request is served.
    Bye,
    /// `MOVE`: asks the client to reconnect elsewhere.
    Move,
    /// `ERR`: the request has failed.
    Error,
    /// `BUSY`: the server rejects the request without having executed any of it.
    Busy,
    /// `SYNTAX`: the server could not parse the line that it received.
    SyntaxError,
    /// `LOAD X`: the connection's load in microseconds of work per second.
    Load(f64),
    /// Anything else, including a malformed line.
    Unknown,
}

impl ServerLine {
    /// Parses one line, with or without its terminator.
    ///
    /// A malformed line is `Unknown`: an `UP` whose receipt is missing or not printable does not prove that the
    /// request was accepted, and a `BUSY` followed by anything but a time does not prove that nothing was executed.
    /// [`ServerLine::parse_answer`] also accepts a `BUSY` with a load report.
    pub(crate) fn parse(line: &[u8]) -> ServerLine {
        let line = line.trim_ascii_end();
        let word_end = line
            .iter()
            .position(|byte| *byte == b' ')
            .unwrap_or(line.len());
        let word = &line[..word_end];
        let argument = line[word_end..].trim_ascii();
        match word {
            b"UP" if is_receipt(argument) => ServerLine::Up,
            b"BYE" => ServerLine::Bye,
            b"MOVE" => ServerLine::Move,
            b"ERR" => ServerLine::Error,
            b"BUSY" if argument.iter().all(u8::is_ascii_digit) => ServerLine::Busy,
            b"SYNTAX" => ServerLine::SyntaxError,
            b"LOAD" => parse_load(argument),
            _ => ServerLine::Unknown,
        }
    }

    /// Parses the answer to a request. `BUSY` may be followed by a load report that has all of `report_fields`, which
    /// are empty if answers carry no reports.
    pub(crate) fn parse_answer(line: &[u8], report_fields: &[String]) -> ServerLine {
        match ServerLine::parse(line) {
            ServerLine::Unknown if is_busy_with_report(line, report_fields) => ServerLine::Busy,
            parsed => parsed,
        }
    }
}

fn is_busy_with_report(line: &[u8], report_fields: &[String]) -> bool {
    let report = std::str::from_utf8(line)
        .ok()
        .and_then(|text| text.trim_ascii_end().strip_prefix("BUSY "));
    report.is_some_and(|report| parse_report(report, report_fields).is_some())
}

/// Parses `FIELD=NUMBER,...`: returns the numbers of `fields`, in their order. `None` if `fields` is empty, or if one
/// of them is missing or not a valid number.
pub(crate) fn parse_report(report: &str, fields: &[String]) -> Option<Vec<f64>> {
    fields
        .iter()
        .map(|field| parse_report_field(report, field))
        .collect::<Option<Vec<f64>>>()
        .filter(|numbers| !numbers.is_empty())
}

fn parse_report_field(report: &str, field: &str) -> Option<f64> {
    let value = report
        .split(',')
        .find_map(|entry| entry.strip_prefix(field)?.strip_prefix('='))?;
    parse_number(value.trim())
}

/// Returns true if the argument is non-empty printable text.
fn is_receipt(argument: &[u8]) -> bool {
    !argument.is_empty() && argument.iter().all(|byte| matches!(byte, b' '..=b'~'))
}

fn parse_load(argument: &[u8]) -> ServerLine {
    std::str::from_utf8(argument)
        .ok()
        .and_then(parse_number)
        .map_or(ServerLine::Unknown, ServerLine::Load)
}

/// Parses a number of the protocol: finite, not negative and below [`NUMBER_LIMIT`].
pub(crate) fn parse_number(text: &str) -> Option<f64> {
    let number = text.parse::<f64>().ok()?;
    (0.0..NUMBER_LIMIT).contains(&number).then_some(number)
}

#[cfg(test)]
mod tests;
