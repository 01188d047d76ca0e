//! What a daemon keeps on its disk: its identity, the log, a state, drains that are not agreed yet, and what the
//! others once said. A crash-safe library (`redb`) keeps it; every value has a check sum of its own.

use super::codec;
use super::legacy;
use super::raft_node::{RaftPersistentState, RaftWrite};
use super::records::{CompactionRecord, HardState, LogEntry, SnapshotRecord};
use super::state_machine::PendingDrain;
use crate::ids::NodeId;
use redb::backends::InMemoryBackend;
use redb::{Database, Durability, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fs;
use std::os::unix::fs::MetadataExt;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

mod identity;

pub use identity::{FileId, IdentityResetReason, NodeIdentity, PersistedProgress};

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

/// The form of what is kept.
const FORMAT_VERSION: u32 = 1;

/// Memory that the library may keep of the file.
const CACHE: usize = 1 << 20;

/// What the disk held at the start.
#[derive(Clone, Debug, Default)]
pub struct StoreContents {
    /// The agreement.
    pub raft: RaftPersistentState,
    /// Drains that were not agreed.
    pub drains: Vec<PendingDrain>,
    /// What the others said.
    pub reported_progress: BTreeMap<NodeId, PersistedProgress>,
    /// What was learned of the hosts, as the fleet wrote it; soft, so one that is damaged is not there.
    pub gossip: Option<Vec<u8>>,
    /// A store of the form before this one, taken over.
    pub legacy: Option<legacy::LegacyStore>,
    /// What was found and set aside, for the log.
    pub notes: Vec<String>,
}

/// A daemon's disk.
pub struct DurableStorage {
    db: Database,
    path: Option<PathBuf>,
    /// Who this daemon is.
    pub identity: NodeIdentity,
    /// Writes since the start, each synced before it counts.
    pub write_count: Cell<u64>,
}

fn text(e: impl std::fmt::Display) -> String {
    e.to_string()
}

/// Reads one value; an error where it is there and not whole.
fn value<T: DeserializeOwned>(
    table: &impl ReadableTable<&'static str, &'static [u8]>,
    key: &str,
) -> Result<Option<T>, String> {
    let Some(found) = table.get(key).map_err(text)? else { return Ok(None) };
    codec::decode(found.value()).map(Some).ok_or_else(|| format!("{key} is damaged"))
}

fn read(db: &Database) -> Result<Option<(NodeIdentity, StoreContents)>, String> {
    let reading = db.begin_read().map_err(text)?;
    let meta = match reading.open_table(META) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(e) => return Err(text(e)),
    };
    match value::<u32>(&meta, "form")? {
        Some(FORMAT_VERSION) => {}
        Some(other) => return Err(format!("a store of form {other}, not {FORMAT_VERSION}")),
        None => return Ok(None),
    }
    let Some(identity) = value::<NodeIdentity>(&meta, "identity")? else { return Err("no identity".into()) };
    let mut image = RaftPersistentState {
        hard_state: value::<HardState>(&meta, "hard")?.unwrap_or_default(),
        snapshot: value::<SnapshotRecord>(&meta, "snapshot")?.unwrap_or_default(),
        compacted: value::<CompactionRecord>(&meta, "dropped")?.unwrap_or_default().into(),
        entries: Vec::new(),
    };
    for row in reading.open_table(LOG).map_err(text)?.iter().map_err(text)? {
        let (index, bytes) = row.map_err(text)?;
        let entry: Option<LogEntry> = codec::decode(bytes.value());
        let entry = entry.filter(|e| e.index == index.value());
        image.entries.push(entry.ok_or_else(|| format!("entry {} is damaged", index.value()))?);
    }
    let marks = value(&meta, "marks")?.unwrap_or_default();
    let witnesses = value(&meta, "witnesses")?.unwrap_or_default();
    let learned = value(&meta, "learned").ok().flatten();
    Ok(Some((
        identity,
        StoreContents {
            raft: image,
            drains: marks,
            reported_progress: witnesses,
            gossip: learned,
            ..StoreContents::default()
        },
    )))
}

