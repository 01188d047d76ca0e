//! The owner of the module: the request table, attempts that are out, and timers. No I/O.
//!
//! What it guards for every front: one final answer for each request, one attempt out at a time, results
//! that come after the end are told to the module and dropped, and a client that has gone ends its attempt.

use super::admission::{AdmissionController, AdmissionPolicy};
use super::endpoints::{EndpointRegistry, EndpointUpdate};
use super::load_report::{self, report_of};
use super::metrics::{Gauges, Metrics, RequestOutcome};
use super::observations::{NewObservation, Observation, Observations};
use super::outcome_window::{InFlightAttempt, OutcomeCounts, OutcomeWindow};
use super::poll_scheduler::{PollDecision, PollScheduler};
use super::{
    AttemptReport, Command, FinalAnswer, Freshness, Input, PeerObservation, PollParticipants, Submission,
};
use crate::Router;
use crate::config::Limits;
use crate::routing::*;
use async_channel::Sender;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;

/// Clocks of hosts may be ahead by this.
const AHEAD: TimeDelta = TimeDelta::from_secs(1);

mod attempts;
mod polling;
mod request_table;
mod timers;

struct Open<W, A> {
    work: W,
    reply: Sender<FinalAnswer<A>>,
    deadline: Timestamp,
    attempts: u8,
    /// When the first attempt was sent that may have run.
    first_ran: Option<Timestamp>,
    freshness: Freshness,
    class: usize,
    group: GroupId,
}

/// What a host told about itself, unless it cannot be: none is ahead of the present, and a position that is
/// would pass for fresh for ever.
fn believed(now: Timestamp, replica_status: Option<ReplicaStatus>) -> Option<ReplicaStatus> {
    let replica_status = replica_status.filter(|m| m.position.commit_time(Timestamp::ZERO) <= now + AHEAD)?;
    Some(ReplicaStatus {
        position: replica_status.position.min(LogPosition::of_commit(now, Timestamp::ZERO)),
        ..replica_status
    })
}

/// What a final answer counts as.
fn end_of<A>(answer: &FinalAnswer<A>) -> RequestOutcome {
    match answer {
        FinalAnswer::Served(_) => RequestOutcome::Success,
        FinalAnswer::Rejected { .. } => RequestOutcome::Overload,
        FinalAnswer::Failed { .. } | FinalAnswer::UnknownGroup => RequestOutcome::Error,
    }
}

/// The module with all that belongs to its requests.
pub struct RequestEngine<W, A> {
    router: Router,
    settings: Settings,
    seed: u64,
    endpoints: EndpointRegistry,
    most: usize,
    overdue: TimeDelta,
    open: BTreeMap<RequestId, Open<W, A>>,
    /// Requests whose answer has begun, with their class; nothing more is owed, but their client may go.
    begun: BTreeMap<RequestId, usize>,
    out: BTreeMap<(RequestId, u8), InFlightAttempt>,
    deadlines: BTreeSet<(Timestamp, RequestId)>,
    timers: BTreeSet<(Timestamp, u64)>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    metrics: Arc<Metrics>,
    facts: Observations,
    outcomes: OutcomeWindow,
    gate: AdmissionController,
    /// Questions to hosts, where these are asked in turn with other daemons.
    asks: Option<PollScheduler<EndpointId>>,
    /// What hosts last told, to answer a question that need not be asked.
    reports: BTreeMap<EndpointId, LoadReport>,
    /// The program ends: nothing more is taken.
    ended: bool,
    /// Questions to hosts that are out: when each went.
    asked: BTreeMap<EndpointId, Timestamp>,
}

