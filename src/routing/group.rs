//! What the router keeps of a group.

use super::decayed_rate::DecayedRate;
use super::*;
use std::collections::BTreeSet;

/// What the router keeps of a group.
#[derive(Default)]
pub(super) struct Group {
    pub(super) endpoints: BTreeSet<EndpointId>,
    /// The believed primary.
    pub(super) primary: Option<EndpointId>,
    /// A round of misses found no primary: writes are held.
    pub(super) awaiting_primary: bool,
    /// The one write that looks for the primary, and the members tried on this round.
    pub(super) discovery_request: Option<RequestId>,
    pub(super) tried_in_round: BTreeSet<EndpointId>,
    pub(super) discovery_timer_at: Option<Timestamp>,
    pub(super) queued: [BTreeSet<QueuePosition>; 2],
    /// Sends of this driver to the group, decayed.
    pub(super) send_rate: DecayedRate,
}

/// Places of reads and of writes among what a group holds.
pub(super) const READS: usize = 0;
pub(super) const WRITES: usize = 1;

/// The order in which held requests go: still in time, most urgent first.
pub(super) type QueuePosition = (bool, Timestamp, RequestId);
