//! Validation of a scenario's values, beyond the form of the file.

use super::{Fault, Scenario};
use std::ops::RangeInclusive;
use thiserror::Error;
use toml::Spanned;

/// Maximum number of a run's node processes, including those that join.
const MAX_NODE_COUNT: usize = 62;
/// Maximum number of a run's servers, including those that are added.
const MAX_SERVER_COUNT: usize = 160;
/// Minimum duration of a budget's saturated spans.
const MIN_SPAN_SECONDS: f64 = 0.1;

/// The reason why a value is invalid.
#[derive(Debug, Error)]
pub(super) enum InvalidValue {
    #[error("{field}: {value} is not in {min} to {max}")]
    OutOfRange {
        field: &'static str,
        value: f64,
        min: f64,
        max: f64,
    },
    #[error("{field}: {selector:?} selects no party of this scenario")]
    UnknownParty {
        field: &'static str,
        selector: String,
    },
    #[error("to and one_way are only for link faults")]
    NotALink,
    #[error("for_s: a fault of this kind needs a duration")]
    MissingDuration,
    #[error("times: a fault of this kind needs a count")]
    MissingCount,
}

/// An invalid value with its byte offset in the file.
#[derive(Debug)]
pub(super) struct InvalidValueAt {
    pub(super) offset: usize,
    pub(super) value: InvalidValue,
}

impl InvalidValue {
    fn at(self, offset: usize) -> InvalidValueAt {
        InvalidValueAt {
            offset,
            value: self,
        }
    }
}

type Validation = Result<(), InvalidValueAt>;

fn check_range(
    field: &'static str,
    value: f64,
    range: RangeInclusive<f64>,
    offset: usize,
) -> Validation {
    if range.contains(&value) {
        return Ok(());
    }
    let out_of_range = InvalidValue::OutOfRange {
        field,
        value,
        min: *range.start(),
        max: *range.end(),
    };
    Err(out_of_range.at(offset))
}

/// Checks a value whose position in the file is unknown; errors name the first line.
fn check_range_without_offset(
    field: &'static str,
    value: f64,
    range: RangeInclusive<f64>,
) -> Validation {
    check_range(field, value, range, 0)
}

impl Scenario {
    /// Checks all values.
    pub(super) fn validate(&self) -> Validation {
        self.validate_sizes()?;
        self.validate_clients()?;
        self.validate_servers()?;
        let joining_count = self
            .faults
            .iter()
            .filter(|fault| fault.get_ref().kind.adds_node())
            .count();
        check_range_without_offset(
            "nodes with those that join",
            (self.node_count() + joining_count) as f64,
            1.0..=MAX_NODE_COUNT as f64,
        )?;
        for fault in &self.faults {
            self.validate_fault(fault)?;
        }
        Ok(())
    }

    fn validate_sizes(&self) -> Validation {
        let node_count = self.node_count() as f64;
        check_range("nodes", node_count, 1.0..=60.0, self.nodes.span().start)?;
        let server_count = self.server_count() as f64;
        let servers_offset = self.servers.span().start;
        check_range("transcribers", server_count, 1.0..=60.0, servers_offset)?;
        let seconds_offset = self.seconds.span().start;
        check_range("seconds", self.duration_s(), 2.0..=600.0, seconds_offset)?;
        check_range_without_offset("zones", self.zone_count as f64, 1.0..=10.0)
    }

    fn validate_clients(&self) -> Validation {
        let clients = &self.clients;
        let line_interval_ms = clients.line_interval_ms as f64;
        check_range_without_offset("clients.rate", clients.rate, 0.0..=2_000.0)?;
        check_range_without_offset("clients.stand_s", clients.mean_duration_s, 0.1..=600.0)?;
        check_range_without_offset(
            "clients.wait_ms",
            clients.answer_timeout_ms as f64,
            100.0..=10_000.0,
        )?;
        check_range_without_offset("clients.line_ms", line_interval_ms, 50.0..=10_000.0)?;
        check_range_without_offset("clients.groups", clients.group_count as f64, 1.0..=1e9)?;
        check_range_without_offset("clients.skew", clients.first_node_weight, 1.0..=1_000.0)
    }

    fn validate_servers(&self) -> Validation {
        let budget = self.slow_start_budget.iter();
        for span in budget.flat_map(|budget| &budget.saturated_spans) {
            let range = span.from_s + MIN_SPAN_SECONDS..=self.duration_s();
            check_range_without_offset("cold.enough: its end", span.to_s, range)?;
        }
        let capacity = &self.server_capacity;
        check_range_without_offset("bears.held", capacity.connections, 1.0..=10_000.0)?;
        check_range_without_offset("bears.cold_s", capacity.warm_up_s, 0.1..=600.0)
    }

    fn validate_fault(&self, fault: &Spanned<Fault>) -> Validation {
        let offset = fault.span().start;
        let fault = fault.get_ref();
        let max_magnitude = if fault.kind.has_ratio() {
            1.0
        } else {
            60_000.0
        };
        check_range("at_s", fault.at_s, 0.0..=self.duration_s(), offset)?;
        check_range("for_s", fault.duration_s, 0.0..=600.0, offset)?;
        check_range("times", fault.count as f64, 0.0..=100.0, offset)?;
        check_range("much", fault.magnitude, 0.0..=max_magnitude, offset)?;
        self.validate_parties(fault)
            .and_then(|()| validate_needs(fault))
            .map_err(|value| value.at(offset))
    }

    fn validate_parties(&self, fault: &Fault) -> Result<(), InvalidValue> {
        let lacks_target = fault.target.is_empty() && !fault.kind.has_no_target();
        if lacks_target || !self.is_selector(&fault.target) {
            return Err(InvalidValue::UnknownParty {
                field: "on",
                selector: fault.target.clone(),
            });
        }
        if !self.is_selector(&fault.peer) {
            return Err(InvalidValue::UnknownParty {
                field: "to",
                selector: fault.peer.clone(),
            });
        }
        Ok(())
    }

    /// Returns true if the text is a valid selector; the empty one selects all parties.
    fn is_selector(&self, selector: &str) -> bool {
        let is_numbered = |prefix: &str, count: usize| {
            let number = selector.strip_prefix(prefix);
            let number = number.and_then(|text| text.parse::<usize>().ok());
            number.is_some_and(|number| number < count)
        };
        matches!(
            selector,
            "" | "all" | "nodes" | "transcribers" | "discovery" | "leader" | "follower"
        ) || is_numbered("n", MAX_NODE_COUNT)
            || is_numbered("t", MAX_SERVER_COUNT)
            || is_numbered("zone", self.zone_count)
    }
}

/// Checks the fields that the kind of a fault requires or excludes.
fn validate_needs(fault: &Fault) -> Result<(), InvalidValue> {
    if !fault.kind.is_link_fault() && (!fault.peer.is_empty() || fault.is_one_way) {
        return Err(InvalidValue::NotALink);
    }
    if fault.kind.needs_duration() && fault.duration_s <= 0.0 {
        return Err(InvalidValue::MissingDuration);
    }
    if fault.kind.needs_count() && fault.count == 0 {
        return Err(InvalidValue::MissingCount);
    }
    Ok(())
}
