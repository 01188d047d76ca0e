//! What goes to the thread and comes from it.

use crate::ids::NodeId;
use crate::store::legacy::LegacyStore;
use crate::store::raft_message::RaftMessage;
use crate::store::raft_node::{AppliedEntry, LogSize, PeerProgress, SnapshotDelivery};
use crate::store::records::Configuration;
use crate::store::state_machine::{ClusterState, MembershipChange, PendingDrain, Proposal};
use crate::store::storage::{IdentityResetReason, NodeIdentity, PersistedProgress};
use async_channel::Receiver;
use std::collections::BTreeMap;
use std::sync::mpsc::SyncSender;

/// What comes in.
#[derive(Debug)]
pub enum StoreCommand {
    /// Letters of other daemons.
    RaftMessages(Vec<RaftMessage>),
    /// A change, put into the log if this daemon leads. One that only restricts goes in at once, any other once
    /// a majority has confirmed that this daemon leads: what a leader that is cut off put into its log might
    /// count long after it was given up.
    Propose(Proposal),
    /// A change of the membership, if this daemon leads.
    ChangeMembership(MembershipChange),
    /// Drains that are not agreed yet, to be kept; the number comes back when they are on the disk.
    PersistDrains {
        /// All of them.
        drains: Vec<PendingDrain>,
        /// Their version, for [`StoreEvent::DrainsPersisted`].
        version: u64,
    },
    /// What was learned of the hosts, to be kept.
    PersistGossip(Vec<u8>),
    /// A new fleet begins with this state.
    FoundFleet(Box<ClusterState>),
    /// A fleet of this daemon alone goes on from this state, on an operator's word.
    ForceNewFleet(Box<ClusterState>),
    /// Others that this daemon may ask have found nothing wrong with its disk: it takes part.
    StartParticipating,
    /// This daemon is not the one that its disk says: it becomes a new one.
    ResetIdentity(IdentityResetReason),
    /// Another daemon is to lead.
    TransferLeadership(NodeId),
    /// If this daemon leads it says so now: somebody has come who may have missed it.
    BroadcastHeartbeat,
    /// This daemon asks for the lead, if nobody is known to lead.
    Campaign,
    /// A whole state was handed to the way to a daemon, or was not.
    SnapshotSent {
        /// To whom.
        to: NodeId,
        /// What became of it.
        delivery: SnapshotDelivery,
    },
    /// The way to a daemon is broken.
    PeerUnreachable(NodeId),
}

/// What goes out.
#[derive(Debug)]
pub enum StoreEvent {
    /// Letters to other daemons.
    RaftMessages(Vec<RaftMessage>),
    /// What was agreed.
    Applied(Vec<AppliedEntry>),
    /// How things stand.
    Status(Box<StoreStatus>),
    /// Drains with this number are on the disk.
    DrainsPersisted(u64),
    /// This daemon is a new one.
    IdentityReset(NodeIdentity),
    /// The disk failed: this daemon takes no part any more.
    StorageFailed(String),
}

/// How things stand with the agreement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreStatus {
    /// Who leads, as far as is known; 0: nobody.
    pub leader: NodeId,
    /// The term.
    pub term: u64,
    /// The last place of the log that is known as agreed.
    pub committed: u64,
    /// The last one that was taken in.
    pub applied: u64,
    /// What this daemon's disk holds, as others may remember it.
    pub own_progress: PersistedProgress,
    /// This daemon takes part.
    pub participating: bool,
    /// Who votes and who follows.
    pub configuration: Configuration,
    /// How far the others are, where this daemon leads.
    pub peer_progress: Vec<PeerProgress>,
    /// The size of the log in memory.
    pub log_size: LogSize,
    /// What others said of themselves.
    pub reported_progress: BTreeMap<NodeId, PersistedProgress>,
    /// Messages that were dropped: out of form, or while this node takes no part.
    pub dropped_messages: u64,
    /// Times that the consensus library panicked and its state was read again from the disk.
    pub raft_restarts: u64,
    /// Writes to the disk since the start, each of them synced.
    pub disk_writes: u64,
}

/// What stands at the start, before the thread runs.
pub struct OpenedStore {
    /// Who this daemon is.
    pub identity: NodeIdentity,
    /// What is agreed.
    pub state: ClusterState,
    /// How things stand.
    pub status: StoreStatus,
    /// Drains that are not agreed.
    pub drains: Vec<PendingDrain>,
    /// What was learned of the hosts before this start, as the fleet wrote it.
    pub gossip: Option<Vec<u8>>,
    /// A store of the old form.
    pub legacy: Option<LegacyStore>,
}

/// A store whose thread runs.
pub struct RunningStore {
    /// What it held at the start.
    pub opened: OpenedStore,
    /// Commands to the thread. The queue is bounded; the thread ends when the last sender is dropped.
    pub commands: SyncSender<StoreCommand>,
    /// Events of the thread.
    pub events: Receiver<StoreEvent>,
}
