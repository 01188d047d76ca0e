//! What the fleet exchanges with the store's thread.

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
    /// Messages from peers.
    RaftMessages(Vec<RaftMessage>),
    /// Proposes a change, if this node is the leader.
    ///
    /// A change that only restricts is appended at once, any other once a majority has confirmed that this node is
    /// still the leader: a leader that is cut off would append a change that could be committed long after its
    /// requester has given it up.
    Propose(Proposal),
    /// Proposes a change of the membership, if this node is the leader.
    ChangeMembership(MembershipChange),
    /// Writes the pending drains.
    PersistDrains {
        /// All of them.
        drains: Vec<PendingDrain>,
        /// Their version. [`StoreEvent::DrainsPersisted`] returns it.
        version: u64,
    },
    /// Writes what gossip has spread about endpoints, encoded by the fleet.
    PersistGossip(Vec<u8>),
    /// Founds a fleet with this state, if this node belongs to none.
    FoundFleet(Box<ClusterState>),
    /// Starts a fleet that has this node as its only member and continues from this state. An operator orders it.
    ForceNewFleet(Box<ClusterState>),
    /// Takes part in the consensus: enough voters have compared this node's storage with its earlier reports.
    StartParticipating,
    /// Gives up this node's identity.
    ResetIdentity(IdentityResetReason),
    /// Hands the leadership to another node, if this node is the leader.
    TransferLeadership(NodeId),
    /// Sends heartbeats at once, if this node is the leader: a peer that has just connected waits for one.
    BroadcastHeartbeat,
    /// Starts an election, if no leader is known.
    Campaign,
    /// Reports what became of a snapshot in [`StoreEvent::RaftMessages`].
    SnapshotSent {
        /// The receiver.
        to: NodeId,
        /// Whether it was handed to the connection.
        delivery: SnapshotDelivery,
    },
    /// Reports that the connection to a peer is lost.
    PeerUnreachable(NodeId),
}

/// An event of the store's thread.
#[derive(Debug)]
pub enum StoreEvent {
    /// Messages to peers. Each of them may be lost.
    RaftMessages(Vec<RaftMessage>),
    /// Entries that were committed, in order.
    Applied(Vec<AppliedEntry>),
    /// The status has changed.
    Status(Box<StoreStatus>),
    /// The pending drains of this version are written.
    DrainsPersisted(u64),
    /// This node has a new identity, and belongs to no fleet.
    IdentityReset(NodeIdentity),
    /// Storage has failed. This node takes no further part in the consensus.
    StorageFailed(StoreError),
}

/// The status of a node's part in the consensus.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreStatus {
    /// The leader that this node knows; [`NodeId::NOBODY`]: none.
    pub leader: NodeId,
    /// The current term.
    pub term: u64,
    /// The index of the last entry that is known to be committed.
    pub committed: u64,
    /// The index of the last applied entry.
    pub applied: u64,
    /// How far this node's storage is, as it reports it to peers.
    pub own_progress: PersistedProgress,
    /// The node takes part in the consensus.
    pub participating: bool,
    /// The voters and learners.
    pub configuration: Configuration,
    /// How far each node has replicated the log; empty where this node is not the leader.
    pub peer_progress: Vec<PeerProgress>,
    /// The size of the log in memory.
    pub log_size: LogSize,
    /// How far each peer has reported its storage to be.
    pub reported_progress: BTreeMap<NodeId, PersistedProgress>,
    /// Messages that were dropped: malformed ones, and all while this node takes no part.
    pub dropped_messages: u64,
    /// How often the consensus library has panicked, and its state was read again from storage.
    pub raft_restarts: u64,
    /// Writes to storage since the start, each of them synced.
    pub disk_writes: u64,
}

/// What a store holds at the start, before its thread runs.
pub struct OpenedStore {
    /// Who this node is.
    pub identity: NodeIdentity,
    /// The replicated state.
    pub state: ClusterState,
    /// The status.
    pub status: StoreStatus,
    /// The drains that are not known to be committed: those that storage kept as pending, and those in uncommitted
    /// entries.
    pub drains: Vec<PendingDrain>,
    /// What gossip had spread about endpoints, encoded by the fleet.
    pub gossip: Option<Vec<u8>>,
    /// The contents of a store file of version 0.2.0 that this store replaces.
    pub legacy: Option<LegacyStore>,
}

/// A store whose thread runs.
pub struct RunningStore {
    /// What it held at the start.
    pub opened: OpenedStore,
    /// Commands to the thread. The queue is bounded. The thread ends when the last sender is dropped.
    pub commands: SyncSender<StoreCommand>,
    /// Events of the thread. The queue is unbounded: the fleet's thread takes them as they come, and drops messages that
    /// it cannot send.
    pub events: Receiver<StoreEvent>,
}
