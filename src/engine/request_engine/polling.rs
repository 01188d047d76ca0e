//! Questions to hosts, and what hosts and others tell.

use super::*;

impl<W: Clone, A> RequestEngine<W, A> {
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
    pub(super) fn learned(&mut self, now: Timestamp, endpoint: EndpointId, report: LoadReport) {
        if let Some(asks) = self.asks.as_mut().filter(|_| report.count > 0) {
            asks.told(now, endpoint);
            self.reports.insert(endpoint, report);
        }
    }

    /// The value of a report's field.
    pub(super) fn field(&self, report: &LoadReport, name: &str) -> Option<f64> {
        load_report::field(&self.settings.report_fields, report, name)
    }

    /// How long a host has run, by its report.
    pub(super) fn up(&self, report: &LoadReport) -> Option<TimeDelta> {
        self.field(report, "up")
            .filter(|up| (0.0..1e10).contains(up))
            .map(|up| TimeDelta::from_micros_f64(up * 1e6))
    }

    /// Asks a host about itself.
    pub(super) fn probe(&mut self, now: Timestamp, endpoint: EndpointId, commands: &mut Vec<Command<W>>) {
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

    /// A load report, or an empty one where its position cannot be.
    pub(super) fn credible(&self, now: Timestamp, report: LoadReport) -> LoadReport {
        let zero = self.settings.zero.unwrap_or(Timestamp::ZERO).as_micros() as f64;
        let cannot_be = |x0: f64| zero + x0 * 1e6 > (now + AHEAD).as_micros() as f64 || x0 < 0.0;
        if self.field(&report, "x0").is_some_and(cannot_be) { LoadReport::default() } else { report }
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
}
