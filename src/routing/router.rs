//! The router: its state, and the dispatch of events to the modules that handle them.

use super::capacity::MIN_CONCURRENCY_OF_ALL_POOLERS;
use super::decayed_rate::DecayedRate;
use super::endpoints::EndpointState;
use super::group::Group;
use super::learning::EndpointReport;
use super::request::Request;
use super::sessions::SessionCommits;
use super::timers::ScheduledTimer;
use super::{Action, EndpointId, Event, GroupId, RequestId, Settings, TimeDelta, Timestamp};
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Latency objective of a class whose settings define none.
pub(super) const DEFAULT_LATENCY_OBJECTIVE: TimeDelta = TimeDelta::from_secs(1);
/// How long a cold endpoint withstands overload before it fails, if the settings define no such time.
const DEFAULT_OVERLOAD_WINDOW: TimeDelta = TimeDelta::from_secs(2);
/// Latency assumed for a class before its first response, as a fraction of its latency objective.
const INITIAL_LATENCY_SHARE: f64 = 0.25;

/// Makes the routing decisions of one pooler. It does no I/O and reads no clock: [`Router::handle`] takes an event and
/// returns the actions to carry out.
#[derive(Default)]
pub struct Router {
    pub(super) settings: Settings,
    /// How long a cold endpoint withstands overload before it fails. Send rates are measured over this window.
    pub(super) overload_window: TimeDelta,
    /// Lower bound of an endpoint's concurrency limit: this pooler's share of [`MIN_CONCURRENCY_OF_ALL_POOLERS`].
    pub(super) min_concurrency_limit: f64,
    /// Source of the random choice of replicas and of jitter.
    pub(super) rng: Rng,
    pub(super) endpoints: BTreeMap<EndpointId, EndpointState>,
    pub(super) groups: BTreeMap<GroupId, Group>,
    /// Requests without a final answer.
    pub(super) requests: BTreeMap<RequestId, Request>,
    /// Smoothed latency of each class over all endpoints, in microseconds.
    pub(super) class_latency_us: Vec<f64>,
    pub(super) session_commits: SessionCommits,
    /// Rate of served attempts at all endpoints.
    pub(super) served_rate: DecayedRate,
    /// Total capacity of all listed endpoints.
    pub(super) total_capacity_units: f64,
    /// The highest rate measured so far of attempts served per unit of capacity, per microsecond.
    pub(super) peak_rate_per_unit: f64,
    pub(super) timers: BTreeSet<ScheduledTimer>,
    /// When the caller's timer fires; `None` while it is not set.
    pub(super) armed_timer_at: Option<Timestamp>,
    /// Groups in which an endpoint may now accept queued requests; dispatched at the end of each event.
    pub(super) groups_to_dispatch: BTreeSet<GroupId>,
    pub(super) received_first_list: bool,
    pub(super) consecutive_list_failures: u32,
    /// Whether changes may be missing from the endpoint list, because its source does not respond.
    pub(super) list_unconfirmed: bool,
}

/// Numbers of entries in a router's tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSizes {
    /// Endpoints, including removed ones that may still respond.
    pub endpoints: usize,
    /// Groups; those that are no longer in use are removed at the next list update.
    pub groups: usize,
    /// Requests without a final answer.
    pub requests: usize,
    /// Sessions whose last commit is remembered.
    pub sessions: usize,
}

impl Router {
    /// Creates a router without endpoints. `seed` initializes its random number generator.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut class_latency_us = Vec::with_capacity(settings.classes.len());
        for class in &settings.classes {
            let objective = class.latency_objective.unwrap_or(DEFAULT_LATENCY_OBJECTIVE);
            class_latency_us.push(objective.as_micros_f64() * INITIAL_LATENCY_SHARE);
        }
        let pooler_count = f64::from(settings.pooler_count.unwrap_or(1).max(1));
        Router {
            min_concurrency_limit: (MIN_CONCURRENCY_OF_ALL_POOLERS / pooler_count).min(1.0),
            overload_window: settings.overload_window.unwrap_or(DEFAULT_OVERLOAD_WINDOW),
            settings,
            rng: Rng::with_seed(seed),
            class_latency_us,
            ..Router::default()
        }
    }

    /// Creates a router without endpoints that replaces one of the same instance at `now`. It does not know the commits
    /// of the sessions, so it assumes that each session may have written until then.
    pub fn replacement(settings: Settings, seed: u64, now: Timestamp) -> Self {
        Router { session_commits: SessionCommits::unknown_until(now), ..Router::new(settings, seed) }
    }

    /// Handles one event that happened at `now` and appends the resulting actions to `actions`.
    ///
    /// `now` must not decrease from call to call. The same settings, seed and events give the same actions.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.handle_event(now, event, actions);
        while let Some(group) = self.groups_to_dispatch.pop_first() {
            self.dispatch_queued(now, group, actions);
        }
        self.arm_timer(now, actions);
    }

    fn handle_event(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList { kind, entries } => self.update_endpoint_list(now, kind, &entries, actions),
            Event::Request(incoming) => self.receive_request(now, &incoming, actions),
            Event::ResponseStarted { id, endpoint, .. } => {
                self.record_response(now, endpoint);
                self.requests.entry(id).and_modify(|request| request.response_started = true);
            }
            Event::AttemptFinished(finished) => {
                let reported = EndpointReport {
                    endpoint: finished.endpoint,
                    requested_at: now.saturating_sub(finished.took),
                    status: finished.replica_status,
                    load: finished.report,
                };
                self.update_endpoint_state(now, &reported, actions);
                self.attempt_finished(now, &finished, actions);
            }
            // Cancels the open attempts if the settings permit it: otherwise clients that give up early would load
            // endpoints with abandoned work.
            Event::RequestCancelled { id } => self.finish_request(id, actions),
            Event::ProbeFinished { endpoint, ok, took, report } => {
                if ok {
                    let requested_at = now.saturating_sub(took);
                    let reported = EndpointReport { endpoint, requested_at, status: None, load: report };
                    self.update_endpoint_state(now, &reported, actions);
                }
            }
            Event::PeerMessage { bytes, .. } => self.receive_peer_message(now, &bytes),
            Event::TimerFired { .. } => self.timer_fired(now, actions),
        }
    }

    /// Numbers of entries in the router's tables, to check that its memory use is bounded.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            endpoints: self.endpoints.len(),
            groups: self.groups.len(),
            requests: self.requests.len(),
            sessions: self.session_commits.len(),
        }
    }
}
