//! The hosts as the operator writes them down: CSV with a header row, or YAML in Ansible's inventory form.

pub mod yaml;

use crate::config::Limits;
use crate::engine::endpoints::EndpointRecord;
use crate::routing::{Availability, GroupId, Timestamp, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use yaml::{Fault, Node};

/// Every fact about a host that a file may state; others are the configuration tool's own.
const FACTS: [&str; 8] = ["address", "group", "zone", "region", "weight", "status", "port", "since_ms"];
/// Letters of a region's name at the most.
const REGION: usize = 64;

/// Regions by the numbers of their zones: zones of one region fail together.
pub type Regions = BTreeMap<ZoneId, String>;

/// What a file says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Inventory {
    /// The hosts.
    pub hosts: Vec<EndpointRecord>,
    /// The regions of those zones that have one.
    pub regions: Regions,
}

/// A value with the line it stands in.
type Facts = BTreeMap<String, (String, usize)>;

/// Reads a file's text by the ending of its name.
pub fn parse(path: &Path, text: &str, zones: &[String], limits: &Limits) -> Result<Inventory, Fault> {
    let ending = path.extension().and_then(|e| e.to_str()).unwrap_or("").to_ascii_lowercase();
    let hosts = match ending.as_str() {
        "csv" => csv_hosts(text)?,
        "yaml" | "yml" => yaml_hosts(text, limits)?,
        _ => return Err(Fault::new(1, "an inventory is a .csv, .yaml or .yml file")),
    };
    if hosts.is_empty() {
        return Err(Fault::new(1, "the inventory names no host"));
    }
    let mut all = Inventory::default();
    for (name, line, facts) in hosts {
        let host = listed(name, line, &facts, zones)?;
        if let Some((region, line)) = facts.get("region") {
            add_region(&host, region, *line, facts.contains_key("zone"), &mut all.regions)?;
        }
        all.hosts.push(host);
    }
    Ok(all)
}

/// Whether a text has the letters of a name and no others.
fn is_name(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}

/// A host's region is its zone's.
fn add_region(
    host: &EndpointRecord,
    region: &str,
    line: usize,
    in_zone: bool,
    regions: &mut Regions,
) -> Result<(), Fault> {
    let name = &host.name;
    if !in_zone {
        return Err(Fault::new(line, format!("host {name:?}: region {region:?} without a zone")));
    }
    if region.len() > REGION || !is_name(region) {
        return Err(Fault::new(line, format!("host {name:?}: region {region:?} is no such value")));
    }
    let known = regions.entry(host.zone).or_insert_with(|| region.to_string());
    if known != region {
        let why = format!("host {name:?}: its zone is in region {known:?}, not {region:?}");
        return Err(Fault::new(line, why));
    }
    Ok(())
}

/// Finds the lines of records that the reader found from one byte on after another: it passes over blank lines and
/// comments. What was counted once is not counted again, or a long file would take its length squared.
struct Lines<'a> {
    text: &'a str,
    counted: usize,
    line: usize,
}

impl Lines<'_> {
    fn of(&mut self, byte: u64) -> usize {
        let mut at = (byte as usize).min(self.text.len());
        while let Some(rest) = self.text.get(at..).filter(|r| !r.is_empty()) {
            let line = rest.split('\n').next().unwrap_or("");
            if !line.trim().is_empty() && !line.starts_with('#') {
                break;
            }
            at = (at + line.len() + 1).min(self.text.len());
        }
        if at < self.counted {
            (self.counted, self.line) = (0, 1);
        }
        self.line += self.text.as_bytes()[self.counted..at].iter().filter(|b| **b == b'\n').count();
        self.counted = at;
        self.line
    }
}

fn csv_hosts(text: &str) -> Result<Vec<(String, usize, Facts)>, Fault> {
    let mut reader =
        csv::ReaderBuilder::new().trim(csv::Trim::All).comment(Some(b'#')).from_reader(text.as_bytes());
    let mut lines = Lines { text, counted: 0, line: 1 };
    let fault = |e: csv::Error, lines: &mut Lines<'_>| {
        let line = e.position().map_or(1, |p| lines.of(p.byte()));
        Fault::new(
            line,
            match e.kind() {
                csv::ErrorKind::UnequalLengths { expected_len, len, .. } => {
                    format!("{len} values under {expected_len} columns")
                }
                csv::ErrorKind::Utf8 { .. } => "not UTF-8".to_string(),
                _ => "not CSV".to_string(),
            },
        )
    };
    let header = reader.headers().map_err(|e| fault(e, &mut lines))?.clone();
    for (n, column) in header.iter().enumerate() {
        if header.iter().take(n).any(|c| c == column) {
            return Err(Fault::new(1, format!("column {column:?} stands twice")));
        }
    }
    for wanted in ["name", "address", "group"] {
        if !header.iter().any(|c| c == wanted) {
            return Err(Fault::new(1, format!("the header row has no column {wanted:?}")));
        }
    }
    let mut hosts: Vec<(String, usize, Facts)> = Vec::new();
    let mut names = BTreeSet::new();
    for row in reader.records() {
        let row = row.map_err(|e| fault(e, &mut lines))?;
        let line = row.position().map_or(1, |p| lines.of(p.byte()));
        let pairs = header.iter().zip(row.iter()).filter(|(_, v)| !v.is_empty());
        let mut facts: Facts = pairs.map(|(k, v)| (k.to_string(), (v.to_string(), line))).collect();
        let (name, _) = facts.remove("name").ok_or_else(|| Fault::new(line, "a host without a name"))?;
        if !names.insert(name.clone()) {
            return Err(Fault::new(line, format!("host {name:?} stands twice")));
        }
        hosts.push((name, line, facts));
    }
    Ok(hosts)
}

