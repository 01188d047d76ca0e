//! The one place where JSON is read: miniserde, into the few values that the program uses.

use crate::engine::endpoints::{EndpointRecord, EndpointUpdate};
use crate::routing::settings_parser;
use crate::routing::{Availability, GroupId, Settings, TimeDelta, Timestamp, ZoneId};
use miniserde::json::Value;
use miniserde::{Deserialize, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[derive(Deserialize)]
struct RawEndpoint {
    name: String,
    address: String,
    zone: Option<String>,
    group: u32,
    status: String,
    weight: Option<f64>,
    since_ms: Option<f64>,
}

#[derive(Deserialize)]
struct RawList {
    index: u64,
    snapshot: bool,
    endpoints: Vec<RawEndpoint>,
}

#[derive(Deserialize)]
struct RawLimits {
    memory_mb: Option<f64>,
    sockets: Option<u64>,
}

#[derive(Deserialize)]
struct RawConfig {
    name: String,
    listen: String,
    discovery: String,
    seed: Option<String>,
    limits: Option<RawLimits>,
    peer_listen: Option<String>,
    peers: Option<Vec<String>>,
    peers_all: Option<String>,
    known: Option<RawList>,
    admin_addr: Option<String>,
    settings: Value,
}

/// What the platform tells a pooler.
#[derive(Clone, Debug)]
pub struct Platform {
    /// The pooler's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: Option<usize>,
    /// Memory that the process may use.
    pub memory_mb: Option<f64>,
    /// Where peers' datagrams arrive.
    pub peer_listen: Option<SocketAddr>,
    /// The poolers of the tier by number.
    pub peers: Vec<SocketAddr>,
    /// All poolers of the tier.
    pub peers_all: Option<SocketAddr>,
    /// The descriptor of the clients' listening socket, where the platform holds it.
    pub passed: Option<String>,
    /// Where operators call.
    pub admin: Option<SocketAddr>,
    /// The list as this pooler last had it.
    pub known: Option<EndpointUpdate>,
    /// The settings of the service.
    pub settings: Settings,
    /// Names of the classes, by number.
    pub classes: Vec<String>,
    /// Names of the zones, by number.
    pub zones: Vec<String>,
    /// A connection that stood idle for so many seconds is closed by the host.
    pub conn_idle: Option<f64>,
}

/// Reads an address; errors name `what`.
pub fn address(text: &str, what: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{what}: {text:?} is not an address with a port"))
}

fn listing(raw: RawList, zones: &[String]) -> Result<EndpointUpdate, String> {
    let one = |e: RawEndpoint| {
        let availability = match e.status.as_str() {
            "active" => Availability::Ready,
            "leaving" => Availability::Draining,
            "left" => Availability::Gone,
            other => return Err(format!("endpoint {}: unknown status {other:?}", e.name)),
        };
        let zone = e.zone.and_then(|z| zones.iter().position(|known| *known == z));
        let since = e.since_ms.filter(|ms| ms.is_finite() && *ms > 0.0);
        Ok(EndpointRecord {
            address: address(&e.address, &format!("endpoint {}", e.name))?,
            name: e.name,
            zone: ZoneId(zone.unwrap_or(0) as u8),
            group: GroupId(e.group),
            availability,
            primary: false,
            weight: e.weight.filter(|w| w.is_finite()).unwrap_or(1.0),
            started_at: since.map(|ms| Timestamp::ZERO + TimeDelta::from_micros_f64(ms * 1000.0)),
        })
    };
    let entries = raw.endpoints.into_iter().map(one).collect::<Result<_, String>>()?;
    Ok(EndpointUpdate { index: raw.index, whole: raw.snapshot, entries })
}

/// Reads an answer of discovery. Anything out of form refuses it whole.
pub fn list(text: &str, zones: &[String]) -> Result<EndpointUpdate, String> {
    listing(json::from_str(text).map_err(|_| "the list is not in discovery's form".to_string())?, zones)
}

/// Flattens nested JSON into `path=value` pairs, as the simulator's wire writes them.
fn flatten(path: &str, value: &Value, into: &mut BTreeMap<String, String>) {
    let below = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    match value {
        Value::Null => {}
        Value::Bool(b) => drop(into.insert(path.to_string(), b.to_string())),
        Value::Number(n) => drop(into.insert(path.to_string(), n.to_string())),
        Value::String(s) => drop(into.insert(path.to_string(), s.clone())),
        Value::Object(o) => o.iter().for_each(|(k, v)| flatten(&below(k), v, into)),
        Value::Array(a) if a.iter().any(|v| matches!(v, Value::Object(_))) => {
            into.insert(below("count"), a.len().to_string());
            a.iter().enumerate().for_each(|(n, v)| flatten(&below(&n.to_string()), v, into));
        }
        Value::Array(a) => {
            let plain = |v: &Value| match v {
                Value::Bool(b) => b.to_string(),
                Value::Number(n) => n.to_string(),
                Value::String(s) => s.clone(),
                _ => String::new(),
            };
            into.insert(path.to_string(), a.iter().map(plain).collect::<Vec<_>>().join(","));
        }
    }
}

/// Line of the first byte that stops `text` from being JSON: the parser itself names no place.
fn broken_line(text: &str) -> usize {
    // Every cut before the fault parses as an unfinished text; a scan for balance finds most faults.
    let (mut quoted, mut escaped, mut open, mut line) = (false, false, Vec::new(), 1);
    for c in text.chars() {
        line += usize::from(c == '\n');
        match c {
            _ if escaped => escaped = false,
            '\\' if quoted => escaped = true,
            '"' => quoted = !quoted,
            '\n' if quoted => return line - 1,
            _ if quoted => {}
            '{' | '[' => open.push(c),
            '}' | ']' if open.pop() != Some(if c == '}' { '{' } else { '[' }) => return line,
            _ => {}
        }
    }
    line
}

/// The line where a value stands: the first that has both its key and its text, else the first with the key.
fn line_of(text: &str, key: &str, value: &str) -> usize {
    let quoted = format!("\"{key}\"");
    let with = |value: &str| text.lines().position(|l| l.contains(&quoted) && l.contains(value));
    with(value).or_else(|| with("")).map_or(text.lines().count().max(1), |n| n + 1)
}

/// What keeps a configuration from being read, though it is JSON: the first value that is always stated and
/// is missing or of another kind.
fn lacking(text: &str, config: &Value) -> String {
    let Value::Object(object) = config else { return "line 1: no object".into() };
    for key in ["name", "listen", "discovery"] {
        match object.get(key) {
            Some(Value::String(_)) => {}
            Some(_) => return format!("line {}: {key} is no text", line_of(text, key, "")),
            None => return format!("line {}: there is no {key}", line_of(text, key, "")),
        }
    }
    match object.get("settings") {
        None => format!("line {}: there are no settings", line_of(text, "settings", "")),
        Some(_) => "line 1: limits, peers or known are out of form".into(),
    }
}

/// Reads the platform's configuration; errors name the line.
pub fn platform(text: &str) -> Result<Platform, String> {
    let config: Value = json::from_str(text).map_err(|_| format!("line {}: not JSON", broken_line(text)))?;
    let raw: RawConfig = json::from_str(text).map_err(|_| lacking(text, &config))?;
    let at = |key: &str, value: &str, e: String| format!("line {}: {e}", line_of(text, key, value));
    let mut flat = BTreeMap::new();
    flatten("", &raw.settings, &mut flat);
    let pairs: BTreeMap<&str, &str> = flat.iter().map(|(k, v)| (k.as_str(), v.as_str())).collect();
    let names = |path: &str| -> Vec<String> {
        let text = pairs.get(path).copied().unwrap_or("");
        text.split(',').filter(|s| !s.is_empty()).map(str::to_string).collect()
    };
    let zones = names("zones");
    let classes = (0..).map_while(|n| flat.get(&format!("services.{n}.name")).cloned()).collect();
    let conn_idle = pairs.get("limits.conn-idle").and_then(|v| v.parse().ok());
    let settings = settings_parser::read(pairs).map_err(|e| {
        let e = e.to_string();
        // The reader names a path and its value; the path's last part is the key in the text.
        let stated = e.split_once(": ").map_or("", |(_, rest)| rest.split(' ').next().unwrap_or(""));
        let (path, value) = stated.split_once('=').unwrap_or((stated, ""));
        at(path.rsplit('.').next().unwrap_or(path), value, e.clone())
    })?;
    // Positions on sockets are Unix times on every machine's one clock.
    let settings = Settings { zero: Some(Timestamp::ZERO), ..settings };
    let place = |key: &str, value: &str| address(value, key).map_err(|e| at(key, value, e));
    Ok(Platform {
        listen: place("listen", &raw.listen)?,
        discovery: place("discovery", &raw.discovery)?,
        name: raw.name,
        seed: raw.seed.and_then(|s| u64::from_str_radix(&s, 16).ok()).unwrap_or(0),
        sockets: raw.limits.as_ref().and_then(|l| l.sockets).map(|n| n as usize),
        memory_mb: raw.limits.as_ref().and_then(|l| l.memory_mb),
        peer_listen: raw.peer_listen.map(|a| place("peer_listen", &a)).transpose()?,
        peers: raw.peers.unwrap_or_default().iter().map(|a| place("peers", a)).collect::<Result<_, _>>()?,
        peers_all: raw.peers_all.map(|a| place("peers_all", &a)).transpose()?,
        passed: None,
        admin: raw.admin_addr.filter(|a| !a.is_empty()).map(|a| place("admin_addr", &a)).transpose()?,
        known: raw.known.map(|k| listing(k, &zones).map_err(|e| at("known", "", e))).transpose()?,
        settings,
        classes,
        zones,
        conn_idle,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    const CONFIG: &str = "{\"name\":\"n3\",\n\"listen\":\"127.0.0.1:1\",\n\"discovery\":\"127.0.0.1:2\",\n\
        \"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\n\
        \"known\":{\"index\":41,\"snapshot\":true,\"endpoints\":[{\"name\":\"s-1\",\"address\":\"127.0.0.1:3\",\n\
        \"zone\":\"b\",\"type\":\"m\",\"group\":3,\"status\":\"leaving\",\"weight\":1,\"since_ms\":1767225600123}]},\n\
        \"settings\":{\"zones\":[\"a\",\"b\"],\"services\":[{\"name\":\"read\",\"target\":0.5,\"repeat\":\"repeatable\"}],\n\
        \"family-info\":{\"consistency\":[\"lag_bound\"],\"max-age\":[0.8],\"zero\":471811.9},\n\
        \"limits\":{\"conn-idle\":15,\"probes\":false},\"more\":null}}";

    #[test]
    fn a_configuration_is_read_with_positions_from_the_unix_epoch() {
        let p = platform(CONFIG).unwrap();
        assert_eq!((p.classes, p.conn_idle, p.sockets), (vec!["read".to_string()], Some(15.0), Some(1024)));
        assert_eq!(
            (p.seed, p.settings.zero, p.settings.may_probe),
            (0x8c1f_30d2_7a5b_e964, Some(Timestamp::ZERO), Some(false))
        );
        assert_eq!(
            (p.settings.classes[0].max_age, p.settings.classes[0].latency_objective),
            (Some(TimeDelta::from_micros(800_000)), Some(TimeDelta::from_micros(500_000)))
        );
        let host = &p.known.unwrap().entries[0];
        assert_eq!(
            (host.zone, host.group, host.availability),
            (ZoneId(1), GroupId(3), Availability::Draining)
        );
        assert_eq!(host.started_at, Some(Timestamp::from_micros(1_767_225_600_123_000)));
    }

    #[test]
    fn a_fault_names_its_line() {
        for (from, to, wanted) in [
            ("\"listen\":\"127.0.0.1:1\"", "\"listen\":\"here\"", "line 2: listen"),
            ("\"discovery\":\"127.0.0.1:2\"", "\"discovery\":7", "line 3: discovery is no text"),
            ("\"leaving\"", "\"lost\"", "line 5: endpoint s-1"),
            ("\"target\":0.5", "\"target\":\"soon\"", "line 7: settings: services.0.target"),
            ("\"probes\":false", "\"probes\":false]", "line 9: not JSON"),
        ] {
            let error = platform(&CONFIG.replace(from, to)).map(|p| p.name).unwrap_err();
            assert!(error.starts_with(wanted), "{to}: {error}");
        }
        let error = platform("{\"name\":\"n\"}").map(|p| p.name).unwrap_err();
        assert_eq!(error, "line 1: there is no listen");
    }
}
