//! The durable storage of one node: its identity, the consensus state, pending drains, and what peers and endpoints
//! have reported.
//!
//! A crash-safe embedded database (`redb`) holds two tables. `meta` has one value for each of the keys in `key`, `log` has
//! the entries by index. Each value has a checksum of its own, besides those of the database: see [`super::codec`].
//! Every write is synced before it counts.

mod identity;
mod open;

pub use identity::{FileId, IdentityResetReason, NodeIdentity, PersistedProgress};

use super::codec;
use super::error::{DamagedStore, StoreError};
use super::legacy::LegacyStore;
use super::raft_node::{RaftPersistentState, RaftWrite};
use super::records::{CompactionRecord, HardState, LogEntry, SnapshotRecord};
use super::state_machine::PendingDrain;
use crate::ids::NodeId;
use redb::backends::InMemoryBackend;
use redb::{
    Database, Durability, ReadTransaction, ReadableDatabase, ReadableTable, StorageBackend, Table,
    TableDefinition, WriteTransaction,
};
use serde::de::DeserializeOwned;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Values by key. The name is part of the stored format.
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// Entries of the log by index. The name is part of the stored format.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

/// The version of the stored format. A store of another version is set aside.
const FORMAT_VERSION: u32 = 1;

/// The database's page cache. A store is a few megabytes at most, and is read once, at the start.
const CACHE_BYTES: usize = 1 << 20;

/// The keys of the `meta` table. They are part of the stored format, and older than the names of what they hold.
mod key {
    /// [`super::FORMAT_VERSION`].
    pub const FORMAT: &str = "form";
    /// [`super::NodeIdentity`].
    pub const IDENTITY: &str = "identity";
    /// [`super::HardState`].
    pub const HARD_STATE: &str = "hard";
    /// [`super::SnapshotRecord`].
    pub const SNAPSHOT: &str = "snapshot";
    /// [`super::CompactionRecord`].
    pub const COMPACTED: &str = "dropped";
    /// The list of pending drains.
    pub const PENDING_DRAINS: &str = "marks";
    /// The furthest progress that each peer has reported.
    pub const REPORTED_PROGRESS: &str = "witnesses";
    /// What gossip has spread about endpoints, encoded by the fleet.
    pub const GOSSIP: &str = "learned";
}

/// What a node's storage held at the start.
#[derive(Clone, Debug, Default)]
pub struct StoreContents {
    /// The consensus state.
    pub raft: RaftPersistentState,
    /// Drains that were not committed yet.
    pub drains: Vec<PendingDrain>,
    /// The furthest progress that each peer has reported of itself.
    pub reported_progress: BTreeMap<NodeId, PersistedProgress>,
    /// What gossip had spread about endpoints, encoded by the fleet. It is only a first guess: a damaged value counts
    /// as absent.
    pub gossip: Option<Vec<u8>>,
    /// The contents of a store file of version 0.2.0, which this storage replaces.
    pub legacy: Option<LegacyStore>,
    /// Files that were set aside, for the log.
    pub notes: Vec<String>,
}

/// A node's storage and what it held.
pub struct OpenedStorage {
    /// The storage.
    pub storage: DurableStorage,
    /// What it held.
    pub contents: StoreContents,
}

/// The durable storage of one node.
pub struct DurableStorage {
    database: Database,
    /// `None`: the storage lasts as long as the process.
    path: Option<PathBuf>,
    /// Who the node is.
    pub identity: NodeIdentity,
    write_count: Cell<u64>,
}

