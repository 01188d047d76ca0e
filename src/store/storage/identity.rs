//! Who a node is, which file its identity belongs to, and how far its storage is known to be.

use crate::ids::NodeId;
use crate::store::records::EntryId;
use serde::{Deserialize, Serialize};
use std::fs;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// A file on this machine. A copy of a file has another id, a renamed file keeps its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileId {
    /// The number of the device.
    pub device: u64,
    /// The number of the file on the device.
    pub inode: u64,
}

impl FileId {
    /// The id of the file at this path.
    ///
    /// # Errors
    ///
    /// The file cannot be accessed.
    pub fn of(path: &Path) -> io::Result<FileId> {
        let metadata = fs::metadata(path)?;
        Ok(FileId { device: metadata.dev(), inode: metadata.ino() })
    }
}

/// A node's identity, as its storage keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeIdentity {
    /// The node's id, drawn at random when the storage was created.
    pub id: NodeId,
    /// The number of starts with this storage, this one included.
    pub boot_count: u64,
    /// The file that the identity was written to. A copy of it must not vote under the same id.
    pub file: FileId,
}

/// Why a node gives up its identity and continues as a new node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdentityResetReason {
    /// Peers remember more of this node than its storage holds: the storage was put back to an earlier copy.
    OutdatedStorage,
    /// An operator founded a fleet that supersedes this node's.
    SupersededFleet,
    /// What the storage holds contradicts itself.
    Damaged,
}

impl IdentityResetReason {
    /// What is appended to the name of the file that is set aside.
    pub fn file_suffix(self) -> &'static str {
        match self {
            IdentityResetReason::OutdatedStorage => "older",
            IdentityResetReason::SupersededFleet => "recovered",
            IdentityResetReason::Damaged => "damaged",
        }
    }
}

/// How far a node has reported its storage to be. Peers keep the furthest report: storage that later holds less was put
/// back to an earlier copy, and must not vote again in a term in which it has voted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedProgress {
    /// The number of starts.
    pub boot_count: u64,
    /// The term.
    pub term: u64,
    /// The last entry that the node has acknowledged.
    pub last_entry: EntryId,
}

impl PersistedProgress {
    /// Whether `reported` falls behind this in any respect.
    pub fn is_ahead_of(&self, reported: &PersistedProgress) -> bool {
        reported.boot_count < self.boot_count
            || reported.term < self.term
            || reported.last_entry < self.last_entry
    }

    /// Takes the furthest of this and `reported`, in each respect.
    pub fn advance_to(&mut self, reported: &PersistedProgress) {
        self.boot_count = self.boot_count.max(reported.boot_count);
        self.term = self.term.max(reported.term);
        self.last_entry = self.last_entry.max(reported.last_entry);
    }
}
