//! Events: what the runtime reports to the decision module.

use crate::ids::{EndpointId, GroupId, RequestId, ZoneId};
use crate::time::{LogPosition, TimeDelta, Timestamp};

/// What an endpoint responded about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// It is the primary of its group.
    pub primary: bool,
    /// How far it has applied its group's log; in the response to a write, that write's commit.
    pub position: LogPosition,
}

/// Values of a load report, in the order of [`super::Settings::report_fields`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// How many of `values` were reported.
    pub count: u8,
    /// The values.
    pub values: [f64; LoadReport::MAX_VALUES],
}

impl LoadReport {
    /// Values that a load report has at most.
    pub const MAX_VALUES: usize = 4;
}

/// Whether the endpoint list permits an endpoint's use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// In service.
    #[default]
    Ready,
    /// Finishes what it has; it must get nothing new.
    Draining,
    /// Removed from the list.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its group.
    pub group: GroupId,
    /// Whether it may be used.
    pub availability: Availability,
    /// The list names it as its group's primary. The list trails by seconds.
    pub primary: bool,
    /// Its size against other endpoints.
    pub units: f64,
    /// When its process started; `None` is long ago.
    pub started_at: Option<Timestamp>,
}

/// What an update of the endpoint list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Nothing: a call or the subscription failed. The list stays as it is.
    Failed,
    /// The whole list from a cache; it may be out of date.
    Cached,
    /// The whole list.
    Full,
    /// Changed entries only.
    Delta,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Served,
    /// The endpoint responded with an error; the attempt may have run.
    Error,
    /// Rejected for overload; it never ran.
    Overloaded,
    /// No response in time; it may have run.
    TimedOut,
    /// No connection could be established; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
    /// Rejected without running: the endpoint is not the primary, or its data is too old.
    Misdirected,
}

impl AttemptOutcome {
    /// Whether the attempt may have had an effect though it was not served, so that a retry needs the class's
    /// permission.
    pub fn may_have_run(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Error
                | AttemptOutcome::TimedOut
                | AttemptOutcome::Reset
                | AttemptOutcome::Cancelled
        )
    }
}

/// A request of a client.
#[derive(Clone, Debug, Default)]
pub struct IncomingRequest {
    /// Its id, which no other request of this pooler has had.
    pub id: RequestId,
    /// Its class, as an index into [`super::Settings::classes`].
    pub class: usize,
    /// The group that must serve it.
    pub group: GroupId,
    /// Its tenant, as an index into [`super::Settings::tenants`].
    pub tenant: usize,
    /// An estimate of its work, where one came with it.
    pub work_hint: Option<TimeDelta>,
    /// Age of its session's last commit; `None` where there is none.
    pub last_commit_age: Option<TimeDelta>,
    /// Its session; 0 is none.
    pub session: u64,
    /// The client marks it as a retry of its own.
    pub repeated: bool,
    /// Time until the client gives up.
    pub client_timeout: TimeDelta,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptFinished {
    /// The request.
    pub id: RequestId,
    /// The attempt's number within the request, counted from 0.
    pub attempt: u8,
    /// Where it was sent.
    pub endpoint: EndpointId,
    /// Time since it was sent.
    pub took: TimeDelta,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The request has its final answer: no retry may follow.
    pub finished: bool,
    /// What the endpoint responded about itself, if anything.
    pub replica_status: Option<ReplicaStatus>,
    /// The endpoint's load report.
    pub report: LoadReport,
}

/// Something that happened. [`super::Router::handle`] takes one at a time.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list, or a part of it.
    EndpointList {
        /// What `entries` holds.
        kind: ListKind,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// A client sent a request.
    Request(IncomingRequest),
    /// A response has begun to reach the client: no other attempt can replace this one.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u8,
        /// Which endpoint responds.
        endpoint: EndpointId,
    },
    /// An attempt has ended.
    AttemptFinished(AttemptFinished),
    /// The client left or its deadline passed: no answer is expected any more.
    RequestCancelled {
        /// The request.
        id: RequestId,
    },
    /// The timer of a [`super::Action::SetTimer`] fired.
    TimerFired {
        /// As in the action.
        timer: u64,
    },
    /// A probe ended.
    ProbeFinished {
        /// The endpoint.
        endpoint: EndpointId,
        /// It responded.
        ok: bool,
        /// Time since it was sent.
        took: TimeDelta,
        /// Its load report.
        report: LoadReport,
    },
    /// A message of another pooler.
    PeerMessage {
        /// That pooler's number.
        from: u16,
        /// The message; untrusted.
        bytes: Vec<u8>,
    },
}
