//! What an admission policy consists of.

use crate::routing::{Class, Consistency, GroupId, TimeDelta};
use std::collections::BTreeMap;

/// Kinds of requests, in the order in which service recovers for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKind {
    /// It needs the primary.
    Write,
    /// It needs an endpoint whose log position is proven.
    Read,
    /// Any endpoint can serve it.
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

    /// The traffic that requests of this kind belong to.
    pub(super) fn traffic(self) -> Traffic {
        match self {
            RequestKind::Write => Traffic::Writes,
            RequestKind::Read | RequestKind::EventualRead => Traffic::Reads,
        }
    }
}

/// The two parts of a group's traffic. Each goes to endpoints of its own and is admitted on its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Traffic {
    /// Requests that need the primary.
    Writes,
    /// All other requests.
    Reads,
}

/// How requests of one kind and group are admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionMode {
    /// None is; they are rejected with at least this retry-after hint.
    Closed(TimeDelta),
    /// At a rate that is adapted to how the endpoints answer, while they are warming up.
    Paced {
        /// This process's share of the endpoints' present capacity, in requests per second. The rate starts there.
        capacity_per_s: f64,
        /// Upper bound of the rate, in requests per second.
        max_per_s: f64,
        /// Where `capacity_per_s` comes from.
        capacity_source: CapacitySource,
    },
    /// All are.
    Open,
}

/// Where the capacity of a group's endpoints is known from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacitySource {
    /// All endpoints reported their utilization: the capacity is what they served, divided by it.
    Reported,
    /// It is what endpoints were seen to serve; the real capacity may be much greater.
    Estimated,
}

/// How requests of one group are admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupAdmission {
    /// Requests that need the primary.
    pub writes: AdmissionMode,
    /// All other requests.
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

/// What a process admits while its service recovers.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionPolicy {
    /// By group; groups that are not in it are closed.
    pub groups: BTreeMap<GroupId, GroupAdmission>,
    /// Whether eventual reads, which any endpoint can serve, are admitted at all.
    pub admit_eventual_reads: bool,
    /// Retry-after hint for groups that are not in the map, and for eventual reads that are not admitted.
    pub retry_after: TimeDelta,
}
