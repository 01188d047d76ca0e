//! What the decision module is told and what it can ask for: settings, events, actions.
//!
//! Nothing here decides. Times are readings of the driver's own clock; a setting that the
//! operator does not state is `None`, and the module settles what that means.

mod router;
pub mod settings_parser;

pub use router::Router;

pub use crate::ids::{EndpointId, GroupId, RequestId, ZoneId};
pub use crate::time::{LogPosition, TimeDelta, Timestamp};

/// How current the data behind an answer must be, or that the request writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Only the primary takes it.
    Write,
    /// A read that reflects every commit made before it arrived.
    Strong,
    /// A read that reflects what its session has written.
    Session,
    /// A read from data no older than the class's bound when it is sent.
    Bounded,
    /// Any member will do.
    Eventual,
}

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to repeat.
    Idempotent,
    /// Carries a key by which repeats are dropped for a while.
    Keyed,
    /// Must never run twice.
    NonIdempotent,
}

/// Where repeats of a keyed request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// By every member.
    AllEndpoints,
    /// By the members of the request's own group.
    Group,
    /// By the members in one zone.
    Zone,
}

/// What a member does with a read that it lags too far behind for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicationLagPolicy {
    /// It answers from whatever it holds.
    ServeStale,
    /// It turns the read away untouched.
    Reject,
    /// It waits a while to catch up, then turns it away.
    WaitThenReject,
}

/// How a session read's need is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionTracking {
    /// The read carries the age of the session's last commit.
    Carried,
    /// The router remembers the writes it saw answered.
    Remembered,
}

/// A class of requests.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Answers within this time are worth most.
    pub latency_objective: Option<TimeDelta>,
    /// The aim grows by this multiple of the request's own work.
    pub latency_objective_per_work: Option<f64>,
    /// A client waits this long over all its tries.
    pub deadline: Option<TimeDelta>,
    /// Worth of an answer in time.
    pub priority_weight: Option<f64>,
    /// Share of the worth left after the aim.
    pub late_priority_weight: Option<f64>,
    /// Whether it may be repeated.
    pub idempotency: Option<Idempotency>,
    /// Who drops its repeats.
    pub key_scope: Option<KeyScope>,
    /// How long repeats are dropped, from the first send that may have run.
    pub key_window: Option<TimeDelta>,
    /// How current its data must be.
    pub consistency: Option<Consistency>,
    /// The bound of a `Bounded` class.
    pub max_age: Option<TimeDelta>,
}

/// A tenant's share.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests a second within its share, over all drivers.
    pub quota_per_s: Option<f64>,
}

/// Settings as the operator states them; `None` or empty where they are silent.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Drivers that share the members.
    pub pooler_count: Option<u32>,
    /// This driver's number among them.
    pub me: Option<u16>,
    /// This driver's zone.
    pub zone: Option<ZoneId>,
    /// The least time between two batches of events.
    pub step: Option<TimeDelta>,
    /// Classes, by number.
    pub classes: Vec<Class>,
    /// Tenants, by number.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, against one within.
    pub over_quota_priority_weight: Option<f64>,
    /// The member list must be asked for.
    pub must_subscribe: Option<bool>,
    /// Without a subscription or a call for this long, the driver counts as told.
    pub list_request_interval: Option<TimeDelta>,
    /// Two attempts of one request may be out at once.
    pub may_hedge: Option<bool>,
    /// Attempts may be cancelled.
    pub may_cancel: Option<bool>,
    /// Members may be probed.
    pub may_probe: Option<bool>,
    /// Drivers may send each other messages.
    pub peer_messages: Option<bool>,
    /// Clients are told when to come back.
    pub may_send_retry_after: Option<bool>,
    /// The longest wait a client honours.
    pub max_retry_after: Option<TimeDelta>,
    /// Attempts for one request.
    pub max_attempts: Option<u32>,
    /// A connection not made by then has failed.
    pub connect_timeout: Option<TimeDelta>,
    /// Slack after a client's deadline in which a final answer still counts.
    pub answer_grace: Option<TimeDelta>,
    /// Sends to a draining or gone member must stop within this.
    pub drain_grace: Option<TimeDelta>,
    /// Only an entry that says draining binds.
    pub only_stated_drain_binds: Option<bool>,
    /// A member starts with at least this share of its capacity.
    pub cold_capacity: Option<f64>,
    /// And is warm within this.
    pub warm_up: Option<TimeDelta>,
    /// A cold member falls over above this multiple of its present capacity.
    pub overload_multiple: Option<f64>,
    /// When that lasts this long.
    pub overload_window: Option<TimeDelta>,
    /// What a member does with a read it lags too far behind for.
    pub replication_lag_policy: Option<ReplicationLagPolicy>,
    /// How long it waits first.
    pub catch_up_timeout: Option<TimeDelta>,
    /// How a session read's need is known.
    pub session_tracking: Option<SessionTracking>,
    /// Clock time from which positions count.
    pub zero: Option<Timestamp>,
    /// Names of the values in a load report, in order.
    pub report_fields: Vec<String>,
    /// Points lost for each attempt that crosses zones, per first try.
    pub cross_zone_cost: Option<f64>,
    /// Points lost for each probe, per first try.
    pub probe_cost: Option<f64>,
    /// Points lost for wasted member work, as a share of the work offered.
    pub waste_cost: Option<f64>,
}

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

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// When to abandon it; `None`: when the client does.
        stop_at: Option<Timestamp>,
    },
    /// Final answer: refused; trying again is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// When to come back.
        retry_after: Option<TimeDelta>,
    },
    /// Final answer: failed; nothing is promised.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u8,
    },
    /// Ask for a `Wake`.
    SetTimer {
        /// From now.
        span: TimeDelta,
        /// Handed back.
        timer: u64,
    },
    /// Probe a member.
    Probe {
        /// The member.
        endpoint: EndpointId,
    },
    /// Subscribe to list changes, or stop.
    Subscribe {
        /// On or off.
        on: bool,
    },
    /// Ask for the whole list once.
    FetchList,
    /// Close idle connections to a member.
    CloseIdle {
        /// The member.
        endpoint: EndpointId,
    },
    /// A message to another driver, or to all of them.
    SendToPeers {
        /// Its number; `None`: all.
        to: Option<u16>,
        /// The message, 256 bytes at most.
        bytes: Vec<u8>,
    },
    /// A line for the operators.
    Log {
        /// The line.
        text: String,
    },
}
