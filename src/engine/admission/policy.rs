//! The admission policy and the types that it consists of.

use crate::routing::{Class, Consistency, GroupId, TimeDelta};
use std::collections::BTreeMap;

/// Kinds of requests, in the order in which their service recovers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKind {
    /// Requires the primary.
    Write,
    /// Requires an endpoint whose log position is known to be high enough.
    Read,
    /// Can be served by any endpoint.
    EventualRead,
}

impl RequestKind {
    /// The kind of a class's requests.
    pub fn of(class: &Class) -> RequestKind {
        match class.consistency {
            None | Some(Consistency::Write | Consistency::Strong) => RequestKind::Write,
            Some(Consistency::Session | Consistency::Bounded) => RequestKind::Read,
            Some(Consistency::Eventual) => RequestKind::EventualRead,
        }
    }

    /// The part of a group's traffic that requests of this kind belong to.
    pub(super) fn traffic(self) -> Traffic {
        match self {
            RequestKind::Write => Traffic::Writes,
            RequestKind::Read | RequestKind::EventualRead => Traffic::Reads,
        }
    }
}

/// The two parts of a group's traffic. They go to different endpoints and are admitted independently of each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Traffic {
    /// Requests that require the primary.
    Writes,
    /// All other requests.
    Reads,
}

/// How requests of one kind and group are admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionMode {
    /// All are rejected, with at least this retry-after hint.
    Closed(TimeDelta),
    /// They are admitted at a rate that adapts to the endpoints' answers. For endpoints that are warming up.
    Paced {
        /// This process's share of the endpoints' current capacity, in requests per second. The rate starts at this
        /// value.
        capacity_per_s: f64,
        /// Upper bound of the rate, in requests per second.
        max_per_s: f64,
        /// How `capacity_per_s` was determined.
        capacity_source: CapacitySource,
    },
    /// All are admitted.
    Open,
}

/// How the capacity of a group's endpoints was determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacitySource {
    /// All endpoints reported their utilization; the capacity is the rate that they served divided by the utilization.
    Reported,
    /// The capacity is the rate that the endpoints were observed to serve; the real one may be much higher.
    Estimated,
}

/// How requests of one group are admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupAdmission {
    /// The mode for requests that require the primary.
    pub writes: AdmissionMode,
    /// The mode for all other requests.
    pub reads: AdmissionMode,
}

impl GroupAdmission {
    pub(super) fn mode(&self, traffic: Traffic) -> AdmissionMode {
        match traffic {
            Traffic::Writes => self.writes,
            Traffic::Reads => self.reads,
        }
    }
}

/// What a process admits while service recovers.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionPolicy {
    /// The modes of each group. Groups that are missing are closed.
    pub groups: BTreeMap<GroupId, GroupAdmission>,
    /// Whether eventual reads, which any endpoint can serve, are admitted at all.
    pub admit_eventual_reads: bool,
    /// The retry-after hint for groups that are missing from `groups`, and for eventual reads that are not admitted.
    pub retry_after: TimeDelta,
}
