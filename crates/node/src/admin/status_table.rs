//! Formats a node's answers about its cluster and its budgets as tables for operators.

use serde_json::Value;
use std::fmt::Write;
use thiserror::Error;

/// Width of the name column in lines that show one value.
const NAME_WIDTH: usize = 12;

/// The answer is not JSON.
#[derive(Debug, Error)]
#[error("answer of the node is not valid JSON: {0}")]
pub(crate) struct UnreadableAnswer(#[from] serde_json::Error);

/// Formats the answer to `budgets QUERY`: one line per value, then a table of the nodes' leases.
///
/// # Errors
/// If the answer is not JSON.
pub(crate) fn budgets_table(answer: &str) -> Result<String, UnreadableAnswer> {
    let answer: Value = serde_json::from_str(answer)?;
    let budgets = answer
        .as_array()
        .cloned()
        .unwrap_or_else(|| vec![answer.clone()]);
    let sections: Vec<String> = budgets.iter().flat_map(budget_sections).collect();
    Ok(sections.join("\n"))
}

/// Formats the answer to `fleet QUERY`.
///
/// # Errors
/// If the answer is not JSON.
pub(crate) fn cluster_table(query: &str, answer: &str) -> Result<String, UnreadableAnswer> {
    let answer: Value = serde_json::from_str(answer)?;
    Ok(match query {
        "status" => status_table(&answer),
        "members" => records_table(
            &answer,
            &["name", "at", "zone", "region", "build", "settings", "bump"],
        ),
        "log" => records_table(&answer, &["index", "term", "what"]),
        _ => answer.to_string(),
    })
}

/// Formats one budget: one line per value, then the table of leases if there are any.
fn budget_sections(budget: &Value) -> Vec<String> {
    let facts = budget.as_object().cloned().unwrap_or_default();
    let mut sections: Vec<String> = facts
        .iter()
        .filter(|(name, _)| *name != "slices")
        .map(|(name, fact)| fact_line(name, &value_text(fact)))
        .collect();
    let leases = facts.get("slices").and_then(Value::as_object);
    let rows: Vec<Vec<String>> = leases
        .into_iter()
        .flatten()
        .map(|(node, lease)| vec![node.clone(), value_text(lease)])
        .collect();
    if !rows.is_empty() {
        sections.push(text_table(&["node", "slice"], rows));
    }
    sections
}

fn status_table(answer: &Value) -> String {
    let control = &answer["council"];
    let mut text = String::new();
    for line in status_facts(answer, control) {
        let _ = writeln!(text, "{line}");
    }
    let members = list_items(&control["parts"])
        .iter()
        .map(|participant| {
            let mut row = fields(&participant["member"], &["name", "zone", "build"]);
            row.extend(fields(participant, &["role", "alive", "slice"]));
            row
        })
        .collect();
    let columns = ["name", "zone", "build", "role", "alive", "slice"];
    let table = text_table(&columns, members);
    format!("{text}\n{table}")
}

fn status_facts(answer: &Value, control: &Value) -> [String; 8] {
    let field = |name: &str| value_text(&control[name]);
    let epoch = value_text(&control["stamp"]["epoch"]);
    let log_position = format!("{}, {}", field("term"), field("index"));
    let budget = format!("{} of {} taken", field("sum"), field("whole"));
    let lease = format!(
        "{} in a window, {} ms left",
        field("limit"),
        field("lease_ms")
    );
    [
        fact_line("fleet", &value_text(&answer["fleet"])),
        fact_line("node", &value_text(&control["me"]["name"])),
        fact_line("alive", &value_text(&answer["alive"])),
        fact_line("council", &format!("epoch {epoch}")),
        fact_line("leader", &field("leader")),
        fact_line("term, entry", &log_position),
        fact_line("cold budget", &budget),
        fact_line("this node's", &lease),
    ]
}

/// Formats a list of records as a table with a column for each key.
fn records_table(records: &Value, keys: &[&str]) -> String {
    let rows = list_items(records)
        .iter()
        .map(|record| fields(record, keys))
        .collect();
    text_table(keys, rows)
}

fn list_items(value: &Value) -> Vec<Value> {
    value.as_array().cloned().unwrap_or_default()
}

fn fields(record: &Value, keys: &[&str]) -> Vec<String> {
    keys.iter().map(|key| value_text(&record[*key])).collect()
}

fn fact_line(name: &str, fact: &str) -> String {
    format!("{name:NAME_WIDTH$}  {fact}")
}

/// Formats a value without quotes, and null as `-`.
fn value_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

/// Formats a table whose columns are as wide as their widest field.
fn text_table(header: &[&str], rows: Vec<Vec<String>>) -> String {
    let header = header.iter().map(ToString::to_string).collect();
    let mut lines: Vec<Vec<String>> = vec![header];
    lines.extend(rows);
    let widths: Vec<usize> = (0..lines[0].len())
        .map(|column| column_width(&lines, column))
        .collect();
    let mut text = String::new();
    for line in &lines {
        let fields: Vec<String> = line
            .iter()
            .zip(&widths)
            .map(|(field, width)| format!("{field:width$}"))
            .collect();
        let _ = writeln!(text, "{}", fields.join("  ").trim_end());
    }
    text.trim_end().to_string()
}

fn column_width(lines: &[Vec<String>], column: usize) -> usize {
    lines
        .iter()
        .filter_map(|line| line.get(column))
        .map(String::len)
        .max()
        .unwrap_or(0)
}

#[cfg(test)]
mod tests;
