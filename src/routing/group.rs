//! What the router keeps of a group.

use super::decayed_rate::Rate;
use super::*;
use std::collections::BTreeSet;

/// What the router keeps of a group.
#[derive(Default)]
pub(super) struct Group {
    pub(super) endpoints: BTreeSet<EndpointId>,
    /// The believed primary.
    pub(super) primary: Option<EndpointId>,
    /// A round of misses found no primary: writes are held.
    pub(super) holding: bool,
    /// The one write that looks for the primary, and the members tried on this round.
    pub(super) scout: Option<RequestId>,
    pub(super) walked: BTreeSet<EndpointId>,
    pub(super) timer_at: Option<Timestamp>,
    pub(super) held: [BTreeSet<Rank>; 2],
    /// Sends of this driver to the group, decayed.
    pub(super) rate: Rate,
}

/// Places of reads and of writes among what a group holds.
pub(super) const READS: usize = 0;
pub(super) const WRITES: usize = 1;

/// The order in which held requests go: still in time, most urgent first.
pub(super) type Rank = (bool, Timestamp, RequestId);
