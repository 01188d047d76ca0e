//! The operator's file: YAML, read whole and checked before anything starts.

use crate::config::Limits;
use crate::fleet::zones::Dwell;
use crate::fleet::zoning::Leaving;
use crate::inventory::yaml::{self, Fault, Kind, Node};
use crate::inventory::{self, Inventory};
use crate::net::sparql::front::Service;
use crate::routing::settings_parser;
use crate::routing::{GroupId, Settings, TimeDelta, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::UNIX_EPOCH;

/// What an operator's file says.
#[derive(Clone, Debug)]
pub struct Operator {
    /// The file itself.
    pub path: PathBuf,
    /// The daemon's name, different from its peers'.
    pub name: String,
    /// The daemon's number among them.
    pub number: u16,
    /// Where HTTP clients connect.
    pub listen: SocketAddr,
    /// Where operators call, if there is a door for them.
    pub admin: Option<SocketAddr>,
    /// Where hosts answer operations.
    pub host_path: String,
    /// The SPARQL front.
    pub service: Service,
    /// The store.
    pub store: StoreConfig,
    /// The inventory, if this daemon reads one.
    pub inventory: Option<PathBuf>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// How they are left.
    pub leaving: Leaving,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Settings of the service as pairs, a line each; `None`: the store's.
    pub settings: Option<String>,
    /// When the file was last changed.
    pub changed: Timestamp,
}

/// The store as the file sets it up.
#[derive(Clone, Debug)]
pub struct StoreConfig {
    /// Where peers and the operator's commands connect.
    pub listen: SocketAddr,
    /// The other daemons' stores.
    pub peers: Vec<SocketAddr>,
    /// Where the others reach it, if not there.
    pub advertise: Option<SocketAddr>,
    /// The file on the disk.
    pub snapshot: Option<PathBuf>,
}

enum Form {
    Text,
    Number,
    Count,
    Flag,
    Word(&'static [&'static str]),
}

/// Every setting that an operator may state; `*` stands for a number.
const SETTINGS: &[(&str, Form)] = &[
    ("balancers", Form::Count),
    ("services.*.name", Form::Text),
    ("services.*.consistency", Form::Word(&["mutate", "strong", "causal", "lag_bound", "eventual"])),
    ("services.*.max-age", Form::Number),
    ("services.*.target", Form::Number),
    ("services.*.deadline", Form::Number),
    ("services.*.worth", Form::Number),
    ("services.*.late-worth", Form::Number),
    ("services.*.repeat", Form::Word(&["repeatable", "by_key", "once"])),
    ("services.*.group", Form::Word(&["all", "cell", "zone"])),
    ("services.*.dedup-window", Form::Number),
    ("limits.conn-idle", Form::Number),
    ("limits.connect-timeout", Form::Number),
    ("limits.max-attempts", Form::Count),
    ("limits.max-retry-after", Form::Number),
    ("limits.probes", Form::Flag),
    ("guarantees.cold-share", Form::Number),
    ("guarantees.warm-up", Form::Number),
    ("guarantees.fall-multiple", Form::Number),
    ("guarantees.tip-after", Form::Number),
    ("guarantees.stop-sending-within", Form::Number),
    ("family-info.behind", Form::Word(&["none", "bounce", "await"])),
    ("family-info.holds-for", Form::Number),
];

/// The report's fields are this program's own: settings that were agreed under an older version lack the newer ones.
pub fn own_fields(settings: &mut Settings) {
    let own = FIXED.iter().find(|(key, _)| *key == "report.fields").map_or("", |(_, fields)| *fields);
    settings.report_fields = own.split(',').map(str::to_string).collect();
}

/// What the daemon itself decides.
const FIXED: &[(&str, &str)] = &[
    ("discovery", "automatic"),
    ("limits.may-cancel", "true"),
    ("limits.second-copies", "false"),
    ("limits.retry-after", "true"),
    ("limits.peer-messages", "true"),
    ("family-info.session-marks", "brought"),
    ("family-info.zero", "0"),
    ("report.fields", "x0,x1,up,util"),
];

fn matches(pattern: &str, path: &str) -> bool {
    let (mut a, mut b) = (pattern.split('.'), path.split('.'));
    loop {
        match (a.next(), b.next()) {
            (None, None) => return true,
            (Some("*"), Some(n)) if n.bytes().all(|c| c.is_ascii_digit()) => {}
            (Some(x), Some(y)) if x == y => {}
            _ => return false,
        }
    }
}

