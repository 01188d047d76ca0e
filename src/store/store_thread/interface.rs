//! Commands, events and status that the fleet exchanges with the store's thread.

use crate::ids::NodeId;
use crate::store::error::StoreError;
use crate::store::legacy::LegacyStore;
use crate::store::raft_message::RaftMessage;
use crate::store::raft_node::{AppliedEntry, LogSize, PeerProgress, SnapshotDelivery};
use crate::store::records::Configuration;
use crate::store::state_machine::{ClusterState, MembershipChange, PendingDrain, Proposal};
use crate::store::storage::{IdentityResetReason, NodeIdentity, PersistedProgress};
use async_channel::Receiver;
use std::collections::BTreeMap;
use std::sync::mpsc::SyncSender;

/// A command to the store's thread.
#[derive(Debug)]
pub enum StoreCommand {
    /// Delivers Raft messages from peers.
    RaftMessages(Vec<RaftMessage>),
    /// Proposes a change, if this node is the leader.
    ///
    /// A change that only removes hosts from service is appended at once. Any other change is appended once a majority
    /// has confirmed that this node is still the leader. Otherwise an isolated leader would append a change that could
    /// be committed long after its requester has stopped waiting for it.
    Propose(Proposal),
    /// Proposes a membership change, if this node is the leader.
    ChangeMembership(MembershipChange),
    /// Writes the pending drains in place of the stored ones.
    PersistDrains {
        /// All drains that are pending.
        drains: Vec<PendingDrain>,
        /// The version of the list, which [`StoreEvent::DrainsPersisted`] reports once it is written.
        version: u64,
    },
    /// Writes the gossip about endpoints in place of the stored one.
    PersistGossip {
        /// The gossip, as bytes that the fleet encodes.
        encoded: Vec<u8>,
        /// Number of records in it, for the log.
        records: usize,
    },
    /// Founds a fleet with this state, if this node belongs to none.
    FoundFleet(Box<ClusterState>),
    /// Starts a fleet with this node as its only member that continues from this state. An operator requests it.
    ForceNewFleet(Box<ClusterState>),
    /// Starts to participate in the consensus. Sent after a majority of the voters has compared this node's storage
    /// with its earlier reports.
    StartParticipating,
    /// Discards this node's identity, and continues as a new node.
    ResetIdentity(IdentityResetReason),
    /// Transfers the leadership to another node, if this node is the leader.
    TransferLeadership(NodeId),
    /// Sends heartbeats at once, if this node is the leader. Used when a peer has just connected and waits for one.
    BroadcastHeartbeat,
    /// Starts an election, if no leader is known.
    Campaign,
    /// Reports whether a snapshot from [`StoreEvent::RaftMessages`] was sent.
    SnapshotSent {
        /// The receiver of the snapshot.
        to: NodeId,
        /// Whether the snapshot was passed to the connection.
        delivery: SnapshotDelivery,
    },
    /// Reports that the connection to a peer is lost.
    PeerUnreachable(NodeId),
}

/// An event of the store's thread.
#[derive(Debug)]
pub enum StoreEvent {
    /// Raft messages to send to peers. Any of them may be dropped.
    RaftMessages(Vec<RaftMessage>),
    /// Entries that were committed and applied, in log order.
    Applied(Vec<AppliedEntry>),
    /// The new status, sent when it has changed.
    Status(Box<StoreStatus>),
    /// The pending drains of this version are written.
    DrainsPersisted(u64),
    /// This node has this new identity, and belongs to no fleet.
    IdentityReset(NodeIdentity),
    /// Storage has failed. This node no longer participates in the consensus.
    StorageFailed(StoreError),
}

/// The status of a node in the consensus.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreStatus {
    /// The leader of the current term, or [`NodeId::NONE`] if this node knows none.
    pub leader: NodeId,
    /// The term that this node is in.
    pub term: u64,
    /// The index of the last entry that is known to be committed.
    pub committed: u64,
    /// The index of the last applied entry.
    pub applied: u64,
    /// The progress of this node's storage, which it reports to peers.
    pub own_progress: PersistedProgress,
    /// Whether the node participates in the consensus.
    pub participating: bool,
    /// The voters and learners after the last applied entry.
    pub configuration: Configuration,
    /// How far each node has replicated the log; empty if this node is not the leader.
    pub peer_progress: Vec<PeerProgress>,
    /// The size of the log entries in memory.
    pub log_size: LogSize,
    /// The furthest progress that each peer has reported for its storage.
    pub reported_progress: BTreeMap<NodeId, PersistedProgress>,
    /// The number of Raft messages that were dropped, because they were malformed or because this node did not
    /// participate.
    pub dropped_messages: u64,
    /// How often the `raft` crate has panicked and its state was reloaded from storage.
    pub raft_restarts: u64,
    /// The number of synced writes to storage since the start; 0 after storage has failed.
    pub disk_writes: u64,
}

/// The data of a store at the start, before its thread runs.
pub struct OpenedStore {
    /// The identity of this node.
    pub identity: NodeIdentity,
    /// The replicated state after the last entry that is known to be applied.
    pub state: ClusterState,
    /// The status in the consensus before the thread has handled any command.
    pub status: StoreStatus,
    /// The drains that are not known to be committed: the pending ones in storage, and those in log entries that are
    /// not applied yet.
    pub drains: Vec<PendingDrain>,
    /// The gossip about endpoints, as bytes that the fleet encodes; `None` if none was stored.
    pub gossip: Option<Vec<u8>>,
    /// The contents of a store file of version 0.2.0 that this store has replaced.
    pub legacy: Option<LegacyStore>,
}

/// A store whose thread runs.
pub struct RunningStore {
    /// The data of the store at the start.
    pub opened: OpenedStore,
    /// Sends commands to the thread. The queue is bounded. The thread ends when the last sender is dropped.
    pub commands: SyncSender<StoreCommand>,
    /// Receives events from the thread. The queue is unbounded; the fleet's thread takes events out as they arrive, and
    /// drops Raft messages that it cannot send.
    pub events: Receiver<StoreEvent>,
}
