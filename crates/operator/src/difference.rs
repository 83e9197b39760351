//! Differences between two manifests.

use std::{collections::BTreeMap, fmt};

use copperwell_keyspace::manifest::Manifest;
use serde::Serialize;
use serde_json::{Map, Value};

/// The change of one field between two manifests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// The path of the field, in which names replace the indices of lists:
    /// `services[calendar].lease`.
    pub field: String,
    /// The old value, if the field had one.
    pub old: Option<String>,
    /// The new value, if the field has one.
    pub new: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let field = &self.field;
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(f, "~ {field}: {old} -> {new}"),
            (None, Some(new)) => write!(f, "+ {field}: {new}"),
            (Some(old), None) => write!(f, "- {field}: {old}"),
            (None, None) => write!(f, "  {field}"),
        }
    }
}

/// Returns the changes from `old` to `new`, sorted by field; the order of named list entries does
/// not matter.
#[must_use]
pub fn between(old: Option<&Manifest>, new: &Manifest) -> Vec<Change> {
    let before = old.map(fields).unwrap_or_default();
    let after = fields(new);
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    names
        .into_iter()
        .filter(|field| before.get(*field) != after.get(*field))
        .map(|field| Change {
            field: field.clone(),
            old: before.get(field).cloned(),
            new: after.get(field).cloned(),
        })
        .collect()
}

/// Returns the path and value of every field.
fn fields(manifest: &Manifest) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let root = serde_json::to_value(manifest).unwrap_or_default();
    flatten(String::new(), &root, &mut fields);
    fields
}

fn flatten(path: String, value: &Value, fields: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(map) => flatten_map(&path, map, fields),
        Value::Array(list) => {
            for (index, entry) in list.iter().enumerate() {
                let name = entry.get("name").and_then(Value::as_str);
                let name = name.map_or_else(|| index.to_string(), str::to_owned);
                flatten(format!("{path}[{name}]"), entry, fields);
            }
        }
        Value::String(text) => {
            fields.insert(path, text.clone());
        }
        other => {
            fields.insert(path, other.to_string());
        }
    }
}

fn flatten_map(path: &str, map: &Map<String, Value>, fields: &mut BTreeMap<String, String>) {
    for (key, value) in map {
        let nested = if path.is_empty() {
            key.clone()
        } else {
            format!("{path}.{key}")
        };
        flatten(nested, value, fields);
    }
}
