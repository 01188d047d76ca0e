//! The endpoint list: maps endpoint names to the router's endpoint ids, and ids to addresses.
//!
//! An endpoint has the same name at every pooler, but its address may differ. The id is therefore derived from the
//! name, so that the router's hash ring of sorted ids is the same at all poolers and after every restart.

mod catalog;

pub use catalog::{CatalogChanges, EndpointCatalog};

use crate::routing::{Availability, EndpointEntry, EndpointId, GroupId, Timestamp, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// One endpoint of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// The endpoint's name, which is the same at every pooler.
    pub name: String,
    /// The address under which this pooler reaches it.
    pub address: SocketAddr,
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// The group whose data it holds.
    pub group: GroupId,
    /// Whether new requests may be sent to it.
    pub availability: Availability,
    /// Whether the list names it as the primary of its group.
    pub primary: bool,
    /// Its capacity relative to other endpoints.
    pub weight: f64,
    /// When it last started; `None` if the list has no start time.
    pub started_at: Option<Timestamp>,
}

/// Which endpoints of a list an [`EndpointUpdate`] contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListCoverage {
    /// All of them: an endpoint that is missing has left the list.
    Complete,
    /// Only those that have changed since the last update.
    Changes,
}

/// A whole list of endpoints, or changes to the last one.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// The version of the list; in a fleet, the index of the last applied log entry.
    pub version: u64,
    /// Which endpoints of the list `entries` contains.
    pub coverage: ListCoverage,
    /// The endpoints; one that was removed from the list has [`Availability::Gone`].
    pub entries: Vec<EndpointRecord>,
}

/// The current state of an endpoint, as the backend pool needs it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointState {
    /// The endpoint's name.
    pub name: String,
    /// The address under which this pooler reaches it.
    pub address: SocketAddr,
    /// The group whose data it holds. After a change, no request of the former group may be written to it.
    pub group: GroupId,
    /// Whether new attempts may be sent to it; false while it drains and after it has left the list.
    pub open: bool,
    /// When it last started; `None` if unknown. After a change, all earlier connections are dead.
    pub started_at: Option<Timestamp>,
    /// Whether it has left the list, so that all state about it can be dropped.
    pub gone: bool,
}

/// The effects of an update on the registry.
#[derive(Clone, Debug, Default)]
pub struct AppliedUpdate {
    /// The endpoints of the update, in the form that the router expects.
    pub entries: Vec<EndpointEntry>,
    /// The endpoints that are new or changed, or that are missing from a whole list.
    pub changed: Vec<EndpointState>,
    /// The endpoints that were in another group before.
    pub moved: Vec<EndpointId>,
}

/// Limits the number of groups that are stored. Beyond it, groups without an endpoint are removed.
const MAX_REMEMBERED_GROUPS: usize = 1024;

/// The engine's state of the endpoint list. An endpoint that has left the list is forgotten: endpoints are replaced all
/// the time, so memory use would otherwise grow without limit.
#[derive(Default)]
pub struct EndpointRegistry {
    /// Every group that a list has contained. A group without endpoints is kept, since it may get new ones.
    groups: BTreeSet<GroupId>,
    ids: BTreeMap<String, EndpointId>,
    assigned_ids: BTreeSet<EndpointId>,
    endpoints: BTreeMap<EndpointId, EndpointState>,
    entries: BTreeMap<EndpointId, EndpointEntry>,
}

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// One of the multipliers of the SplitMix64 finalizer (Steele, Lea, Flood: Fast Splittable Pseudorandom Number
/// Generators, 2014).
const SPLITMIX_MULTIPLIER: u64 = 0xbf58_476d_1ce4_e5b9;

/// Hashes a name to an id, by 64-bit FNV-1a over the name and, unless it is 0, the salt.
fn derive_id(name: &str, salt: u8) -> EndpointId {
    let mut hash = FNV_OFFSET_BASIS;
    for byte in name.bytes().chain((salt > 0).then_some(salt)) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    // In FNV-1a, the last bytes of the input affect only the low bits, so the bits are mixed before the hash is cut to
    // its six highest bytes.
    let bytes = (hash ^ (hash >> 29)).wrapping_mul(SPLITMIX_MULTIPLIER).to_be_bytes();
    EndpointId {
        ip: [bytes[0], bytes[1], bytes[2], bytes[3]],
        port: u16::from_be_bytes([bytes[4], bytes[5]]),
    }
}

/// The id of a name, assuming that no other name with the same hash was registered before it.
pub fn id_of(name: &str) -> EndpointId {
    derive_id(name, 0)
}

impl EndpointRegistry {
    /// Registers a name, unless it is registered already, and returns its id. If another name has the same hash, the
    /// new name gets a different id.
    pub fn register(&mut self, name: &str) -> EndpointId {
        self.register_with_hash(name, derive_id)
    }

    /// The id of a registered name; `None` if the name is not registered.
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.ids.get(name).copied()
    }

    /// Like [`EndpointRegistry::register`], with `derive` as the hash function of name and salt.
    fn register_with_hash(&mut self, name: &str, derive: impl Fn(&str, u8) -> EndpointId) -> EndpointId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let preferred = derive(name, 0);
        let free = (0..=u8::MAX).map(|salt| derive(name, salt)).find(|id| !self.assigned_ids.contains(id));
        let id = free.unwrap_or(preferred);
        if id != preferred {
            log::warn!(
                "endpoint {name}: id collides with another endpoint; the ring may differ between poolers"
            );
        }
        self.ids.insert(name.to_string(), id);
        self.assigned_ids.insert(id);
        id
    }

    /// Applies an update of the list and returns its effects.
    pub fn apply(&mut self, update: &EndpointUpdate) -> AppliedUpdate {
        let mut applied = AppliedUpdate::default();
        for record in &update.entries {
            self.apply_record(record, &mut applied);
        }
        if update.coverage == ListCoverage::Complete {
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
        let id = self.register(&record.name);
        let endpoint = EndpointState {
            name: record.name.clone(),
            address: record.address,
            group: record.group,
            open: record.availability == Availability::Ready,
            started_at: record.started_at,
            gone: record.availability == Availability::Gone,
        };
        let known = self.endpoints.get(&id);
        if known.is_some_and(|known| known.group != endpoint.group) {
            applied.moved.push(id);
        }
        if known != Some(&endpoint) {
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

    /// Marks every endpoint that is missing from a whole list as closed and gone.
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

    /// The endpoint with this id; `None` if it is not on the list.
    pub fn get(&self, id: EndpointId) -> Option<&EndpointState> {
        self.endpoints.get(&id)
    }

    /// Whether any list has contained the group, so that its requests can be served. True for every group before the
    /// first list.
    pub fn knows_group(&self, group: GroupId) -> bool {
        self.groups.is_empty() || self.groups.contains(&group)
    }

    /// The whole list, in the form that the router expects.
    pub fn entries(&self) -> Vec<EndpointEntry> {
        self.entries.values().copied().collect()
    }
}

#[cfg(test)]
impl EndpointRecord {
    /// A replica in service, with default values. For tests.
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
