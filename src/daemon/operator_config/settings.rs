//! The `settings` section of an operator's file, and the text form in which the fleet's store keeps it.
//!
//! The text has a `path=value` line for each setting. In addition to the settings in the file, it contains the derived
//! pairs that the routing settings parser expects. [`parse_settings`] adds the settings that each daemon fixes itself.

use super::{OperatorConfigError, OperatorConfigProblem, SettingsError};
use crate::inventory::yaml::{Node, NodeKind};
use crate::routing::{Settings, settings_parser};
use std::collections::BTreeMap;

/// Type of a setting's value.
enum ValueType {
    /// A non-empty string of one line without commas, which separate the values of a list.
    Text,
    /// A finite, non-negative number.
    Number,
    /// An integer from 1 to 65,535.
    Count,
    /// `true` or `false`.
    Flag,
    /// One of these keywords.
    Keyword(&'static [&'static str]),
}

impl ValueType {
    fn allows(&self, text: &str) -> bool {
        match self {
            ValueType::Text => !text.is_empty() && !text.contains(['\n', ',']),
            ValueType::Number => text.parse::<f64>().is_ok_and(|number| number.is_finite() && number >= 0.0),
            ValueType::Count => text.parse::<u16>().is_ok_and(|count| count > 0),
            ValueType::Flag => matches!(text, "true" | "false"),
            ValueType::Keyword(keywords) => keywords.contains(&text),
        }
    }
}

/// All settings that an operator's file may contain; `*` matches the number of a class.
const SETTINGS: &[(&str, ValueType)] = &[
    ("balancers", ValueType::Count),
    ("services.*.name", ValueType::Text),
    ("services.*.consistency", ValueType::Keyword(&["mutate", "strong", "causal", "lag_bound", "eventual"])),
    ("services.*.max-age", ValueType::Number),
    ("services.*.target", ValueType::Number),
    ("services.*.deadline", ValueType::Number),
    ("services.*.worth", ValueType::Number),
    ("services.*.late-worth", ValueType::Number),
    ("services.*.repeat", ValueType::Keyword(&["repeatable", "by_key", "once"])),
    ("services.*.group", ValueType::Keyword(&["all", "cell", "zone"])),
    ("services.*.dedup-window", ValueType::Number),
    ("limits.conn-idle", ValueType::Number),
    ("limits.connect-timeout", ValueType::Number),
    ("limits.max-attempts", ValueType::Count),
    ("limits.max-retry-after", ValueType::Number),
    ("limits.probes", ValueType::Flag),
    ("guarantees.cold-share", ValueType::Number),
    ("guarantees.warm-up", ValueType::Number),
    ("guarantees.fall-multiple", ValueType::Number),
    ("guarantees.tip-after", ValueType::Number),
    ("guarantees.stop-sending-within", ValueType::Number),
    ("family-info.behind", ValueType::Keyword(&["none", "bounce", "await"])),
    ("family-info.holds-for", ValueType::Number),
];

/// Settings that every class must have.
const REQUIRED_IN_CLASS: [&str; 3] = ["name", "consistency", "deadline"];

/// Fields of an endpoint's load report that this version requests and parses.
const REPORT_FIELDS: &str = "x0,x1,up,util";

/// Settings that the daemon fixes itself; they override agreed ones.
const FIXED_SETTINGS: &[(&str, &str)] = &[
    ("discovery", "automatic"),
    ("limits.may-cancel", "true"),
    ("limits.second-copies", "false"),
    ("limits.retry-after", "true"),
    ("limits.peer-messages", "true"),
    ("family-info.session-marks", "brought"),
    ("family-info.zero", "0"),
    ("report.fields", REPORT_FIELDS),
];

/// Settings of the engine, and the text values from which they were parsed.
#[derive(Clone, Debug)]
pub struct ParsedSettings {
    /// Routing settings for the engine.
    pub settings: Settings,
    /// Names of the classes, indexed by class number.
    pub class_names: Vec<String>,
    /// All setting values by path, including those that the daemon fixes itself.
    pub pairs: BTreeMap<String, String>,
}

/// Parses the text that the store keeps, for the daemon with the given number.
///
/// # Errors
/// [`SettingsError`] with the invalid line or pair.
pub fn parse_settings(text: &str, daemon_number: u16) -> Result<ParsedSettings, SettingsError> {
    let mut pairs = BTreeMap::new();
    for line in text.lines() {
        let (path, value) = line.split_once('=').ok_or_else(|| SettingsError::NotAPair(line.to_string()))?;
        pairs.insert(path.to_string(), value.to_string());
    }
    for (path, value) in FIXED_SETTINGS {
        pairs.insert(path.to_string(), value.to_string());
    }
    pairs.insert("me".to_string(), daemon_number.to_string());
    let class_names =
        (0..).map_while(|class| pairs.get(&format!("services.{class}.name")).cloned()).collect();
    let borrowed_pairs = pairs.iter().map(|(path, value)| (path.as_str(), value.as_str())).collect();
    let settings = settings_parser::from_pairs(borrowed_pairs)
        .map_err(|error| SettingsError::Value(error.to_string()))?;
    Ok(ParsedSettings { settings, class_names, pairs })
}

