//! Reads the sections of an operator's file.

use super::{OperatorConfig, OperatorConfigError, OperatorConfigProblem, StoreConfig, settings};
use crate::config::{DEFAULT_SOCKETS, Limits};
use crate::fleet::zones::EvacuationBackoff;
use crate::fleet::zones::EvacuationPolicy;
use crate::inventory::yaml::{self, Node};
use crate::net::sparql::front::FrontConfig;
use crate::routing::GroupId;
use crate::time::{TimeDelta, Timestamp};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const FILE_KEYS: [&str; 10] =
    ["name", "number", "sparql", "admin", "store", "inventory", "zones", "leaving", "sockets", "settings"];
const FRONT_KEYS: [&str; 7] = ["listen", "path", "host_path", "query", "session", "update", "group"];
const STORE_KEYS: [&str; 4] = ["listen", "advertise", "peers", "snapshot"];
const EVACUATION_KEYS: [&str; 3] = ["automatic", "dwell", "longest"];

const DEFAULT_URL_PATH: &str = "/sparql";
/// Range of the dwell times that a file may specify.
const MIN_DWELL_SECS: f64 = 3.0;
const MAX_DWELL_SECS: f64 = 86_400.0;

/// Parses the text of an operator's file. Relative paths in it are resolved against the directory of `path`.
///
/// # Errors
/// [`OperatorConfigError`] with the line of the first problem.
pub fn parse(
    path: &Path,
    text: &str,
    modified_at: Timestamp,
    limits: &Limits,
) -> Result<OperatorConfig, OperatorConfigError> {
    let tree = yaml::parse(text, limits)?;
    let file = Section::new(&tree, &FILE_KEYS, "the operator's file")?;
    let front = Section::new(file.required("sparql")?, &FRONT_KEYS, "sparql")?;
    let store = Section::new(file.required("store")?, &STORE_KEYS, "store")?;
    let folder = path.parent().unwrap_or(Path::new("."));

    let name = text_of(file.required("name")?)?;
    let peers = store.list("peers", |node| loopback(node, "a peer"))?;
    let zones = file.list("zones", text_of)?;
    let settings = file.optional("settings", settings::stored_text)?;
    let config = OperatorConfig {
        path: path.to_path_buf(),
        name,
        number: file.optional("number", |node| Ok(node.parsed("number")?))?.unwrap_or(0),
        listen: loopback(front.required("listen")?, "listen")?,
        admin: file.optional("admin", |node| loopback(node, "admin"))?,
        endpoint_path: url_path(&front, "host_path")?,
        service: service(&front)?,
        store: store_config(&store, peers, folder)?,
        inventory_path: file.optional("inventory", |node| file_path(node, folder))?,
        evacuation_policy: evacuation_policy(&file, &zones)?,
        zones,
        sockets: file.optional("sockets", |node| Ok(node.parsed("sockets")?))?.unwrap_or(DEFAULT_SOCKETS),
        settings,
        modified_at,
    };
    if let Some(text) = &config.settings {
        check_front_classes(&tree, &front, text, config.number)?;
    }
    Ok(config)
}

/// A mapping that contains only supported keys.
struct Section<'a> {
    node: &'a Node,
    name: &'static str,
}

impl<'a> Section<'a> {
    fn new(node: &'a Node, keys: &[&str], name: &'static str) -> Result<Section<'a>, OperatorConfigError> {
        for (key, value) in node.map(name)? {
            if !keys.contains(&key.as_str()) {
                let problem = OperatorConfigProblem::UnknownKey { key: key.clone(), section: name };
                return Err(value.error(problem));
            }
        }
        Ok(Section { node, name })
    }

    fn required(&self, key: &'static str) -> Result<&'a Node, OperatorConfigError> {
        let missing_key = || OperatorConfigProblem::MissingKey { section: self.name, key };
        self.node.get(key).ok_or_else(|| self.node.error(missing_key()))
    }

    fn optional<T>(
        &self,
        key: &str,
        read: impl Fn(&Node) -> Result<T, OperatorConfigError>,
    ) -> Result<Option<T>, OperatorConfigError> {
        self.node.get(key).map(read).transpose()
    }

    /// The items of a list; empty if the key is missing.
    fn list<T>(
        &self,
        key: &str,
        read: impl Fn(&Node) -> Result<T, OperatorConfigError>,
    ) -> Result<Vec<T>, OperatorConfigError> {
        match self.node.get(key) {
            Some(list) => list.list(key)?.iter().map(read).collect(),
            None => Ok(Vec::new()),
        }
    }
}

