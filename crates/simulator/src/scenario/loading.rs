//! Loads scenario files and the files that they extend, and reports errors with file and line.

use super::bounds::check;
use super::{Scenario, ScenarioError};
use std::path::Path;

/// Maximum length of a chain of files of which each extends the next.
const MAX_EXTENDS_DEPTH: usize = 8;

/// Loads a scenario file and the files that it extends.
///
/// # Errors
///
/// If a file cannot be read or is not a scenario, if the chain of extended files is too long, or if values are out of
/// bounds.
pub fn load(path: &Path) -> Result<Scenario, Vec<ScenarioError>> {
    let mut chain: Vec<(String, String)> = Vec::new();
    let mut next = Some(path.to_path_buf());
    while let Some(path) = next.take() {
        let file = path.display().to_string();
        let error_of = |message: String| {
            vec![ScenarioError {
                location: file.clone(),
                message,
            }]
        };
        if chain.len() == MAX_EXTENDS_DEPTH {
            return Err(error_of(format!(
                "extends: chain of more than {MAX_EXTENDS_DEPTH} files, or a cycle"
            )));
        }
        let text = std::fs::read_to_string(&path)
            .map_err(|error| error_of(format!("cannot read file: {error}")))?;
        let extending: Scenario = deserialize(&file, &text)?;
        next = extending
            .extends
            .as_ref()
            .and_then(|base| path.parent().map(|folder| folder.join(base)));
        chain.push((file, text));
    }
    let mut merged = toml::Table::new();
    for (file, text) in chain.iter().rev() {
        let table = toml::from_str(text).map_err(|error| syntax_errors(file, text, &error))?;
        merge(&mut merged, table);
    }
    merged.remove("extends");
    let text = merged.to_string();
    let scenario = deserialize(&chain[0].0, &text)?;
    let out_of_bounds = check(&scenario);
    if out_of_bounds.is_empty() {
        return Ok(scenario);
    }
    // The key is searched first in the loaded file, then in the files that it extends.
    let location = |key: &str| {
        let found = chain
            .iter()
            .find_map(|(file, text)| line_of_key(text, key).map(|line| (file, line)));
        found.map_or(format!("{}: {key}", chain[0].0), |(file, line)| {
            format!("{file}:{line}: {key}")
        })
    };
    Err(out_of_bounds
        .into_iter()
        .map(|value| ScenarioError {
            location: location(&value.key),
            message: value.message,
        })
        .collect())
}

fn merge(into: &mut toml::Table, from: toml::Table) {
    for (key, value) in from {
        match (into.get_mut(&key), value) {
            (Some(toml::Value::Table(old)), toml::Value::Table(new)) => merge(old, new),
            (_, value) => {
                into.insert(key, value);
            }
        }
    }
}

fn syntax_errors(file: &str, text: &str, error: &toml::de::Error) -> Vec<ScenarioError> {
    let line = error.span().map_or(0, |span| line_of(text, span.start));
    vec![ScenarioError {
        location: format!("{file}:{line}"),
        message: suggest_key(error.message()),
    }]
}

/// Deserializes a scenario without checking the bounds of its values.
fn deserialize(file: &str, text: &str) -> Result<Scenario, Vec<ScenarioError>> {
    toml::from_str(text).map_err(|error| syntax_errors(file, text, &error))
}

fn line_of_key(text: &str, key: &str) -> Option<usize> {
    let document = toml_edit::ImDocument::parse(text.to_string()).ok()?;
    offset_of_value(document.as_item(), key).map(|offset| line_of(text, offset))
}

/// Parses a scenario. All values out of bounds are reported at once, each with file, line and key.
///
/// # Errors
///
/// If the text is not a scenario, or if values are out of bounds.
pub fn parse(file: &str, text: &str) -> Result<Scenario, Vec<ScenarioError>> {
    let scenario = deserialize(file, text)?;
    let out_of_bounds = check(&scenario);
    if out_of_bounds.is_empty() {
        return Ok(scenario);
    }
    let location = |key: &str| {
        line_of_key(text, key).map_or(format!("{file}: {key}"), |line| {
            format!("{file}:{line}: {key}")
        })
    };
    Err(out_of_bounds
        .into_iter()
        .map(|value| ScenarioError {
            location: location(&value.key),
            message: value.message,
        })
        .collect())
}

/// Extends a message about an unknown key with the most similar known key. Returns other messages unchanged.
fn suggest_key(message: &str) -> String {
    let mut quoted = message.split('`').skip(1).step_by(2);
    let Some(unknown) = quoted.next().filter(|_| message.starts_with("unknown ")) else {
        return message.to_string();
    };
    let nearest = quoted.min_by_key(|known| strsim::damerau_levenshtein(known, unknown));
    nearest.map_or(message.to_string(), |nearest| {
        format!("unknown key `{unknown}`; the nearest is `{nearest}`")
    })
}

/// Returns the line of a byte offset, from 1.
fn line_of(text: &str, offset: usize) -> usize {
    text.get(..offset)
        .map_or(0, |before| before.matches('\n').count() + 1)
}

/// Returns the byte offset of the value of a dotted key. Numbers in the key are array indices.
fn offset_of_value(item: &toml_edit::Item, key: &str) -> Option<usize> {
    let mut current = item;
    for segment in key.split('.') {
        current = match segment.parse::<usize>() {
            Ok(index) => current.get(index)?,
            Err(_) => current.get(segment)?,
        };
    }
    current.span().map(|span| span.start)
}
