//! Reading scenarios: files that extend one another, findings with their lines.

use super::bounds::check;
use super::{Scenario, ScenarioError};
use std::path::Path;

/// Files that may extend one another in a row.
const MAX_EXTENDS_DEPTH: usize = 8;

/// Reads a scenario's file and those that it extends.
///
/// # Errors
///
/// If a file cannot be read, is no scenario, extends too many files in a row, or holds values out of bounds.
pub fn load(path: &Path) -> Result<Scenario, Vec<ScenarioError>> {
    let mut chain: Vec<(String, String)> = Vec::new();
    let mut next = Some(path.to_path_buf());
    while let Some(path) = next.take() {
        let file = path.display().to_string();
        let wrong = |what: String| {
            vec![ScenarioError {
                place: file.clone(),
                what,
            }]
        };
        if chain.len() == MAX_EXTENDS_DEPTH {
            return Err(wrong(format!(
                "extends: more than {MAX_EXTENDS_DEPTH} files in a row, or a circle"
            )));
        }
        let text = std::fs::read_to_string(&path)
            .map_err(|error| wrong(format!("cannot read: {error}")))?;
        let own: Scenario = read(&file, &text)?;
        next = own
            .extends
            .as_ref()
            .and_then(|base| path.parent().map(|folder| folder.join(base)));
        chain.push((file, text));
    }
    let mut whole = toml::Table::new();
    for (file, text) in chain.iter().rev() {
        let own = toml::from_str(text).map_err(|error| syntax_errors(file, text, &error))?;
        merge(&mut whole, own);
    }
    whole.remove("extends");
    let text = whole.to_string();
    let scenario = read(&chain[0].0, &text)?;
    let wrong = check(&scenario);
    if wrong.is_empty() {
        return Ok(scenario);
    }
    // A key is looked for in the file that was named, then in those that it extends.
    let place = |key: &str| {
        let found = chain
            .iter()
            .find_map(|(file, text)| line_of_key(text, key).map(|line| (file, line)));
        found.map_or(format!("{}: {key}", chain[0].0), |(file, line)| {
            format!("{file}:{line}: {key}")
        })
    };
    Err(wrong
        .into_iter()
        .map(|value| ScenarioError {
            place: place(&value.key),
            what: value.what,
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
        place: format!("{file}:{line}"),
        what: advise(error.message()),
    }]
}

/// Reads keys and types; bounds are not looked at.
fn read(file: &str, text: &str) -> Result<Scenario, Vec<ScenarioError>> {
    toml::from_str(text).map_err(|error| syntax_errors(file, text, &error))
}

fn line_of_key(text: &str, key: &str) -> Option<usize> {
    let document = toml_edit::ImDocument::parse(text.to_string()).ok()?;
    span_of(document.as_item(), key).map(|at| line_of(text, at))
}

/// Reads a scenario; all values out of bounds are reported at once, each with file, line and key.
///
/// # Errors
///
/// If the text is no scenario, or if values are out of bounds.
pub fn parse(file: &str, text: &str) -> Result<Scenario, Vec<ScenarioError>> {
    let scenario = read(file, text)?;
    let wrong = check(&scenario);
    if wrong.is_empty() {
        return Ok(scenario);
    }
    let place = |key: &str| {
        line_of_key(text, key).map_or(format!("{file}: {key}"), |line| {
            format!("{file}:{line}: {key}")
        })
    };
    Err(wrong
        .into_iter()
        .map(|value| ScenarioError {
            place: place(&value.key),
            what: value.what,
        })
        .collect())
}

/// Adds the nearest known key to a message about an unknown one.
fn advise(message: &str) -> String {
    let mut quoted = message.split('`').skip(1).step_by(2);
    let Some(unknown) = quoted.next().filter(|_| message.starts_with("unknown ")) else {
        return message.to_string();
    };
    let near = quoted.min_by_key(|known| strsim::damerau_levenshtein(known, unknown));
    near.map_or(message.to_string(), |near| {
        format!("unknown key `{unknown}`; the nearest is `{near}`")
    })
}

fn line_of(text: &str, at: usize) -> usize {
    text.get(..at)
        .map_or(0, |before| before.matches('\n').count() + 1)
}

/// Where the value of a dotted key begins; numbers go into arrays.
fn span_of(item: &toml_edit::Item, key: &str) -> Option<usize> {
    let mut at = item;
    for part in key.split('.') {
        at = match part.parse::<usize>() {
            Ok(index) => at.get(index)?,
            Err(_) => at.get(part)?,
        };
    }
    at.span().map(|span| span.start)
}
