//! The router: its state, and the dispatch of events to the modules that handle them.

use super::capacity::MIN_CONCURRENCY_OF_ALL_POOLERS;
use super::decayed_rate::DecayedRate;
use super::endpoints::EndpointState;
use super::group::Group;
use super::request::Request;
use super::timers::ScheduledTimer;
use super::{Action, EndpointId, Event, GroupId, RequestId, Settings, TimeDelta, Timestamp};
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Latency objective of a class whose settings state none.
pub(super) const DEFAULT_LATENCY_OBJECTIVE: TimeDelta = TimeDelta::from_secs(1);
/// Time in which an overloaded cold endpoint falls over, where the settings state none.
const DEFAULT_OVERLOAD_WINDOW: TimeDelta = TimeDelta::from_secs(2);
/// Latency assumed for a class before its first response, as a share of its latency objective.
const INITIAL_LATENCY_SHARE: f64 = 0.25;

/// The decisions of one pooler. It does no I/O and reads no clock: [`Router::handle`] takes an event and returns what
/// is to be done about it.
#[derive(Default)]
pub struct Router {
    pub(super) settings: Settings,
    /// Time in which a cold endpoint that gets too much falls over. Send rates are taken over this window.
    pub(super) overload_window: TimeDelta,
    /// The lowest concurrency limit of an endpoint: this pooler's part of [`MIN_CONCURRENCY_OF_ALL_POOLERS`].
    pub(super) min_concurrency_limit: f64,
    /// Draws of replicas and jitter.
    pub(super) rng: Rng,
    pub(super) endpoints: BTreeMap<EndpointId, EndpointState>,
    pub(super) groups: BTreeMap<GroupId, Group>,
    /// Requests without a final answer.
    pub(super) requests: BTreeMap<RequestId, Request>,
    /// Smoothed latency of each class over all endpoints, in microseconds.
    pub(super) class_latency_us: Vec<f64>,
    /// The last commit seen of each session, where the router must remember them.
    pub(super) session_commits: BTreeMap<u64, Timestamp>,
    /// The last commit of any session that was evicted from `session_commits`.
    pub(super) evicted_sessions_commit: Option<Timestamp>,
    /// Served attempts.
    pub(super) served_rate: DecayedRate,
    /// Capacity of all listed endpoints.
    pub(super) total_capacity_units: f64,
    /// The highest rate that a unit of capacity has served, per microsecond.
    pub(super) peak_rate_per_unit: f64,
    pub(super) timers: BTreeSet<ScheduledTimer>,
    /// When the runtime's timer fires, where it is set.
    pub(super) armed_timer_at: Option<Timestamp>,
    /// Groups whose queued requests may have found an endpoint; dispatched at the end of each event.
    pub(super) groups_to_dispatch: BTreeSet<GroupId>,
    pub(super) received_first_list: bool,
    pub(super) consecutive_list_failures: u32,
}

/// Sizes of a router's tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetainedState {
    /// Endpoints, also removed ones that may still respond.
    pub endpoints: usize,
    /// Groups.
    pub groups: usize,
    /// Requests without a final answer.
    pub requests: usize,
    /// Sessions whose last commit is remembered.
    pub sessions: usize,
}

impl Router {
    /// A router that knows nothing but its settings; `seed` determines its random draws.
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

    /// Takes one event at time `now` and appends what is to be done to `actions`.
    ///
    /// `now` must never go back. The same settings, seed and events give the same actions.
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
                let status = finished.replica_status;
                self.learn_endpoint_state(now, finished.endpoint, status, &finished.report, actions);
                self.attempt_finished(now, &finished, actions);
            }
            // Open attempts are cancelled: impatient clients would pile abandoned work on the endpoints.
            Event::RequestCancelled { id } => self.finish_request(id, actions),
            Event::ProbeFinished { endpoint, ok, report, .. } => {
                if ok {
                    self.learn_endpoint_state(now, endpoint, None, &report, actions);
                }
            }
            Event::PeerMessage { bytes, .. } => self.receive_peer_message(now, &bytes),
            Event::TimerFired { .. } => self.timer_fired(now, actions),
        }
    }

    /// Sizes of its tables, to show that memory is bounded.
    pub fn retained(&self) -> RetainedState {
        RetainedState {
            endpoints: self.endpoints.len(),
            groups: self.groups.len(),
            requests: self.requests.len(),
            sessions: self.session_commits.len(),
        }
    }
}
