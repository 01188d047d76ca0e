//! Who a node is, by its disk.

use crate::ids::NodeId;
use crate::store::records::EntryId;
use serde::{Deserialize, Serialize};

/// Where a file lies. A copy of it lies elsewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileId {
    /// The number of the device.
    pub device: u64,
    /// The number of the file on it.
    pub inode: u64,
}

/// Who this daemon is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeIdentity {
    /// Drawn at random when the file was made.
    pub id: NodeId,
    /// Starts with this file.
    pub boot_count: u64,
    /// The file's device and number: those of a copy are others.
    pub file: FileId,
}

/// Why a node gives up its identity and starts as a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdentityResetReason {
    /// Peers remember more of this node than its disk holds: the disk is an older copy.
    OutdatedStorage,
    /// An operator founded the fleet anew, without this node.
    SupersededFleet,
    /// What the disk holds cannot be used.
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

/// What a daemon has told of itself once: a disk that knows less is an older one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedProgress {
    /// Its starts.
    pub boot_count: u64,
    /// The term that it was in.
    pub term: u64,
    /// The last entry that it said it holds.
    pub last_entry: EntryId,
}

impl PersistedProgress {
    /// Whether what is said now is from before what was said.
    pub fn is_ahead_of(&self, now: &PersistedProgress) -> bool {
        now.boot_count < self.boot_count || now.term < self.term || now.last_entry < self.last_entry
    }

    /// Takes in what is said now.
    pub fn advance_to(&mut self, now: &PersistedProgress) {
        self.boot_count = self.boot_count.max(now.boot_count);
        self.term = self.term.max(now.term);
        self.last_entry = self.last_entry.max(now.last_entry);
    }
}
