//! The durable storage of one node: its identity, the consensus state, pending drains, the progress that peers have
//! reported, and gossip about endpoints.
//!
//! The storage is a crash-safe embedded database (`redb`) with two tables: `meta` has one value for each key in the
//! module `key`, and `log` has the log entries by index. Each value has its own checksum in addition to those of the
//! database; see [`super::codec`]. Every write is synced before it is reported as done.

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

/// The table of single values by key. Its name is part of the stored format.
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// The table of log entries by index. Its name is part of the stored format.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

/// The version of the stored format. A store of another version is renamed and replaced by a new one.
const FORMAT_VERSION: u32 = 1;

/// Size of the database's page cache. It can be small, since a store is at most a few megabytes large and is normally
/// read only once, at the start.
const CACHE_BYTES: usize = 1 << 20;

/// The keys of the `meta` table. They are part of the stored format and keep their values; the names of the constants
/// are newer.
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
    /// The list of [`super::PendingDrain`].
    pub const PENDING_DRAINS: &str = "marks";
    /// The furthest [`super::PersistedProgress`] that each peer has reported, by node.
    pub const REPORTED_PROGRESS: &str = "witnesses";
    /// The gossip about endpoints, as bytes that the fleet encodes.
    pub const GOSSIP: &str = "learned";
}

/// The contents of a node's storage at startup.
#[derive(Clone, Debug, Default)]
pub struct StoreContents {
    /// The consensus state; the default if the storage is new.
    pub raft: RaftPersistentState,
    /// The pending drains as last written: requests that were not known to be committed.
    pub drains: Vec<PendingDrain>,
    /// The furthest progress that each peer has reported for itself.
    pub reported_progress: BTreeMap<NodeId, PersistedProgress>,
    /// The gossip about endpoints, as bytes that the fleet encodes. It is used for first guesses only, so a damaged
    /// value is treated as absent.
    pub gossip: Option<Vec<u8>>,
    /// The contents of a store file of version 0.2.0 that this storage has replaced.
    pub legacy: Option<LegacyStore>,
    /// A log message for each file that was renamed because it was damaged or of version 0.2.0.
    pub warnings: Vec<String>,
}

/// A node's storage, and its contents when it was opened.
pub struct OpenedStorage {
    /// The storage, ready for further reads and writes.
    pub storage: DurableStorage,
    /// What the storage contained.
    pub contents: StoreContents,
}

/// The durable storage of one node. Only one process can have a store file open.
pub struct DurableStorage {
    database: Database,
    /// The store file; `None` if the storage is in memory.
    path: Option<PathBuf>,
    /// The identity of the node.
    pub identity: NodeIdentity,
    write_count: Cell<u64>,
}

/// A value of the `meta` table that is not part of the consensus state.
#[derive(Clone, Copy, Debug)]
pub enum NodeValue<'a> {
    /// The identity of the node.
    Identity(&'a NodeIdentity),
    /// The complete list of pending drains.
    PendingDrains(&'a [PendingDrain]),
    /// The furthest progress that each peer has reported for itself.
    ReportedProgress(&'a BTreeMap<NodeId, PersistedProgress>),
    /// The gossip about endpoints, as bytes that the fleet encodes.
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
    /// A damaged file, or a copy of another file, is renamed, and the node starts with a new identity. A store file of
    /// version 0.2.0 is imported, renamed and replaced.
    ///
    /// # Errors
    ///
    /// The file is in use by another process, or cannot be read, renamed, created or written.
    pub fn open(path: &Path) -> Result<OpenedStorage, StoreError> {
        open::open(path)
    }

    /// Opens storage on any backend of the database, or creates it there.
    ///
    /// # Errors
    ///
    /// The backend cannot be read or written, or the stored data is damaged.
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

    /// Creates storage in memory. It is lost when the process ends.
    ///
    /// # Errors
    ///
    /// None in practice, since reads and writes of memory do not fail.
    pub fn in_memory() -> Result<OpenedStorage, StoreError> {
        DurableStorage::on_backend(InMemoryBackend::new())
    }

    /// Writes `raft` and `values` in one transaction, and returns once it is synced.
    ///
    /// # Errors
    ///
    /// The backend cannot be written. It is unknown until the next start whether the write took effect.
    pub fn write(&self, raft: &RaftWrite, values: &[NodeValue<'_>]) -> Result<(), StoreError> {
        let transaction = begin_synced_write(&self.database)?;
        {
            let mut meta = transaction.open_table(META).map_err(redb::Error::from)?;
            let mut log = transaction.open_table(LOG).map_err(redb::Error::from)?;
            write_raft_tables(&mut meta, &mut log, raft)?;
            for value in values {
                insert(&mut meta, value.key(), &value.encode())?;
            }
        }
        self.write_count.set(self.write_count.get() + 1);
        transaction.commit().map_err(redb::Error::from)?;
        Ok(())
    }

    /// The number of synced writes since the storage was opened.
    pub fn write_count(&self) -> u64 {
        self.write_count.get()
    }

    /// Reads the consensus state, as at startup.
    ///
    /// # Errors
    ///
    /// The backend cannot be read, or the stored data is damaged.
    pub fn read_raft_state(&self) -> Result<RaftPersistentState, StoreError> {
        let stored = read_store(&self.database)?;
        Ok(stored.map(|stored| stored.contents.raft).unwrap_or_default())
    }

    /// Discards the node's identity: renames the file, and returns the storage of a new node.
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

/// The data of an existing store.
struct StoredNode {
    identity: NodeIdentity,
    contents: StoreContents,
}

/// Reads all data of a store. Returns `None` if the database has no store yet.
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

/// Reads a value of the `meta` table. Returns `None` if the key is absent.
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

/// Creates the tables, and writes the identity of a new node.
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

fn write_raft_tables(
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
        // The entries replace uncommitted ones of an earlier leader.
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