fn flatten(path: &str, node: &Node, into: &mut BTreeMap<String, String>) -> Result<(), Fault> {
    let below = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    match &node.kind {
        Kind::Map(pairs) => pairs.iter().try_for_each(|(k, v)| flatten(&below(k), v, into)),
        Kind::List(items) => {
            into.insert(below("count"), items.len().to_string());
            items.iter().enumerate().try_for_each(|(n, v)| flatten(&below(&n.to_string()), v, into))
        }
        Kind::Empty => Err(node.fault(format!("{path} has no value"))),
        Kind::Value(text) => {
            let form = SETTINGS.iter().find(|(p, _)| matches(p, path)).map(|(_, form)| form);
            let right = match form {
                None => return Err(node.fault(format!("{path} is no setting"))),
                Some(Form::Text) => !text.is_empty() && !text.contains(['\n', ',']),
                Some(Form::Number) => text.parse::<f64>().is_ok_and(|n| n.is_finite() && n >= 0.0),
                Some(Form::Count) => text.parse::<u16>().is_ok_and(|n| n > 0),
                Some(Form::Flag) => matches!(text.as_str(), "true" | "false"),
                Some(Form::Word(words)) => words.contains(&text.as_str()),
            };
            if !right {
                return Err(node.fault(format!("{path}: {text:?} is no such value")));
            }
            into.insert(path.to_string(), text.clone());
            Ok(())
        }
    }
}

/// The settings as the store keeps them: a line for each path.
fn pairs(node: &Node) -> Result<String, Fault> {
    let mut flat = BTreeMap::new();
    flatten("", node, &mut flat)?;
    let count: usize = flat.get("services.count").and_then(|n| n.parse().ok()).unwrap_or(0);
    if count == 0 {
        return Err(node.fault("settings name no services"));
    }
    let (mut kinds, mut ages) = (Vec::new(), Vec::new());
    for n in 0..count {
        for wanted in ["name", "consistency", "deadline"] {
            if !flat.contains_key(&format!("services.{n}.{wanted}")) {
                let at = node.get("services").and_then(|s| s.list("services").ok()).and_then(|l| l.get(n));
                return Err(at.unwrap_or(node).fault(format!("a service without {wanted}")));
            }
        }
        kinds.push(flat.remove(&format!("services.{n}.consistency")).unwrap_or_default());
        ages.push(flat.remove(&format!("services.{n}.max-age")).unwrap_or_else(|| "0".into()));
    }
    flat.insert("family-info.consistency".into(), kinds.join(","));
    flat.insert("family-info.max-age".into(), ages.join(","));
    // Hosts that answer from whatever they have are asked how far they are; others turn reads away.
    let checks = flat.get("family-info.behind").is_some_and(|b| b != "none");
    flat.entry("family-info.behind".into()).or_insert_with(|| "none".into());
    flat.entry("limits.probes".into()).or_insert_with(|| (!checks).to_string());
    Ok(flat.iter().map(|(k, v)| format!("{k}={v}\n")).collect())
}

/// The module's settings, the classes' names, and all pairs by path.
pub type Read = (Settings, Vec<String>, BTreeMap<String, String>);

/// Reads the pairs that the store keeps.
pub fn read_settings(text: &str, number: u16) -> Result<Read, String> {
    let mut all: BTreeMap<String, String> = BTreeMap::new();
    for line in text.lines() {
        let (k, v) = line.split_once('=').ok_or_else(|| format!("settings: {line:?} has no '='"))?;
        all.insert(k.to_string(), v.to_string());
    }
    FIXED.iter().for_each(|(k, v)| drop(all.insert(k.to_string(), v.to_string())));
    all.insert("me".into(), number.to_string());
    let names = (0..).map_while(|n| all.get(&format!("services.{n}.name")).cloned()).collect();
    let pairs = all.iter().map(|(k, v)| (k.as_str(), v.as_str())).collect();
    let settings = settings_parser::read(pairs).map_err(|e| e.to_string())?;
    Ok((settings, names, all))
}

fn section<'a>(node: &'a Node, known: &[&str], what: &str) -> Result<&'a Node, Fault> {
    for (key, value) in node.map(what)? {
        if !known.contains(&key.as_str()) {
            return Err(value.fault(format!("{key:?} is unknown in {what}")));
        }
    }
    Ok(node)
}

fn need<'a>(node: &'a Node, key: &str, what: &str) -> Result<&'a Node, Fault> {
    node.get(key).ok_or_else(|| node.fault(format!("{what} has no {key}")))
}

