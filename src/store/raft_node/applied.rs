//! Entries that were committed and applied to the replicated state.

use crate::store::state_machine::{ApplyResult, ClusterState, MembershipChange, Proposal};

/// The content of an applied entry.
#[derive(Clone, Debug, PartialEq)]
pub enum AppliedContent {
    /// A change of the replicated state, with the node that proposed it.
    Change(Proposal),
    /// A change of the members or of the Raft configuration.
    Membership(MembershipChange),
    /// The whole replicated state: the entries up to this one were received as a snapshot, or the state was reloaded
    /// from storage.
    Snapshot(Box<ClusterState>),
    /// No change: the empty entry that each new leader appends, or an entry that cannot be decoded or applied.
    Empty,
}

/// An entry that was committed and applied to the replicated state.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedEntry {
    /// The entry's index in the log.
    pub index: u64,
    /// A checksum over all entries up to this one. Nodes that have applied the same entries have equal digests.
    pub digest: u32,
    /// What the entry contains.
    pub content: AppliedContent,
    /// Whether the entry took effect.
    pub result: ApplyResult,
}

impl AppliedEntry {
    /// The whole replicated state after the entry at `index`.
    pub(super) fn snapshot(index: u64, state: &ClusterState) -> AppliedEntry {
        AppliedEntry {
            index,
            digest: state.digest,
            content: AppliedContent::Snapshot(Box::new(state.clone())),
            result: ApplyResult::Done,
        }
    }
}