/// Replaces the load report fields by those of this version: settings that were agreed under an older version lack the
/// newer fields.
pub fn set_report_fields(settings: &mut Settings) {
    settings.report_fields = REPORT_FIELDS.split(',').map(str::to_string).collect();
}

/// Converts the `settings` section of a file to the text form that the store keeps.
///
/// # Errors
/// [`OperatorConfigError`] with the line of the invalid setting.
pub fn stored_text(section: &Node) -> Result<String, OperatorConfigError> {
    let mut pairs = BTreeMap::new();
    flatten("", section, &mut pairs)?;
    let class_count = pairs.get("services.count").and_then(|count| count.parse().ok()).unwrap_or(0);
    if class_count == 0 {
        return Err(section.error(OperatorConfigProblem::NoClasses));
    }
    check_classes(section, &pairs, class_count)?;
    collect_class_consistency(&mut pairs, class_count);
    add_polling_defaults(&mut pairs);
    let mut text = String::new();
    for (path, value) in &pairs {
        text.push_str(&format!("{path}={value}\n"));
    }
    Ok(text)
}

/// Converts nested settings to pairs. A list becomes a `count` and a path with an index for each element.
fn flatten(path: &str, node: &Node, pairs: &mut BTreeMap<String, String>) -> Result<(), OperatorConfigError> {
    match &node.kind {
        NodeKind::Map(children) => {
            for (key, child) in children {
                flatten(&join(path, key), child, pairs)?;
            }
        }
        NodeKind::List(items) => {
            pairs.insert(join(path, "count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                flatten(&join(path, &index.to_string()), item, pairs)?;
            }
        }
        NodeKind::Empty => return Err(node.error(OperatorConfigProblem::EmptySetting(path.to_string()))),
        NodeKind::Scalar(value) => {
            check_value(path, value).map_err(|problem| OperatorConfigError::new(node.line, problem))?;
            pairs.insert(path.to_string(), value.clone());
        }
    }
    Ok(())
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_string() } else { format!("{path}.{key}") }
}

fn check_value(path: &str, value: &str) -> Result<(), OperatorConfigProblem> {
    let Some((_, value_type)) = SETTINGS.iter().find(|(pattern, _)| matches_pattern(pattern, path)) else {
        return Err(OperatorConfigProblem::UnknownSetting(path.to_string()));
    };
    if !value_type.allows(value) {
        return Err(OperatorConfigProblem::SettingValue { path: path.to_string(), value: value.to_string() });
    }
    Ok(())
}

/// Whether a dotted path matches a pattern in which `*` matches a number.
fn matches_pattern(pattern: &str, path: &str) -> bool {
    let mut expected_parts = pattern.split('.');
    let mut parts = path.split('.');
    loop {
        match (expected_parts.next(), parts.next()) {
            (None, None) => return true,
            (Some("*"), Some(part)) if part.bytes().all(|byte| byte.is_ascii_digit()) => {}
            (Some(expected), Some(part)) if expected == part => {}
            _ => return false,
        }
    }
}

fn check_classes(
    section: &Node,
    pairs: &BTreeMap<String, String>,
    class_count: usize,
) -> Result<(), OperatorConfigError> {
    for class in 0..class_count {
        for key in REQUIRED_IN_CLASS {
            if !pairs.contains_key(&format!("services.{class}.{key}")) {
                let classes = section.get("services").and_then(|services| services.list("services").ok());
                let node = classes.and_then(|classes| classes.get(class)).unwrap_or(section);
                return Err(node.error(OperatorConfigProblem::IncompleteClass(key)));
            }
        }
    }
    Ok(())
}

/// Replaces the consistency and maximum age of each class by comma-separated lists over all classes, which the routing
/// settings parser expects.
fn collect_class_consistency(pairs: &mut BTreeMap<String, String>, class_count: usize) {
    let mut consistencies = Vec::new();
    let mut max_ages = Vec::new();
    for class in 0..class_count {
        consistencies.push(pairs.remove(&format!("services.{class}.consistency")).unwrap_or_default());
        max_ages.push(pairs.remove(&format!("services.{class}.max-age")).unwrap_or_else(|| "0".to_string()));
    }
    pairs.insert("family-info.consistency".to_string(), consistencies.join(","));
    pairs.insert("family-info.max-age".to_string(), max_ages.join(","));
}

/// Enables polling for log positions by default if endpoints serve reads from a stale state. Endpoints that reject or
/// delay such reads need no polling.
fn add_polling_defaults(pairs: &mut BTreeMap<String, String>) {
    let handles_stale_reads = pairs.get("family-info.behind").is_some_and(|policy| policy != "none");
    pairs.entry("family-info.behind".to_string()).or_insert_with(|| "none".to_string());
    pairs.entry("limits.probes".to_string()).or_insert_with(|| (!handles_stale_reads).to_string());
}
