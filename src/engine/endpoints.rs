//! The endpoint list: endpoint names to the router's ids, ids to addresses.
//!
//! An endpoint has the same name at every pooler while its address may differ, so the id is derived from the name:
//! the router's ring of sorted ids is then the same at all poolers and after every restart.

use crate::routing::{Availability, EndpointEntry, EndpointId, GroupId, Timestamp, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// One endpoint of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// The endpoint's name.
    pub name: String,
    /// Where it listens for this pooler.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Its group.
    pub group: GroupId,
    /// Whether to use it.
    pub availability: Availability,
    /// The list names it the primary of its group.
    pub primary: bool,
    /// Its capacity relative to other endpoints.
    pub weight: f64,
    /// When it last started; `None` where the list does not say.
    pub started_at: Option<Timestamp>,
}

/// A list of endpoints, or changes to the last one.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// Its version.
    pub index: u64,
    /// Whether it is the whole list; otherwise only endpoints that changed.
    pub whole: bool,
    /// The endpoints.
    pub entries: Vec<EndpointRecord>,
}

/// The whole list as discovery last reported it, assembled from whole lists and changes.
#[derive(Clone, Debug, Default)]
pub struct EndpointCatalog {
    endpoints: BTreeMap<String, EndpointRecord>,
    version: u64,
}

impl EndpointCatalog {
    /// Applies an update from discovery.
    pub fn take(&mut self, update: &EndpointUpdate) {
        let replaced = update.whole.then(|| std::mem::take(&mut self.endpoints));
        for record in &update.entries {
            if record.availability == Availability::Gone {
                self.endpoints.remove(&record.name);
            } else {
                self.endpoints.insert(record.name.clone(), record.clone());
            }
        }
        if replaced.is_none_or(|replaced| replaced != self.endpoints) {
            self.version += 1;
        }
    }

    /// The whole list.
    pub fn listing(&self) -> EndpointUpdate {
        let entries = self.endpoints.values().cloned().collect();
        EndpointUpdate { index: self.version, whole: true, entries }
    }
}

/// What the backend pool needs to know of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointChange {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// New attempts may be sent to it.
    pub open: bool,
    /// When it last started; a change means that connections from before are dead.
    pub started_at: Option<Timestamp>,
    /// It is no longer on the list: nothing about it need be kept.
    pub gone: bool,
}

/// What an update changed.
#[derive(Clone, Debug, Default)]
pub struct AppliedUpdate {
    /// The endpoints of the update, as the router takes them.
    pub entries: Vec<EndpointEntry>,
    /// The endpoints that are new or changed, or that a whole list no longer names.
    pub changed: Vec<EndpointChange>,
}

/// Bounds the memory of group numbers: beyond this many, groups without an endpoint are forgotten.
const MAX_REMEMBERED_GROUPS: usize = 1024;

/// The endpoints of the list as the engine holds them. An endpoint that has gone is forgotten, since endpoints are
/// replaced for as long as the process runs.
#[derive(Default)]
pub struct EndpointRegistry {
    /// Every group that a list has named: one without endpoints may get new ones.
    groups: BTreeSet<GroupId>,
    ids: BTreeMap<String, EndpointId>,
    assigned_ids: BTreeSet<EndpointId>,
    endpoints: BTreeMap<EndpointId, EndpointChange>,
    entries: BTreeMap<EndpointId, EndpointEntry>,
}

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// A multiplier of the SplitMix64 finalizer (Steele, Lea, Flood: Fast Splittable Pseudorandom Number Generators, 2014).
const SPLITMIX_MULTIPLIER: u64 = 0xbf58_476d_1ce4_e5b9;

/// Hashes a name to an id: 64-bit FNV-1a over the name and, unless it is 0, the salt.
fn derive_id(name: &str, salt: u8) -> EndpointId {
    let mut hash = FNV_OFFSET_BASIS;
    for byte in name.bytes().chain((salt > 0).then_some(salt)) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    // The last bytes hashed affect only the low bits of FNV-1a: mix before the hash is cut to six bytes.
    let bytes = (hash ^ (hash >> 29)).wrapping_mul(SPLITMIX_MULTIPLIER).to_be_bytes();
    EndpointId {
        ip: [bytes[0], bytes[1], bytes[2], bytes[3]],
        port: u16::from_be_bytes([bytes[4], bytes[5]]),
    }
}

