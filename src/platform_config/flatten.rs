//! Converts nested settings to `path=value` pairs, the format that the simulator's protocol uses.

use miniserde::json::Value;
use std::collections::BTreeMap;

/// Returns all values in `settings` by their paths. A list of objects becomes a `count` and a numbered path for each
/// element (`services.0.name`); any other list becomes one comma-separated value.
pub fn flatten(settings: &Value) -> BTreeMap<String, String> {
    let mut pairs = BTreeMap::new();
    add_value("", settings, &mut pairs);
    pairs
}

fn add_value(path: &str, value: &Value, pairs: &mut BTreeMap<String, String>) {
    match value {
        Value::Null => {}
        Value::Object(object) => {
            for (key, value) in object {
                add_value(&join_path(path, key), value, pairs);
            }
        }
        Value::Array(elements) if elements.iter().any(|element| matches!(element, Value::Object(_))) => {
            pairs.insert(join_path(path, "count"), elements.len().to_string());
            for (index, element) in elements.iter().enumerate() {
                add_value(&join_path(path, &index.to_string()), element, pairs);
            }
        }
        Value::Array(elements) => {
            let texts: Vec<String> = elements.iter().map(scalar_text).collect();
            pairs.insert(path.to_string(), texts.join(","));
        }
        Value::Bool(_) | Value::Number(_) | Value::String(_) => {
            pairs.insert(path.to_string(), scalar_text(value));
        }
    }
}

fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_string() } else { format!("{path}.{key}") }
}

fn scalar_text(value: &Value) -> String {
    match value {
        Value::Bool(flag) => flag.to_string(),
        Value::Number(number) => number.to_string(),
        Value::String(text) => text.clone(),
        Value::Null | Value::Array(_) | Value::Object(_) => String::new(),
    }
}