fn text_of(node: &Node) -> Result<String, OperatorConfigError> {
    Ok(node.scalar("a name")?.to_string())
}

fn file_path(node: &Node, folder: &Path) -> Result<PathBuf, OperatorConfigError> {
    Ok(folder.join(node.scalar("a file")?))
}

/// A loopback address. Others are rejected, since traffic is not encrypted and callers are not authenticated.
fn loopback(node: &Node, what: &'static str) -> Result<SocketAddr, OperatorConfigError> {
    let address: SocketAddr = node.parsed(what)?;
    if !address.ip().is_loopback() {
        return Err(node.error(OperatorConfigProblem::NotLoopback { what, address }));
    }
    Ok(address)
}

/// A URL path without query and fragment; [`DEFAULT_URL_PATH`] if the key is missing.
fn url_path(section: &Section<'_>, key: &'static str) -> Result<String, OperatorConfigError> {
    let Some(node) = section.node.get(key) else { return Ok(DEFAULT_URL_PATH.to_string()) };
    let path = text_of(node)?;
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != b'?' && byte != b'#';
    if !path.starts_with('/') || !path.bytes().all(is_allowed) {
        return Err(node.error(OperatorConfigProblem::NotUrlPath { key, path }));
    }
    Ok(path)
}

fn service(front: &Section<'_>) -> Result<FrontConfig, OperatorConfigError> {
    Ok(FrontConfig {
        path: url_path(front, "path")?,
        query_class: text_of(front.required("query")?)?,
        session_query_class: front.optional("session", text_of)?,
        update_class: text_of(front.required("update")?)?,
        default_group: front.optional("group", |node| Ok(GroupId(node.parsed("group")?)))?,
    })
}

fn store_config(
    store: &Section<'_>,
    peers: Vec<SocketAddr>,
    folder: &Path,
) -> Result<StoreConfig, OperatorConfigError> {
    Ok(StoreConfig {
        listen: loopback(store.required("listen")?, "listen")?,
        advertise: store.optional("advertise", |node| loopback(node, "advertise"))?,
        peers,
        file: store.optional("snapshot", |node| file_path(node, folder))?,
    })
}

/// Reads the `leaving` section, whose times are in seconds.
fn evacuation_policy(file: &Section<'_>, zones: &[String]) -> Result<EvacuationPolicy, OperatorConfigError> {
    let mut policy = EvacuationPolicy { zone_names: zones.to_vec(), ..EvacuationPolicy::default() };
    let Some(node) = file.node.get("leaving") else { return Ok(policy) };
    let section = Section::new(node, &EVACUATION_KEYS, "leaving")?;
    let automatic = section.optional("automatic", |node| Ok(node.parsed("true or false")?))?;
    policy.automatic = automatic.unwrap_or(true);
    let initial = section.optional("dwell", dwell_time)?.unwrap_or(policy.backoff.initial);
    let default_maximum = policy.backoff.maximum.max(initial);
    let maximum = section.optional("longest", dwell_time)?.unwrap_or(default_maximum);
    if maximum < initial {
        return Err(node.error(OperatorConfigProblem::DwellContradiction));
    }
    policy.backoff = EvacuationBackoff { initial, maximum };
    Ok(policy)
}

fn dwell_time(node: &Node) -> Result<TimeDelta, OperatorConfigError> {
    let seconds: f64 = node.parsed("seconds")?;
    if !(MIN_DWELL_SECS..=MAX_DWELL_SECS).contains(&seconds) {
        return Err(node.error(OperatorConfigProblem::DwellOutOfRange));
    }
    Ok(TimeDelta::from_micros_f64(seconds * 1e6))
}

/// Checks that the settings of the file parse and define the classes that its `sparql` section names.
fn check_front_classes(
    tree: &Node,
    front: &Section<'_>,
    settings_text: &str,
    daemon_number: u16,
) -> Result<(), OperatorConfigError> {
    let parsed = settings::parse_settings(settings_text, daemon_number)
        .map_err(|error| OperatorConfigError::new(tree.line, error))?;
    for key in ["query", "session", "update"] {
        let Some(node) = front.node.get(key) else { continue };
        let class = node.scalar(key)?;
        if !parsed.class_names.iter().any(|name| name == class) {
            let problem = OperatorConfigProblem::UnknownClass { key, class: class.to_string() };
            return Err(node.error(problem));
        }
    }
    Ok(())
}
