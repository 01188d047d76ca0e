//! Opens a store file, and handles files that are damaged, copied, in use, or of version 0.2.0.

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

/// The suffix of a file that was renamed because it cannot be used.
const DAMAGED_SUFFIX: &str = "damaged";
/// The suffix of a store file of version 0.2.0 that was imported.
const LEGACY_SUFFIX: &str = "old";

/// Opens a node's store file, or creates it. See [`DurableStorage::open`].
pub fn open(path: &Path) -> Result<OpenedStorage, StoreError> {
    let legacy = read_legacy(path)?;
    let damage = match open_database(path) {
        Ok(OpenDatabase { database, stored: Some(stored) }) => {
            if FileId::of(path).map_err(|error| StoreError::file(path, error))? == stored.identity.file {
                return open_existing(path, database, stored, legacy.warnings);
            }
            DamagedStore::Copy
        }
        Ok(OpenDatabase { database, stored: None }) => return create(path, database, legacy),
        Err(OpenFailure::Fatal(error)) => return Err(error),
        Err(OpenFailure::Damaged(damage)) => damage,
    };
    let set_aside_as = set_aside(path, DAMAGED_SUFFIX)?;
    let mut opened = open(path)?;
    let mut warnings = legacy.warnings;
    warnings.push(format!("{}: {damage}; set aside as {}", path.display(), set_aside_as.display()));
    opened.contents.warnings = warnings;
    Ok(opened)
}

/// Opens a store that this node has used before, and counts the start.
fn open_existing(
    path: &Path,
    database: Database,
    stored: StoredNode,
    warnings: Vec<String>,
) -> Result<OpenedStorage, StoreError> {
    let mut identity = stored.identity;
    identity.boot_count += 1;
    let storage = storage_at(path, database, identity, 0);
    write_identity(path, &storage)?;
    Ok(OpenedStorage { storage, contents: StoreContents { warnings, ..stored.contents } })
}

/// Creates a store with a new identity, bound to the file.
fn create(path: &Path, database: Database, legacy: LegacyImport) -> Result<OpenedStorage, StoreError> {
    let mut identity = create_store(&database).map_err(|error| StoreError::initialization(path, error))?;
    identity.file = FileId::of(path).map_err(|error| StoreError::file(path, error))?;
    let storage = storage_at(path, database, identity, 1);
    write_identity(path, &storage)?;
    let contents =
        StoreContents { legacy: legacy.store, warnings: legacy.warnings, ..StoreContents::default() };
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

/// A database that was opened and read.
struct OpenDatabase {
    database: Database,
    /// The data of the store; `None` if the database is new.
    stored: Option<StoredNode>,
}

/// Why a database cannot be opened.
enum OpenFailure {
    /// The node cannot start with this file.
    Fatal(StoreError),
    /// The file can be renamed and replaced.
    Damaged(DamagedStore),
}

/// Opens and reads a database. The database library panics on some damaged files; a panic is treated as damage.
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

/// Whether the error is caused by the contents of the file rather than by access to it.
fn is_damage(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof)
}

/// The result of looking for a store file of version 0.2.0.
#[derive(Default)]
struct LegacyImport {
    /// Its contents; `None` if there was no intact one.
    store: Option<LegacyStore>,
    /// A log message, if the file was renamed.
    warnings: Vec<String>,
}

/// Reads and renames a store file of version 0.2.0, even if it is damaged. Any other file is left as it is.
fn read_legacy(path: &Path) -> Result<LegacyImport, StoreError> {
    if !path.exists() {
        return Ok(LegacyImport::default());
    }
    let bytes = fs::read(path).map_err(|error| StoreError::file(path, error))?;
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
            let warning = format!(
                "{file}: imported a store file of version 0.2.0; renamed to {}",
                set_aside_as.display()
            );
            Ok(LegacyImport { store: Some(store), warnings: vec![warning] })
        }
        Err(error) => {
            let set_aside_as = set_aside(path, DAMAGED_SUFFIX)?;
            let warning = format!("{file}: {error}; set aside as {}", set_aside_as.display());
            Ok(LegacyImport { store: None, warnings: vec![warning] })
        }
    }
}

/// Renames a file by appending `.suffix`, and a number if that path exists. Returns the new path.
pub fn set_aside(path: &Path, suffix: &str) -> Result<PathBuf, StoreError> {
    let set_aside_as = unused_path(path, suffix);
    fs::rename(path, &set_aside_as).map_err(|error| StoreError::file(path, error))?;
    Ok(set_aside_as)
}

/// The first path among `path.suffix`, `path.suffix-1`, `path.suffix-2` and so on that does not exist.
fn unused_path(path: &Path, suffix: &str) -> PathBuf {
    let mut number = 0;
    loop {
        let mut name = path.as_os_str().to_owned();
        name.push(format!(".{suffix}"));
        if number > 0 {
            name.push(format!("-{number}"));
        }
        let candidate = PathBuf::from(name);
        if !candidate.exists() {
            return candidate;
        }
        number += 1;
    }
}
