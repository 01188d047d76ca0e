//! What the operator states about classes, tenants, limits and guarantees.

use crate::ids::ZoneId;
use crate::time::{TimeDelta, Timestamp};

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
