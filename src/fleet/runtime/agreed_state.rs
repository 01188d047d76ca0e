//! The committed state as applied by this node, and this node's part in the consensus.

use crate::ids::{FleetId, NodeId};
use crate::store::raft_node::{AppliedContent, AppliedEntry};
use crate::store::state_machine::{ApplyResult, Change, ClusterState, Proposal};
use crate::store::storage::NodeIdentity;
use crate::store::store_thread::StoreStatus;
use crate::store::zone_weights::ZoneWeight;
use std::time::Instant;

/// The committed state and this node's part in the consensus. It changes only by events from the store's thread, and
/// when a peer replies that this node was removed.
pub struct AgreedState {
    identity: NodeIdentity,
    state: ClusterState,
    applied_index: u64,
    status: StoreStatus,
    leading_since: Option<Instant>,
    is_removed: bool,
    storage_failure: Option<String>,
}

/// The effect of applying a log entry on other parts of the fleet.
pub(super) enum AppliedEffect {
    /// A snapshot replaced the whole state, so any endpoint may have changed.
    StateReplaced,
    /// The state machine accepted or rejected this change.
    Changed(Proposal),
    /// The entry changes nothing outside [`AgreedState`].
    Nothing,
}

impl AgreedState {
    /// Creates the state from what the storage held at the start.
    pub(super) fn new(identity: NodeIdentity, state: ClusterState, status: StoreStatus) -> AgreedState {
        AgreedState {
            identity,
            state,
            applied_index: status.applied,
            status,
            leading_since: None,
            is_removed: false,
            storage_failure: None,
        }
    }

    /// This node's id. The storage assigns it; it changes when the identity is reset.
    pub fn local_id(&self) -> NodeId {
        self.identity.id
    }

    /// The committed state up to [`AgreedState::applied_index`].
    pub fn state(&self) -> &ClusterState {
        &self.state
    }

    /// The index of the last log entry applied here.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// The consensus status last reported by the store's thread.
    pub fn status(&self) -> &StoreStatus {
        &self.status
    }

    /// When this node became the leader; `None` while it is not.
    pub fn leading_since(&self) -> Option<Instant> {
        self.leading_since
    }

    /// Whether this node belongs to a fleet.
    pub fn has_fleet(&self) -> bool {
        !self.state.fleet.is_none()
    }

    /// Whether a leader is known.
    pub fn has_leader(&self) -> bool {
        self.status.leader != NodeId::NONE
    }

    /// Whether this node considers itself the leader. A deposed leader does so until it receives a message of the newer
    /// term, or check-quorum makes it step down.
    pub fn is_leader(&self) -> bool {
        self.status.leader == self.identity.id
    }

    /// Whether this node is the leader and participates in the consensus, and may therefore propose changes.
    pub fn is_active_leader(&self) -> bool {
        self.is_leader() && self.status.participating
    }

    /// Whether this node was removed from its fleet. It keeps serving with the last applied state.
    pub fn is_removed(&self) -> bool {
        self.is_removed
    }

    /// Why the storage failed; `None` while it works. After a failure the node keeps serving with its current state but
    /// no longer participates in the consensus.
    pub fn storage_failure(&self) -> Option<&str> {
        self.storage_failure.as_deref()
    }

    /// Whether this node no longer takes part in a fleet: it was removed, or its storage failed.
    pub fn is_retired(&self) -> bool {
        self.is_removed || self.storage_failure.is_some()
    }

    /// Whether a node is a member of the fleet.
    pub fn is_member(&self, id: NodeId) -> bool {
        self.state.members.contains_key(&id)
    }

    /// The name of a member, or the id in hexadecimal for any other node.
    pub fn node_name(&self, id: NodeId) -> String {
        self.state.members.get(&id).map_or(format!("{id:016x}"), |member| member.name.clone())
    }

    /// Stores the status reported by the store's thread; returns whether leader, term or participation changed.
    pub(super) fn update_status(&mut self, status: StoreStatus) -> bool {
        let old = &self.status;
        let is_new_leadership = (old.leader, old.term) != (status.leader, status.term);
        let has_changed = is_new_leadership || old.participating != status.participating;
        if is_new_leadership {
            let leader = self.state.members.get(&status.leader);
            let name = leader.map_or("none", |member| member.name.as_str());
            log::info!("raft: leader changed: term {}, leader {name}", status.term);
        }
        self.status = status;
        self.leading_since = match self.leading_since {
            _ if !self.is_leader() => None,
            Some(since) => Some(since),
            None => Some(Instant::now()),
        };
        has_changed
    }

    /// Applies a committed log entry to the state.
    pub(super) fn apply(&mut self, entry: AppliedEntry) -> AppliedEffect {
        let effect = match entry.content {
            AppliedContent::Snapshot(state) => {
                self.state = *state;
                AppliedEffect::StateReplaced
            }
            AppliedContent::Change(proposal) => {
                let result = self.state.apply(entry.index, &proposal.change);
                log::debug!(
                    "fleet: agreed {} {:08x}: {}",
                    entry.index,
                    entry.digest,
                    describe_change(&proposal.change, result)
                );
                AppliedEffect::Changed(proposal)
            }
            AppliedContent::Membership(change) => {
                self.state.apply_membership(&change);
                if !change.steps.is_empty() {
                    log::info!("fleet: members: {:?}", change.steps);
                }
                AppliedEffect::Nothing
            }
            AppliedContent::Empty => AppliedEffect::Nothing,
        };
        self.applied_index = entry.index;
        self.state.digest = entry.digest;
        effect
    }

    /// Whether the committed state shows that this node was removed and [`AgreedState::mark_removed`] was not called
    /// yet.
    pub(super) fn is_newly_removed(&self) -> bool {
        let id = self.local_id();
        let was_removed = self.state.removed.contains_key(&id) && !self.is_member(id);
        self.has_fleet() && was_removed && !self.is_removed
    }

    /// Records that this node was removed from its fleet.
    pub(super) fn mark_removed(&mut self) {
        self.is_removed = true;
    }

    /// Records the new identity assigned by the store. The committed state stays in use until the fleet has sent its
    /// own.
    pub(super) fn replace_identity(&mut self, identity: NodeIdentity) {
        self.identity = identity;
        self.state.fleet = FleetId::NONE;
        self.is_removed = false;
    }

    /// Records why the storage failed.
    pub(super) fn record_storage_failure(&mut self, reason: String) {
        self.storage_failure = Some(reason);
    }
}

/// Describes a change and its result for the log.
fn describe_change(change: &Change, result: ApplyResult) -> String {
    if change.is_no_op() {
        return format!("no change: {result:?}");
    }
    match change {
        Change::Drain { host, .. } => format!("drain {host}: {result:?}"),
        Change::Undrain { host, .. } => format!("undrain {host}: {result:?}"),
        Change::Inventory { read_by, upserts, removals, .. } => {
            let (changed, removed) = (upserts.len(), removals.len());
            format!("inventory of {read_by}, {changed} set, {removed} removed: {result:?}")
        }
        Change::Settings { read_by, .. } => format!("settings of {read_by}: {result:?}"),
        Change::Regions { read_by, regions, .. } => {
            format!("regions of {} zones by {read_by}: {result:?}", regions.len())
        }
        Change::ZoneWeight { zone, weight } => {
            let ZoneWeight { permille, version, reason, .. } = weight;
            format!("zone {zone} to {permille} by move {version}, {reason:?}: {result:?}")
        }
    }
}
