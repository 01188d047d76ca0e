//! The owner of the module: the request table, attempts that are out, and timers. No I/O.
//!
//! What it guards for every front: one final answer for each request, one attempt out at a time, results
//! that come after the end are told to the module and dropped, and a client that has gone ends its attempt.

use super::admission::{Gate, Terms};
use super::endpoints::{Listing, Members};
use super::load_report::{self, report_of};
use super::metrics::{End, Figures, Gauges};
use super::observations::{Fact, Facts, New};
use super::outcome_window::{Out, Seen, Sights};
use super::poll_scheduler::{Ask as Question, Asks};
use super::{Command, Ended, Final, Input, Need, Submission, Told, Turns};
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
    reply: Sender<Final<A>>,
    deadline: Timestamp,
    attempts: u8,
    /// When the first attempt was sent that may have run.
    first_ran: Option<Timestamp>,
    need: Need,
    class: usize,
    group: GroupId,
}

/// What a host told about itself, unless it cannot be: none is ahead of the present, and a position that is
/// would pass for fresh for ever.
fn believed(now: Timestamp, mark: Option<Mark>) -> Option<Mark> {
    let mark = mark.filter(|m| m.position.commit_time(Timestamp::ZERO) <= now + AHEAD)?;
    Some(Mark { position: mark.position.min(LogPosition::of_commit(now, Timestamp::ZERO)), ..mark })
}

/// What a final answer counts as.
fn end_of<A>(answer: &Final<A>) -> End {
    match answer {
        Final::Served(_) => End::Success,
        Final::Refused { .. } => End::Overload,
        Final::Failed { .. } | Final::UnknownGroup => End::Error,
    }
}

/// The module with all that belongs to its requests.
pub struct Owner<W, A> {
    router: Router,
    settings: Settings,
    seed: u64,
    members: Members,
    most: usize,
    overdue: TimeDelta,
    open: BTreeMap<RequestId, Open<W, A>>,
    /// Requests whose answer has begun, with their class; nothing more is owed, but their client may go.
    begun: BTreeMap<RequestId, usize>,
    out: BTreeMap<(RequestId, u8), Out>,
    deadlines: BTreeSet<(Timestamp, RequestId)>,
    timers: BTreeSet<(Timestamp, u64)>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    figures: Arc<Figures>,
    facts: Facts,
    sights: Sights,
    gate: Gate,
    /// Questions to hosts, where these are asked in turn with other daemons.
    asks: Option<Asks<EndpointId>>,
    /// What hosts last told, to answer a question that need not be asked.
    reports: BTreeMap<EndpointId, Report>,
    /// The program ends: nothing more is taken.
    ended: bool,
    /// Questions to hosts that are out: when each went.
    asked: BTreeMap<EndpointId, Timestamp>,
}

impl<W: Clone, A> Owner<W, A> {
    /// An owner of a fresh module.
    pub fn new(settings: Settings, seed: u64, limits: &Limits, figures: Arc<Figures>) -> Self {
        Owner {
            router: Router::new(settings.clone(), seed),
            gate: Gate::new(&settings, seed),
            asks: None,
            reports: BTreeMap::new(),
            asked: BTreeMap::new(),
            settings,
            seed,
            members: Members::default(),
            most: limits.requests,
            overdue: TimeDelta::from(limits.overdue),
            open: BTreeMap::new(),
            begun: BTreeMap::new(),
            out: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            timers: BTreeSet::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            figures,
            facts: Facts::default(),
            sights: Sights::default(),
            ended: false,
        }
    }

