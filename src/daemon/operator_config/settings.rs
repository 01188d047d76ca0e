//! The service's settings in an operator's file, and the text in which the fleet's store keeps them.
//!
//! The text has a `path=value` line for each setting. Besides what the file states it has the derived pairs that the
//! decision module's parser expects; [`parse_settings`] adds what each daemon decides by itself.

use super::{OperatorConfigError, OperatorConfigProblem, SettingsError};
use crate::inventory::yaml::{Node, NodeKind};
use crate::routing::{Settings, settings_parser};
use std::collections::BTreeMap;

/// Values that a setting may have.
enum ValueForm {
    /// A text of one line without commas, which separate the values of a list.
    Text,
    /// A finite number that is not negative.
    Number,
    /// A whole number from 1 to 65,535.
    Count,
    /// `true` or `false`.
    Flag,
    /// One of these words.
    Word(&'static [&'static str]),
}

impl ValueForm {
    fn allows(&self, text: &str) -> bool {
        match self {
            ValueForm::Text => !text.is_empty() && !text.contains(['\n', ',']),
            ValueForm::Number => text.parse::<f64>().is_ok_and(|number| number.is_finite() && number >= 0.0),
            ValueForm::Count => text.parse::<u16>().is_ok_and(|count| count > 0),
            ValueForm::Flag => matches!(text, "true" | "false"),
            ValueForm::Word(words) => words.contains(&text),
        }
    }
}

/// Every setting that an operator may state; `*` stands for a class's number.
const SETTINGS: &[(&str, ValueForm)] = &[
    ("balancers", ValueForm::Count),
    ("services.*.name", ValueForm::Text),
    ("services.*.consistency", ValueForm::Word(&["mutate", "strong", "causal", "lag_bound", "eventual"])),
    ("services.*.max-age", ValueForm::Number),
    ("services.*.target", ValueForm::Number),
    ("services.*.deadline", ValueForm::Number),
    ("services.*.worth", ValueForm::Number),
    ("services.*.late-worth", ValueForm::Number),
    ("services.*.repeat", ValueForm::Word(&["repeatable", "by_key", "once"])),
    ("services.*.group", ValueForm::Word(&["all", "cell", "zone"])),
    ("services.*.dedup-window", ValueForm::Number),
    ("limits.conn-idle", ValueForm::Number),
    ("limits.connect-timeout", ValueForm::Number),
    ("limits.max-attempts", ValueForm::Count),
    ("limits.max-retry-after", ValueForm::Number),
    ("limits.probes", ValueForm::Flag),
    ("guarantees.cold-share", ValueForm::Number),
    ("guarantees.warm-up", ValueForm::Number),
    ("guarantees.fall-multiple", ValueForm::Number),
    ("guarantees.tip-after", ValueForm::Number),
    ("guarantees.stop-sending-within", ValueForm::Number),
    ("family-info.behind", ValueForm::Word(&["none", "bounce", "await"])),
    ("family-info.holds-for", ValueForm::Number),
];

/// What every class must state.
const REQUIRED_IN_CLASS: [&str; 3] = ["name", "consistency", "deadline"];

/// Fields of a backend's load report that this program sends and reads.
const REPORT_FIELDS: &str = "x0,x1,up,util";

/// What the daemon itself decides, whatever is agreed.
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

/// Settings for the engine, with what this program reads by itself.
#[derive(Clone, Debug)]
pub struct ParsedSettings {
    /// The decision module's settings.
    pub settings: Settings,
    /// Names of the classes, by number.
    pub class_names: Vec<String>,
    /// All pairs by path.
    pub pairs: BTreeMap<String, String>,
}

/// Reads the text that the store keeps, for the daemon of this number.
///
/// # Errors
/// [`SettingsError`] with the line or the pair at fault.
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
    let borrowed = pairs.iter().map(|(path, value)| (path.as_str(), value.as_str())).collect();
    let settings =
        settings_parser::from_pairs(borrowed).map_err(|error| SettingsError::Value(error.to_string()))?;
    Ok(ParsedSettings { settings, class_names, pairs })
}

/// Sets the fields of the load report to this program's own: settings that were agreed under an older version lack the
/// newer ones.
pub fn set_report_fields(settings: &mut Settings) {
    settings.report_fields = REPORT_FIELDS.split(',').map(str::to_string).collect();
}

/// The text that the store keeps of the file's `settings` section.
///
/// # Errors
/// [`OperatorConfigError`] with the line of the setting at fault.
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

/// Nested settings as pairs; a list becomes a `count` and its elements by number.
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
    let Some((_, form)) = SETTINGS.iter().find(|(pattern, _)| matches_pattern(pattern, path)) else {
        return Err(OperatorConfigProblem::UnknownSetting(path.to_string()));
    };
    if !form.allows(value) {
        return Err(OperatorConfigProblem::SettingValue { path: path.to_string(), value: value.to_string() });
    }
    Ok(())
}

/// Whether a path has the pattern's parts, where `*` stands for a number.
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

/// The file states consistency and age with each class; the decision module reads them as one list of all classes.
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

/// Backends that serve whatever state they have are polled for their log position; others reject reads by themselves.
fn add_polling_defaults(pairs: &mut BTreeMap<String, String>) {
    let rejects_stale_reads = pairs.get("family-info.behind").is_some_and(|policy| policy != "none");
    pairs.entry("family-info.behind".to_string()).or_insert_with(|| "none".to_string());
    pairs.entry("limits.probes".to_string()).or_insert_with(|| (!rejects_stale_reads).to_string());
}
