//! What the records mean: hosts, drain marks, and the list that the core gets.

use super::Store;
use crate::core::members::{Listed, Listing};
use crate::interface::{Availability, Micros};

/// Hosts of the inventory, by name.
const HOST: &str = "host/";
/// Hosts that an operator drains.
const DRAIN: &str = "drain/";
/// When the file that the hosts came from was last changed.
const FILE: &str = "inventory/changed";
/// The settings of the service, as pairs.
pub const SETTINGS: &str = "config/settings";
/// When the file that the settings came from was last changed.
const SETTINGS_FILE: &str = "config/changed";

fn line(host: &Listed) -> String {
    let Listed { address, zone, group, weight, started_at, .. } = host;
    let status = if host.availability == Availability::Ready { "active" } else { "leaving" };
    format!("{address} {group} {zone} {weight} {status} {}", started_at.unwrap_or(0) / 1000)
}

fn host(name: &str, line: &str) -> Option<Listed> {
    let parts: Vec<&str> = line.split(' ').collect();
    let &[address, group, zone, weight, status, since] = &parts[..] else { return None };
    let since: Micros = since.parse().ok()?;
    Some(Listed {
        name: name.to_string(),
        address: address.parse().ok()?,
        zone: zone.parse().ok()?,
        group: group.parse().ok()?,
        availability: if status == "active" { Availability::Ready } else { Availability::Draining },
        primary: false,
        weight: weight.parse().ok()?,
        started_at: (since > 0).then(|| since.saturating_mul(1000)),
    })
}

/// The list as the store has it: the inventory's hosts, drained where a mark says so.
pub fn listing(store: &Store) -> Listing {
    let hosts = store.under(HOST).filter_map(|(name, text)| {
        let mut listed = host(name, text)?;
        if store.get(&format!("{DRAIN}{name}")).is_some() {
            listed.availability = Availability::Draining;
        }
        Some(listed)
    });
    Listing { index: store.version(), whole: true, entries: hosts.collect() }
}

/// What this daemon's own files say, each with when it was last changed.
#[derive(Clone, Debug, Default)]
pub struct Files {
    /// The settings of the operator's file.
    pub settings: Option<(String, Micros)>,
    /// The hosts of the inventory.
    pub hosts: Option<(Vec<Listed>, Micros)>,
}

/// Takes in what the files say, where the store has nothing newer.
pub fn take_files(store: &mut Store, files: &Files, now: Micros) {
    if let Some((settings, changed)) = &files.settings
        && is_newer(store, SETTINGS_FILE, *changed)
    {
        store.put(SETTINGS, Some(settings.clone()));
        store.put(SETTINGS_FILE, Some(changed.to_string()));
    }
    if let Some((hosts, changed)) = &files.hosts {
        take_inventory(store, hosts, *changed, now);
    }
}

/// Whether a key marks a drain.
pub fn is_drain(key: &str) -> bool {
    key.starts_with(DRAIN)
}

/// The list in words, a line for each host.
pub fn describe(store: &Store) -> String {
    let one = |e: &Listed| format!("{} {}", e.name, line(e));
    listing(store).entries.iter().map(one).collect::<Vec<_>>().join("\n")
}

/// Whether a file that was changed at `changed` is newer than what the store has.
fn is_newer(store: &Store, key: &str, changed: Micros) -> bool {
    store.get(key).and_then(|v| v.parse::<Micros>().ok()).is_none_or(|known| changed > known)
}

/// Takes in an inventory's hosts. One that is new to a list that is already in use starts cold, and so does
/// one that has moved: nobody has seen what it bears.
fn take_inventory(store: &mut Store, hosts: &[Listed], changed: Micros, now: Micros) {
    if !is_newer(store, FILE, changed) {
        return;
    }
    let running = store.was_set(FILE);
    for new in hosts {
        let key = format!("{HOST}{}", new.name);
        let old = store.get(&key).and_then(|text| host(&new.name, text));
        let known = old.as_ref().filter(|o| o.address == new.address);
        let started_at = match (new.started_at, known) {
            (Some(stated), _) => Some(stated),
            (None, Some(known)) => known.started_at,
            (None, None) => running.then_some(now),
        };
        store.put(&key, Some(line(&Listed { started_at, ..new.clone() })));
    }
    let gone: Vec<String> = store
        .under(HOST)
        .filter(|(name, _)| hosts.iter().all(|h| h.name != *name))
        .map(|(name, _)| name.to_string())
        .collect();
    for name in gone {
        store.put(&format!("{HOST}{name}"), None);
    }
    store.put(FILE, Some(changed.to_string()));
}