    /// When something is due next.
    pub fn next_due(&self) -> Option<Timestamp> {
        let timer = self.timers.first().map(|(at, _)| *at);
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let turn = self.asks.as_ref().and_then(Asks::next);
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
    pub fn facts(&mut self) -> Vec<Fact> {
        let new = self.facts.take();
        let mut out: BTreeMap<EndpointId, u16> = BTreeMap::new();
        self.out.values().for_each(|flight| *out.entry(flight.member).or_default() += 1);
        let fact = |(member, new): (EndpointId, New)| {
            let host = self.members.host(member)?;
            Some(Fact {
                host: host.name.clone(),
                primary: new.mark.primary,
                position: new.mark.position,
                at: new.at,
                out: out.get(&member).copied().unwrap_or(0),
                started: new.started.max(host.started_at),
                served: new.served,
                used: new.used,
                back: new.back,
            })
        };
        new.into_iter().filter_map(fact).collect()
    }

    /// What was seen of each host within the last moment.
    pub fn sights(&mut self, now: Timestamp) -> BTreeMap<String, Seen> {
        let Owner { sights, out, members, .. } = self;
        let seen = sights.read(now, out.values().copied()).into_iter();
        seen.filter_map(|(member, seen)| Some((members.host(member)?.name.clone(), seen))).collect()
    }

    /// Reads that are out at these hosts and overdue are called off; the module asks them elsewhere, as far as their
    /// class permits. Nothing else is: what may have written is waited for.
    pub fn call_off(&mut self, now: Timestamp, hosts: &BTreeSet<String>, commands: &mut Vec<Command<W>>) {
        for (&(id, attempt), flight) in &self.out {
            let class = self.settings.classes.get(flight.class);
            let is_safe = class.is_some_and(|c| c.repeat == Some(Repeat::Safe));
            let named = self.members.host(flight.member).is_some_and(|h| hosts.contains(&h.name));
            if is_safe && named && self.open.contains_key(&id) && self.sights.is_overdue(now, flight) {
                commands.push(Command::Cancel { id, attempt });
            }
        }
    }

    /// The terms on which requests are let in.
    pub fn admit(&mut self, now: Timestamp, terms: Option<Terms>) {
        self.gate.set(now, terms);
    }

    /// Hosts are asked in turn with others from now on, or whenever the module wants it.
    pub fn turns(&mut self, now: Timestamp, turns: Option<Turns>, commands: &mut Vec<Command<W>>) {
        match (turns, &mut self.asks) {
            (Some(Turns { others, .. }), Some(asks)) => asks.hears(others),
            (Some(Turns { me, others }), none) => *none = Some(Asks::new(me, others)),
            (None, asks) => {
                for member in asks.take().map(Asks::end).unwrap_or_default() {
                    self.probe(now, member, commands);
                }
                self.reports.clear();
                self.work_off(now, commands);
            }
        }
    }

    /// Takes in what others heard hosts say. What this daemon heard itself, and later, counts for more.
    pub fn told(&mut self, now: Timestamp, all: Vec<Told>, commands: &mut Vec<Command<W>>) {
        for Told { host, primary, position, at, fresh } in all {
            let Some(member) = self.members.find(&host) else { continue };
            let committed = position.commit_time(Timestamp::ZERO);
            let later = self.facts.heard(member).is_some_and(|own| own >= at);
            if !later && committed <= now + AHEAD {
                self.facts.known(member, position, at);
            }
            if later || !fresh || committed > now + AHEAD || self.asks.is_none() {
                continue;
            }
            let report = report_of(&self.settings.report_fields, |field| match field {
                "x0" => Some(position.as_micros() as f64 / 1e6),
                "x1" => Some(f64::from(u8::from(primary))),
                _ => None,
            });
            self.learned(now, member, report);
            commands.push(Command::Heard(host));
            self.tell(now, Event::Probed { member, ok: true, took: TimeDelta::ZERO, report }, commands);
        }
    }

    /// A host's report is known now, to whoever wants it within a moment.
    fn learned(&mut self, now: Timestamp, member: EndpointId, report: Report) {
        if let Some(asks) = self.asks.as_mut().filter(|_| report.count > 0) {
            asks.told(now, member);
            self.reports.insert(member, report);
        }
    }

    /// The value of a report's field.
    fn field(&self, report: &Report, name: &str) -> Option<f64> {
        load_report::field(&self.settings.report_fields, report, name)
    }

    /// How long a host has run, by its report.
    fn up(&self, report: &Report) -> Option<TimeDelta> {
        self.field(report, "up")
            .filter(|up| (0.0..1e10).contains(up))
            .map(|up| TimeDelta::from_micros_f64(up * 1e6))
    }

    /// Asks a host about itself.
    fn probe(&mut self, now: Timestamp, member: EndpointId, commands: &mut Vec<Command<W>>) {
        let host = self.members.host(member).filter(|h| h.open).map(|h| h.name.clone());
        match host {
            Some(host) => {
                self.asked.insert(member, now);
                commands.push(Command::Probe { member, host });
            }
            None => {
                let report = Report::default();
                self.events.push_back(Event::Probed { member, ok: false, took: TimeDelta::ZERO, report });
            }
        }
    }

    /// Fires what is due.
    pub fn due(&mut self, now: Timestamp, commands: &mut Vec<Command<W>>) {
        for member in self.asks.as_mut().map(|asks| asks.due(now)).unwrap_or_default() {
            self.probe(now, member, commands);
        }
        self.work_off(now, commands);
        while let Some(&(at, timer)) = self.timers.first()
            && at <= now
        {
            self.timers.pop_first();
            self.tell(now, Event::Wake { timer }, commands);
        }
        while let Some(&(at, id)) = self.deadlines.first()
            && at <= now
        {
            self.deadlines.pop_first();
            if self.open.contains_key(&id) {
                log::warn!("request {id}: no answer at its deadline");
                self.finish(id, Final::Failed { overdue: true });
                self.tell(now, Event::Lapsed { id }, commands);
            }
        }
    }

    /// Takes in a list.
    pub fn list(&mut self, now: Timestamp, list: &Listing, cached: bool, commands: &mut Vec<Command<W>>) {
        let (kind, entries, changed) = self.members.apply(list, cached);
        if changed.iter().any(|h| h.gone) {
            let members = &self.members;
            self.facts.retain(|member| members.host(member).is_some());
            self.reports.retain(|member, _| members.host(*member).is_some());
            self.asked.retain(|member, _| members.host(*member).is_some());
        }
        // Before the module's own commands: an attempt must find its host known, or known to be closed.
        if !changed.is_empty() {
            commands.push(Command::Hosts(changed));
        }
        self.tell(now, Event::Members { kind, entries }, commands);
    }

    /// Takes in what a front or a host side has to say.
    pub fn input(&mut self, now: Timestamp, input: Input<W, A>, commands: &mut Vec<Command<W>>) {
        match input {
            Input::Request(request) => self.take(now, request, commands),
            Input::Lapsed(id) => {
                let open = self.open.remove(&id);
                if let Some(open) = &open {
                    self.deadlines.remove(&(open.deadline + self.overdue, id));
                }
                let class = open.as_ref().map(|open| open.class).or(self.begun.remove(&id));
                if let Some(class) = class {
                    // Its client has gone: whatever is still to come reaches nobody.
                    self.figures.ended(class, End::Error);
                    self.tell(now, Event::Lapsed { id }, commands);
                }
            }
            Input::Started { id, attempt, answer } => {
                let Some(flight) = self.out.get(&(id, attempt)) else { return };
                let member = flight.member;
                // One that was given up meanwhile has its answer: this one is dropped, which ends the attempt.
                if self.open.contains_key(&id) {
                    self.begin(id, answer);
                    self.tell(now, Event::Started { id, attempt, member }, commands);
                }
            }
            Input::Ended(ended) => self.ended(now, ended, commands),
            Input::Probed { member, took, report } => {
                let (ok, report) = (report.is_some(), self.credible(now, report.unwrap_or_default()));
                let sent = self.asked.remove(&member).unwrap_or(Timestamp::ZERO);
                if let (Some(position), Some(role)) = (self.field(&report, "x0"), self.field(&report, "x1")) {
                    let mark = Mark {
                        primary: role >= 0.5,
                        position: LogPosition::from_micros((position * 1e6) as i64),
                    };
                    self.facts.note(member, believed(now, Some(mark)), self.up(&report), sent, now);
                    self.learned(now, member, report);
                }
                self.tell(now, Event::Probed { member, ok, took, report }, commands);
            }
            Input::Peer { from, bytes } => self.tell(now, Event::Peer { from, bytes }, commands),
        }
    }

    fn take(&mut self, now: Timestamp, request: Submission<W, A>, commands: &mut Vec<Command<W>>) {
        let Submission { ask, deadline, work, reply } = request;
        let early = if !self.members.knows_group(ask.group) {
            Some(Final::UnknownGroup)
        } else if self.ended || self.open.len() >= self.most {
            Some(Final::Refused { retry_in: None, overdue: false })
        } else {
            let let_in = self.gate.admit(now, ask.class, ask.group);
            let_in.err().map(|wait| Final::Refused { retry_in: Some(wait), overdue: false })
        };
        if let Some(answer) = early {
            self.figures.ended(ask.class, end_of(&answer));
            let _ = reply.try_send(answer);
            return;
        }
        let need = match self.settings.classes.get(ask.class).and_then(|c| Some((c.consistency?, c.max_age)))
        {
            Some((Consistency::Bounded, age)) => Need::Age(age.unwrap_or(TimeDelta::ZERO)),
            Some((Consistency::Session, _)) => ask.token_age.map_or(Need::Any, |age| Need::Since(now - age)),
            Some((Consistency::Strong, _)) => Need::Since(now),
            _ => Need::Any,
        };
        let (class, group) = (ask.class, ask.group);
        self.open
            .insert(ask.id, Open { work, reply, deadline, attempts: 0, first_ran: None, need, class, group });
        self.deadlines.insert((deadline + self.overdue, ask.id));
        let ask = Ask { patience: (deadline - now).or_zero(), ..ask };
        self.tell(now, Event::Request(ask), commands);
    }

    fn ended(&mut self, now: Timestamp, ended: Ended<A>, commands: &mut Vec<Command<W>>) {
        let Ended { id, attempt, outcome, mark, report, answer } = ended;
        let mark = believed(now, mark);
        let report = self.credible(now, report);
        let Some(flight) = self.out.remove(&(id, attempt)) else { return };
        self.facts.note(flight.member, mark, self.up(&report), flight.sent, now);
        if self.members.host(flight.member).is_some_and(|h| h.open) {
            self.sights.ended(now, flight.member, flight.class, now - flight.sent, outcome);
            if let Some(util) = self.field(&report, "util") {
                self.sights.busy(flight.member, util);
                self.facts.used(flight.member, util);
            }
        }
        let served = outcome == Outcome::Ok;
        if served {
            self.facts.served(flight.member);
        }
        if let Some(open) = self.open.get_mut(&id) {
            if outcome.may_have_run() {
                open.first_ran.get_or_insert(flight.sent);
            }
            self.gate.ended(now, open.class, open.group, now - flight.sent, outcome);
        }
        if let Some(answer) = answer.filter(|_| served) {
            // One that was given up meanwhile has its answer: this one is dropped.
            self.finish(id, Final::Served(answer));
        }
        // Counted once it is whole: what broke off in its midst is no success.
        if let Some(class) = self.begun.remove(&id) {
            self.figures.ended(class, if served { End::Success } else { End::Error });
        }
        let event = Settled {
            id,
            attempt,
            member: flight.member,
            took: now - flight.sent,
            outcome,
            finished: !self.open.contains_key(&id),
            mark,
            report,
        };
        self.tell(now, Event::Settled(event), commands);
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
                    0 => Final::Refused { retry_in: None, overdue: false },
                    _ => Final::Failed { overdue: false },
                },
            );
            self.tell(now, Event::Lapsed { id }, commands);
        }
    }

    /// A load report, or an empty one where its position cannot be.
    fn credible(&self, now: Timestamp, report: Report) -> Report {
        let zero = self.settings.zero.unwrap_or(Timestamp::ZERO).as_micros() as f64;
        let cannot_be = |x0: f64| zero + x0 * 1e6 > (now + AHEAD).as_micros() as f64 || x0 < 0.0;
        if self.field(&report, "x0").is_some_and(cannot_be) { Report::default() } else { report }
    }

    /// Hands out an answer that is still to come; it is counted when it has.
    fn begin(&mut self, id: RequestId, answer: A) {
        if let Some(open) = self.open.remove(&id) {
            self.deadlines.remove(&(open.deadline + self.overdue, id));
            self.begun.insert(id, open.class);
            let _ = open.reply.try_send(Final::Served(answer));
        }
    }

    fn finish(&mut self, id: RequestId, answer: Final<A>) {
        if let Some(open) = self.open.remove(&id) {
            self.deadlines.remove(&(open.deadline + self.overdue, id));
            self.figures.ended(open.class, end_of(&answer));
            let _ = open.reply.try_send(answer);
        }
    }

    fn tell(&mut self, now: Timestamp, event: Event, commands: &mut Vec<Command<W>>) {
        self.events.push_back(event);
        if self.facts.is_urgent() {
            commands.push(Command::News);
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
            self.finish(id, Final::Failed { overdue: false });
        }
        let out = std::mem::take(&mut self.out);
        commands.extend(out.into_keys().map(|(id, attempt)| Command::Cancel { id, attempt }));
        self.begun.clear();
        self.timers.clear();
        self.events.clear();
        self.seed = self.seed.wrapping_add(1);
        self.router = Router::new(self.settings.clone(), self.seed);
        let entries = self.members.entries();
        self.events.push_back(Event::Members { kind: ListKind::Cached, entries });
    }

    fn act(&mut self, now: Timestamp, action: Action, commands: &mut Vec<Command<W>>) {
        match action {
            Action::Send { id, member, stop_at } => self.send(now, id, member, stop_at, commands),
            Action::Refuse { id, retry_in } => {
                let overdue = self.is_late(now, id);
                self.finish(id, Final::Refused { retry_in, overdue });
            }
            Action::Fail { id } => {
                let overdue = self.is_late(now, id);
                self.finish(id, Final::Failed { overdue });
            }
            Action::Cancel { id, attempt } => {
                if self.out.contains_key(&(id, attempt)) {
                    commands.push(Command::Cancel { id, attempt });
                }
            }
            Action::WakeIn { span, timer } => drop(self.timers.insert((now + span.or_zero(), timer))),
            Action::Probe { member } => {
                let name = self.members.host(member).map(|h| h.name.as_str()).unwrap_or_default();
                match self.asks.as_mut().map_or(Question::Now, |asks| asks.wanted(now, member, name)) {
                    Question::Now => self.probe(now, member, commands),
                    Question::Later => {}
                    Question::Known => {
                        let report = self.reports.get(&member).copied().unwrap_or_default();
                        self.events.push_back(Event::Probed {
                            member,
                            ok: report.count > 0,
                            took: TimeDelta::ZERO,
                            report,
                        });
                    }
                }
            }
            // Discovery is watched from the start to the end, whoever asks.
            Action::Subscribe { on: _ } | Action::FetchList => commands.push(Command::FetchList),
            Action::CloseIdle { member } => {
                let host = self.members.host(member).map(|h| h.name.clone());
                commands.extend(host.map(Command::CloseIdle));
            }
            Action::Tell { to, bytes } => commands.push(Command::Tell { to, bytes }),
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
        member: EndpointId,
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
        let host = self.members.host(member).filter(|_| !out);
        let Some(host) = host else {
            // A second copy is never sent, nor can one be to a host that no list names any more.
            log::error!("request {id}: attempt {attempt} was not allowed out");
            let outcome = if out { Outcome::Moot } else { Outcome::ConnectFailed };
            let event = Settled {
                id,
                attempt,
                member,
                took: TimeDelta::ZERO,
                outcome,
                finished: false,
                mark: None,
                report: Report::default(),
            };
            self.events.push_back(Event::Settled(event));
            return;
        };
        let until = stop_at.map_or(open.deadline, |at| at.min(open.deadline));
        let send_by = open.first_ran.and_then(|first| {
            let class = self.settings.classes.get(open.class)?;
            (class.repeat == Some(Repeat::Keyed)).then(|| first + class.key_window.unwrap_or(TimeDelta::ZERO))
        });
        let (host, work, need, class) = (host.name.clone(), open.work.clone(), open.need, open.class);
        self.out.insert((id, attempt), Out { member, class, sent: now });
        commands.push(Command::Attempt { id, attempt, member, host, work, until, send_by, need });
    }
}

#[cfg(test)]
mod tests;