fn loopback(node: &Node, what: &str) -> Result<SocketAddr, Fault> {
    let address: SocketAddr = node.parsed(what)?;
    // Nothing here is encrypted or asks who calls: it stays on the machine.
    if address.ip().is_loopback() {
        Ok(address)
    } else {
        Err(node.fault(format!("{what}: {address} is not loopback")))
    }
}

fn optional<T>(node: &Node, key: &str, read: impl Fn(&Node) -> Result<T, Fault>) -> Result<Option<T>, Fault> {
    node.get(key).map(read).transpose()
}

fn parse(path: &Path, text: &str, changed: Timestamp, limits: &Limits) -> Result<Operator, Fault> {
    let tree = yaml::parse(text, limits)?;
    let keys = [
        "name",
        "number",
        "sparql",
        "admin",
        "store",
        "inventory",
        "zones",
        "leaving",
        "sockets",
        "settings",
    ];
    let top = section(&tree, &keys, "the operator's file")?;
    let front = section(
        need(top, "sparql", "the operator's file")?,
        &["listen", "path", "host_path", "query", "session", "update", "group"],
        "sparql",
    )?;
    let store = section(
        need(top, "store", "the operator's file")?,
        &["listen", "advertise", "peers", "snapshot"],
        "store",
    )?;
    let folder = path.parent().unwrap_or(Path::new("."));
    let file = |n: &Node| n.value("a file").map(|f| folder.join(f));
    let text_of = |n: &Node| n.value("a name").map(str::to_string);
    let name = text_of(need(top, "name", "the operator's file")?)?;
    let endpoint = |key| {
        let path = optional(front, key, text_of)?.unwrap_or_else(|| "/sparql".to_string());
        let line = front.get(key).map_or(front.line, |n| n.line);
        let plain =
            path.starts_with('/') && path.bytes().all(|b| b.is_ascii_graphic() && b != b'?' && b != b'#');
        if plain { Ok(path) } else { Err(Fault::new(line, format!("{key}: {path:?} is no path"))) }
    };
    let peers = match store.get("peers") {
        Some(list) => list.list("peers")?.iter().map(|n| loopback(n, "a peer")).collect::<Result<_, _>>()?,
        None => Vec::new(),
    };
    let zones = match top.get("zones") {
        Some(list) => list.list("zones")?.iter().map(text_of).collect::<Result<_, _>>()?,
        None => Vec::new(),
    };
    let settings = optional(top, "settings", pairs)?;
    let operator = Operator {
        path: path.to_path_buf(),
        name,
        number: optional(top, "number", |n| n.parsed("number"))?.unwrap_or(0),
        listen: loopback(need(front, "listen", "sparql")?, "listen")?,
        admin: optional(top, "admin", |n| loopback(n, "admin"))?,
        host_path: endpoint("host_path")?,
        service: Service {
            path: endpoint("path")?,
            query: text_of(need(front, "query", "sparql")?)?,
            session: optional(front, "session", text_of)?,
            update: text_of(need(front, "update", "sparql")?)?,
            group: optional(front, "group", |n| n.parsed("group").map(GroupId))?,
        },
        store: StoreConfig {
            listen: loopback(need(store, "listen", "store")?, "listen")?,
            advertise: optional(store, "advertise", |n| loopback(n, "advertise"))?,
            peers,
            snapshot: optional(store, "snapshot", file)?,
        },
        inventory: optional(top, "inventory", file)?,
        leaving: leaving(top, &zones)?,
        zones,
        sockets: optional(top, "sockets", |n| n.parsed("sockets"))?.unwrap_or(1024),
        settings,
        changed,
    };
    if let Some(text) = &operator.settings {
        let (_, names, _) = read_settings(text, operator.number).map_err(|e| tree.fault(e))?;
        for key in ["query", "session", "update"] {
            if let Some(node) = front.get(key) {
                let class = node.value(key)?;
                if !names.iter().any(|n| n == class) {
                    return Err(node.fault(format!("{key}: the settings name no service {class:?}")));
                }
            }
        }
    }
    Ok(operator)
}