impl<W: Clone, A> RequestEngine<W, A> {
    /// An owner of a fresh module.
    pub fn new(settings: Settings, seed: u64, limits: &Limits, metrics: Arc<Metrics>) -> Self {
        RequestEngine {
            router: Router::new(settings.clone(), seed),
            gate: AdmissionController::new(&settings, seed),
            asks: None,
            reports: BTreeMap::new(),
            asked: BTreeMap::new(),
            settings,
            seed,
            endpoints: EndpointRegistry::default(),
            most: limits.open_requests,
            overdue: TimeDelta::from(limits.deadline_grace),
            open: BTreeMap::new(),
            begun: BTreeMap::new(),
            out: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            timers: BTreeSet::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            metrics,
            facts: Observations::default(),
            outcomes: OutcomeWindow::default(),
            ended: false,
        }
    }

    /// What holds now. What is avoided is the module's to tell.
    pub fn gauges(&self, now: Timestamp) -> Gauges {
        let (targets, disabled) = self.router.avoids(now);
        Gauges { concurrent: self.open.len() + self.begun.len(), targets, disabled }
    }

    /// The terms on which requests are let in.
    pub fn admit(&mut self, now: Timestamp, terms: Option<AdmissionPolicy>) {
        self.gate.set(now, terms);
    }

    /// Takes in a list.
    pub fn list(
        &mut self,
        now: Timestamp,
        list: &EndpointUpdate,
        cached: bool,
        commands: &mut Vec<Command<W>>,
    ) {
        let (kind, entries, changed) = self.endpoints.apply(list, cached);
        if changed.iter().any(|h| h.gone) {
            let endpoints = &self.endpoints;
            self.facts.retain(|endpoint| endpoints.host(endpoint).is_some());
            self.reports.retain(|endpoint, _| endpoints.host(*endpoint).is_some());
            self.asked.retain(|endpoint, _| endpoints.host(*endpoint).is_some());
        }
        // Before the module's own commands: an attempt must find its host known, or known to be closed.
        if !changed.is_empty() {
            commands.push(Command::UpdateEndpoints(changed));
        }
        self.tell(now, Event::EndpointList { kind, entries }, commands);
    }

    /// Takes in what a front or a host side has to say.
    pub fn input(&mut self, now: Timestamp, input: Input<W, A>, commands: &mut Vec<Command<W>>) {
        match input {
            Input::Request(request) => self.take(now, request, commands),
            Input::RequestCancelled(id) => {
                let open = self.open.remove(&id);
                if let Some(open) = &open {
                    self.deadlines.remove(&(open.deadline + self.overdue, id));
                }
                let class = open.as_ref().map(|open| open.class).or(self.begun.remove(&id));
                if let Some(class) = class {
                    // Its client has gone: whatever is still to come reaches nobody.
                    self.metrics.ended(class, RequestOutcome::Error);
                    self.tell(now, Event::RequestCancelled { id }, commands);
                }
            }
            Input::ResponseStarted { id, attempt, answer } => {
                let Some(flight) = self.out.get(&(id, attempt)) else { return };
                let endpoint = flight.endpoint;
                // One that was given up meanwhile has its answer: this one is dropped, which ends the attempt.
                if self.open.contains_key(&id) {
                    self.begin(id, answer);
                    self.tell(now, Event::ResponseStarted { id, attempt, endpoint }, commands);
                }
            }
            Input::AttemptFinished(ended) => self.ended(now, ended, commands),
            Input::ProbeFinished { endpoint, took, report } => {
                let (ok, report) = (report.is_some(), self.credible(now, report.unwrap_or_default()));
                let sent = self.asked.remove(&endpoint).unwrap_or(Timestamp::ZERO);
                if let (Some(position), Some(role)) = (self.field(&report, "x0"), self.field(&report, "x1")) {
                    let replica_status = ReplicaStatus {
                        primary: role >= 0.5,
                        position: LogPosition::from_micros((position * 1e6) as i64),
                    };
                    self.facts.note(
                        endpoint,
                        believed(now, Some(replica_status)),
                        self.up(&report),
                        sent,
                        now,
                    );
                    self.learned(now, endpoint, report);
                }
                self.tell(now, Event::ProbeFinished { endpoint, ok, took, report }, commands);
            }
            Input::PeerMessage { from, bytes } => {
                self.tell(now, Event::PeerMessage { from, bytes }, commands)
            }
        }
    }