/// Takes in what discovery tells: a whole list, or what changed.
pub fn take_list(store: &mut Store, list: &Listing) {
    let gone =
        |name: &str| !list.entries.iter().any(|e| e.name == name && e.availability != Availability::Gone);
    let named = |name: &str| list.entries.iter().any(|e| e.name == name);
    let lost: Vec<String> = store
        .under(HOST)
        .filter(|(name, _)| gone(name) && (list.whole || named(name)))
        .map(|(name, _)| name.to_string())
        .collect();
    for name in lost {
        store.put(&format!("{HOST}{name}"), None);
    }
    for e in list.entries.iter().filter(|e| e.availability != Availability::Gone) {
        store.put(&format!("{HOST}{}", e.name), Some(line(e)));
    }
}

/// Marks a host as drained, or takes the mark away. False: the store knows no such host.
pub fn drain(store: &mut Store, name: &str, drained: bool) -> bool {
    let known = store.get(&format!("{HOST}{name}")).is_some();
    // A mark may be taken away from a host that is gone, not set on one that never was.
    if known || !drained {
        store.put(&format!("{DRAIN}{name}"), drained.then(|| "1".to_string()));
    }
    known
}

#[cfg(test)]
mod tests {
    use super::*;

    fn one(name: &str, port: u16) -> Listed {
        Listed {
            name: name.into(),
            address: ([127, 0, 0, 1], port).into(),
            zone: 0,
            group: 1,
            availability: Availability::Ready,
            primary: false,
            weight: 1.0,
            started_at: None,
        }
    }

    fn since(store: &Store) -> Vec<Option<Micros>> {
        listing(store).entries.iter().map(|e| e.started_at).collect()
    }

    /// Guards against a new host that gets its full share at once and falls over.
    #[test]
    fn a_host_new_to_a_running_inventory_starts_cold() {
        let mut store = Store::new("a".into(), true);
        take_inventory(&mut store, &[one("x", 1)], 10, 5_000_000);
        assert_eq!(since(&store), [None], "the first inventory is of hosts that run already");
        take_inventory(&mut store, &[one("x", 1), one("y", 2)], 20, 6_000_000);
        assert_eq!(since(&store), [None, Some(6_000_000)]);
        take_inventory(&mut store, &[one("x", 3), one("y", 2)], 30, 7_000_000);
        assert_eq!(since(&store), [Some(7_000_000), Some(6_000_000)], "one that moved is another process");
        take_inventory(&mut store, &[one("y", 2)], 40, 8_000_000);
        take_inventory(&mut store, &[one("x", 3), one("y", 2)], 50, 9_000_000);
        assert_eq!(since(&store), [Some(9_000_000), Some(6_000_000)], "one that comes back is new");
    }

    /// Guards against a daemon that starts with an old file and takes back what was edited elsewhere.
    #[test]
    fn an_older_file_changes_nothing() {
        let mut store = Store::new("a".into(), true);
        take_inventory(&mut store, &[one("x", 1), one("y", 2)], 20, 5_000_000);
        take_inventory(&mut store, &[one("x", 9)], 10, 6_000_000);
        let listed = listing(&store);
        assert_eq!(listed.entries, [one("x", 1), one("y", 2)]);
    }

    /// Guards against a change that is lost, or a host that stays, between discovery and the core.
    #[test]
    fn discovery_is_taken_in_whole_and_by_changes() {
        let mut store = Store::new("n0".into(), true);
        let told = |whole, entries| Listing { index: 1, whole, entries };
        take_list(&mut store, &told(true, vec![one("x", 1), one("y", 2)]));
        let leaving = Listed { availability: Availability::Draining, started_at: Some(7_000), ..one("x", 1) };
        take_list(&mut store, &told(false, vec![leaving.clone()]));
        assert_eq!(listing(&store).entries, [leaving.clone(), one("y", 2)]);
        take_list(&mut store, &told(false, vec![Listed { availability: Availability::Gone, ..one("y", 2) }]));
        assert_eq!(listing(&store).entries, [leaving]);
        take_list(&mut store, &told(true, vec![one("z", 3)]));
        assert_eq!(listing(&store).entries, [one("z", 3)]);
    }

    #[test]
    fn a_drain_mark_closes_a_host_and_outlives_a_reload() {
        let mut store = Store::new("a".into(), true);
        take_inventory(&mut store, &[one("x", 1)], 10, 5_000_000);
        assert!(!drain(&mut store, "z", true));
        assert!(drain(&mut store, "x", true));
        take_inventory(&mut store, &[one("x", 1)], 20, 6_000_000);
        assert_eq!(listing(&store).entries[0].availability, Availability::Draining);
        assert!(drain(&mut store, "x", false));
        assert_eq!(listing(&store).entries[0].availability, Availability::Ready);
    }
}
