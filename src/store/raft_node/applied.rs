//! Committed entries, after they were applied to the replicated state.

use crate::store::state_machine::{ApplyResult, ClusterState, MembershipChange, Proposal};

/// What was committed at an index of the log.
#[derive(Clone, Debug, PartialEq)]
pub enum AppliedContent {
    /// A change of the replicated state, with its proposer.
    Change(Proposal),
    /// A change of the membership.
    Membership(MembershipChange),
    /// The replicated state as a whole: the entries up to here were received as a snapshot, or read again.
    Snapshot(Box<ClusterState>),
    /// No change, as in the entry with which each leader begins.
    Empty,
}

/// A committed entry, after it was applied to the replicated state.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedEntry {
    /// The index of the entry.
    pub index: u64,
    /// A checksum over all entries up to it. It is equal on all nodes that have applied the same entries.
    pub digest: u32,
    /// What was committed.
    pub content: AppliedContent,
    /// Whether it took effect.
    pub result: ApplyResult,
}

impl AppliedEntry {
    /// The replicated state as a whole, up to the entry at `index`.
    pub(super) fn snapshot(index: u64, state: &ClusterState) -> AppliedEntry {
        AppliedEntry {
            index,
            digest: state.digest,
            content: AppliedContent::Snapshot(Box::new(state.clone())),
            result: ApplyResult::Done,
        }
    }
}
