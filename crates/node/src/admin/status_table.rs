//! What a node says of its fleet, as a table for people.

use serde_json::Value;
use std::fmt::Write;

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

/// Rows with columns as wide as their widest field.
fn rows(head: &[&str], rows: Vec<Vec<String>>) -> String {
    let all: Vec<Vec<String>> =
        std::iter::once(head.iter().map(std::string::ToString::to_string).collect())
            .chain(rows)
            .collect();
    let width = |at: usize| {
        all.iter()
            .filter_map(|row| row.get(at))
            .map(String::len)
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let mut out = String::new();
    for row in &all {
        let fields: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(field, width)| format!("{field:width$}"))
            .collect();
        let _ = writeln!(out, "{}", fields.join("  ").trim_end());
    }
    out.trim_end().to_string()
}

/// The answer to `budgets WHAT`, laid out: facts, then the slices.
pub fn budgets(told: &str) -> Result<String, String> {
    let told: Value =
        serde_json::from_str(told).map_err(|error| format!("not to be read: {error}"))?;
    let mut out = Vec::new();
    for budget in told
        .as_array()
        .cloned()
        .unwrap_or_else(|| vec![told.clone()])
    {
        let facts = budget.as_object().cloned().unwrap_or_default();
        for (name, fact) in facts.iter().filter(|(name, _)| *name != "slices") {
            out.push(format!("{name:12}  {}", text(fact)));
        }
        let slices = facts
            .get("slices")
            .and_then(Value::as_object)
            .cloned()
            .unwrap_or_default();
        if !slices.is_empty() {
            let table = slices
                .iter()
                .map(|(name, slice)| vec![name.clone(), text(slice)])
                .collect();
            out.push(rows(&["node", "slice"], table));
        }
    }
    Ok(out.join("\n"))
}

/// The answer to `fleet WHAT`, laid out.
pub fn table(what: &str, told: &str) -> Result<String, String> {
    let told: Value =
        serde_json::from_str(told).map_err(|error| format!("not to be read: {error}"))?;
    let list = |value: &Value| value.as_array().cloned().unwrap_or_default();
    let pick = |value: &Value, keys: &[&str]| {
        keys.iter()
            .map(|key| text(&value[*key]))
            .collect::<Vec<_>>()
    };
    Ok(match what {
        "status" => {
            let council = &told["council"];
            let mut out = String::new();
            let facts = [
                ("fleet", text(&told["fleet"])),
                ("node", text(&council["me"]["name"])),
                ("alive", text(&told["alive"])),
                (
                    "council",
                    format!("epoch {}", text(&council["stamp"]["epoch"])),
                ),
                ("leader", text(&council["leader"])),
                (
                    "term, entry",
                    format!("{}, {}", text(&council["term"]), text(&council["index"])),
                ),
                (
                    "cold budget",
                    format!(
                        "{} of {} taken",
                        text(&council["sum"]),
                        text(&council["whole"])
                    ),
                ),
                (
                    "this node's",
                    format!(
                        "{} in a window, {} ms left",
                        text(&council["limit"]),
                        text(&council["lease_ms"])
                    ),
                ),
            ];
            for (name, fact) in facts {
                let _ = writeln!(out, "{name:12}  {fact}");
            }
            let parts = list(&council["parts"]);
            let parts = parts.iter().map(|part| {
                let mut row = pick(&part["member"], &["name", "zone", "build"]);
                row.extend(pick(part, &["role", "alive", "slice"]));
                row
            });
            let table = rows(
                &["name", "zone", "build", "role", "alive", "slice"],
                parts.collect(),
            );
            format!("{out}\n{table}")
        }
        "members" => {
            let keys = ["name", "at", "zone", "region", "build", "settings", "bump"];
            rows(
                &keys,
                list(&told)
                    .iter()
                    .map(|member| pick(member, &keys))
                    .collect(),
            )
        }
        "log" => {
            let keys = ["index", "term", "what"];
            rows(
                &keys,
                list(&told).iter().map(|entry| pick(entry, &keys)).collect(),
            )
        }
        _ => told.to_string(),
    })
}
