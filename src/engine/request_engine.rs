//! The router and the state of its requests: the request table, attempts in flight and timers. No I/O.
//!
//! Invariants, which hold whatever the router and the backend pool do:
//!
//! - Each request gets exactly one final answer.
//! - At most one attempt of a request is in flight.
//! - An outcome that arrives after its request has ended is reported to the router and otherwise dropped.
//! - When a client disconnects, the router is told; it cancels the attempt in flight if the settings permit it.
//!
//! This file contains the constructor and the dispatch of inputs, events and actions. Requests are handled in
//! `request_table` and `requests`, attempts in `attempts`, health checks in `polling`, and timers in `timers`.

mod attempts;
mod plausibility;
mod polling;
mod request_table;
mod requests;
mod timers;

use super::admission::AdmissionController;
use super::endpoints::{EndpointRegistry, EndpointUpdate, ListCoverage};
use super::message::{Command, Control, Input};
use super::metrics::{Gauges, Metrics};
use super::observations::Observations;
use super::outcome_window::OutcomeWindow;
use crate::Router;
use crate::config::Limits;
use crate::routing::{Action, Event, ListKind, Settings, Timestamp};
use attempts::{InFlightTable, SendLimits};
use polling::EndpointPolls;
use request_table::RequestTable;
use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use timers::RouterTimers;

/// Whether the engine's thread continues after a control message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterControl {
    /// The event loop goes on.
    Continue,
    /// The event loop returns.
    Stop,
}

/// Whether new requests are accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Intake {
    Open,
    /// New requests are rejected, since the process is about to exit.
    Closed,
}

/// The router and the state around it. Methods append the commands that result to their `commands` argument.
pub struct RequestEngine<W, A> {
    router: Router,
    settings: Settings,
    /// The seed of the current router.
    seed: u64,
    endpoints: EndpointRegistry,
    requests: RequestTable<W, A>,
    in_flight: InFlightTable,
    timers: RouterTimers,
    polls: EndpointPolls,
    admission: AdmissionController,
    observations: Observations,
    outcome_window: OutcomeWindow,
    intake: Intake,
    /// Events that the router has not handled yet, oldest first.
    pending_events: VecDeque<Event>,
    /// Buffer for the actions of one event; kept to reuse its allocation.
    actions: Vec<Action>,
}

