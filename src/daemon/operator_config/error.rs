//! Errors in an operator's file and in the settings that it contains.

use crate::inventory::yaml::YamlProblem;
use crate::line_error::LineError;
use std::net::SocketAddr;
use thiserror::Error;

/// A problem in an operator's file, with its line.
pub type OperatorConfigError = LineError<OperatorConfigProblem>;

/// A problem in an operator's file, without its line.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OperatorConfigProblem {
    /// The YAML does not parse or has an unexpected structure.
    #[error(transparent)]
    Yaml(#[from] YamlProblem),
    /// The section contains a key that it does not support.
    #[error("{key:?} is unknown in {section}")]
    UnknownKey {
        /// The key as written in the file.
        key: String,
        /// Name of the section that contains it.
        section: &'static str,
    },
    /// The section lacks a required key.
    #[error("{section} has no {key}")]
    MissingKey {
        /// Name of the section.
        section: &'static str,
        /// The missing key.
        key: &'static str,
    },
    /// An address that is not on the loopback interface. Traffic is neither encrypted nor authenticated, so it must not
    /// leave this machine.
    #[error("{what}: {address} is not loopback")]
    NotLoopback {
        /// The key, or the purpose of the address.
        what: &'static str,
        /// The address as parsed.
        address: SocketAddr,
    },
    /// A value that is not a URL path.
    #[error("{key}: {path:?} is no path")]
    NotUrlPath {
        /// The key of the value.
        key: &'static str,
        /// The value as written in the file.
        path: String,
    },
    /// A dwell time of zone evacuation is out of range.
    #[error("from 3 to 86400 seconds")]
    DwellOutOfRange,
    /// The maximum dwell time of an evacuated zone is shorter than the initial one.
    #[error("longest is shorter than dwell")]
    DwellContradiction,
    /// The `sparql` section names a class that the settings do not define.
    #[error("{key}: the settings name no service {class:?}")]
    UnknownClass {
        /// The key that names the class.
        key: &'static str,
        /// Name of the undefined class.
        class: String,
    },
    /// The setting at this path has no value.
    #[error("{0} has no value")]
    EmptySetting(String),
    /// There is no setting with this path.
    #[error("{0} is no setting")]
    UnknownSetting(String),
    /// A value that is invalid for its setting.
    #[error("{path}: {value:?} is no such value")]
    SettingValue {
        /// Path of the setting.
        path: String,
        /// The value as written in the file.
        value: String,
    },
    /// The settings define no class.
    #[error("the settings define no services")]
    NoClasses,
    /// A class lacks this required setting.
    #[error("a service has no {0}")]
    IncompleteClass(&'static str),
    /// The individual settings are valid, but the settings as a whole do not parse.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

impl From<LineError<YamlProblem>> for OperatorConfigError {
    fn from(error: LineError<YamlProblem>) -> OperatorConfigError {
        error.convert_problem()
    }
}

/// An error in settings in the store's text form of `path=value` lines.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A line that is not a `path=value` pair.
    #[error("settings: {0:?} has no '='")]
    NotAPair(String),
    /// A value that the routing settings parser rejects; the message names path and value.
    #[error("{0}")]
    Value(String),
}
