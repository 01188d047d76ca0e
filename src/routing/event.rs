//! What the decision module is told.

use crate::ids::{EndpointId, GroupId, RequestId, ZoneId};
use crate::time::{LogPosition, TimeDelta, Timestamp};

/// What a member answered about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// It is the primary.
    pub primary: bool,
    /// How far it has applied the log, after `Settings::zero`; for a write its commit. 0: untold.
    pub position: LogPosition,
}

/// Values of a load report, in the order of `Settings::report_fields`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// How many values there are.
    pub count: u8,
    /// The values.
    pub values: [f64; 4],
}

/// Whether the list wants a member used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// In service.
    #[default]
    Ready,
    /// Finishing; nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// A line of the member list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEntry {
    /// The member.
    pub endpoint: EndpointId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its group.
    pub group: GroupId,
    /// Whether to use it.
    pub availability: Availability,
    /// The list takes it for the primary.
    pub primary: bool,
    /// Its size against other members.
    pub units: f64,
    /// When it last started; `None` is long ago.
    pub started_at: Option<Timestamp>,
}

/// What kind of list arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// A call or the subscription failed; the list stays.
    Failed,
    /// The whole list as last held, perhaps out of date.
    Cached,
    /// The whole list.
    Full,
    /// Changed lines only.
    Delta,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Served,
    /// An error; it may have run.
    Error,
    /// Turned away unseen.
    Overloaded,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Turned away untouched: not the primary, or too far behind.
    Misdirected,
}

impl AttemptOutcome {
    /// Whether the attempt may have had an effect though it was not served: a repeat of it has to be permitted.
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

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct IncomingRequest {
    /// Its number.
    pub id: RequestId,
    /// Its class.
    pub class: usize,
    /// The group that must answer it.
    pub group: GroupId,
    /// Its tenant.
    pub tenant: usize,
    /// Its work, where a hint came with it.
    pub work_hint: Option<TimeDelta>,
    /// Age of the session's last commit; `None` where there is none.
    pub last_commit_age: Option<TimeDelta>,
    /// The session; 0 is none.
    pub session: u64,
    /// The client marks it as its own repeat.
    pub repeated: bool,
    /// Time until the client gives this try up.
    pub client_timeout: TimeDelta,
}

/// How an attempt ended, and what came with it.
#[derive(Clone, Debug)]
pub struct AttemptFinished {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: u8,
    /// Where it was sent.
    pub endpoint: EndpointId,
    /// Time since it was sent.
    pub took: TimeDelta,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The request is finished.
    pub finished: bool,
    /// What the member answered about itself.
    pub replica_status: Option<ReplicaStatus>,
    /// Its load report.
    pub report: LoadReport,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A list of members.
    EndpointList {
        /// What kind of list.
        kind: ListKind,
        /// Its lines.
        entries: Vec<EndpointEntry>,
    },
    /// A client's request.
    Request(IncomingRequest),
    /// An answer has begun; the attempt is the client's now.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u8,
        /// Who answers.
        endpoint: EndpointId,
    },
    /// An attempt has ended.
    AttemptFinished(AttemptFinished),
    /// The client left, or the answer is overdue; nothing more is owed.
    RequestCancelled {
        /// The request.
        id: RequestId,
    },
    /// A timer is due.
    TimerFired {
        /// As the module set it.
        timer: u64,
    },
    /// A probe came back.
    ProbeFinished {
        /// The member.
        endpoint: EndpointId,
        /// It answered.
        ok: bool,
        /// Time since it was sent.
        took: TimeDelta,
        /// Its load report.
        report: LoadReport,
    },
    /// A message from another driver.
    PeerMessage {
        /// Its number.
        from: u16,
        /// The message.
        bytes: Vec<u8>,
    },
}
