//! Settings of the decision module, as configured by the operator.
//!
//! A setting that is not configured is `None` or empty; the module that uses it defines the default.

use crate::ids::ZoneId;
use crate::time::{TimeDelta, Timestamp};

/// Whether a request is a write, and if not, how fresh the data that it reads must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// A write: only the primary accepts it.
    Write,
    /// A read that must reflect every commit made before it arrived.
    Strong,
    /// A read that must reflect all earlier writes of its session.
    Session,
    /// A read of data that is no older than [`Class::max_age`] when the read is sent.
    Bounded,
    /// A read of data of any age.
    Eventual,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A second run has no further effect.
    Idempotent,
    /// It carries an idempotency key: endpoints drop repeats within [`Class::key_window`].
    Keyed,
    /// It must not run twice.
    NonIdempotent,
}

/// Which endpoints share the idempotency keys that they have received, and so drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All endpoints.
    AllEndpoints,
    /// The endpoints of the request's group.
    Group,
    /// The endpoints in one zone.
    Zone,
}

/// What an endpoint does with a read for which its data is too old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicationLagPolicy {
    /// It serves the read from its stale data.
    ServeStale,
    /// It rejects the read without running it.
    Reject,
    /// It waits for up to [`Settings::catch_up_timeout`] until it has caught up; if it has not by then, it rejects the
    /// read.
    WaitThenReject,
}

/// Where the router gets the last commit of a session, which a session read must reflect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionTracking {
    /// The client sends the age of its session's last commit with the read.
    Carried,
    /// The router stores the commit of the last write that it routed for each session.
    Remembered,
}

/// A class of requests: its latency objective, value, idempotency and consistency.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// A response within this time has its full value.
    pub latency_objective: Option<TimeDelta>,
    /// The objective is extended by [`super::IncomingRequest::work_hint`] times this factor.
    pub latency_objective_per_work: Option<f64>,
    /// How long a client waits in total, including its own retries.
    pub deadline: Option<TimeDelta>,
    /// Value of a response within the objective.
    pub priority_weight: Option<f64>,
    /// Fraction of that value that a response after the objective still has.
    pub late_priority_weight: Option<f64>,
    /// Whether its requests may run more than once.
    pub idempotency: Option<Idempotency>,
    /// Which endpoints drop repeats of its keyed requests.
    pub key_scope: Option<KeyScope>,
    /// How long endpoints drop repeats, counted from the first attempt that may have run.
    pub key_window: Option<TimeDelta>,
    /// Whether its requests are writes, and if not, how fresh their data must be.
    pub consistency: Option<Consistency>,
    /// Maximum age of the data for a [`Consistency::Bounded`] class.
    pub max_age: Option<TimeDelta>,
}

/// A tenant, whose requests share a quota.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests per second that are within the quota, counted over all poolers.
    pub quota_per_s: Option<f64>,
}

/// All settings of one pooler's decision module.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of poolers that share the endpoints.
    pub pooler_count: Option<u32>,
    /// This pooler's number among them, counted from 0.
    pub pooler_number: Option<u16>,
    /// This pooler's zone.
    pub zone: Option<ZoneId>,
    /// Minimum time between two batches of events.
    pub event_batch_interval: Option<TimeDelta>,
    /// The classes; a request names its class by the index.
    pub classes: Vec<Class>,
    /// The tenants; a request names its tenant by the index.
    pub tenants: Vec<Tenant>,
    /// Value of a request beyond its tenant's quota, relative to one within it.
    pub over_quota_priority_weight: Option<f64>,
    /// Whether the endpoint list is sent only after [`super::Action::Subscribe`] or [`super::Action::FetchList`].
    pub must_subscribe: Option<bool>,
    /// A pooler that neither subscribes to the list nor fetches it within this time counts as informed of its changes.
    pub list_request_interval: Option<TimeDelta>,
    /// Whether requests may be hedged: two attempts of one request in flight at once.
    pub may_hedge: Option<bool>,
    /// Whether attempts may be cancelled.
    pub may_cancel: Option<bool>,
    /// Whether endpoints may be probed.
    pub may_probe: Option<bool>,
    /// Whether poolers may send each other messages.
    pub peer_messages: Option<bool>,
    /// Whether rejections may carry a retry-after.
    pub may_send_retry_after: Option<bool>,
    /// The longest retry-after that clients honour.
    pub max_retry_after: Option<TimeDelta>,
    /// Maximum number of attempts per request.
    pub max_attempts: Option<u32>,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Option<TimeDelta>,
    /// Time after a client's deadline within which a final answer is still accepted.
    pub answer_grace: Option<TimeDelta>,
    /// Time within which a pooler must stop sending attempts to a draining or removed endpoint.
    pub drain_grace: Option<TimeDelta>,
    /// Whether only an explicit draining entry takes an endpoint out of use. If set, removal from the list does not.
    pub keep_unlisted_endpoints: Option<bool>,
    /// Minimum capacity of an endpoint when it starts, as a fraction of its full capacity.
    pub cold_capacity: Option<f64>,
    /// Time after its start within which an endpoint reaches its full capacity.
    pub warm_up: Option<TimeDelta>,
    /// Load, as a multiple of its current capacity, above which a cold endpoint fails.
    pub overload_multiple: Option<f64>,
    /// How long such an overload must last to make the endpoint fail.
    pub overload_window: Option<TimeDelta>,
    /// What an endpoint does with a read for which its data is too old.
    pub replication_lag_policy: Option<ReplicationLagPolicy>,
    /// How long an endpoint waits to catch up under [`ReplicationLagPolicy::WaitThenReject`].
    pub catch_up_timeout: Option<TimeDelta>,
    /// Where the router gets the last commit of a session.
    pub session_tracking: Option<SessionTracking>,
    /// Clock time from which log positions are counted.
    pub position_epoch: Option<Timestamp>,
    /// Names of the values of a load report, in the order in which they are reported.
    pub report_fields: Vec<String>,
    /// Cost of an attempt in another zone, in points per first attempt.
    pub cross_zone_cost: Option<f64>,
    /// Cost of a probe, in points per first attempt.
    pub probe_cost: Option<f64>,
    /// Cost in points of wasted work at the endpoints, as a fraction of the offered work.
    pub waste_cost: Option<f64>,
}