    fn tell(&mut self, now: Timestamp, event: Event, commands: &mut Vec<Command<W>>) {
        self.events.push_back(event);
        if self.facts.is_urgent() {
            commands.push(Command::ObservationsPending);
        }
        self.work_off(now, commands);
    }

    /// Tells the module what waits, and does what it says.
    fn work_off(&mut self, now: Timestamp, commands: &mut Vec<Command<W>>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            let handled = catch_unwind(AssertUnwindSafe(|| self.router.handle(now, event, &mut actions)));
            if handled.is_err() {
                self.restart(commands);
                continue;
            }
            for action in actions.drain(..) {
                self.act(now, action, commands);
            }
            self.actions = actions;
        }
    }

    /// The module panicked, and its state cannot be trusted: all that is open fails, all that is out is called
    /// off, and a fresh module starts from the list, as after a restart of the process.
    fn restart(&mut self, commands: &mut Vec<Command<W>>) {
        log::error!("the module panicked; a fresh one takes over, {} requests fail", self.open.len());
        for id in self.open.keys().copied().collect::<Vec<_>>() {
            self.finish(id, FinalAnswer::Failed { overdue: false });
        }
        let out = std::mem::take(&mut self.out);
        commands.extend(out.into_keys().map(|(id, attempt)| Command::Cancel { id, attempt }));
        self.begun.clear();
        self.timers.clear();
        self.events.clear();
        self.seed = self.seed.wrapping_add(1);
        self.router = Router::new(self.settings.clone(), self.seed);
        let entries = self.endpoints.entries();
        self.events.push_back(Event::EndpointList { kind: ListKind::Cached, entries });
    }

    fn act(&mut self, now: Timestamp, action: Action, commands: &mut Vec<Command<W>>) {
        match action {
            Action::Send { id, endpoint, stop_at } => self.send(now, id, endpoint, stop_at, commands),
            Action::Reject { id, retry_after } => {
                let overdue = self.is_late(now, id);
                self.finish(id, FinalAnswer::Rejected { retry_after, overdue });
            }
            Action::Fail { id } => {
                let overdue = self.is_late(now, id);
                self.finish(id, FinalAnswer::Failed { overdue });
            }
            Action::Cancel { id, attempt } => {
                if self.out.contains_key(&(id, attempt)) {
                    commands.push(Command::Cancel { id, attempt });
                }
            }
            Action::SetTimer { span, timer } => drop(self.timers.insert((now + span.or_zero(), timer))),
            Action::Probe { endpoint } => {
                let name = self.endpoints.host(endpoint).map(|h| h.name.as_str()).unwrap_or_default();
                match self.asks.as_mut().map_or(PollDecision::Now, |asks| asks.wanted(now, endpoint, name)) {
                    PollDecision::Now => self.probe(now, endpoint, commands),
                    PollDecision::Later => {}
                    PollDecision::Known => {
                        let report = self.reports.get(&endpoint).copied().unwrap_or_default();
                        self.events.push_back(Event::ProbeFinished {
                            endpoint,
                            ok: report.count > 0,
                            took: TimeDelta::ZERO,
                            report,
                        });
                    }
                }
            }
            // Discovery is watched from the start to the end, whoever asks.
            Action::Subscribe { on: _ } | Action::FetchList => commands.push(Command::FetchList),
            Action::CloseIdle { endpoint } => {
                let host = self.endpoints.host(endpoint).map(|h| h.name.clone());
                commands.extend(host.map(Command::CloseIdle));
            }
            Action::SendToPeers { to, bytes } => commands.push(Command::SendToPeers { to, bytes }),
            Action::Log { text } => log::info!("module: {text}"),
        }
    }
}

#[cfg(test)]
mod tests;
