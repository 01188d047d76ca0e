//! Every decision of the router, read from top to bottom: learn, write path, read path, attempts and
//! answers, guards. The types it speaks (settings, events, actions) are in `src/routing/mod.rs`.
//!
//! The ordinary path is the mechanism of the RFT paper as `docs/design.md` lays it out: a believed
//! primary for each group, a ring of its other members in sorted order, holding of writes after a

use super::decayed_rate::DecayedRate;
use super::endpoints::EndpointState;
use super::group::Group;
use super::request::Request;
use super::timers::Timer;
use super::*;
use crate::primary_hint::PrimaryHint;
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// The design's half-second timer; also the shortest time for which a member that failed is left alone.
pub(super) const DISCOVERY_INTERVAL: TimeDelta = TimeDelta::from_millis(500);
/// Doublings at most of a back-off: 8 s, about as long as a member takes to come back.
pub(super) const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Weight of a new sample in smoothed latencies: some ten answers make up a member's figure.
pub(super) const LATENCY_SMOOTHING: f64 = 0.1;
/// Attempts that all drivers together keep at a member at least, or it could not be seen to recover.
pub(super) const MIN_CONCURRENCY_OF_ALL_POOLERS: f64 = 3.0;
/// A driver's first window against its least, before it has seen how the member bears it; one at least.
pub(super) const INITIAL_LIMIT_FACTOR: f64 = 8.0;
/// A window shrinks by this factor when answers come late or the member says it is full.
pub(super) const LIMIT_DECREASE_FACTOR: f64 = 0.5;
/// Latency assumed for a class before its first answer, as a share of its aim.
pub(super) const INITIAL_LATENCY_SHARE: f64 = 0.25;
/// Positions are told in whole milliseconds, rounded down.
pub(super) const POSITION_RESOLUTION: TimeDelta = TimeDelta::from_millis(1);
/// Errors with no good answer between that are laid to the member: fewer follow a request, key or tenant.
pub(super) const ERRORS_BEFORE_EJECTION: u32 = 3;
/// Errors after which a request is given up.
pub(super) const MAX_ERRORS_PER_REQUEST: u32 = 2;
/// A read waits so long for a probe: some ten round trips between zones.
pub(super) const PROBE_TIMEOUT: TimeDelta = TimeDelta::from_millis(50);
/// Held requests that are looked at for one event, if none finds room.
pub(super) const MAX_QUEUED_TRIED: usize = 4;
/// Share of the cold budget that is used: drivers' most at different times adds up, and sends come by chance.
pub(super) const SLOW_START_UTILIZATION: f64 = 0.8;
/// Clients are asked to come back after so many aims of the class: crowds and failovers last that long.
pub(super) const RETRY_AFTER_OBJECTIVES: i64 = 4;
/// A member that is gone and has not answered for so long is forgotten.
pub(super) const REMOVED_ENDPOINT_RETENTION: TimeDelta = TimeDelta::from_secs(30);
/// Sessions whose last commit is remembered one by one.
pub(super) const MAX_SESSIONS: usize = 50_000;
/// An attempt is taken for lost after so many usual latencies, when its member has answered so many that were
/// sent after it: long work is overtaken too, but seldom by as much.
pub(super) const LOST_AFTER_LATENCIES: f64 = 8.0;
pub(super) const LOST_AFTER_OVERTAKEN: u64 = 16;
/// An answer needs so long at the most from here to the client.
pub(super) const RESPONSE_DELIVERY_TIME: TimeDelta = TimeDelta::from_millis(15);
/// Weight in the draw of a member in another zone, against one in this driver's own.
pub(super) const REMOTE_ZONE_WEIGHT: f64 = 0.6;
/// Aim of a class and attempts for a request where the settings do not say.
pub(super) const DEFAULT_LATENCY_OBJECTIVE: TimeDelta = TimeDelta::from_secs(1);
pub(super) const DEFAULT_MAX_ATTEMPTS: u32 = 4;

