//! Checks that the entries of a configuration file's lists lack no key: an entry must have what the entries of the file
//! in use have.
//!
//! Entries are compared by name, because their order may change. An entry without a counterpart is new or renamed: it
//! must have every key that any entry of the file in use has.

use crate::error::ValidationError;
use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// A list of objects, each with a name.
struct EntryList {
    /// The keys from the root to the list.
    path: &'static [&'static str],
    /// The key of an entry's name.
    name_key: &'static str,
    /// Keys that an entry may lack even if the file in use has them.
    optional_keys: &'static [&'static str],
    /// Keys that an entry must have if the file in use has no entry to compare with.
    default_keys: &'static [&'static str],
    /// The keys from the root to a list that has one value for each entry, by index.
    values_path: &'static [&'static str],
}

const ENTRY_LISTS: [EntryList; 2] = [
    EntryList {
        path: &["settings", "Categories"],
        name_key: "Name",
        optional_keys: &["AimStretch"],
        default_keys: &[],
        values_path: &["settings", "FamilyInfo", "MessageAimNs"],
    },
    EntryList {
        path: &["settings", "Tenants"],
        name_key: "Name",
        optional_keys: &[],
        default_keys: &["Name", "Share"],
        values_path: &["settings", "FamilyInfo", "TenantQuotaConnections"],
    },
];

/// The keys from the root to the list of known hosts. A host must have the keys that all hosts of the file in use have.
const HOSTS_PATH: [&str; 2] = ["known", "hosts"];

/// An entry of a list.
struct Entry<'a> {
    name: Option<&'a str>,
    keys: BTreeSet<&'a str>,
    /// Whether the list of values has one for this entry.
    has_value: bool,
}

/// Returns true if the value is there: null counts as absent.
pub(crate) fn is_present(value: &Value) -> bool {
    !value.is_null()
}

/// Checks the lists of `file`, which replaces `previous`.
///
/// # Errors
///
/// The first key that an entry lacks.
pub(crate) fn check_entries(file: &Value, previous: &Value) -> Result<(), ValidationError> {
    for list in &ENTRY_LISTS {
        list.check(file, previous)?;
    }
    check_hosts(file, previous)
}

/// Replaces the list of known hosts, which may be long, by a single host with the keys that all of them have: all that
/// [`validate`](crate::validate) needs of a file in use.
pub fn summarize_known_hosts(file: &mut Value) {
    let hosts = list_at(file, &HOSTS_PATH);
    if hosts.is_empty() {
        return;
    }
    let keys = shared_keys(hosts).into_iter();
    let summary: Map<String, Value> = keys.map(|key| (key.to_string(), true.into())).collect();
    let [known, hosts] = HOSTS_PATH;
    file[known][hosts] = Value::Array(vec![summary.into()]);
}

/// The keys that every one of these hosts has.
fn shared_keys(hosts: &[Value]) -> BTreeSet<&str> {
    hosts
        .iter()
        .map(present_keys)
        .reduce(|shared, keys| shared.intersection(&keys).copied().collect())
        .unwrap_or_default()
}

fn check_hosts(file: &Value, previous: &Value) -> Result<(), ValidationError> {
    let required = shared_keys(list_at(previous, &HOSTS_PATH));
    for (index, host) in list_at(file, &HOSTS_PATH).iter().enumerate() {
        if let Some(key) = required.difference(&present_keys(host)).next() {
            return Err(ValidationError::Removed {
                path: format!("{}[{index}].{key}", HOSTS_PATH.join(".")),
            });
        }
    }
    Ok(())
}

impl EntryList {
    fn check(&self, file: &Value, previous: &Value) -> Result<(), ValidationError> {
        let previous = self.entries(previous);
        let required = self.required_keys(&previous);
        let are_values_required = previous.iter().any(|entry| entry.has_value);
        for (index, entry) in self.entries(file).iter().enumerate() {
            let counterpart = previous.iter().find(|other| other.name == entry.name);
            let is_required = |key: &str| counterpart.is_none_or(|entry| entry.keys.contains(key));
            let mut missing = required.difference(&entry.keys);
            if let Some(key) = missing.find(|key| is_required(key)) {
                let path = format!("{}[{index}].{key}", self.path.join("."));
                return Err(missing_key(path, counterpart));
            }
            let is_value_required =
                are_values_required && counterpart.is_none_or(|entry| entry.has_value);
            if is_value_required && !entry.has_value {
                let path = format!("{}[{index}]", self.values_path.join("."));
                return Err(missing_key(path, counterpart));
            }
        }
        Ok(())
    }

    /// The keys of any entry of the file in use.
    fn required_keys<'a>(&self, previous: &[Entry<'a>]) -> BTreeSet<&'a str> {
        if previous.is_empty() {
            return self.default_keys.iter().copied().collect();
        }
        let keys = previous.iter().flat_map(|entry| &entry.keys).copied();
        keys.filter(|key| !self.optional_keys.contains(key))
            .collect()
    }

    fn entries<'a>(&self, file: &'a Value) -> Vec<Entry<'a>> {
        let values = list_at(file, self.values_path);
        let entries = list_at(file, self.path).iter().enumerate();
        entries
            .map(|(index, entry)| Entry {
                name: entry[self.name_key].as_str(),
                keys: present_keys(entry),
                has_value: values.get(index).is_some_and(is_present),
            })
            .collect()
    }
}

fn missing_key(path: String, counterpart: Option<&Entry>) -> ValidationError {
    if counterpart.is_some() {
        ValidationError::Removed { path }
    } else {
        ValidationError::Missing { path }
    }
}

fn list_at<'a>(file: &'a Value, path: &[&str]) -> &'a [Value] {
    let list = path.iter().try_fold(file, |object, key| object.get(key));
    list.and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

fn present_keys(entry: &Value) -> BTreeSet<&str> {
    let keys = entry.as_object().into_iter().flat_map(Map::iter);
    keys.filter(|(_, value)| is_present(value))
        .map(|(key, _)| key.as_str())
        .collect()
}
