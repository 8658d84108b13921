//! The strict reading of a configuration, for one that is to replace another while the node serves: what a start passes over
//! with a default is an error here, for a file that was cut or written by mistake must change nothing.

use serde_json::{Map, Value};

/// What the node needs of `settings`, named as on the wire. Of the rest, and of the keys beside `settings`, a file may lack
/// what the one before lacks too.
const NEEDED: [&str; 15] = [
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
/// What each class needs, and what one with repeats by key needs besides.
const CLASS_NEEDED: [&str; 4] = ["Name", "DeadlineNs", "PromiseNs", "Repeat"];
const BY_KEY_NEEDED: [&str; 2] = ["Group", "WindowNs"];
/// The longest deadline, a year in nanoseconds, and the most attempts.
const MOST_NS: u64 = 32_000_000_000_000_000;
const MOST_ATTEMPTS: u64 = 1_000_000;

/// Says what of the whole file does not hold, with its place. `before` is the file that it is to replace: none of its
/// keys may be lost, but for those of single classes and transcribers.
pub fn check(file: &Value, before: Option<&Value>) -> Result<(), String> {
    let settings = &file["settings"];
    for path in NEEDED {
        let found = path.split('.').try_fold(settings, |at, key| at.get(key));
        found
            .filter(|value| !value.is_null())
            .ok_or_else(|| format!("settings.{path} is missing"))?;
    }
    above_zero(
        "settings.Limits.SendCap",
        &settings["Limits"]["SendCap"],
        MOST_ATTEMPTS,
    )?;
    let classes = settings["Categories"]
        .as_array()
        .filter(|classes| !classes.is_empty());
    let classes = classes.ok_or("settings.Categories names no class")?;
    let mut names = Vec::new();
    for (n, class) in classes.iter().enumerate() {
        let place = format!("settings.Categories[{n}]");
        let by_key = class["Repeat"] == "by_key";
        let needed = CLASS_NEEDED
            .iter()
            .chain(BY_KEY_NEEDED.iter().filter(|_| by_key));
        for key in needed {
            let there = class.get(key).filter(|value| !value.is_null());
            there.ok_or_else(|| format!("{place}.{key} is missing"))?;
        }
        above_zero(
            &format!("{place}.DeadlineNs"),
            &class["DeadlineNs"],
            MOST_NS,
        )?;
        let name = class["Name"].as_str().filter(|name| !name.is_empty());
        let name = name.ok_or_else(|| format!("{place}.Name is no name"))?;
        if names.contains(&name) {
            return Err(format!("{place}.Name: there are two classes {name:?}"));
        }
        names.push(name);
    }
    match (file, before) {
        (Value::Object(file), Some(Value::Object(before))) => kept("", file, before),
        _ => Ok(()),
    }
}

fn above_zero(place: &str, value: &Value, most: u64) -> Result<(), String> {
    let number = value.as_u64().filter(|number| (1..=most).contains(number));
    number
        .map(|_| ())
        .ok_or_else(|| format!("{place}: {value} is not a whole number from 1 to {most}"))
}

/// Whether all keys of `before` are in `now`, level by level; what is in lists may differ.
fn kept(place: &str, now: &Map<String, Value>, before: &Map<String, Value>) -> Result<(), String> {
    for (key, old) in before {
        let place = if place.is_empty() {
            key.clone()
        } else {
            format!("{place}.{key}")
        };
        match (now.get(key), old) {
            (None, _) => return Err(format!("{place} is missing, and the present file has it")),
            (Some(Value::Object(now)), Value::Object(old)) => kept(&place, now, old)?,
            _ => {}
        }
    }
    Ok(())
}