/// How zones are left: `leaving`, with times in seconds.
fn leaving(top: &Node, zones: &[String]) -> Result<Leaving, Fault> {
    let mut leaving = Leaving { names: zones.to_vec(), ..Leaving::default() };
    let Some(node) = top.get("leaving") else { return Ok(leaving) };
    let node = section(node, &["automatic", "dwell", "longest"], "leaving")?;
    let seconds = |n: &Node| -> Result<TimeDelta, Fault> {
        let s: f64 = n.parsed("seconds")?;
        let sound = (3.0..=86_400.0).contains(&s);
        if sound { Ok(TimeDelta::from_micros_f64(s * 1e6)) } else { Err(n.fault("from 3 to 86400 seconds")) }
    };
    leaving.automatic = optional(node, "automatic", |n| n.parsed("true or false"))?.unwrap_or(true);
    let Dwell { least, longest } = leaving.dwell;
    let least = optional(node, "dwell", seconds)?.unwrap_or(least);
    let longest = optional(node, "longest", seconds)?.unwrap_or(longest.max(least));
    if longest < least {
        return Err(node.fault("longest is shorter than dwell"));
    }
    leaving.dwell = Dwell { least, longest };
    Ok(leaving)
}

/// A file's text and when it was changed; one that is too long is refused.
pub fn text(path: &Path, most: u64) -> Result<(String, Timestamp), String> {
    let read = || -> std::io::Result<(String, Timestamp)> {
        let meta = std::fs::metadata(path)?;
        if meta.len() > most {
            return Err(std::io::Error::other("the file is too long"));
        }
        let changed = meta.modified()?.duration_since(UNIX_EPOCH).unwrap_or_default();
        Ok((std::fs::read_to_string(path)?, Timestamp::ZERO + TimeDelta::from(changed)))
    };
    read().map_err(|e| format!("{}: {e}", path.display()))
}

/// Reads an operator's file; errors name file and line.
pub fn load(path: &Path) -> Result<Operator, String> {
    // How many descriptors there are stands in the file: until it is read the least will do.
    let limits = Limits::for_sockets(0);
    let (text, changed) = text(path, limits.file_bytes)?;
    parse(path, &text, changed, &limits).map_err(|e| format!("{}: {e}", path.display()))
}

/// Reads an inventory; errors name file and line.
pub fn inventory(path: &Path, zones: &[String], limits: &Limits) -> Result<(Inventory, Timestamp), String> {
    let (text, changed) = text(path, limits.file_bytes)?;
    let all = inventory::parse(path, &text, zones, limits).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok((all, changed))
}

#[cfg(test)]
mod tests {
    use super::*;

    const FILE: &str = include_str!("../../deploy/operator.yaml");

    #[test]
    fn the_example_file_is_read() {
        let operator = parse(
            Path::new("deploy/operator.yaml"),
            FILE,
            Timestamp::from_micros(7),
            &Limits::for_sockets(0),
        )
        .unwrap();
        assert_eq!(operator.inventory, Some(PathBuf::from("deploy/inventory.yaml")));
        let (settings, names, _) = read_settings(operator.settings.as_deref().unwrap(), 1).unwrap();
        assert_eq!(names, ["catalog-read", "own-edit-read", "score-write"]);
        assert_eq!(settings.classes[0].max_age, Some(TimeDelta::from_micros(800_000)));
        assert_eq!(settings.me, Some(1));
    }

    #[test]
    fn the_example_inventories_are_read_and_alike() {
        let read = |name: &str, text| {
            inventory::parse(Path::new(name), text, &["zona-10".into()], &Limits::for_sockets(0))
                .unwrap()
                .hosts
        };
        let yaml = read("i.yaml", include_str!("../../deploy/inventory.yaml"));
        assert_eq!(yaml, read("i.csv", include_str!("../../deploy/inventory.csv")));
    }

    #[test]
    fn a_fault_names_its_line() {
        for (from, to, why) in [
            ("name: b1", "nome: b1", "unknown"),
            ("127.0.0.1:8890", "0.0.0.0:8890", "not loopback"),
            ("update: score-write", "update: score-rite", "no service"),
            ("lag_bound", "lagbound", "is no such value"),
            ("max-age: 0.8", "max-age: soon", "is no such value"),
            ("warm-up", "warmup", "is no setting"),
            ("path: /sparql", "path: sparql", "is no path"),
            ("dwell: 3", "dwell: 0.1", "from 3 to 86400"),
            ("automatic: true", "automatic: perhaps", "true or false"),
            ("dwell: 3", "dwel: 3", "unknown in leaving"),
        ] {
            let line = FILE.lines().position(|l| l.contains(from)).map(|n| n + 1).expect(from);
            let fault =
                parse(Path::new("f"), &FILE.replacen(from, to, 1), Timestamp::ZERO, &Limits::for_sockets(0))
                    .unwrap_err();
            assert!(fault.text.contains(why), "{to}: {fault}");
            assert_eq!(fault.line, line, "{to}: {fault}");
        }
    }
}
