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

    /// When something is due next.
    pub fn next_due(&self) -> Option<Timestamp> {
        let timer = self.timers.first().map(|(at, _)| *at);
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let turn = self.asks.as_ref().and_then(PollScheduler::next);
        timer.into_iter().chain(deadline).chain(turn).min()
    }

    /// Requests that have no final answer yet.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// What holds now. What is avoided is the module's to tell.
    pub fn gauges(&self, now: Timestamp) -> Gauges {
        let (targets, disabled) = self.router.avoids(now);
        Gauges { concurrent: self.open.len() + self.begun.len(), targets, disabled }
    }

    /// What hosts have told since this was last asked.
    pub fn facts(&mut self) -> Vec<Observation> {
        let new = self.facts.take();
        let mut out: BTreeMap<EndpointId, u16> = BTreeMap::new();
        self.out.values().for_each(|flight| *out.entry(flight.endpoint).or_default() += 1);
        let fact = |(endpoint, new): (EndpointId, NewObservation)| {
            let host = self.endpoints.host(endpoint)?;
            Some(Observation {
                endpoint_name: host.name.clone(),
                primary: new.replica_status.primary,
                position: new.replica_status.position,
                observed_at: new.observed_at,
                in_flight: out.get(&endpoint).copied().unwrap_or(0),
                started_at: new.started_at.max(host.started_at),
                served: new.served,
                utilization: new.utilization,
                regression: new.regression,
            })
        };
        new.into_iter().filter_map(fact).collect()
    }

    /// What was seen of each host within the last moment.
    pub fn outcomes(&mut self, now: Timestamp) -> BTreeMap<String, OutcomeCounts> {
        let RequestEngine { outcomes, out, endpoints, .. } = self;
        let seen = outcomes.read(now, out.values().copied()).into_iter();
        seen.filter_map(|(endpoint, seen)| Some((endpoints.host(endpoint)?.name.clone(), seen))).collect()
    }

    /// Reads that are out at these hosts and overdue are called off; the module asks them elsewhere, as far as their
    /// class permits. Nothing else is: what may have written is waited for.
    pub fn call_off(&mut self, now: Timestamp, hosts: &BTreeSet<String>, commands: &mut Vec<Command<W>>) {
        for (&(id, attempt), flight) in &self.out {
            let class = self.settings.classes.get(flight.class);
            let is_safe = class.is_some_and(|c| c.idempotency == Some(Idempotency::Idempotent));
            let named = self.endpoints.host(flight.endpoint).is_some_and(|h| hosts.contains(&h.name));
            if is_safe && named && self.open.contains_key(&id) && self.outcomes.is_overdue(now, flight) {
                commands.push(Command::Cancel { id, attempt });
            }
        }
    }

    /// The terms on which requests are let in.
    pub fn admit(&mut self, now: Timestamp, terms: Option<AdmissionPolicy>) {
        self.gate.set(now, terms);
    }

    /// Hosts are asked in turn with others from now on, or whenever the module wants it.
    pub fn turns(&mut self, now: Timestamp, turns: Option<PollParticipants>, commands: &mut Vec<Command<W>>) {
        match (turns, &mut self.asks) {
            (Some(PollParticipants { peers, .. }), Some(asks)) => asks.hears(peers),
            (Some(PollParticipants { local, peers }), none) => *none = Some(PollScheduler::new(local, peers)),
            (None, asks) => {
                for endpoint in asks.take().map(PollScheduler::end).unwrap_or_default() {
                    self.probe(now, endpoint, commands);
                }
                self.reports.clear();
                self.work_off(now, commands);
            }
        }
    }

    /// Takes in what others heard hosts say. What this daemon heard itself, and later, counts for more.
    pub fn told(&mut self, now: Timestamp, all: Vec<PeerObservation>, commands: &mut Vec<Command<W>>) {
        for PeerObservation { endpoint_name: host, primary, position, observed_at: at, replaces_poll } in all
        {
            let Some(endpoint) = self.endpoints.find(&host) else { continue };
            let committed = position.commit_time(Timestamp::ZERO);
            let later = self.facts.heard(endpoint).is_some_and(|own| own >= at);
            if !later && committed <= now + AHEAD {
                self.facts.known(endpoint, position, at);
            }
            if later || !replaces_poll || committed > now + AHEAD || self.asks.is_none() {
                continue;
            }
            let report = report_of(&self.settings.report_fields, |field| match field {
                "x0" => Some(position.as_micros() as f64 / 1e6),
                "x1" => Some(f64::from(u8::from(primary))),
                _ => None,
            });
            self.learned(now, endpoint, report);
            commands.push(Command::SkipInitialProbe(host));
            self.tell(
                now,
                Event::ProbeFinished { endpoint, ok: true, took: TimeDelta::ZERO, report },
                commands,
            );
        }
    }

    /// A host's report is known now, to whoever wants it within a moment.
    fn learned(&mut self, now: Timestamp, endpoint: EndpointId, report: LoadReport) {
        if let Some(asks) = self.asks.as_mut().filter(|_| report.count > 0) {
            asks.told(now, endpoint);
            self.reports.insert(endpoint, report);
        }
    }

    /// The value of a report's field.
    fn field(&self, report: &LoadReport, name: &str) -> Option<f64> {
        load_report::field(&self.settings.report_fields, report, name)
    }

    /// How long a host has run, by its report.
    fn up(&self, report: &LoadReport) -> Option<TimeDelta> {
        self.field(report, "up")
            .filter(|up| (0.0..1e10).contains(up))
            .map(|up| TimeDelta::from_micros_f64(up * 1e6))
    }

    /// Asks a host about itself.
    fn probe(&mut self, now: Timestamp, endpoint: EndpointId, commands: &mut Vec<Command<W>>) {
        let host = self.endpoints.host(endpoint).filter(|h| h.open).map(|h| h.name.clone());
        match host {
            Some(host) => {
                self.asked.insert(endpoint, now);
                commands.push(Command::Probe { endpoint, host });
            }
            None => {
                let report = LoadReport::default();
                self.events.push_back(Event::ProbeFinished {
                    endpoint,
                    ok: false,
                    took: TimeDelta::ZERO,
                    report,
                });
            }
        }
    }

    /// Fires what is due.
    pub fn due(&mut self, now: Timestamp, commands: &mut Vec<Command<W>>) {
        for endpoint in self.asks.as_mut().map(|asks| asks.due(now)).unwrap_or_default() {
            self.probe(now, endpoint, commands);
        }
        self.work_off(now, commands);
        while let Some(&(at, timer)) = self.timers.first()
            && at <= now
        {
            self.timers.pop_first();
            self.tell(now, Event::TimerFired { timer }, commands);
        }
        while let Some(&(at, id)) = self.deadlines.first()
            && at <= now
        {
            self.deadlines.pop_first();
            if self.open.contains_key(&id) {
                log::warn!("request {id}: no answer at its deadline");
                self.finish(id, FinalAnswer::Failed { overdue: true });
                self.tell(now, Event::RequestCancelled { id }, commands);
            }
        }
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

    fn take(&mut self, now: Timestamp, request: Submission<W, A>, commands: &mut Vec<Command<W>>) {
        let Submission { ask, deadline, work, reply } = request;
        let early = if !self.endpoints.knows_group(ask.group) {
            Some(FinalAnswer::UnknownGroup)
        } else if self.ended || self.open.len() >= self.most {
            Some(FinalAnswer::Rejected { retry_after: None, overdue: false })
        } else {
            let let_in = self.gate.admit(now, ask.class, ask.group);
            let_in.err().map(|wait| FinalAnswer::Rejected { retry_after: Some(wait), overdue: false })
        };
        if let Some(answer) = early {
            self.metrics.ended(ask.class, end_of(&answer));
            let _ = reply.try_send(answer);
            return;
        }
        let freshness =
            match self.settings.classes.get(ask.class).and_then(|c| Some((c.consistency?, c.max_age))) {
                Some((Consistency::Bounded, age)) => Freshness::MaxAge(age.unwrap_or(TimeDelta::ZERO)),
                Some((Consistency::Session, _)) => {
                    ask.last_commit_age.map_or(Freshness::Any, |age| Freshness::CommittedSince(now - age))
                }
                Some((Consistency::Strong, _)) => Freshness::CommittedSince(now),
                _ => Freshness::Any,
            };
        let (class, group) = (ask.class, ask.group);
        self.open.insert(
            ask.id,
            Open { work, reply, deadline, attempts: 0, first_ran: None, freshness, class, group },
        );
        self.deadlines.insert((deadline + self.overdue, ask.id));
        let ask = IncomingRequest { client_timeout: (deadline - now).or_zero(), ..ask };
        self.tell(now, Event::Request(ask), commands);
    }

    fn ended(&mut self, now: Timestamp, ended: AttemptReport<A>, commands: &mut Vec<Command<W>>) {
        let AttemptReport { id, attempt, outcome, replica_status, report, answer } = ended;
        let replica_status = believed(now, replica_status);
        let report = self.credible(now, report);
        let Some(flight) = self.out.remove(&(id, attempt)) else { return };
        self.facts.note(flight.endpoint, replica_status, self.up(&report), flight.sent, now);
        if self.endpoints.host(flight.endpoint).is_some_and(|h| h.open) {
            self.outcomes.ended(now, flight.endpoint, flight.class, now - flight.sent, outcome);
            if let Some(util) = self.field(&report, "util") {
                self.outcomes.busy(flight.endpoint, util);
                self.facts.used(flight.endpoint, util);
            }
        }
        let served = outcome == AttemptOutcome::Served;
        if served {
            self.facts.served(flight.endpoint);
        }
        if let Some(open) = self.open.get_mut(&id) {
            if outcome.may_have_run() {
                open.first_ran.get_or_insert(flight.sent);
            }
            self.gate.ended(now, open.class, open.group, now - flight.sent, outcome);
        }
        if let Some(answer) = answer.filter(|_| served) {
            // One that was given up meanwhile has its answer: this one is dropped.
            self.finish(id, FinalAnswer::Served(answer));
        }
        // Counted once it is whole: what broke off in its midst is no success.
        if let Some(class) = self.begun.remove(&id) {
            self.metrics.ended(class, if served { RequestOutcome::Success } else { RequestOutcome::Error });
        }
        let event = AttemptFinished {
            id,
            attempt,
            endpoint: flight.endpoint,
            took: now - flight.sent,
            outcome,
            finished: !self.open.contains_key(&id),
            replica_status,
            report,
        };
        self.tell(now, Event::AttemptFinished(event), commands);
    }

    /// Answers all that is open: the program ends, and what it took and left unanswered would be lost. What no
    /// attempt was made for may be asked again, and so may what comes from now on.
    pub fn end(&mut self, now: Timestamp, commands: &mut Vec<Command<W>>) {
        self.ended = true;
        let open: Vec<(RequestId, u8)> = self.open.iter().map(|(id, open)| (*id, open.attempts)).collect();
        for (id, attempts) in open {
            self.finish(
                id,
                match attempts {
                    0 => FinalAnswer::Rejected { retry_after: None, overdue: false },
                    _ => FinalAnswer::Failed { overdue: false },
                },
            );
            self.tell(now, Event::RequestCancelled { id }, commands);
        }
    }

    /// A load report, or an empty one where its position cannot be.
    fn credible(&self, now: Timestamp, report: LoadReport) -> LoadReport {
        let zero = self.settings.zero.unwrap_or(Timestamp::ZERO).as_micros() as f64;
        let cannot_be = |x0: f64| zero + x0 * 1e6 > (now + AHEAD).as_micros() as f64 || x0 < 0.0;
        if self.field(&report, "x0").is_some_and(cannot_be) { LoadReport::default() } else { report }
    }

    /// Hands out an answer that is still to come; it is counted when it has.
    fn begin(&mut self, id: RequestId, answer: A) {
        if let Some(open) = self.open.remove(&id) {
            self.deadlines.remove(&(open.deadline + self.overdue, id));
            self.begun.insert(id, open.class);
            let _ = open.reply.try_send(FinalAnswer::Served(answer));
        }
    }

    fn finish(&mut self, id: RequestId, answer: FinalAnswer<A>) {
        if let Some(open) = self.open.remove(&id) {
            self.deadlines.remove(&(open.deadline + self.overdue, id));
            self.metrics.ended(open.class, end_of(&answer));
            let _ = open.reply.try_send(answer);
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

    fn is_late(&self, now: Timestamp, id: RequestId) -> bool {
        self.open.get(&id).is_some_and(|open| now >= open.deadline)
    }

    fn send(
        &mut self,
        now: Timestamp,
        id: RequestId,
        endpoint: EndpointId,
        stop_at: Option<Timestamp>,
        commands: &mut Vec<Command<W>>,
    ) {
        let Some(open) = self.open.get_mut(&id) else {
            log::error!("request {id}: the module sent it after its end");
            return;
        };
        let attempt = open.attempts;
        open.attempts = open.attempts.saturating_add(1);
        let out = self.out.range((id, 0)..=(id, u8::MAX)).next().is_some();
        let host = self.endpoints.host(endpoint).filter(|_| !out);
        let Some(host) = host else {
            // A second copy is never sent, nor can one be to a host that no list names any more.
            log::error!("request {id}: attempt {attempt} was not allowed out");
            let outcome = if out { AttemptOutcome::NotSent } else { AttemptOutcome::ConnectFailed };
            let event = AttemptFinished {
                id,
                attempt,
                endpoint,
                took: TimeDelta::ZERO,
                outcome,
                finished: false,
                replica_status: None,
                report: LoadReport::default(),
            };
            self.events.push_back(Event::AttemptFinished(event));
            return;
        };
        let until = stop_at.map_or(open.deadline, |at| at.min(open.deadline));
        let send_by = open.first_ran.and_then(|first| {
            let class = self.settings.classes.get(open.class)?;
            (class.idempotency == Some(Idempotency::Keyed))
                .then(|| first + class.key_window.unwrap_or(TimeDelta::ZERO))
        });
        let (host, work, freshness, class) =
            (host.name.clone(), open.work.clone(), open.freshness, open.class);
        self.out.insert((id, attempt), InFlightAttempt { endpoint, class, sent: now });
        commands.push(Command::SendAttempt { id, attempt, endpoint, host, work, until, send_by, freshness });
    }
}

#[cfg(test)]
mod tests;
