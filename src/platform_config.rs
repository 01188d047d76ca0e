//! The platform's configuration of a pooler: a JSON file whose path is in `GW_CONFIG`.
//!
//! Its `settings` are the service's settings as nested objects, which `flatten` converts to the `path=value` pairs that
//! [`settings_parser`] reads. Errors name the line. The JSON parser reports none, so `line_search` searches for it.

mod flatten;
mod line_search;

use crate::address::{AddressError, parse_address};
use crate::endpoint_list_json::{EndpointListError, EndpointListJson};
use crate::engine::endpoints::EndpointUpdate;
use crate::line_error::LineError;
use crate::routing::{Settings, settings_parser};
use crate::time::Timestamp;
use line_search::{line_of_syntax_error, line_of_value};
use miniserde::json::Value;
use miniserde::{Deserialize, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thiserror::Error;

/// A problem in the platform's configuration, with its line number.
pub type PlatformConfigError = LineError<PlatformConfigProblem>;

/// What is wrong with the platform's configuration.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformConfigProblem {
    /// The file is not valid JSON.
    #[error("not JSON")]
    NotJson,
    /// The file is JSON, but not an object.
    #[error("the configuration is not a JSON object")]
    NotObject,
    /// The value of this key must be a string.
    #[error("{0} is no text")]
    NotText(&'static str),
    /// This required key is missing.
    #[error("there is no {0}")]
    Missing(&'static str),
    /// The key `settings` is missing.
    #[error("there are no settings")]
    MissingSettings,
    /// A value of another key has the wrong type.
    #[error("limits, peers, known or another optional key has a value of the wrong type")]
    WrongType,
    /// A setting is invalid; the text is the settings parser's.
    #[error("{0}")]
    Settings(String),
    /// An address does not parse.
    #[error(transparent)]
    Address(#[from] AddressError),
    /// The cached endpoint list cannot be used.
    #[error(transparent)]
    CachedList(#[from] EndpointListError),
}

/// The platform's configuration of a pooler.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// The pooler's name.
    pub name: String,
    /// The address where clients connect.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the random numbers in the engine and the discovery client; 0 if the file has none.
    pub seed: u64,
    /// Maximum number of file descriptors; `None` selects the default.
    pub sockets: Option<usize>,
    /// Memory that the process may use in MB; `None` selects the default.
    pub memory_mb: Option<f64>,
    /// The address that receives datagrams from peers.
    pub peer_listen: Option<SocketAddr>,
    /// The addresses of the tier's poolers, by pooler number.
    pub peers: Vec<SocketAddr>,
    /// An address that reaches all poolers of the tier.
    pub peers_all: Option<SocketAddr>,
    /// File descriptor number of the listening socket for clients, if the platform passes one to the process. Comes
    /// from the environment, not from the file.
    pub inherited_socket: Option<String>,
    /// The address of the administration server; `None` for no server.
    pub admin: Option<SocketAddr>,
    /// The last endpoint list of this pooler, from before its start.
    pub cached_list: Option<EndpointUpdate>,
    /// The settings of the service.
    pub settings: Settings,
    /// Names of the classes, by number.
    pub classes: Vec<String>,
    /// Names of the zones, by number.
    pub zones: Vec<String>,
    /// Idle time in seconds after which backends close a connection.
    pub backend_idle_secs: Option<f64>,
}

/// The keys of the file and their types.
#[derive(Deserialize)]
struct ConfigJson {
    name: String,
    listen: String,
    discovery: String,
    seed: Option<String>,
    limits: Option<LimitsJson>,
    peer_listen: Option<String>,
    peers: Option<Vec<String>>,
    peers_all: Option<String>,
    known: Option<EndpointListJson>,
    admin_addr: Option<String>,
    settings: Value,
}

#[derive(Deserialize)]
struct LimitsJson {
    memory_mb: Option<f64>,
    sockets: Option<u64>,
}

/// Parses the platform's configuration.
///
/// # Errors
/// [`PlatformConfigError`] with the line of the first problem.
pub fn parse(text: &str) -> Result<PlatformConfig, PlatformConfigError> {
    let value: Value = json::from_str(text)
        .map_err(|_| LineError::new(line_of_syntax_error(text), PlatformConfigProblem::NotJson))?;
    let config: ConfigJson = json::from_str(text).map_err(|_| first_invalid_key(text, &value))?;
    let pairs = flatten::flatten(&config.settings);
    let names = SettingsNames::read(&pairs);
    let settings = parse_settings(text, &pairs)?;
    let config_text = ConfigText { text };
    let limits = config.limits.as_ref();
    Ok(PlatformConfig {
        listen: config_text.address("listen", &config.listen)?,
        discovery: config_text.address("discovery", &config.discovery)?,
        name: config.name,
        seed: config.seed.and_then(|hex| u64::from_str_radix(&hex, 16).ok()).unwrap_or(0),
        sockets: limits.and_then(|limits| limits.sockets).map(|sockets| sockets as usize),
        memory_mb: limits.and_then(|limits| limits.memory_mb),
        peer_listen: config_text.optional_address("peer_listen", config.peer_listen)?,
        peers: config_text.addresses("peers", config.peers)?,
        peers_all: config_text.optional_address("peers_all", config.peers_all)?,
        inherited_socket: None,
        admin: config_text
            .optional_address("admin_addr", config.admin_addr.filter(|text| !text.is_empty()))?,
        cached_list: config_text.cached_list(config.known, &names.zones)?,
        settings,
        classes: names.classes,
        zones: names.zones,
        backend_idle_secs: names.backend_idle_secs,
    })
}

/// The values that the daemon reads from the settings itself; the decision module reads the others.
struct SettingsNames {
    classes: Vec<String>,
    zones: Vec<String>,
    backend_idle_secs: Option<f64>,
}

impl SettingsNames {
    fn read(pairs: &BTreeMap<String, String>) -> SettingsNames {
        let zones = pairs.get("zones").map_or("", String::as_str);
        SettingsNames {
            classes: (0..).map_while(|class| pairs.get(&format!("services.{class}.name")).cloned()).collect(),
            zones: zones.split(',').filter(|name| !name.is_empty()).map(str::to_string).collect(),
            backend_idle_secs: pairs.get("limits.conn-idle").and_then(|value| value.parse().ok()),
        }
    }
}

fn parse_settings(text: &str, pairs: &BTreeMap<String, String>) -> Result<Settings, PlatformConfigError> {
    let borrowed = pairs.iter().map(|(path, value)| (path.as_str(), value.as_str())).collect();
    let settings = settings_parser::from_pairs(borrowed).map_err(|error| {
        let message = error.to_string();
        let line = line_of_setting(text, &message);
        LineError::new(line, PlatformConfigProblem::Settings(message))
    })?;
    // Log positions are Unix times in the wire protocols, as the program's clock is.
    Ok(Settings { position_epoch: Some(Timestamp::ZERO), ..settings })
}

/// The line of the setting that `message` names in the form `settings: PATH=VALUE …`. The last part of the path is the
/// key in the file.
fn line_of_setting(text: &str, message: &str) -> usize {
    let stated = message.split_once(": ").map_or("", |(_, rest)| rest.split(' ').next().unwrap_or(""));
    let (path, value) = stated.split_once('=').unwrap_or((stated, ""));
    let key = path.rsplit('.').next().unwrap_or(path);
    line_of_value(text, key, value)
}

/// Determines why a JSON text is not a valid configuration: the first required key that is missing or has the wrong
/// type.
fn first_invalid_key(text: &str, config: &Value) -> PlatformConfigError {
    let Value::Object(object) = config else {
        return LineError::new(1, PlatformConfigProblem::NotObject);
    };
    for key in ["name", "listen", "discovery"] {
        let problem = match object.get(key) {
            Some(Value::String(_)) => continue,
            Some(_) => PlatformConfigProblem::NotText(key),
            None => PlatformConfigProblem::Missing(key),
        };
        return LineError::new(line_of_value(text, key, ""), problem);
    }
    if object.get("settings").is_none() {
        let line = line_of_value(text, "settings", "");
        return LineError::new(line, PlatformConfigProblem::MissingSettings);
    }
    LineError::new(1, PlatformConfigProblem::WrongType)
}

/// The text of the file, for finding the lines of invalid values.
struct ConfigText<'a> {
    text: &'a str,
}

impl ConfigText<'_> {
    fn address(&self, key: &str, value: &str) -> Result<SocketAddr, PlatformConfigError> {
        parse_address(value, key).map_err(|error| LineError::new(line_of_value(self.text, key, value), error))
    }

    fn optional_address(
        &self,
        key: &str,
        value: Option<String>,
    ) -> Result<Option<SocketAddr>, PlatformConfigError> {
        value.map(|value| self.address(key, &value)).transpose()
    }

    fn addresses(
        &self,
        key: &str,
        values: Option<Vec<String>>,
    ) -> Result<Vec<SocketAddr>, PlatformConfigError> {
        values.unwrap_or_default().iter().map(|value| self.address(key, value)).collect()
    }

    fn cached_list(
        &self,
        list: Option<EndpointListJson>,
        zones: &[String],
    ) -> Result<Option<EndpointUpdate>, PlatformConfigError> {
        let list = list.map(|list| list.into_update(zones)).transpose();
        list.map_err(|error| LineError::new(line_of_value(self.text, "known", ""), error))
    }
}

#[cfg(test)]
mod tests;
