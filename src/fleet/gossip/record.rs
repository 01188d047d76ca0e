//! What peers tell one another of endpoints.

use crate::ids::NodeId;
use crate::time::{LogPosition, TimeDelta};
use serde::{Deserialize, Serialize};

/// Which start of a daemon, and how many facts it has told since.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GossipVersion {
    /// Its start, later ones greater.
    pub boot: u64,
    /// Its facts.
    pub facts: u64,
}

/// What one daemon heard a host say of itself, on its way to another daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipRecord {
    /// Who heard it.
    pub by: NodeId,
    /// Its number among that daemon's facts.
    pub count: GossipVersion,
    /// The host.
    pub host: String,
    /// The host called itself the primary.
    pub primary: bool,
    /// The position that it told, by its own clock.
    pub position: LogPosition,
    /// How long ago that was.
    pub age: TimeDelta,
    /// Attempts that were out at it then.
    pub out: u16,
    /// How long ago it started, as far as known.
    pub up: Option<TimeDelta>,
    /// Thousandths of a request that it served a second, for that daemon.
    pub rate: u32,
    /// Thousandths of its capacity that it said to be in use at that time; 0: it does not say.
    pub used: u16,
}