/// A file under another name beside it, free to take.
fn aside(path: &Path, why: &str) -> PathBuf {
    let name = |n: usize| {
        let mut name = path.as_os_str().to_owned();
        name.push(if n == 0 { format!(".{why}") } else { format!(".{why}-{n}") });
        PathBuf::from(name)
    };
    (0..).map(name).find(|p| !p.exists()).unwrap_or_default()
}

fn set_aside(path: &Path, why: &str) -> Result<PathBuf, String> {
    let to = aside(path, why);
    fs::rename(path, &to).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(to)
}

fn place(path: &Path) -> Result<FileId, String> {
    let meta = fs::metadata(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(FileId { device: meta.dev(), inode: meta.ino() })
}

impl DurableStorage {
    /// Opens a daemon's file. One that is damaged, or a copy, is set aside under another name, and the daemon is
    /// a new one; a store of the form before is read once. Errors are what no daemon can start with.
    pub fn open(path: &Path) -> Result<(DurableStorage, StoreContents), String> {
        let fault = |e: String| format!("{}: {e}", path.display());
        let mut notes = Vec::new();
        let mut legacy = None;
        if path.exists() {
            let start = fs::read(path).map_err(|e| fault(text(e)))?;
            if start.starts_with(legacy::HEADER.as_bytes()) {
                let old = String::from_utf8(start).map_err(text).and_then(|t| legacy::parse(&t));
                let to = set_aside(path, if old.is_ok() { "old" } else { "damaged" })?;
                notes.push(match &old {
                    Ok(_) => format!(
                        "{}: a store of the old form, taken over; now {}",
                        path.display(),
                        to.display()
                    ),
                    Err(e) => format!("{}: {e}; set aside as {}", path.display(), to.display()),
                });
                legacy = old.ok();
            }
        }
        let opened = catch_unwind(AssertUnwindSafe(|| {
            let db = Database::builder().set_cache_size(CACHE).create(path);
            let db = db.map_err(|e| match e {
                redb::DatabaseError::DatabaseAlreadyOpen => Err("another process has it".to_string()),
                redb::DatabaseError::Storage(redb::StorageError::Io(e))
                    if !matches!(
                        e.kind(),
                        std::io::ErrorKind::InvalidData | std::io::ErrorKind::UnexpectedEof
                    ) =>
                {
                    Err(text(e))
                }
                e => Ok(text(e)),
            })?;
            let held = read(&db).map_err(Ok)?;
            Ok::<_, Result<String, String>>((db, held))
        }));
        let damage = match opened {
            Ok(Ok((db, Some((identity, mut held))))) => {
                if place(path)? == identity.file {
                    held.notes = notes;
                    let mut disk = DurableStorage {
                        db,
                        path: Some(path.to_path_buf()),
                        identity,
                        write_count: Cell::new(0),
                    };
                    disk.identity.boot_count += 1;
                    disk.put("identity", &disk.identity).map_err(fault)?;
                    return Ok((disk, held));
                }
                "it is a copy of another file".to_string()
            }
            Ok(Ok((db, None))) => {
                let mut disk = DurableStorage::fresh(db, Some(path.to_path_buf())).map_err(fault)?;
                disk.identity.file = place(path)?;
                disk.put("identity", &disk.identity).map_err(fault)?;
                return Ok((disk, StoreContents { legacy, notes, ..StoreContents::default() }));
            }
            Ok(Err(Err(fatal))) => return Err(fault(fatal)),
            Ok(Err(Ok(damage))) => damage,
            Err(_) => "it cannot be read".to_string(),
        };
        let to = set_aside(path, "damaged")?;
        let (disk, mut held) = DurableStorage::open(path)?;
        notes.push(format!("{}: {damage}; set aside as {}", path.display(), to.display()));
        held.notes = notes;
        Ok((disk, held))
    }

    /// A disk on anything that stores bytes.
    pub fn on_backend(backend: impl StorageBackend) -> Result<(DurableStorage, StoreContents), String> {
        let db = Database::builder().set_cache_size(CACHE).create_with_backend(backend).map_err(text)?;
        if let Some((identity, held)) = read(&db)? {
            return Ok((DurableStorage { db, path: None, identity, write_count: Cell::new(0) }, held));
        }
        Ok((DurableStorage::fresh(db, None)?, StoreContents::default()))
    }

    /// A disk that lasts as long as the process.
    pub fn in_memory() -> Result<(DurableStorage, StoreContents), String> {
        DurableStorage::on_backend(InMemoryBackend::new())
    }

    fn fresh(db: Database, path: Option<PathBuf>) -> Result<DurableStorage, String> {
        let identity =
            NodeIdentity { id: NodeId(fastrand::u64(1..)), boot_count: 1, file: FileId::default() };
        let mut writing = db.begin_write().map_err(text)?;
        writing.set_durability(Durability::Immediate).map_err(text)?;
        {
            let mut meta = writing.open_table(META).map_err(text)?;
            meta.insert("form", &codec::encode(&FORMAT_VERSION)[..]).map_err(text)?;
            meta.insert("identity", &codec::encode(&identity)[..]).map_err(text)?;
            writing.open_table(LOG).map_err(text)?;
        }
        writing.commit().map_err(text)?;
        Ok(DurableStorage { db, path, identity, write_count: Cell::new(1) })
    }

    fn put<T: Serialize>(&self, key: &str, value: &T) -> Result<(), String> {
        self.write(&RaftWrite::default(), &[(key, codec::encode(value))])
    }

    /// Writes all of this or nothing, and comes back when it is on the disk.
    pub fn write(&self, write: &RaftWrite, more: &[(&str, Vec<u8>)]) -> Result<(), String> {
        let mut writing = self.db.begin_write().map_err(text)?;
        writing.set_durability(Durability::Immediate).map_err(text)?;
        {
            let mut meta = writing.open_table(META).map_err(text)?;
            let mut log = writing.open_table(LOG).map_err(text)?;
            if let Some(hard) = &write.hard_state {
                meta.insert("hard", &codec::encode(hard)[..]).map_err(text)?;
            }
            if let Some(snapshot) = &write.snapshot {
                meta.insert("snapshot", &codec::encode(snapshot)[..]).map_err(text)?;
            }
            if let Some(compacted) = write.compacted {
                let record = CompactionRecord::from(compacted);
                meta.insert("dropped", &codec::encode(&record)[..]).map_err(text)?;
                log.retain_in(..=compacted.index, |_, _| false).map_err(text)?;
            }
            if let Some(first) = write.entries.first() {
                log.retain_in(first.index.., |_, _| false).map_err(text)?;
            }
            for entry in &write.entries {
                log.insert(entry.index, &codec::encode(entry)[..]).map_err(text)?;
            }
            for (key, value) in more {
                meta.insert(*key, &value[..]).map_err(text)?;
            }
        }
        self.write_count.set(self.write_count.get() + 1);
        writing.commit().map_err(text)
    }

    /// Reads the agreement anew, as after a start.
    pub fn read_raft_state(&self) -> Result<RaftPersistentState, String> {
        Ok(read(&self.db)?.map(|(_, held)| held.raft).unwrap_or_default())
    }

    /// Gives this identity up: the file is set aside, and the disk is that of a new daemon.
    pub fn reset_identity(self, reason: IdentityResetReason) -> Result<DurableStorage, String> {
        let path = self.path.clone();
        drop(self.db);
        let Some(path) = path else { return Ok(DurableStorage::in_memory()?.0) };
        set_aside(&path, reason.file_suffix())?;
        Ok(DurableStorage::open(&path)?.0)
    }
}

#[cfg(test)]
mod tests;
