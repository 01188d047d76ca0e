//! Errors of opening, reading and writing a store, and the kinds of damage that a store can have.

use super::raft_node::InvalidRaftState;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a store cannot be used. At startup it keeps the node from starting; later the node stops participating in the
/// consensus and serves with the state that it has. Operators read the text in the log, and as the reason in the
/// fleet's description.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The file cannot be read, renamed or created. The operator has to check its path, permissions and file system.
    #[error("{}: {source}", path.display())]
    File {
        /// The store's file.
        path: PathBuf,
        /// The error that the operating system returned.
        source: io::Error,
    },
    /// Another process has the file open. Two processes are configured with the same file; each needs its own.
    #[error("{}: it is in use by another process", path.display())]
    InUse {
        /// The store's file.
        path: PathBuf,
    },
    /// The database could not be written while the store was being opened.
    #[error("{}: {source}", path.display())]
    Initialization {
        /// The store's file.
        path: PathBuf,
        /// The error that the database returned.
        source: Box<redb::Error>,
    },
    /// The database cannot be read or written. The operator has to check the disk.
    #[error("{0}")]
    Database(#[source] Box<redb::Error>),
    /// The stored data is damaged or of an unsupported format.
    #[error(transparent)]
    Damaged(#[from] DamagedStore),
    /// The stored consensus state violates an invariant.
    #[error(transparent)]
    InvalidRaftState(#[from] InvalidRaftState),
    /// The operating system refused to start the store's thread.
    #[error("store: cannot start the thread: {0}")]
    Thread(#[source] io::Error),
    /// The storage was closed after an earlier failure, so the consensus state cannot be read from it.
    #[error("the storage is closed after an earlier failure")]
    StorageClosed,
}

impl StoreError {
    /// The error of an operation on the file at `path`.
    pub(super) fn file(path: &Path, source: io::Error) -> StoreError {
        StoreError::File { path: path.to_path_buf(), source }
    }

    /// The error of a write while the store at `path` is being opened.
    pub(super) fn initialization(path: &Path, source: redb::Error) -> StoreError {
        StoreError::Initialization { path: path.to_path_buf(), source: Box::new(source) }
    }
}

impl From<redb::Error> for StoreError {
    fn from(error: redb::Error) -> StoreError {
        StoreError::Database(Box::new(error))
    }
}

/// Why a file cannot be used as this node's store. The file is renamed, and the node starts with a new identity.
#[derive(Debug, Error)]
pub enum DamagedStore {
    /// The database cannot be opened or read.
    #[error("{0}")]
    Database(#[source] Box<redb::Error>),
    /// The database library panicked while it read the file.
    #[error("the database library panicked while reading it")]
    Unreadable,
    /// A value fails its checksum or cannot be decoded.
    #[error("{key} is damaged")]
    Value {
        /// The value's key in the `meta` table.
        key: &'static str,
    },
    /// A log entry fails its checksum, cannot be decoded, or is stored under the index of another entry.
    #[error("log entry {index} is damaged")]
    Entry {
        /// The index under which it is stored.
        index: u64,
    },
    /// This version does not support the format of the store.
    #[error("store format {found} is not supported; this version reads format {supported}")]
    UnknownFormat {
        /// The format version in the file.
        found: u32,
        /// The format version that this program reads.
        supported: u32,
    },
    /// The store has no node identity.
    #[error("the node identity is missing")]
    NoIdentity,
    /// The device and inode differ from those of the file that was written, so the original may still be in use by
    /// another process.
    #[error("it is a copy of another file")]
    Copy,
}

impl<E: Into<redb::Error>> From<E> for DamagedStore {
    fn from(error: E) -> DamagedStore {
        DamagedStore::Database(Box::new(error.into()))
    }
}
