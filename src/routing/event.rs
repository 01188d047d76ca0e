//! Events: what the router's caller, the engine or the simulator adapter, reports to it.

use crate::ids::{EndpointId, GroupId, RequestId, ZoneId};
use crate::time::{LogPosition, TimeDelta, Timestamp};

/// Role and log position that an endpoint reported in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Whether it is the primary of its group.
    pub primary: bool,
    /// How far it has applied its group's log; in the response to a write, the position of that write's commit.
    pub position: LogPosition,
}

/// Values of a load report, in the order of [`super::Settings::report_fields`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// How many of `values` were reported, counted from the first.
    pub count: u8,
    /// The reported values, followed by unused elements.
    pub values: [f64; LoadReport::MAX_VALUES],
}

impl LoadReport {
    /// The maximum number of values in a load report.
    pub const MAX_VALUES: usize = 4;
}

/// Whether an endpoint may be used, according to the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// In service.
    #[default]
    Ready,
    /// It finishes the attempts that it has and must not be sent new ones.
    Draining,
    /// Removed from the list.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEntry {
    /// The endpoint that the entry describes.
    pub endpoint: EndpointId,
    /// The zone in which the endpoint runs.
    pub zone: ZoneId,
    /// The group that the endpoint serves.
    pub group: GroupId,
    /// Whether the endpoint may be used.
    pub availability: Availability,
    /// Whether the list names it as its group's primary. The list lags by seconds.
    pub primary: bool,
    /// Its capacity relative to other endpoints.
    pub capacity_units: f64,
    /// When its process started; `None` if that is unknown or long ago.
    pub started_at: Option<Timestamp>,
}

/// What an update of the endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Nothing: a call or the subscription failed. The current list stays in use.
    Failed,
    /// Nothing: the source of the list does not respond, so changes may be missing from the current list, which stays
    /// in use.
    Unconfirmed,
    /// The whole list from a cache, possibly out of date.
    Cached,
    /// The whole list from its source.
    Full,
    /// Only the entries that changed.
    Delta,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint ran it and returned its result.
    Served,
    /// The endpoint responded with an error; the attempt may have run.
    Error,
    /// The endpoint rejected it as overloaded, or the backend pool had no connection left for it; it did not run.
    Overloaded,
    /// No response in time; it may have run.
    TimedOut,
    /// It was not sent completely: no connection could be established, the connection was lost before the last byte of
    /// the request was written, or the endpoint no longer accepts requests. It did not run.
    ConnectFailed,
    /// The connection broke after the last byte of the request was written; it may have run.
    Reset,
    /// The pooler cancelled it; it may have run.
    Cancelled,
    /// It was not sent and did not run.
    NotSent,
    /// The endpoint rejected it without running it: it is not the primary, or its data is too old.
    Misdirected,
    /// It was not sent and did not run: while its connection was being established, the endpoint's log position ceased
    /// to prove that its data is fresh enough.
    FreshnessExpired,
}

impl AttemptOutcome {
    /// Whether the attempt may have had an effect although it was not served. Such an attempt is retried only if the
    /// class's idempotency permits it.
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

/// A request from a client.
#[derive(Clone, Debug, Default)]
pub struct IncomingRequest {
    /// Its id, unique among all requests of this pooler.
    pub id: RequestId,
    /// Its class, as an index into [`super::Settings::classes`].
    pub class: usize,
    /// The group that must serve it.
    pub group: GroupId,
    /// Its tenant, as an index into [`super::Settings::tenants`].
    pub tenant: usize,
    /// The client's estimate of its service time, if it sent one.
    pub work_hint: Option<TimeDelta>,
    /// Age of its session's last commit; `None` if the client sent none.
    pub last_commit_age: Option<TimeDelta>,
    /// Its session; 0 for none.
    pub session: u64,
    /// Whether the client marked it as a retry of an earlier request.
    pub is_client_retry: bool,
    /// Time until the client stops waiting for the answer.
    pub client_timeout: TimeDelta,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptFinished {
    /// The request that the attempt belongs to.
    pub id: RequestId,
    /// The attempt's number within the request, counted from 0.
    pub attempt: u8,
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// Time from its sending to its end.
    pub took: TimeDelta,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Whether the request has its final answer, so that no retry may follow.
    pub request_answered: bool,
    /// The role and position in the response; `None` if there was no response or it contained neither.
    pub replica_status: Option<ReplicaStatus>,
    /// The load report in the response; empty if there was none.
    pub report: LoadReport,
}

/// An input to the router. [`super::Router::handle`] takes one at a time.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list or an update of it was received, or its subscription failed.
    EndpointList {
        /// What `entries` contains.
        kind: ListKind,
        /// All entries, or only the changed ones; empty for [`ListKind::Failed`].
        entries: Vec<EndpointEntry>,
    },
    /// A client sent a request.
    Request(IncomingRequest),
    /// A part of the response has been sent to the client, so no other attempt can replace this one.
    ResponseStarted {
        /// The request that is answered.
        id: RequestId,
        /// The attempt's number within the request, counted from 0.
        attempt: u8,
        /// The endpoint that responds.
        endpoint: EndpointId,
    },
    /// An attempt has ended.
    AttemptFinished(AttemptFinished),
    /// The router must not answer the request any more: the client disconnected, or the caller has answered it.
    RequestCancelled {
        /// The request that was cancelled.
        id: RequestId,
    },
    /// The timer of a [`super::Action::SetTimer`] fired.
    TimerFired {
        /// The number from the action.
        timer: u64,
    },
    /// A probe ended.
    ProbeFinished {
        /// The endpoint that was probed.
        endpoint: EndpointId,
        /// Whether the endpoint responded.
        ok: bool,
        /// Time from the probe's sending to its end; for a report that a peer received, its age.
        took: TimeDelta,
        /// The load report in the response; empty if there was no response.
        report: LoadReport,
    },
    /// A message from another pooler.
    PeerMessage {
        /// The number of the sending pooler.
        from: u16,
        /// The encoded message, which must be treated as untrusted.
        bytes: Vec<u8>,
    },
}
