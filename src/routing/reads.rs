//! The read path.

use super::endpoints::EndpointState;
use super::group::WRITES;
use super::request::Request;
use super::router::*;
use super::timers::Timer;
use super::*;
use fastrand::Rng;

impl Router {
    /// Members turn away what they may not answer. Else no read of the present may walk the ring.
    pub(super) fn endpoints_reject_stale_reads(&self) -> bool {
        self.settings.replication_lag_policy.is_some_and(|b| b != ReplicationLagPolicy::ServeStale)
    }

    /// The companion draw: a replica that is fresh enough, weighted size / (latency x (1 + in flight)). Where
    /// none is known to be, one is asked by a probe and the read waits for that; else the primary; `None`
    /// holds the read.
    pub(super) fn choose_reader(
        &mut self,
        now: Timestamp,
        id: RequestId,
        out: &mut Vec<Action>,
    ) -> Option<EndpointId> {
        let r = &self.requests[&id];
        let g = self.groups.get(&r.group)?;
        // A member that turned this read away is tried again only on later news of it.
        let tried = |id: &EndpointId| {
            let news = |t| self.endpoints[id].last_response_at > Some(t);
            r.attempts
                .iter()
                .any(|a| a.endpoint == *id && (a.open || a.unserved_at.is_some_and(|t| !news(t))))
        };
        // The believed primary is no reader, unless its role has yet to be heard: it is asked like the rest.
        let unheard = |m: &EndpointState| {
            m.role.is_none() && !m.listed_as_primary && !self.endpoints_reject_stale_reads()
        };
        let reads = |id: &EndpointId| Some(*id) != g.primary || unheard(&self.endpoints[id]);
        let open = |id: &&EndpointId| reads(id) && !tried(id) && self.accepts_attempt(now, **id);
        let replicas = g.endpoints.iter().filter(open).map(|id| {
            let m = &self.endpoints[id];
            let near = if self.settings.zone.is_none_or(|z| z == m.zone) { 1.0 } else { REMOTE_ZONE_WEIGHT };
            (
                *id,
                near * m.capacity_units * self.warmth(now, m)
                    / (m.relative_latency * (1.0 + m.in_flight.len() as f64)),
            )
        });
        let (known, unknown): (Vec<_>, Vec<_>) =
            replicas.partition(|(id, _)| self.is_fresh_enough(now, r, &self.endpoints[id]));
        if !known.is_empty() {
            return draw_by_weight(&mut self.rng, &known);
        }
        // A driver that sends little has no recent answer from anyone. Reads that find a probe under way wait
        // for it too; each read waits once, and no longer than a probe of a sound member takes.
        let recent = |t: &Timestamp| now - *t < PROBE_TIMEOUT;
        let probes = self.settings.may_probe == Some(true) && !self.endpoints_reject_stale_reads();
        let probes = probes && r.consistency.is_some_and(|k| k != Consistency::Strong);
        if probes && r.waiting_for_probe_since.as_ref().is_none_or(recent) && !unknown.is_empty() {
            let waits =
                unknown.iter().any(|(id, _)| self.endpoints[id].probe_sent_at.as_ref().is_some_and(recent));
            if waits || r.waiting_for_probe_since.is_none() {
                self.requests.get_mut(&id)?.waiting_for_probe_since.get_or_insert(now);
                if !waits {
                    let endpoint = draw_by_weight(&mut self.rng, &unknown)?;
                    let m = self.endpoints.get_mut(&endpoint)?;
                    m.probe_sent_at = Some(now);
                    self.timers.insert((now + PROBE_TIMEOUT, Timer::DispatchQueued(m.group)));
                    out.push(Action::Probe { endpoint });
                }
                return None;
            }
        }
        let primary = g.primary.filter(|p| !r.attempts.iter().any(|a| a.endpoint == *p && a.open))?;
        let m = self.endpoints.get(&primary)?;
        // Where members answer from whatever they hold, only one that is known to have been primary is safe.
        let proven = m.role == Some(true)
            || m.role.is_none() && (self.endpoints_reject_stale_reads() || m.listed_as_primary);
        // Reads may take half of what the primary bears, none while it answers late or writes wait for it.
        let spare = m.concurrency_limit >= 1.0
            && (m.in_flight.len() as f64) < m.concurrency_limit / 2.0
            && g.queued[WRITES].is_empty();
        (proven && spare && self.accepts_attempt(now, primary)).then_some(primary)
    }

    pub(super) fn is_fresh_enough(&self, now: Timestamp, r: &Request, m: &EndpointState) -> bool {
        let need = match r.consistency {
            Some(Consistency::Session) => match r.required_commit {
                Some(commit) => commit + POSITION_RESOLUTION,
                None => return true,
            },
            Some(Consistency::Bounded) => {
                now - self.settings.classes[r.class].max_age.unwrap_or(TimeDelta::ZERO) + POSITION_RESOLUTION
            }
            Some(Consistency::Strong) | None => return false,
            _ => return true,
        };
        // One that trailed by seconds is believed to for as long: it catches up no faster than it applies.
        let believed =
            m.replication_lag.clamp(DISCOVERY_INTERVAL, DISCOVERY_INTERVAL << MAX_BACKOFF_DOUBLINGS);
        match m.proven_position {
            Some(p) if p >= need => true,
            // Where a member turns stale reads away itself an estimate will do: a miss costs only time.
            Some(_)
                if self.endpoints_reject_stale_reads()
                    && m.last_response_at.is_some_and(|t| now - t < believed) =>
            {
                now - m.replication_lag >= need
            }
            // Not heard of lately: a read finds out, or nobody would ever learn that it has caught up.
            _ => self.endpoints_reject_stale_reads(),
        }
    }
}

/// Draws by weight.
pub(super) fn draw_by_weight(rng: &mut Rng, of: &[(EndpointId, f64)]) -> Option<EndpointId> {
    let mut at = rng.f64() * of.iter().map(|(_, w)| w).sum::<f64>();
    let hit = of.iter().find(|(_, w)| {
        at -= w;
        at <= 0.0
    });
    hit.or(of.last()).map(|(id, _)| *id)
}