/// The id that a name has unless another name with the same id was registered before it.
pub fn id_of(name: &str) -> EndpointId {
    derive_id(name, 0)
}

impl EndpointRegistry {
    /// The id of a name, which is registered if it is new. A second name that hashes to an id already assigned gets
    /// another one.
    pub fn id(&mut self, name: &str) -> EndpointId {
        self.id_with(name, derive_id)
    }

    /// The id of a registered name.
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.ids.get(name).copied()
    }

    /// As [`EndpointRegistry::id`], with another hash.
    fn id_with(&mut self, name: &str, derive: impl Fn(&str, u8) -> EndpointId) -> EndpointId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let preferred = derive(name, 0);
        let free = (0..=u8::MAX).map(|salt| derive(name, salt)).find(|id| !self.assigned_ids.contains(id));
        let id = free.unwrap_or(preferred);
        if id != preferred {
            log::warn!(
                "endpoint {name}: its id is assigned to another name; the ring may differ between poolers"
            );
        }
        self.ids.insert(name.to_string(), id);
        self.assigned_ids.insert(id);
        id
    }

    /// Applies an update of the list.
    pub fn apply(&mut self, update: &EndpointUpdate) -> AppliedUpdate {
        let mut applied = AppliedUpdate::default();
        for record in &update.entries {
            self.apply_record(record, &mut applied);
        }
        if update.whole {
            self.close_unlisted(&mut applied);
        }
        for endpoint in applied.changed.iter().filter(|endpoint| endpoint.gone) {
            self.forget(&endpoint.name);
        }
        if self.groups.len() > MAX_REMEMBERED_GROUPS {
            self.groups = self.entries.values().map(|entry| entry.group).collect();
        }
        applied
    }

    fn apply_record(&mut self, record: &EndpointRecord, applied: &mut AppliedUpdate) {
        let id = self.id(&record.name);
        let endpoint = EndpointChange {
            name: record.name.clone(),
            address: record.address,
            open: record.availability == Availability::Ready,
            started_at: record.started_at,
            gone: record.availability == Availability::Gone,
        };
        if self.endpoints.get(&id) != Some(&endpoint) {
            applied.changed.push(endpoint.clone());
            self.endpoints.insert(id, endpoint);
        }
        let entry = EndpointEntry {
            endpoint: id,
            zone: record.zone,
            group: record.group,
            availability: record.availability,
            primary: record.primary,
            capacity_units: record.weight,
            started_at: record.started_at,
        };
        self.groups.insert(record.group);
        self.entries.insert(id, entry);
        applied.entries.push(entry);
    }

    /// Marks every endpoint as gone that a whole list does not name.
    fn close_unlisted(&mut self, applied: &mut AppliedUpdate) {
        let listed: BTreeSet<EndpointId> = applied.entries.iter().map(|entry| entry.endpoint).collect();
        for (id, endpoint) in &mut self.endpoints {
            if !listed.contains(id) {
                endpoint.open = false;
                endpoint.gone = true;
                applied.changed.push(endpoint.clone());
            }
        }
    }

    fn forget(&mut self, name: &str) {
        if let Some(id) = self.ids.remove(name) {
            self.assigned_ids.remove(&id);
            self.endpoints.remove(&id);
            self.entries.remove(&id);
        }
    }

    /// The endpoint with this id.
    pub fn get(&self, id: EndpointId) -> Option<&EndpointChange> {
        self.endpoints.get(&id)
    }

    /// Whether requests for a group can be served: false only where a list is known and has never named the group.
    pub fn knows_group(&self, group: GroupId) -> bool {
        self.groups.is_empty() || self.groups.contains(&group)
    }

    /// The whole list as the router takes it.
    pub fn entries(&self) -> Vec<EndpointEntry> {
        self.entries.values().copied().collect()
    }
}

#[cfg(test)]
impl EndpointRecord {
    /// A replica in service with default values, for tests.
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
