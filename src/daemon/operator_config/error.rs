//! What can be wrong with an operator's file and the settings in it.

use crate::inventory::yaml::YamlProblem;
use crate::line_error::LineError;
use std::net::SocketAddr;
use thiserror::Error;

/// A problem in an operator's file, with its line.
pub type OperatorConfigError = LineError<OperatorConfigProblem>;

/// What is wrong with an operator's file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OperatorConfigProblem {
    /// YAML that does not parse or has another structure.
    #[error(transparent)]
    Yaml(#[from] YamlProblem),
    /// A key that the section does not have.
    #[error("{key:?} is unknown in {section}")]
    UnknownKey {
        /// The key.
        key: String,
        /// The section.
        section: &'static str,
    },
    /// A key that the section must have.
    #[error("{section} has no {key}")]
    MissingKey {
        /// The section.
        section: &'static str,
        /// The key.
        key: &'static str,
    },
    /// An address of another machine; nothing is encrypted or authenticated, so that traffic must not leave this one.
    #[error("{what}: {address} is not loopback")]
    NotLoopback {
        /// What the address is for.
        what: &'static str,
        /// The address.
        address: SocketAddr,
    },
    /// A text that is no path of a URL.
    #[error("{key}: {path:?} is no path")]
    NotUrlPath {
        /// The key.
        key: &'static str,
        /// The text.
        path: String,
    },
    /// A length of time for the evacuation of zones that is out of its range.
    #[error("from 3 to 86400 seconds")]
    DwellOutOfRange,
    /// The bounds of an evacuated zone's dwell time contradict each other.
    #[error("longest is shorter than dwell")]
    DwellContradiction,
    /// The front names a class that the settings do not define.
    #[error("{key}: the settings name no service {class:?}")]
    UnknownClass {
        /// The key of the front.
        key: &'static str,
        /// The class.
        class: String,
    },
    /// A path in the settings without a value.
    #[error("{0} has no value")]
    EmptySetting(String),
    /// A path that is no setting.
    #[error("{0} is no setting")]
    UnknownSetting(String),
    /// A value that the setting cannot have.
    #[error("{path}: {value:?} is no such value")]
    SettingValue {
        /// The setting's path.
        path: String,
        /// The value.
        value: String,
    },
    /// The settings define no class.
    #[error("settings name no services")]
    NoClasses,
    /// A class without a setting that it must have.
    #[error("a service without {0}")]
    IncompleteClass(&'static str),
    /// The settings as a whole cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

impl From<LineError<YamlProblem>> for OperatorConfigError {
    fn from(error: LineError<YamlProblem>) -> OperatorConfigError {
        error.convert_problem()
    }
}

/// Settings in the form of the store, `path=value` lines, that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A line that is no pair.
    #[error("settings: {0:?} has no '='")]
    NotAPair(String),
    /// A value that the decision module's parser rejects; the text names path and value.
    #[error("{0}")]
    Value(String),
}
