//! Settings of the decision module, as the operator states them.
//!
//! A setting that is not stated is `None` or empty; the module that uses it defines the default.

use crate::ids::ZoneId;
use crate::time::{TimeDelta, Timestamp};

/// How current the data behind a response must be, or that the request writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// A write: only the primary accepts it.
    Write,
    /// A read that reflects every commit made before it arrived.
    Strong,
    /// A read that reflects all writes of its own session.
    Session,
    /// A read from data that is no older than [`Class::max_age`] when the read is sent.
    Bounded,
    /// A read from any endpoint's data.
    Eventual,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A second run has no further effect.
    Idempotent,
    /// It carries an idempotency key: within [`Class::key_window`] endpoints drop repeats.
    Keyed,
    /// It must never run twice.
    NonIdempotent,
}

/// Which endpoints know an idempotency key and drop repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All endpoints.
    AllEndpoints,
    /// The endpoints of the request's group.
    Group,
    /// The endpoints in one zone.
    Zone,
}

/// What an endpoint does with a read that its data is too old for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicationLagPolicy {
    /// It responds from the data it has.
    ServeStale,
    /// It rejects the read without running it.
    Reject,
    /// It waits for up to [`Settings::catch_up_timeout`] to catch up, then rejects the read.
    WaitThenReject,
}

/// How it is known which writes a session read must reflect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionTracking {
    /// The read carries the age of its session's last commit.
    Carried,
    /// The router remembers the commits of the responses that it saw.
    Remembered,
}

/// A class of requests: objectives and what is permitted.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Responses within this time have their full value.
    pub latency_objective: Option<TimeDelta>,
    /// The objective grows by this multiple of the request's own work.
    pub latency_objective_per_work: Option<f64>,
    /// A client waits this long over all its attempts.
    pub deadline: Option<TimeDelta>,
    /// Value of a response within the objective.
    pub priority_weight: Option<f64>,
    /// Share of that value that a response after the objective still has.
    pub late_priority_weight: Option<f64>,
    /// Whether it may run more than once.
    pub idempotency: Option<Idempotency>,
    /// Which endpoints drop its repeats.
    pub key_scope: Option<KeyScope>,
    /// How long endpoints drop repeats, from the first attempt that may have run.
    pub key_window: Option<TimeDelta>,
    /// How current its data must be.
    pub consistency: Option<Consistency>,
    /// Maximal age of the data of a [`Consistency::Bounded`] class.
    pub max_age: Option<TimeDelta>,
}

/// A tenant's quota.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests per second within the quota, over all poolers.
    pub quota_per_s: Option<f64>,
}

/// All settings of one pooler's decision module.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Poolers that share the endpoints.
    pub pooler_count: Option<u32>,
    /// This pooler's number among them.
    pub me: Option<u16>,
    /// This pooler's zone.
    pub zone: Option<ZoneId>,
    /// The shortest time between two batches of events.
    pub step: Option<TimeDelta>,
    /// Classes, by number.
    pub classes: Vec<Class>,
    /// Tenants, by number.
    pub tenants: Vec<Tenant>,
    /// Value of a request beyond its tenant's quota, against one within.
    pub over_quota_priority_weight: Option<f64>,
    /// The endpoint list comes only after [`super::Action::Subscribe`] or [`super::Action::FetchList`].
    pub must_subscribe: Option<bool>,
    /// A pooler that neither subscribes nor fetches for this long still counts as informed of the list.
    pub list_request_interval: Option<TimeDelta>,
    /// Two attempts of one request may be in flight at once (hedging).
    pub may_hedge: Option<bool>,
    /// Attempts may be cancelled.
    pub may_cancel: Option<bool>,
    /// Endpoints may be probed.
    pub may_probe: Option<bool>,
    /// Poolers may send each other messages.
    pub peer_messages: Option<bool>,
    /// Rejections may carry a retry-after.
    pub may_send_retry_after: Option<bool>,
    /// The longest retry-after that clients honour.
    pub max_retry_after: Option<TimeDelta>,
    /// Limit of attempts of one request.
    pub max_attempts: Option<u32>,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Option<TimeDelta>,
    /// Time after a client's deadline in which a final answer still counts.
    pub answer_grace: Option<TimeDelta>,
    /// Attempts to a draining or removed endpoint must stop within this time.
    pub drain_grace: Option<TimeDelta>,
    /// Only an entry that says draining ends an endpoint's use; its removal from the list does not.
    pub only_stated_drain_binds: Option<bool>,
    /// Share of its capacity that an endpoint has at least when it starts.
    pub cold_capacity: Option<f64>,
    /// Time within which a started endpoint reaches its full capacity.
    pub warm_up: Option<TimeDelta>,
    /// Load, as a multiple of its present capacity, above which a cold endpoint falls over.
    pub overload_multiple: Option<f64>,
    /// How long such a load has to last for that.
    pub overload_window: Option<TimeDelta>,
    /// What an endpoint does with a read that its data is too old for.
    pub replication_lag_policy: Option<ReplicationLagPolicy>,
    /// How long an endpoint waits first under [`ReplicationLagPolicy::WaitThenReject`].
    pub catch_up_timeout: Option<TimeDelta>,
    /// How it is known which writes a session read must reflect.
    pub session_tracking: Option<SessionTracking>,
    /// Clock time from which log positions count.
    pub zero: Option<Timestamp>,
    /// Names of the values of a load report, in their order.
    pub report_fields: Vec<String>,
    /// Cost of an attempt that crosses zones, in points per first attempt.
    pub cross_zone_cost: Option<f64>,
    /// Cost of a probe, in points per first attempt.
    pub probe_cost: Option<f64>,
    /// Cost of work that endpoints did in vain, in points, as a share of the work offered.
    pub waste_cost: Option<f64>,
}
