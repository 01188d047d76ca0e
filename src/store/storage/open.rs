//! Opening a store file: what to do about one that is damaged, copied, in use, or of version 0.2.0.

use super::{
    CACHE_BYTES, DurableStorage, FileId, NodeIdentity, NodeValue, OpenedStorage, StoreContents, StoredNode,
    create_store, read_store,
};
use crate::store::error::{DamagedStore, StoreError};
use crate::store::legacy::{self, LegacyError, LegacyStore};
use crate::store::raft_node::RaftWrite;
use redb::{Database, DatabaseError, StorageError};
use std::cell::Cell;
use std::fs;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

/// The suffix of a file that is set aside because it cannot be used.
const DAMAGED_SUFFIX: &str = "damaged";
/// The suffix of a store file of version 0.2.0 after it was read.
const LEGACY_SUFFIX: &str = "old";

/// Opens a node's store file, or creates it. See [`DurableStorage::open`].
pub fn open(path: &Path) -> Result<OpenedStorage, StoreError> {
    let legacy = read_legacy(path)?;
    let damage = match open_database(path) {
        Ok(OpenDatabase { database, stored: Some(stored) }) => {
            if FileId::of(path).map_err(|e| StoreError::file(path, e))? == stored.identity.file {
                return resume(path, database, stored, legacy.notes);
            }
            DamagedStore::Copy
        }
        Ok(OpenDatabase { database, stored: None }) => return create(path, database, legacy),
        Err(OpenFailure::Fatal(error)) => return Err(error),
        Err(OpenFailure::Damaged(damage)) => damage,
    };
    let set_aside_as = set_aside(path, DAMAGED_SUFFIX)?;
    let mut opened = open(path)?;
    let mut notes = legacy.notes;
    notes.push(format!("{}: {damage}; set aside as {}", path.display(), set_aside_as.display()));
    opened.contents.notes = notes;
    Ok(opened)
}

/// The store was this node's already: it counts one more start.
fn resume(
    path: &Path,
    database: Database,
    stored: StoredNode,
    notes: Vec<String>,
) -> Result<OpenedStorage, StoreError> {
    let mut identity = stored.identity;
    identity.boot_count += 1;
    let storage = storage_at(path, database, identity, 0);
    write_identity(path, &storage)?;
    Ok(OpenedStorage { storage, contents: StoreContents { notes, ..stored.contents } })
}

/// The store is a new one.
fn create(path: &Path, database: Database, legacy: LegacyImport) -> Result<OpenedStorage, StoreError> {
    let mut identity = create_store(&database).map_err(|e| StoreError::initialization(path, e))?;
    identity.file = FileId::of(path).map_err(|e| StoreError::file(path, e))?;
    let storage = storage_at(path, database, identity, 1);
    write_identity(path, &storage)?;
    let contents = StoreContents { legacy: legacy.store, notes: legacy.notes, ..StoreContents::default() };
    Ok(OpenedStorage { storage, contents })
}

fn storage_at(path: &Path, database: Database, identity: NodeIdentity, write_count: u64) -> DurableStorage {
    DurableStorage { database, path: Some(path.to_path_buf()), identity, write_count: Cell::new(write_count) }
}

fn write_identity(path: &Path, storage: &DurableStorage) -> Result<(), StoreError> {
    let written = storage.write(&RaftWrite::default(), &[NodeValue::Identity(&storage.identity)]);
    written.map_err(|error| match error {
        StoreError::Database(source) => StoreError::Initialization { path: path.to_path_buf(), source },
        other => other,
    })
}

/// A database whose file could be opened.
struct OpenDatabase {
    database: Database,
    /// What it holds; `None`: no store was created in it yet.
    stored: Option<StoredNode>,
}

/// Why a database cannot be opened.
enum OpenFailure {
    /// No node can start with this path.
    Fatal(StoreError),
    /// The file can be set aside and replaced.
    Damaged(DamagedStore),
}

/// Opens and reads a database. The library panics over some damaged files: that is damage as well.
fn open_database(path: &Path) -> Result<OpenDatabase, OpenFailure> {
    match catch_unwind(AssertUnwindSafe(|| open_and_read(path))) {
        Ok(opened) => opened,
        Err(_) => Err(OpenFailure::Damaged(DamagedStore::Unreadable)),
    }
}

fn open_and_read(path: &Path) -> Result<OpenDatabase, OpenFailure> {
    let database = Database::builder().set_cache_size(CACHE_BYTES).create(path);
    let database = database.map_err(|error| classify_open_error(path, error))?;
    let stored = read_store(&database).map_err(OpenFailure::Damaged)?;
    Ok(OpenDatabase { database, stored })
}

fn classify_open_error(path: &Path, error: DatabaseError) -> OpenFailure {
    match error {
        DatabaseError::DatabaseAlreadyOpen => {
            OpenFailure::Fatal(StoreError::InUse { path: path.to_path_buf() })
        }
        DatabaseError::Storage(StorageError::Io(error)) if !is_damage(&error) => {
            OpenFailure::Fatal(StoreError::file(path, error))
        }
        other => OpenFailure::Damaged(other.into()),
    }
}

/// Whether the file's contents, rather than access to it, are the reason.
fn is_damage(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof)
}

/// What a store file of version 0.2.0 held, if there was one.
#[derive(Default)]
struct LegacyImport {
    store: Option<LegacyStore>,
    notes: Vec<String>,
}

/// Reads a store file of version 0.2.0 and sets it aside, also if it is damaged. Any other file is left alone.
fn read_legacy(path: &Path) -> Result<LegacyImport, StoreError> {
    if !path.exists() {
        return Ok(LegacyImport::default());
    }
    let bytes = fs::read(path).map_err(|e| StoreError::file(path, e))?;
    if !bytes.starts_with(legacy::HEADER.as_bytes()) {
        return Ok(LegacyImport::default());
    }
    let parsed = match String::from_utf8(bytes) {
        Ok(text) => legacy::parse(&text),
        Err(error) => Err(LegacyError::NotUtf8(error.utf8_error())),
    };
    let file = path.display();
    match parsed {
        Ok(store) => {
            let set_aside_as = set_aside(path, LEGACY_SUFFIX)?;
            let note = format!("{file}: a store of the old form, taken over; now {}", set_aside_as.display());
            Ok(LegacyImport { store: Some(store), notes: vec![note] })
        }
        Err(error) => {
            let set_aside_as = set_aside(path, DAMAGED_SUFFIX)?;
            let note = format!("{file}: {error}; set aside as {}", set_aside_as.display());
            Ok(LegacyImport { store: None, notes: vec![note] })
        }
    }
}

/// Renames a file, to a name beside it that no file has. Returns the new path.
pub fn set_aside(path: &Path, suffix: &str) -> Result<PathBuf, StoreError> {
    let set_aside_as = free_path(path, suffix);
    fs::rename(path, &set_aside_as).map_err(|e| StoreError::file(path, e))?;
    Ok(set_aside_as)
}

/// The first of `path.suffix`, `path.suffix-1`, `path.suffix-2` and so on that no file has.
fn free_path(path: &Path, suffix: &str) -> PathBuf {
    let mut attempt = 0;
    loop {
        let mut name = path.as_os_str().to_owned();
        name.push(format!(".{suffix}"));
        if attempt > 0 {
            name.push(format!("-{attempt}"));
        }
        let candidate = PathBuf::from(name);
        if !candidate.exists() {
            return candidate;
        }
        attempt += 1;
    }
}
