//! Attempts: sent, ended, called off.

use super::*;

impl<W: Clone, A> RequestEngine<W, A> {
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

    pub(super) fn ended(&mut self, now: Timestamp, ended: AttemptReport<A>, commands: &mut Vec<Command<W>>) {
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

    pub(super) fn send(
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