/// Hosts in the order of the file, and where each stands among them.
#[derive(Default)]
struct Found {
    hosts: Vec<(String, usize, Facts)>,
    places: BTreeMap<String, usize>,
}

fn yaml_hosts(text: &str, limits: &Limits) -> Result<Vec<(String, usize, Facts)>, Fault> {
    let tree = yaml::parse(text, limits)?;
    let mut found = Found::default();
    for (name, group) in tree.map("the inventory")? {
        walk(name, group, &Facts::new(), &mut found)?;
    }
    Ok(found.hosts)
}

/// The facts that a group's or a host's variables state: Ansible's own names, or ours after `brookpass_`.
fn facts(node: &Node, what: &str, into: &mut Facts) -> Result<(), Fault> {
    for (key, value) in node.map(what)? {
        let name = match key.as_str() {
            "ansible_host" => "address",
            "ansible_port" => "port",
            _ => match key.strip_prefix("brookpass_") {
                Some(ours) if FACTS.contains(&ours) => ours,
                Some(_) => return Err(value.fault(format!("unknown variable {key:?}"))),
                None => continue,
            },
        };
        into.insert(name.to_string(), (value.value(key)?.to_string(), value.line));
    }
    Ok(())
}

/// A group: its variables hold for its hosts and children, nearer ones first.
fn walk(name: &str, group: &Node, above: &Facts, found: &mut Found) -> Result<(), Fault> {
    let mut inherited = above.clone();
    for (key, part) in group.map(&format!("group {name:?}"))? {
        match key.as_str() {
            "vars" => facts(part, "vars", &mut inherited)?,
            "hosts" | "children" => {}
            _ => return Err(part.fault(format!("group {name:?} has hosts, children and vars, not {key:?}"))),
        }
    }
    if let Some(list) = group.get("hosts") {
        for (host, vars) in list.map("hosts")? {
            if host.contains('[') {
                return Err(vars.fault(format!("host {host:?}: ranges are not read; name each host")));
            }
            let mut own = inherited.clone();
            facts(vars, "a host's variables", &mut own)?;
            let place = found.places.get(host).and_then(|place| found.hosts.get_mut(*place));
            match place {
                None => {
                    found.places.insert(host.clone(), found.hosts.len());
                    found.hosts.push((host.clone(), vars.line, own));
                }
                // A host may stand in several groups, where they agree.
                Some((.., known)) => {
                    for (k, (v, line)) in own {
                        let (first, _) = known.entry(k.clone()).or_insert((v.clone(), line));
                        if *first != v {
                            return Err(Fault::new(
                                line,
                                format!("host {host:?}: {k} is {first:?} and {v:?}"),
                            ));
                        }
                    }
                }
            }
        }
    }
    if let Some(children) = group.get("children") {
        for (child, part) in children.map("children")? {
            walk(child, part, &inherited, found)?;
        }
    }
    Ok(())
}

fn listed(name: String, line: usize, facts: &Facts, zones: &[String]) -> Result<EndpointRecord, Fault> {
    let fact = |key: &str| facts.get(key).map(|(v, l)| (v.as_str(), *l));
    let wrong =
        |key: &str, v: &str, l: usize| Fault::new(l, format!("host {name:?}: {key} {v:?} is no such value"));
    // A separator of the store's records, or a line end, in a name would forge another record.
    if !is_name(&name) {
        return Err(Fault::new(
            line,
            format!("host {name:?}: a name has letters, digits, '-', '_' and '.' only"),
        ));
    }
    let (text, at) = fact("address").unwrap_or((name.as_str(), line));
    let address = match fact("port") {
        Some((port, _)) if !text.contains(':') => format!("{text}:{port}").parse(),
        _ => text.parse(),
    };
    let address: SocketAddr =
        address.map_err(|_| Fault::new(at, format!("host {name:?}: {text:?} is no address with a port")))?;
    if !address.ip().is_loopback() {
        return Err(Fault::new(at, format!("host {name:?}: {address} is not on this machine's loopback")));
    }
    let (group, at) = fact("group").ok_or_else(|| Fault::new(line, format!("host {name:?} has no group")))?;
    let group = group.parse().map(GroupId).map_err(|_| wrong("group", group, at))?;
    let availability = match fact("status") {
        None | Some(("active", _)) => Availability::Ready,
        Some(("leaving", _)) => Availability::Draining,
        Some((v, l)) => return Err(wrong("status", v, l)),
    };
    let zone = match fact("zone") {
        None => ZoneId(0),
        Some((v, l)) => ZoneId(zones.iter().position(|z| z == v).ok_or_else(|| wrong("zone", v, l))? as u8),
    };
    let weight = match fact("weight") {
        None => 1.0,
        Some((v, l)) => {
            v.parse().ok().filter(|w| *w > 0.0 && *w <= 100.0).ok_or_else(|| wrong("weight", v, l))?
        }
    };
    let started_at: Option<Timestamp> = match fact("since_ms") {
        None | Some(("0", _)) => None,
        Some((v, l)) => {
            let since = v.parse::<i64>().ok().filter(|ms| *ms > 0).and_then(Timestamp::try_from_millis);
            Some(since.ok_or_else(|| wrong("since_ms", v, l))?)
        }
    };
    // Who is primary is learned from answers alone: an inventory is no proof of it.
    Ok(EndpointRecord { name, address, zone, group, availability, primary: false, weight, started_at })
}

#[cfg(test)]
mod tests;