impl<W: Clone, A> RequestEngine<W, A> {
    /// An engine with a new router and without an endpoint list. `seed` initializes the router's random number
    /// generator.
    pub fn new(settings: Settings, seed: u64, limits: &Limits, metrics: Arc<Metrics>) -> Self {
        RequestEngine {
            router: Router::new(settings.clone(), seed),
            admission: AdmissionController::new(&settings, seed),
            settings,
            seed,
            endpoints: EndpointRegistry::default(),
            requests: RequestTable::new(limits, metrics),
            in_flight: InFlightTable::default(),
            timers: RouterTimers::default(),
            polls: EndpointPolls::default(),
            observations: Observations::default(),
            outcome_window: OutcomeWindow::default(),
            intake: Intake::Open,
            pending_events: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// Handles a control message. A reply whose receiver no longer exists is dropped.
    pub fn handle_control(
        &mut self,
        now: Timestamp,
        control: Control,
        commands: &mut Vec<Command<W>>,
    ) -> AfterControl {
        match control {
            Control::EndpointList { list, cached } => {
                let kind = match (cached, list.coverage) {
                    (true, _) => ListKind::Cached,
                    (false, ListCoverage::Complete) => ListKind::Full,
                    (false, ListCoverage::Changes) => ListKind::Delta,
                };
                self.apply_endpoint_list(now, &list, kind, commands);
            }
            Control::EndpointListUnconfirmed => {
                let unconfirmed = Event::EndpointList { kind: ListKind::Unconfirmed, entries: Vec::new() };
                self.dispatch(now, unconfirmed, commands);
            }
            Control::Gauges(reply) => drop(reply.try_send(self.gauges(now))),
            Control::Observations(reply) => drop(reply.try_send(self.take_observations())),
            Control::OutcomeCounts(reply) => drop(reply.try_send(self.outcome_counts(now))),
            Control::CancelOverdueReads(endpoint_names) => {
                self.cancel_overdue_reads(now, &endpoint_names, commands);
            }
            Control::PeerObservations(observations) => {
                self.handle_peer_observations(now, observations, commands);
            }
            Control::SetAdmission(policy) => self.admission.set_policy(now, policy),
            Control::SetPollParticipants(participants) => {
                self.set_poll_participants(now, participants, commands);
            }
            Control::FinishAll => self.finish_all(now, commands),
            Control::Stop => return AfterControl::Stop,
        }
        AfterControl::Continue
    }

    /// Handles an input from a client connection, the backend pool or a peer.
    pub fn handle_input(&mut self, now: Timestamp, input: Input<W, A>, commands: &mut Vec<Command<W>>) {
        match input {
            Input::Request(submission) => self.handle_request(now, submission, commands),
            Input::RequestCancelled(id) => self.cancel_request(now, id, commands),
            Input::ResponseStarted { id, attempt, answer } => {
                self.start_response(now, id, attempt, answer, commands);
            }
            Input::AttemptFinished(report) => self.finish_attempt(now, report, commands),
            Input::ProbeFinished { endpoint, sent_at, report } => {
                self.finish_probe(now, endpoint, sent_at, report, commands);
            }
            Input::PeerMessage { from, bytes } => {
                self.dispatch(now, Event::PeerMessage { from, bytes }, commands);
            }
        }
    }

    /// When [`RequestEngine::run_due`] has to be called next; `None` if nothing is scheduled.
    pub fn next_due(&self) -> Option<Timestamp> {
        let due = [self.timers.next_due(), self.requests.next_deadline(), self.polls.next_due()];
        due.into_iter().flatten().min()
    }

    /// Sends the deferred polls that are due, fires the timers that are due, and fails overdue requests.
    pub fn run_due(&mut self, now: Timestamp, commands: &mut Vec<Command<W>>) {
        self.send_due_polls(now, commands);
        self.handle_pending_events(now, commands);
        while let Some(timer) = self.timers.pop_due(now) {
            self.dispatch(now, Event::TimerFired { timer }, commands);
        }
        self.fail_overdue_requests(now, commands);
    }

    fn gauges(&self, now: Timestamp) -> Gauges {
        let endpoints = self.router.endpoint_counts(now);
        Gauges {
            concurrent: self.requests.concurrent(),
            targets: endpoints.listed,
            disabled: endpoints.unavailable,
        }
    }

    fn apply_endpoint_list(
        &mut self,
        now: Timestamp,
        update: &EndpointUpdate,
        kind: ListKind,
        commands: &mut Vec<Command<W>>,
    ) {
        let applied = self.endpoints.apply(update);
        if applied.changed.iter().any(|endpoint| endpoint.gone) {
            let endpoints = &self.endpoints;
            self.observations.retain(|endpoint| endpoints.get(endpoint).is_some());
            self.polls.retain(|endpoint| endpoints.get(endpoint).is_some());
        }
        for endpoint in &applied.moved {
            self.observations.restart_history(*endpoint, now);
            self.polls.forget(*endpoint);
        }
        // This command has to precede those of the router's actions: the backend pool must have the state of an
        // endpoint before an attempt for it arrives.
        if !applied.changed.is_empty() {
            commands.push(Command::UpdateEndpoints(applied.changed));
        }
        self.dispatch(now, Event::EndpointList { kind, entries: applied.entries }, commands);
    }

    /// Passes an event to the router, after the events that are pending.
    fn dispatch(&mut self, now: Timestamp, event: Event, commands: &mut Vec<Command<W>>) {
        self.pending_events.push_back(event);
        if self.observations.take_urgent() {
            commands.push(Command::ObservationsPending);
        }
        self.handle_pending_events(now, commands);
    }

    /// Passes all pending events to the router, including those that result from its own actions.
    fn handle_pending_events(&mut self, now: Timestamp, commands: &mut Vec<Command<W>>) {
        while let Some(event) = self.pending_events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            let handle = AssertUnwindSafe(|| self.router.handle(now, event, &mut actions));
            if catch_unwind(handle).is_err() {
                self.replace_router(now, commands);
                continue;
            }
            for action in actions.drain(..) {
                self.execute(now, action, commands);
            }
            self.actions = actions;
        }
    }

    /// Replaces a router that panicked, since its state may be inconsistent. All open requests fail, all attempts in
    /// flight are cancelled, and a new router starts from the endpoint list, as it would after a restart of the
    /// process. Unlike then, it has to answer for the writes that this process has served.
    fn replace_router(&mut self, now: Timestamp, commands: &mut Vec<Command<W>>) {
        log::error!(
            "engine: the router panicked and is being replaced; {} open requests fail",
            self.requests.len()
        );
        self.requests.fail_all();
        commands.extend(self.in_flight.cancel_all());
        self.timers.clear();
        self.pending_events.clear();
        // Use another seed, since the same random choices might cause the same panic.
        self.seed = self.seed.wrapping_add(1);
        self.router = Router::replacement(self.settings.clone(), self.seed, now);
        let entries = self.endpoints.entries();
        self.pending_events.push_back(Event::EndpointList { kind: ListKind::Cached, entries });
    }

    /// Executes an action of the router.
    fn execute(&mut self, now: Timestamp, action: Action, commands: &mut Vec<Command<W>>) {
        match action {
            Action::Send { id, endpoint, stop_at, fresh_until } => {
                self.send_attempt(now, id, SendLimits { stop_at, fresh_until }, endpoint, commands);
            }
            Action::Reject { id, retry_after } => self.requests.reject(now, id, retry_after),
            Action::Fail { id } => self.requests.fail(now, id),
            Action::Cancel { id, attempt } => {
                if self.in_flight.contains(id, attempt) {
                    commands.push(Command::Cancel { id, attempt });
                }
            }
            Action::SetTimer { delay, timer } => self.timers.set(now + delay.or_zero(), timer),
            Action::Probe { endpoint } => self.request_poll(now, endpoint, commands),
            // Discovery watches the list for the lifetime of the process, so a subscription needs only the current
            // list.
            Action::Subscribe { on: _ } | Action::FetchList => commands.push(Command::FetchList),
            Action::CloseIdle { endpoint } => {
                if let Some(endpoint) = self.endpoints.get(endpoint) {
                    commands.push(Command::CloseIdle(endpoint.name.clone()));
                }
            }
            Action::SendToPeers { to, bytes } => commands.push(Command::SendToPeers { to, bytes }),
            Action::Log { text } => log::info!("router: {text}"),
        }
    }
}

#[cfg(test)]
mod tests;
