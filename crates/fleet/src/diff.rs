//! Diffs between documents.

use crate::{diff_line::DiffLine, document::Document, document_error::DocumentError};
use serde_json::Value;
use std::collections::BTreeMap;

/// Number of digits of a key's hash in a diff, enough to tell keys apart.
const HASH_DIGITS: usize = 12;

/// Lists every value that differs between two documents, sorted by path.
///
/// # Errors
///
/// `Json` if a document cannot be converted to JSON, which is not expected.
pub fn diff(before: &Document, after: &Document) -> Result<Vec<DiffLine>, DocumentError> {
    let mut before = flatten(before)?;
    let mut lines = Vec::new();
    for (path, value) in flatten(after)? {
        let old = before.remove(&path);
        if old.as_ref() != Some(&value) {
            lines.push(DiffLine { path, before: old, after: Some(value) });
        }
    }
    let removed =
        before.into_iter().map(|(path, old)| DiffLine { path, before: Some(old), after: None });
    lines.extend(removed);
    lines.sort_by(|a, b| a.path.cmp(&b.path));
    Ok(lines)
}

/// Joins the diffs of successive changes into one diff. Values that are equal before the first and after the last
/// change are left out.
pub fn join_diffs<'l>(lines: impl IntoIterator<Item = &'l DiffLine>) -> Vec<DiffLine> {
    let mut joined: BTreeMap<&str, DiffLine> = BTreeMap::new();
    for line in lines {
        joined
            .entry(&line.path)
            .and_modify(|first| first.after.clone_from(&line.after))
            .or_insert_with(|| line.clone());
    }
    joined.into_values().filter(|line| line.before != line.after).collect()
}

/// Converts a document to a map from the path of each value to its text. The sequence number and the records of the
/// confirmed plans are left out.
fn flatten(document: &Document) -> Result<BTreeMap<String, String>, DocumentError> {
    let mut lines = BTreeMap::new();
    let mut value = serde_json::to_value(document)?;
    if let Value::Object(fields) = &mut value {
        fields.remove("sequence");
        fields.remove("recent_plans");
    }
    flatten_value("", &value, &mut lines);
    Ok(lines)
}

fn flatten_value(path: &str, value: &Value, lines: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields.iter().filter(|(name, _)| *name != "name") {
                let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                flatten_value(&path, field, lines);
            }
        }
        Value::Array(items) => {
            for item in items {
                let key = item.get("name").or_else(|| item.get("role")).unwrap_or(item);
                let key = text(key);
                let is_hash = path.ends_with("key_hashes");
                let key = if is_hash { key.chars().take(HASH_DIGITS).collect() } else { key };
                if item.is_object() {
                    flatten_value(&format!("{path}.{key}"), item, lines);
                } else {
                    lines.insert(format!("{path}.{key}"), "present".to_owned());
                }
            }
        }
        _ => {
            lines.insert(path.to_owned(), text(value));
        }
    }
}

/// Formats a value as JSON, but a string without quotes.
fn text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
