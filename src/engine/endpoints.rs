//! Who the hosts are: names to the module's ids, ids to addresses.
//!
//! A host's name is the same at every pooler while its address is not, so the id is derived from the name:
//! the module's ring of sorted ids then agrees across poolers and restarts.

use crate::routing::{Availability, EndpointEntry, EndpointId, GroupId, ListKind, Timestamp, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A line of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// The host's name.
    pub name: String,
    /// Where it listens for this pooler.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Its group.
    pub group: GroupId,
    /// Whether to use it.
    pub availability: Availability,
    /// The list takes it for the primary of its group.
    pub primary: bool,
    /// Its size against others.
    pub weight: f64,
    /// When it last started.
    pub started_at: Option<Timestamp>,
}

/// A list, or what changed in it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// Its version.
    pub index: u64,
    /// Whether it is the whole list.
    pub whole: bool,
    /// Its lines.
    pub entries: Vec<EndpointRecord>,
}

/// The hosts as discovery last told them, of whole lists and of changes.
#[derive(Clone, Debug, Default)]
pub struct EndpointCatalog {
    hosts: BTreeMap<String, EndpointRecord>,
    version: u64,
}

impl EndpointCatalog {
    /// Takes in what discovery tells.
    pub fn take(&mut self, list: &EndpointUpdate) {
        let before = list.whole.then(|| std::mem::take(&mut self.hosts));
        for e in &list.entries {
            match e.availability {
                Availability::Gone => drop(self.hosts.remove(&e.name)),
                _ => drop(self.hosts.insert(e.name.clone(), e.clone())),
            }
        }
        self.version += u64::from(before.is_none_or(|before| before != self.hosts));
    }

    /// The whole list.
    pub fn listing(&self) -> EndpointUpdate {
        EndpointUpdate { index: self.version, whole: true, entries: self.hosts.values().cloned().collect() }
    }
}

/// What the host side needs to know of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointChange {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// New work may go there.
    pub open: bool,
    /// When it last started; a change means that old connections are dead.
    pub started_at: Option<Timestamp>,
    /// No list names it any more: nothing of it need be kept.
    pub gone: bool,
}

/// Groups that are remembered though no host of theirs is left.
const GROUPS: usize = 1024;

/// The hosts of the list. One that is gone is forgotten: hosts are replaced for as long as the program runs.
#[derive(Default)]
pub struct EndpointRegistry {
    /// Every group that a list has named: one that has lost all its hosts may get others.
    groups: BTreeSet<GroupId>,
    ids: BTreeMap<String, EndpointId>,
    taken: BTreeSet<EndpointId>,
    hosts: BTreeMap<EndpointId, EndpointChange>,
    entries: BTreeMap<EndpointId, EndpointEntry>,
}

fn fold(name: &str, salt: u8) -> EndpointId {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
    let hash = name.bytes().chain((salt > 0).then_some(salt)).fold(0xcbf2_9ce4_8422_2325, step);
    // The last bytes read stir only the low bits of this hash: mix it before it is cut to six bytes.
    let b = (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9).to_be_bytes();
    EndpointId { ip: [b[0], b[1], b[2], b[3]], port: u16::from_be_bytes([b[4], b[5]]) }
}

/// The id that a name has wherever no other name has taken it.
pub fn id_of(name: &str) -> EndpointId {
    fold(name, 0)
}

impl EndpointRegistry {
    /// The id of a name; a second name that folds to the same id gets another one.
    pub fn id(&mut self, name: &str) -> EndpointId {
        self.id_from(name, fold)
    }

    /// The id of a name that a list has named.
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.ids.get(name).copied()
    }

    fn id_from(&mut self, name: &str, fold: impl Fn(&str, u8) -> EndpointId) -> EndpointId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = (0..=u8::MAX).map(|salt| fold(name, salt)).find(|id| !self.taken.contains(id));
        let id = id.unwrap_or_else(|| fold(name, 0));
        if id != fold(name, 0) {
            log::warn!("host {name}: its id is taken by another name; the ring may differ between poolers");
        }
        self.ids.insert(name.to_string(), id);
        self.taken.insert(id);
        id
    }

    /// Takes in a list: what the module is told, and the hosts that changed.
    pub fn apply(
        &mut self,
        list: &EndpointUpdate,
        cached: bool,
    ) -> (ListKind, Vec<EndpointEntry>, Vec<EndpointChange>) {
        let mut changed = Vec::new();
        let mut entries = Vec::new();
        for e in &list.entries {
            let endpoint = self.id(&e.name);
            let host = EndpointChange {
                name: e.name.clone(),
                address: e.address,
                open: e.availability == Availability::Ready,
                started_at: e.started_at,
                gone: e.availability == Availability::Gone,
            };
            self.groups.insert(e.group);
            if self.hosts.get(&endpoint) != Some(&host) {
                changed.push(host.clone());
                self.hosts.insert(endpoint, host);
            }
            let entry = EndpointEntry {
                endpoint,
                zone: e.zone,
                group: e.group,
                availability: e.availability,
                primary: e.primary,
                units: e.weight,
                started_at: e.started_at,
            };
            self.entries.insert(endpoint, entry);
            entries.push(entry);
        }
        if list.whole {
            let named: BTreeSet<EndpointId> = entries.iter().map(|e| e.endpoint).collect();
            for host in self.hosts.iter_mut().filter(|(id, _)| !named.contains(id)).map(|(_, host)| host) {
                (host.open, host.gone) = (false, true);
                changed.push(host.clone());
            }
        }
        for host in changed.iter().filter(|h| h.gone) {
            if let Some(id) = self.ids.remove(&host.name) {
                self.taken.remove(&id);
                self.hosts.remove(&id);
                self.entries.remove(&id);
            }
        }
        if self.groups.len() > GROUPS {
            self.groups = self.entries.values().map(|e| e.group).collect();
        }
        let kind = match (cached, list.whole) {
            (true, _) => ListKind::Cached,
            (false, true) => ListKind::Full,
            (false, false) => ListKind::Delta,
        };
        (kind, entries, changed)
    }

    /// The host behind an id.
    pub fn host(&self, id: EndpointId) -> Option<&EndpointChange> {
        self.hosts.get(&id)
    }

    /// Whether a group can be served: false only where a list is known and names no such group.
    pub fn knows_group(&self, group: GroupId) -> bool {
        self.groups.is_empty() || self.groups.contains(&group)
    }

    /// The whole list as it is held now.
    pub fn entries(&self) -> Vec<EndpointEntry> {
        self.entries.values().copied().collect()
    }
}

#[cfg(test)]
impl EndpointRecord {
    /// A host in service as any other, for tests.
    pub fn plain(name: &str) -> EndpointRecord {
        EndpointRecord {
            name: name.into(),
            address: ([127, 0, 0, 1], 5432).into(),
            zone: ZoneId(0),
            group: GroupId(1),
            availability: Availability::Ready,
            primary: false,
            weight: 1.0,
            started_at: None,
        }
    }
}

#[cfg(test)]
mod tests;
