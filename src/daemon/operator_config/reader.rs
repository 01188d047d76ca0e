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
const LEAVING_KEYS: [&str; 3] = ["automatic", "dwell", "longest"];

const DEFAULT_URL_PATH: &str = "/sparql";
/// Bounds of the dwell times that a file may state.
const MIN_DWELL_SECS: f64 = 3.0;
const MAX_DWELL_SECS: f64 = 86_400.0;

/// Reads the text of an operator's file. Other files that it names are found from the folder of `path`.
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
        host_path: url_path(&front, "host_path")?,
        service: service(&front)?,
        store: store_config(&store, peers, folder)?,
        inventory: file.optional("inventory", |node| file_path(node, folder))?,
        leaving: leaving(&file, &zones)?,
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

/// A mapping with known keys only.
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
        let missing = || OperatorConfigProblem::MissingKey { section: self.name, key };
        self.node.get(key).ok_or_else(|| self.node.error(missing()))
    }

    fn optional<T>(
        &self,
        key: &str,
        read: impl Fn(&Node) -> Result<T, OperatorConfigError>,
    ) -> Result<Option<T>, OperatorConfigError> {
        self.node.get(key).map(read).transpose()
    }

    /// The items of a list; none where the key is missing.
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

/// An address on this machine: nothing is encrypted, and no caller is authenticated.
fn loopback(node: &Node, what: &'static str) -> Result<SocketAddr, OperatorConfigError> {
    let address: SocketAddr = node.parsed(what)?;
    if !address.ip().is_loopback() {
        return Err(node.error(OperatorConfigProblem::NotLoopback { what, address }));
    }
    Ok(address)
}

/// The path of a URL, without query and fragment.
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
        snapshot: store.optional("snapshot", |node| file_path(node, folder))?,
    })
}

/// How zones are evacuated, with times in seconds.
fn leaving(file: &Section<'_>, zones: &[String]) -> Result<EvacuationPolicy, OperatorConfigError> {
    let mut leaving = EvacuationPolicy { zone_names: zones.to_vec(), ..EvacuationPolicy::default() };
    let Some(node) = file.node.get("leaving") else { return Ok(leaving) };
    let section = Section::new(node, &LEAVING_KEYS, "leaving")?;
    let automatic = section.optional("automatic", |node| Ok(node.parsed("true or false")?))?;
    leaving.automatic = automatic.unwrap_or(true);
    let least = section.optional("dwell", dwell_time)?.unwrap_or(leaving.backoff.initial);
    let default_longest = leaving.backoff.maximum.max(least);
    let longest = section.optional("longest", dwell_time)?.unwrap_or(default_longest);
    if longest < least {
        return Err(node.error(OperatorConfigProblem::DwellContradiction));
    }
    leaving.backoff = EvacuationBackoff { initial: least, maximum: longest };
    Ok(leaving)
}

fn dwell_time(node: &Node) -> Result<TimeDelta, OperatorConfigError> {
    let seconds: f64 = node.parsed("seconds")?;
    if !(MIN_DWELL_SECS..=MAX_DWELL_SECS).contains(&seconds) {
        return Err(node.error(OperatorConfigProblem::DwellOutOfRange));
    }
    Ok(TimeDelta::from_micros_f64(seconds * 1e6))
}

/// The front's classes must be defined by the settings of the same file, which must parse.
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
