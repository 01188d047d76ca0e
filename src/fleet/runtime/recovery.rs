//! How service returns.

use super::*;

impl Fleet {
    /// Whether service has yet to return in full.
    pub fn returns(&self) -> bool {
        self.service.borrow().done.is_none()
    }

    /// How far it has.
    pub fn service(&self) -> RecoveryStatus {
        self.service.borrow().clone()
    }

    /// The settings are there: service can return by them.
    pub fn returns_by(&self, cold: SlowStartPolicy) {
        self.cold.set(Some(cold));
        *self.order.borrow_mut() = Some(RecoverySchedule::new(cold));
    }

    /// What holds now while service returns; `listed`: the core has the list. Once it has returned there are no terms
    /// and no turns.
    pub fn return_on(&self, listed: bool) -> (Option<AdmissionPolicy>, Option<PollParticipants>) {
        let now = self.clock.now();
        let mut order = self.order.borrow_mut();
        let Some(own) = order.as_mut() else { return (None, None) };
        let stand = own.advance(&self.recovery_inputs(now, listed));
        let turns = stand.share_polling.then(|| self.poll_participants());
        let terms = stand.admission.clone();
        if stand.phase == RecoveryPhase::Done {
            *order = None;
        }
        drop(order);
        self.record_recovery_status(&stand);
        (terms, turns)
    }

    pub(super) fn record_recovery_status(&self, stand: &RecoveryDecision) {
        let mut service = self.service.borrow_mut();
        let now = Instant::now();
        if (service.step, &service.waits) == (stand.phase, &stand.waiting_for) {
            return;
        }
        let since = (now - service.began).as_millis();
        if service.step != stand.phase {
            let waits = if stand.waiting_for.is_empty() { "nothing" } else { &stand.waiting_for };
            // Steps that others' words have made short are told too.
            let passed = [RecoveryPhase::Writes, RecoveryPhase::Reads, RecoveryPhase::Rest].into_iter();
            for step in passed.filter(|step| (service.step < *step) && (*step < stand.phase)) {
                log::info!("recovery: step {step}, {since} ms after the start; waits for nothing");
            }
            log::info!("recovery: step {}, {since} ms after the start; waits for {waits}", stand.phase);
            service.since = now;
        }
        (service.step, service.waits) = (stand.phase, stand.waiting_for.clone());
        if stand.phase == RecoveryPhase::Done {
            service.done = Some(now);
        }
    }

    /// Others that return as well and are heard: hosts are asked in turn with them.
    pub(super) fn poll_participants(&self) -> PollParticipants {
        let table = self.table();
        let hears = self.recently_heard_peers(&table);
        let returns = |id: &NodeId| table.heard.get(id).is_some_and(|h| h.beat.recovering);
        let others = hears.into_iter().filter(returns).filter(|id| table.state.members.contains_key(id));
        PollParticipants { local: table.identity.id, peers: others.collect() }
    }

    pub(super) fn recovery_inputs(
        &self,
        now: Timestamp,
        listed: bool,
    ) -> crate::fleet::recovery::phases::RecoveryView {
        let table = self.table();
        let members = table.state.members.len().max(1);
        let heard = self
            .recently_heard_peers(&table)
            .iter()
            .filter(|id| table.state.members.contains_key(id))
            .count()
            + 1;
        let seen = |(name, host): (&String, &HostRecord)| {
            let drained = host.draining || table.state.is_drained(name) || table.marks.is_draining(name);
            let moment = table.learned.endpoint_summary(now, name);
            let started = moment.started_at.max(host.started_at);
            (!drained).then(|| EndpointView {
                group: host.group,
                is_primary: moment.is_primary,
                primary_claims: moment.primary_claims,
                position_known: moment.position_known,
                age: started.map(|at| now - at),
                warm_capacity_rps: moment.warm_capacity_rps,
                utilization_reported: moment.utilization_reported,
                current_rate_rps: moment.current_rate_rps,
            })
        };
        let hosts = if listed { table.state.hosts.iter().filter_map(seen).collect() } else { Vec::new() };
        crate::fleet::recovery::phases::RecoveryView {
            now,
            list_received: listed,
            member_count: members,
            reachable_count: heard,
            endpoints: hosts,
        }
    }

    /// Notes which of these hosts have started a moment ago. The module is told, and spares them; but where no host of
    /// a group is warm, service returns to it in order and at the pace of what they bore before.
    pub(super) fn detect_restarts<'a>(&self, now: Timestamp, hosts: impl Iterator<Item = &'a String>) {
        let Some(cold) = self.cold.get() else { return };
        let news = {
            let table = self.table();
            let mut restarts = self.restarts.borrow_mut();
            let is_cold = |host: &&String| {
                table.learned.started_at(host).is_some_and(|started| now - started < cold.warm_up)
            };
            let hosts: Vec<String> = hosts.filter(is_cold).cloned().collect();
            if hosts.is_empty() && !restarts.has_undecided() {
                return;
            }
            let known = |(name, host): (&'_ String, &HostRecord)| KnownEndpoint {
                group: host.group,
                listed_start: host.started_at,
                observed_start: table.learned.started_at(name),
                last_heard: table.learned.last_heard(name),
            };
            let all = table.state.hosts.iter().map(|h| (h.0.as_str(), known(h))).collect();
            restarts.record(now, cold, hosts.into_iter(), &all)
        };
        if news.group_is_cold && !self.returns() {
            log::warn!(
                "recovery: a group's hosts have all started a moment ago; service returns to it in order"
            );
            self.returns_by(cold);
            *self.service.borrow_mut() = RecoveryStatus::new("");
        }
        if !news.slow_starting.is_empty() {
            log::info!("fleet: started a moment ago, and cold: {}", news.slow_starting.join(", "));
            self.mark_endpoints_changed(news.slow_starting);
            self.notify_watchers();
        }
    }
}
