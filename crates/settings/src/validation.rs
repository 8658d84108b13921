//! The strict validation of a configuration file that replaces another while the node serves.
//!
//! At a start, absent values have defaults. At run time, an absent value is an error, because a file that was truncated
//! or written by mistake must change nothing.

use crate::error::ValidationError;
use crate::list_entries::{check_entries, is_present};
use serde_json::{Map, Value};

/// Keys below `settings` that every file must have. Others may be absent only if the replaced file lacks them too.
const REQUIRED_SETTINGS: [&str; 15] = [
    "Instances",
    "Categories",
    "RegistryMode",
    "FamilyInfo.MessageAimNs",
    "Limits.ConnectTimeoutNs",
    "Limits.RetryAfter",
    "Limits.MaxRetryAfterNs",
    "Limits.SendCap",
    "Obligations.AnswerSlackNs",
    "Obligations.AskWithinNs",
    "Obligations.ColdNs",
    "Obligations.DrainGraceNs",
    "Obligations.FallMultiple",
    "Obligations.OverloadForNs",
    "Obligations.StartCapacity",
];

/// Keys that every class must have.
const REQUIRED_CLASS_SETTINGS: [&str; 4] = ["Name", "DeadlineNs", "PromiseNs", "Repeat"];

/// Additional keys that a class with idempotency keys must have.
const REQUIRED_IDEMPOTENCY_SETTINGS: [&str; 2] = ["Group", "WindowNs"];

/// The longest deadline, a year in nanoseconds.
const MAX_DEADLINE_NS: u64 = 32_000_000_000_000_000;

/// The largest number of attempts for one request.
const MAX_ATTEMPTS: u64 = 1_000_000;

/// Validates a whole configuration file. `previous` is the file that it replaces, if any: the new file must have all of
/// its keys, and the entries of its lists must have those of the entries that they replace.
///
/// # Errors
///
/// The first error that is found.
pub fn validate(file: &Value, previous: Option<&Value>) -> Result<(), ValidationError> {
    let settings = &file["settings"];
    for path in REQUIRED_SETTINGS {
        require(settings, path)?;
    }
    check_range(
        "settings.Limits.SendCap",
        &settings["Limits"]["SendCap"],
        MAX_ATTEMPTS,
    )?;
    validate_classes(&settings["Categories"])?;
    let Some(previous) = previous else {
        return Ok(());
    };
    check_no_key_removed("", file, previous)?;
    check_entries(file, previous)
}

fn require(settings: &Value, path: &str) -> Result<(), ValidationError> {
    let value = path
        .split('.')
        .try_fold(settings, |object, key| object.get(key));
    match value {
        Some(value) if !value.is_null() => Ok(()),
        _ => Err(ValidationError::Missing {
            path: format!("settings.{path}"),
        }),
    }
}

fn validate_classes(classes: &Value) -> Result<(), ValidationError> {
    let classes = classes.as_array().filter(|classes| !classes.is_empty());
    let classes = classes.ok_or(ValidationError::NoClasses)?;
    let mut names = Vec::new();
    for (index, class) in classes.iter().enumerate() {
        let path = format!("settings.Categories[{index}]");
        let name = validate_class(&path, class)?;
        if names.contains(&name) {
            return Err(ValidationError::DuplicateClass {
                path: format!("{path}.Name"),
                name: name.to_string(),
            });
        }
        names.push(name);
    }
    Ok(())
}

/// Validates one class and returns its name.
fn validate_class<'a>(path: &str, class: &'a Value) -> Result<&'a str, ValidationError> {
    let has_idempotency_keys = class["Repeat"] == "by_key";
    let idempotency_settings = REQUIRED_IDEMPOTENCY_SETTINGS
        .iter()
        .filter(|_| has_idempotency_keys);
    for key in REQUIRED_CLASS_SETTINGS.iter().chain(idempotency_settings) {
        if class.get(key).is_none_or(Value::is_null) {
            return Err(ValidationError::Missing {
                path: format!("{path}.{key}"),
            });
        }
    }
    check_range(
        &format!("{path}.DeadlineNs"),
        &class["DeadlineNs"],
        MAX_DEADLINE_NS,
    )?;
    let name = class["Name"].as_str().filter(|name| !name.is_empty());
    name.ok_or_else(|| ValidationError::InvalidName {
        path: format!("{path}.Name"),
    })
}

fn check_range(path: &str, value: &Value, max: u64) -> Result<(), ValidationError> {
    match value.as_u64() {
        Some(number) if (1..=max).contains(&number) => Ok(()),
        _ => Err(ValidationError::OutOfRange {
            path: path.to_string(),
            value: value.clone(),
            max,
        }),
    }
}

/// Checks that every key of `previous` is in `current`, at all levels of objects; null counts as absent.
fn check_no_key_removed(
    path: &str,
    current: &Value,
    previous: &Value,
) -> Result<(), ValidationError> {
    let previous_keys = previous.as_object().into_iter().flat_map(Map::iter);
    for (key, previous_value) in previous_keys.filter(|(_, value)| is_present(value)) {
        let path = if path.is_empty() {
            key.clone()
        } else {
            format!("{path}.{key}")
        };
        match current.get(key).filter(|value| is_present(value)) {
            Some(value) => check_no_key_removed(&path, value, previous_value)?,
            None => return Err(ValidationError::Removed { path }),
        }
    }
    Ok(())
}