/// A value of the `meta` table that the consensus does not need.
#[derive(Clone, Copy, Debug)]
pub enum NodeValue<'a> {
    /// Who the node is.
    Identity(&'a NodeIdentity),
    /// All pending drains.
    PendingDrains(&'a [PendingDrain]),
    /// The furthest progress that each peer has reported of itself.
    ReportedProgress(&'a BTreeMap<NodeId, PersistedProgress>),
    /// What gossip has spread about endpoints, encoded by the fleet.
    Gossip(&'a [u8]),
}

impl NodeValue<'_> {
    fn key(&self) -> &'static str {
        match self {
            NodeValue::Identity(_) => key::IDENTITY,
            NodeValue::PendingDrains(_) => key::PENDING_DRAINS,
            NodeValue::ReportedProgress(_) => key::REPORTED_PROGRESS,
            NodeValue::Gossip(_) => key::GOSSIP,
        }
    }

    fn encode(&self) -> Vec<u8> {
        match self {
            NodeValue::Identity(identity) => codec::encode(identity),
            NodeValue::PendingDrains(drains) => codec::encode(drains),
            NodeValue::ReportedProgress(progress) => codec::encode(progress),
            NodeValue::Gossip(bytes) => codec::encode(bytes),
        }
    }
}

impl DurableStorage {
    /// Opens a node's store file, or creates it.
    ///
    /// A damaged file, or a copy of another one, is set aside under another name, and the node starts as a new one. A
    /// store file of version 0.2.0 is read, set aside and replaced.
    ///
    /// # Errors
    ///
    /// No node can start with this path: another process has the file, or it cannot be accessed.
    pub fn open(path: &Path) -> Result<OpenedStorage, StoreError> {
        open::open(path)
    }

    /// Opens storage on any medium, or creates it there.
    ///
    /// # Errors
    ///
    /// The medium cannot be read or written, or what it holds is damaged.
    pub fn on_backend(backend: impl StorageBackend) -> Result<OpenedStorage, StoreError> {
        let mut builder = Database::builder();
        let database = builder.set_cache_size(CACHE_BYTES).create_with_backend(backend);
        let database = database.map_err(redb::Error::from)?;
        if let Some(stored) = read_store(&database)? {
            let storage =
                DurableStorage { database, path: None, identity: stored.identity, write_count: Cell::new(0) };
            return Ok(OpenedStorage { storage, contents: stored.contents });
        }
        let identity = create_store(&database)?;
        let storage = DurableStorage { database, path: None, identity, write_count: Cell::new(1) };
        Ok(OpenedStorage { storage, contents: StoreContents::default() })
    }

    /// Creates storage that lasts as long as the process.
    ///
    /// # Errors
    ///
    /// None in practice: memory can be read and written.
    pub fn in_memory() -> Result<OpenedStorage, StoreError> {
        DurableStorage::on_backend(InMemoryBackend::new())
    }

    /// Writes all of this or nothing, and returns when it is synced.
    ///
    /// # Errors
    ///
    /// The medium cannot be written. Whether the write took effect shows at the next start.
    pub fn write(&self, raft: &RaftWrite, values: &[NodeValue<'_>]) -> Result<(), StoreError> {
        let transaction = begin_synced_write(&self.database)?;
        {
            let mut meta = transaction.open_table(META).map_err(redb::Error::from)?;
            let mut log = transaction.open_table(LOG).map_err(redb::Error::from)?;
            write_raft(&mut meta, &mut log, raft)?;
            for value in values {
                insert(&mut meta, value.key(), &value.encode())?;
            }
        }
        self.write_count.set(self.write_count.get() + 1);
        transaction.commit().map_err(redb::Error::from)?;
        Ok(())
    }

    /// The number of writes since the start, each of them synced.
    pub fn write_count(&self) -> u64 {
        self.write_count.get()
    }

    /// Reads the consensus state again, as after a start.
    ///
    /// # Errors
    ///
    /// The medium cannot be read, or what it holds is damaged.
    pub fn read_raft_state(&self) -> Result<RaftPersistentState, StoreError> {
        let stored = read_store(&self.database)?;
        Ok(stored.map(|stored| stored.contents.raft).unwrap_or_default())
    }

    /// Gives up this identity: the file is set aside, and the storage returned is that of a new node.
    ///
    /// # Errors
    ///
    /// The file cannot be renamed, or a new one cannot be created.
    pub fn reset_identity(self, reason: IdentityResetReason) -> Result<DurableStorage, StoreError> {
        let DurableStorage { database, path, .. } = self;
        drop(database);
        let Some(path) = path else { return Ok(DurableStorage::in_memory()?.storage) };
        open::set_aside(&path, reason.file_suffix())?;
        Ok(DurableStorage::open(&path)?.storage)
    }
}

/// What a store holds that has been created before.
struct StoredNode {
    identity: NodeIdentity,
    contents: StoreContents,
}

/// Reads a store whole; `None`: it has not been created yet.
fn read_store(database: &Database) -> Result<Option<StoredNode>, DamagedStore> {
    let transaction = database.begin_read()?;
    let meta = match transaction.open_table(META) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    match read_value::<u32>(&meta, key::FORMAT)? {
        Some(FORMAT_VERSION) => {}
        Some(found) => return Err(DamagedStore::UnknownFormat { found, supported: FORMAT_VERSION }),
        None => return Ok(None),
    }
    let Some(identity) = read_value::<NodeIdentity>(&meta, key::IDENTITY)? else {
        return Err(DamagedStore::NoIdentity);
    };
    let compacted: CompactionRecord = read_value(&meta, key::COMPACTED)?.unwrap_or_default();
    let raft = RaftPersistentState {
        hard_state: read_value::<HardState>(&meta, key::HARD_STATE)?.unwrap_or_default(),
        snapshot: read_value::<SnapshotRecord>(&meta, key::SNAPSHOT)?.unwrap_or_default(),
        compacted: compacted.into(),
        entries: read_log(&transaction)?,
    };
    let contents = StoreContents {
        raft,
        drains: read_value(&meta, key::PENDING_DRAINS)?.unwrap_or_default(),
        reported_progress: read_value(&meta, key::REPORTED_PROGRESS)?.unwrap_or_default(),
        gossip: read_value(&meta, key::GOSSIP).ok().flatten(),
        ..StoreContents::default()
    };
    Ok(Some(StoredNode { identity, contents }))
}

/// Reads one value; `None`: there is none.
fn read_value<T: DeserializeOwned>(
    table: &impl ReadableTable<&'static str, &'static [u8]>,
    key: &'static str,
) -> Result<Option<T>, DamagedStore> {
    let Some(stored) = table.get(key)? else { return Ok(None) };
    match codec::decode(stored.value()) {
        Some(value) => Ok(Some(value)),
        None => Err(DamagedStore::Value { key }),
    }
}

fn read_log(transaction: &ReadTransaction) -> Result<Vec<LogEntry>, DamagedStore> {
    let mut entries = Vec::new();
    for row in transaction.open_table(LOG)?.iter()? {
        let (index, bytes) = row?;
        let index = index.value();
        match codec::decode::<LogEntry>(bytes.value()) {
            Some(entry) if entry.index == index => entries.push(entry),
            _ => return Err(DamagedStore::Entry { index }),
        }
    }
    Ok(entries)
}

/// Creates the tables, with the identity of a new node.
fn create_store(database: &Database) -> Result<NodeIdentity, redb::Error> {
    let identity = NodeIdentity { id: NodeId(fastrand::u64(1..)), boot_count: 1, file: FileId::default() };
    let transaction = begin_synced_write(database)?;
    {
        let mut meta = transaction.open_table(META)?;
        insert(&mut meta, key::FORMAT, &codec::encode(&FORMAT_VERSION))?;
        insert(&mut meta, key::IDENTITY, &codec::encode(&identity))?;
        transaction.open_table(LOG)?;
    }
    transaction.commit()?;
    Ok(identity)
}

fn begin_synced_write(database: &Database) -> Result<WriteTransaction, redb::Error> {
    let mut transaction = database.begin_write()?;
    transaction.set_durability(Durability::Immediate)?;
    Ok(transaction)
}

fn write_raft(
    meta: &mut Table<'_, &str, &[u8]>,
    log: &mut Table<'_, u64, &[u8]>,
    write: &RaftWrite,
) -> Result<(), redb::Error> {
    if let Some(hard_state) = &write.hard_state {
        insert(meta, key::HARD_STATE, &codec::encode(hard_state))?;
    }
    if let Some(snapshot) = &write.snapshot {
        insert(meta, key::SNAPSHOT, &codec::encode(snapshot))?;
    }
    if let Some(compacted) = write.compacted {
        insert(meta, key::COMPACTED, &codec::encode(&CompactionRecord::from(compacted)))?;
        log.retain_in(..=compacted.index, |_, _| false)?;
    }
    if let Some(first) = write.entries.first() {
        // The entries replace what an earlier leader had appended there.
        log.retain_in(first.index.., |_, _| false)?;
    }
    for entry in &write.entries {
        log.insert(entry.index, &codec::encode(entry)[..])?;
    }
    Ok(())
}

fn insert(meta: &mut Table<'_, &str, &[u8]>, key: &str, bytes: &[u8]) -> Result<(), redb::Error> {
    meta.insert(key, bytes)?;
    Ok(())
}

#[cfg(test)]
mod tests;