/// The decisions of one driver.
#[derive(Default)]
pub struct Router {
    pub(super) settings: Settings,
    /// Rates are taken over this long: the time in which a cold member falls over.
    pub(super) overload_window: TimeDelta,
    /// The least window: this driver's part of `MIN_CONCURRENCY_OF_ALL_POOLERS`.
    pub(super) min_concurrency_limit: f64,
    pub(super) rng: Rng,
    pub(super) endpoints: BTreeMap<EndpointId, EndpointState>,
    pub(super) groups: BTreeMap<GroupId, Group>,
    pub(super) requests: BTreeMap<RequestId, Request>,
    /// Smoothed latency of each class over all members.
    pub(super) class_latency_us: Vec<f64>,
    /// Last commit seen for each session, where the router must remember them.
    pub(super) session_commits: BTreeMap<u64, Timestamp>,
    /// The last commit of any session that is remembered no more.
    pub(super) evicted_sessions_commit: Option<Timestamp>,
    /// Good answers, the size of all members, and the most that one unit of it has given, per microsecond.
    pub(super) served_rate: DecayedRate,
    pub(super) total_capacity_units: f64,
    pub(super) peak_rate_per_unit: f64,
    pub(super) timers: BTreeSet<(Timestamp, Timer)>,
    pub(super) armed_timer_at: Option<Timestamp>,
    pub(super) groups_to_dispatch: BTreeSet<GroupId>,
    pub(super) received_first_list: bool,
    pub(super) consecutive_list_failures: u32,
}

impl Router {
    /// A router that knows nothing but its settings; `seed` feeds its draws.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let class_latency_us = settings
            .classes
            .iter()
            .map(|c| {
                c.latency_objective.unwrap_or(DEFAULT_LATENCY_OBJECTIVE).as_micros_f64()
                    * INITIAL_LATENCY_SHARE
            })
            .collect();
        let pooler_count = f64::from(settings.pooler_count.unwrap_or(1).max(1));
        Router {
            min_concurrency_limit: (MIN_CONCURRENCY_OF_ALL_POOLERS / pooler_count).min(1.0),
            overload_window: settings.overload_window.unwrap_or(DISCOVERY_INTERVAL * 4),
            settings,
            rng: Rng::with_seed(seed),
            class_latency_us,
            ..Router::default()
        }
    }

    /// Takes one event at time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::EndpointList { kind, entries } => self.update_endpoint_list(now, kind, &entries, out),
            Event::Request(ask) => self.receive_request(now, &ask, out),
            Event::ResponseStarted { id, endpoint, .. } => {
                self.record_response(now, endpoint);
                self.requests.entry(id).and_modify(|r| r.response_started = true);
            }
            Event::AttemptFinished(end) => {
                self.learn_endpoint_state(now, end.endpoint, end.replica_status, &end.report, out);
                self.attempt_finished(now, &end, out);
            }
            // Nobody waits for what is still out: impatient clients would pile dead work on the members.
            Event::RequestCancelled { id } => self.finish_request(id, out),
            Event::ProbeFinished { endpoint, ok: true, report, .. } => {
                self.learn_endpoint_state(now, endpoint, None, &report, out)
            }
            Event::ProbeFinished { .. } => {}
            Event::PeerMessage { bytes, .. } => {
                if let Some(hint) = PrimaryHint::read(&bytes) {
                    self.apply_primary_hint(now, hint);
                }
            }
            Event::TimerFired { .. } => {
                // Wakes cannot be called off: one that was overtaken must not arm another.
                self.armed_timer_at = self.armed_timer_at.filter(|at| *at > now);
                self.fire_due_timers(now, out);
            }
        }
        while let Some(group) = self.groups_to_dispatch.pop_first() {
            self.dispatch_queued(now, group, out);
        }
        if let Some(&(at, _)) = self.timers.first()
            && self.armed_timer_at.is_none_or(|armed| at < armed)
        {
            self.armed_timer_at = Some(at);
            out.push(Action::SetTimer { span: (at - now).or_zero(), timer: 0 });
        }
    }

    /// How many members, groups, requests and sessions it keeps.
    pub fn kept(&self) -> [usize; 4] {
        [self.endpoints.len(), self.groups.len(), self.requests.len(), self.session_commits.len()]
    }
}
