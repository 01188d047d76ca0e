//! Why a store cannot be opened, read or written, and what can be wrong with what it holds.

use super::raft_node::InvalidRaftState;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A store cannot be used: the node does not start, or it takes no further part in the consensus and serves with the
/// state that it has. Operators read the text in the log, and as the reason in the fleet's description.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The file cannot be read, renamed or created. An operator checks its path, permissions and file system.
    #[error("{}: {source}", path.display())]
    File {
        /// The store's file.
        path: PathBuf,
        /// The operating system's reason.
        source: io::Error,
    },
    /// Two processes are configured with the same file. An operator gives each one its own.
    #[error("{}: another process has it", path.display())]
    InUse {
        /// The store's file.
        path: PathBuf,
    },
    /// The database in the file cannot be written while it is opened.
    #[error("{}: {source}", path.display())]
    Initialization {
        /// The store's file.
        path: PathBuf,
        /// The database's reason.
        source: Box<redb::Error>,
    },
    /// The database cannot be read or written. An operator checks the disk.
    #[error("{0}")]
    Database(#[source] Box<redb::Error>),
    /// What is stored cannot be used.
    #[error(transparent)]
    Damaged(#[from] DamagedStore),
    /// What is stored contradicts itself.
    #[error(transparent)]
    InvalidRaftState(#[from] InvalidRaftState),
    /// The store's thread cannot be started.
    #[error("store: {0}")]
    Thread(#[source] io::Error),
    /// The storage was closed after an earlier failure.
    #[error("no disk")]
    StorageClosed,
}

impl StoreError {
    /// A failed operation on a store's file.
    pub(super) fn file(path: &Path, source: io::Error) -> StoreError {
        StoreError::File { path: path.to_path_buf(), source }
    }

    /// A failed write while a store's file is opened.
    pub(super) fn initialization(path: &Path, source: redb::Error) -> StoreError {
        StoreError::Initialization { path: path.to_path_buf(), source: Box::new(source) }
    }
}

impl From<redb::Error> for StoreError {
    fn from(error: redb::Error) -> StoreError {
        StoreError::Database(Box::new(error))
    }
}

/// Why a file is not used as this node's store. It is set aside under another name, and the node starts as a new one.
#[derive(Debug, Error)]
pub enum DamagedStore {
    /// The database cannot be opened or read.
    #[error("{0}")]
    Database(#[source] Box<redb::Error>),
    /// The database library panicked over the file.
    #[error("it cannot be read")]
    Unreadable,
    /// A value is there, but not whole.
    #[error("{key} is damaged")]
    Value {
        /// The key in the `meta` table.
        key: &'static str,
    },
    /// An entry of the log is not whole, or lies under the index of another one.
    #[error("entry {index} is damaged")]
    Entry {
        /// The index under which it lies.
        index: u64,
    },
    /// The store is of a format that this version does not know.
    #[error("a store of form {found}, not {supported}")]
    UnknownFormat {
        /// The version that the file states.
        found: u32,
        /// The version that this program reads.
        supported: u32,
    },
    /// The store does not say whose it is.
    #[error("no identity")]
    NoIdentity,
    /// The file lies elsewhere than the one that was written: the original may be in use by another process.
    #[error("it is a copy of another file")]
    Copy,
}

impl<E: Into<redb::Error>> From<E> for DamagedStore {
    fn from(error: E) -> DamagedStore {
        DamagedStore::Database(Box::new(error.into()))
    }
}
