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
pub enum Repeat {
    /// Safe to repeat.
    Safe,
    /// Carries a key by which repeats are dropped for a while.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// Where repeats of a keyed request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyGroup {
    /// By every member.
    All,
    /// By the members of the request's own group.
    Cell,
    /// By the members in one zone.
    Zone,
}

/// What a member does with a read that it lags too far behind for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behind {
    /// It answers from whatever it holds.
    Answers,
    /// It turns the read away untouched.
    Misses,
    /// It waits a while to catch up, then turns it away.
    Waits,
}

/// How a session read's need is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionMarks {
    /// The read carries the age of the session's last commit.
    Carried,
    /// The router remembers the writes it saw answered.
    Remembered,
}

/// A class of requests.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Answers within this time are worth most.
    pub aim: Option<TimeDelta>,
    /// The aim grows by this multiple of the request's own work.
    pub aim_stretch: Option<f64>,
    /// A client waits this long over all its tries.
    pub deadline: Option<TimeDelta>,
    /// Worth of an answer in time.
    pub worth: Option<f64>,
    /// Share of the worth left after the aim.
    pub late_worth: Option<f64>,
    /// Whether it may be repeated.
    pub repeat: Option<Repeat>,
    /// Who drops its repeats.
    pub key_group: Option<KeyGroup>,
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
    pub drivers: Option<u32>,
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
    pub over_share_worth: Option<f64>,
    /// The member list must be asked for.
    pub must_subscribe: Option<bool>,
    /// Without a subscription or a call for this long, the driver counts as told.
    pub must_ask_in: Option<TimeDelta>,
    /// Two attempts of one request may be out at once.
    pub second_copies: Option<bool>,
    /// Attempts may be cancelled.
    pub may_cancel: Option<bool>,
    /// Members may be probed.
    pub probes: Option<bool>,
    /// Drivers may send each other messages.
    pub peer_messages: Option<bool>,
    /// Clients are told when to come back.
    pub retry_after: Option<bool>,
    /// The longest wait a client honours.
    pub max_retry_after: Option<TimeDelta>,
    /// Attempts for one request.
    pub max_attempts: Option<u32>,
    /// A connection not made by then has failed.
    pub connect_timeout: Option<TimeDelta>,
    /// Slack after a client's deadline in which a final answer still counts.
    pub grace_to_answer: Option<TimeDelta>,
    /// Sends to a draining or gone member must stop within this.
    pub stop_sending_within: Option<TimeDelta>,
    /// Only an entry that says draining binds.
    pub drain_binds_alone: Option<bool>,
    /// A member starts with at least this share of its capacity.
    pub cold_share: Option<f64>,
    /// And is warm within this.
    pub warm_up: Option<TimeDelta>,
    /// A cold member falls over above this multiple of its present capacity.
    pub fall_multiple: Option<f64>,
    /// When that lasts this long.
    pub tip_after: Option<TimeDelta>,
    /// What a member does with a read it lags too far behind for.
    pub behind: Option<Behind>,
    /// How long it waits first.
    pub holds_for: Option<TimeDelta>,
    /// How a session read's need is known.
    pub session_marks: Option<SessionMarks>,
    /// Clock time from which positions count.
    pub zero: Option<Timestamp>,
    /// Names of the values in a load report, in order.
    pub report_fields: Vec<String>,
    /// Points lost for each attempt that crosses zones, per first try.
    pub cross_zone_fee: Option<f64>,
    /// Points lost for each probe, per first try.
    pub probe_fee: Option<f64>,
    /// Points lost for wasted member work, as a share of the work offered.
    pub waste_fee: Option<f64>,
}

/// What a member answered about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    /// It is the primary.
    pub primary: bool,
    /// How far it has applied the log, after `Settings::zero`; for a write its commit. 0: untold.
    pub position: LogPosition,
}

/// Values of a load report, in the order of `Settings::report_fields`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
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
pub struct Entry {
    /// The member.
    pub member: EndpointId,
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
pub enum Outcome {
    /// Served.
    Ok,
    /// An error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
    /// Turned away untouched: not the primary, or too far behind.
    Miss,
}

impl Outcome {
    /// Whether the attempt may have had an effect though it was not served: a repeat of it has to be permitted.
    pub fn may_have_run(self) -> bool {
        matches!(self, Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled)
    }
}

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// Its number.
    pub id: RequestId,
    /// Its class.
    pub class: usize,
    /// The group that must answer it.
    pub group: GroupId,
    /// Its tenant.
    pub tenant: usize,
    /// Its work, where a hint came with it.
    pub effort: Option<TimeDelta>,
    /// Age of the session's last commit; `None` where there is none.
    pub token_age: Option<TimeDelta>,
    /// The session; 0 is none.
    pub session: u64,
    /// The client marks it as its own repeat.
    pub repeated: bool,
    /// Time until the client gives this try up.
    pub patience: TimeDelta,
}

/// How an attempt ended, and what came with it.
#[derive(Clone, Debug)]
pub struct Settled {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: u8,
    /// Where it was sent.
    pub member: EndpointId,
    /// Time since it was sent.
    pub took: TimeDelta,
    /// How it ended.
    pub outcome: Outcome,
    /// The request is finished.
    pub finished: bool,
    /// What the member answered about itself.
    pub mark: Option<Mark>,
    /// Its load report.
    pub report: Report,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A list of members.
    Members {
        /// What kind of list.
        kind: ListKind,
        /// Its lines.
        entries: Vec<Entry>,
    },
    /// A client's request.
    Request(Ask),
    /// An answer has begun; the attempt is the client's now.
    Started {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u8,
        /// Who answers.
        member: EndpointId,
    },
    /// An attempt has ended.
    Settled(Settled),
    /// The client left, or the answer is overdue; nothing more is owed.
    Lapsed {
        /// The request.
        id: RequestId,
    },
    /// A timer is due.
    Wake {
        /// As the module set it.
        timer: u64,
    },
    /// A probe came back.
    Probed {
        /// The member.
        member: EndpointId,
        /// It answered.
        ok: bool,
        /// Time since it was sent.
        took: TimeDelta,
        /// Its load report.
        report: Report,
    },
    /// A message from another driver.
    Peer {
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
        member: EndpointId,
        /// When to abandon it; `None`: when the client does.
        stop_at: Option<Timestamp>,
    },
    /// Final answer: refused; trying again is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// When to come back.
        retry_in: Option<TimeDelta>,
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
    WakeIn {
        /// From now.
        span: TimeDelta,
        /// Handed back.
        timer: u64,
    },
    /// Probe a member.
    Probe {
        /// The member.
        member: EndpointId,
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
        member: EndpointId,
    },
    /// A message to another driver, or to all of them.
    Tell {
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
