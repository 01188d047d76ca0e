//! The identity of a node, the file that it is bound to, and the persisted progress that nodes report.

use crate::ids::NodeId;
use crate::store::records::EntryId;
use serde::{Deserialize, Serialize};
use std::fs;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// Identifies a file on this machine. A copy of a file has a different id; renaming keeps the id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileId {
    /// The number of the device, `st_dev`.
    pub device: u64,
    /// The inode number on the device, `st_ino`.
    pub inode: u64,
}

impl FileId {
    /// Reads the id of the file at `path`.
    ///
    /// # Errors
    ///
    /// The file cannot be accessed.
    pub fn of(path: &Path) -> io::Result<FileId> {
        let metadata = fs::metadata(path)?;
        Ok(FileId { device: metadata.dev(), inode: metadata.ino() })
    }
}

/// The identity of a node, which its storage keeps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeIdentity {
    /// The node's id, drawn at random when the storage was created.
    pub id: NodeId,
    /// The number of starts with this storage, including the current one.
    pub boot_count: u64,
    /// The file that the identity was written to. A node that starts with a copy must not vote under the same id.
    pub file: FileId,
}

/// Why a node discards its identity and continues as a new node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdentityResetReason {
    /// Peers have recorded more progress of this node than its storage contains: the storage was restored from an older
    /// copy.
    OutdatedStorage,
    /// An operator started a new fleet that replaces the fleet of this node.
    SupersededFleet,
    /// The stored consensus state is invalid.
    Damaged,
}

impl IdentityResetReason {
    /// The suffix that the renamed store file gets.
    pub fn file_suffix(self) -> &'static str {
        match self {
            IdentityResetReason::OutdatedStorage => "older",
            IdentityResetReason::SupersededFleet => "recovered",
            IdentityResetReason::Damaged => "damaged",
        }
    }
}

/// The progress of a node's storage, as the node reports it to peers. Peers store the furthest report. If the node
/// later reports less, its storage was restored from an older copy, and it must not vote again in a term in which it
/// has already voted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedProgress {
    /// The number of starts with this storage.
    pub boot_count: u64,
    /// The term that the node has persisted.
    pub term: u64,
    /// The last entry that the node has persisted.
    pub last_entry: EntryId,
}

impl PersistedProgress {
    /// Whether any field of `reported` is less than that of this progress.
    pub fn is_ahead_of(&self, reported: &PersistedProgress) -> bool {
        reported.boot_count < self.boot_count
            || reported.term < self.term
            || reported.last_entry < self.last_entry
    }

    /// Raises each field to that of `reported`, if that is greater.
    pub fn advance_to(&mut self, reported: &PersistedProgress) {
        self.boot_count = self.boot_count.max(reported.boot_count);
        self.term = self.term.max(reported.term);
        self.last_entry = self.last_entry.max(reported.last_entry);
    }
}
