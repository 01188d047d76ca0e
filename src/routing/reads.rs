//! The read path.

use super::endpoints::EndpointState;
use super::group::WRITES;
use super::request::Request;
use super::router::*;
use super::timers::Due;
use super::*;
use fastrand::Rng;

impl Router {
    /// Members turn away what they may not answer. Else no read of the present may walk the ring.
    pub(super) fn checks(&self) -> bool {
        self.settings.replication_lag_policy.is_some_and(|b| b != ReplicationLagPolicy::ServeStale)
    }

    /// The companion draw: a replica that is fresh enough, weighted size / (latency x (1 + in flight)). Where
    /// none is known to be, one is asked by a probe and the read waits for that; else the primary; `None`
    /// holds the read.
    pub(super) fn pick_reader(
        &mut self,
        now: Timestamp,
        id: RequestId,
        out: &mut Vec<Action>,
    ) -> Option<EndpointId> {
        let r = &self.requests[&id];
        let g = self.groups.get(&r.group)?;
        // A member that turned this read away is tried again only on later news of it.
        let tried = |id: &EndpointId| {
            let news = |t| self.endpoints[id].heard > Some(t);
            r.attempts.iter().any(|a| a.endpoint == *id && (a.open || a.missed_at.is_some_and(|t| !news(t))))
        };
        // The believed primary is no reader, unless its role has yet to be heard: it is asked like the rest.
        let unheard = |m: &EndpointState| m.role.is_none() && !m.listed_primary && !self.checks();
        let reads = |id: &EndpointId| Some(*id) != g.primary || unheard(&self.endpoints[id]);
        let open = |id: &&EndpointId| reads(id) && !tried(id) && self.takes(now, **id);
        let replicas = g.endpoints.iter().filter(open).map(|id| {
            let m = &self.endpoints[id];
            let near = if self.settings.zone.is_none_or(|z| z == m.zone) { 1.0 } else { FAR };
            (*id, near * m.units * self.warmth(now, m) / (m.slow * (1.0 + m.out.len() as f64)))
        });
        let (known, unknown): (Vec<_>, Vec<_>) =
            replicas.partition(|(id, _)| self.fresh(now, r, &self.endpoints[id]));
        if !known.is_empty() {
            return draw(&mut self.rng, &known);
        }
        // A driver that sends little has no recent answer from anyone. Reads that find a probe under way wait
        // for it too; each read waits once, and no longer than a probe of a sound member takes.
        let recent = |t: &Timestamp| now - *t < PROBE_WAIT;
        let probes = self.settings.may_probe == Some(true) && !self.checks();
        let probes = probes && r.kind.is_some_and(|k| k != Consistency::Strong);
        if probes && r.probed.as_ref().is_none_or(recent) && !unknown.is_empty() {
            let waits =
                unknown.iter().any(|(id, _)| self.endpoints[id].probed_at.as_ref().is_some_and(recent));
            if waits || r.probed.is_none() {
                self.requests.get_mut(&id)?.probed.get_or_insert(now);
                if !waits {
                    let endpoint = draw(&mut self.rng, &unknown)?;
                    let m = self.endpoints.get_mut(&endpoint)?;
                    m.probed_at = Some(now);
                    self.agenda.insert((now + PROBE_WAIT, Due::Pump(m.group)));
                    out.push(Action::Probe { endpoint });
                }
                return None;
            }
        }
        let primary = g.primary.filter(|p| !r.attempts.iter().any(|a| a.endpoint == *p && a.open))?;
        let m = self.endpoints.get(&primary)?;
        // Where members answer from whatever they hold, only one that is known to have been primary is safe.
        let proven = m.role == Some(true) || m.role.is_none() && (self.checks() || m.listed_primary);
        // Reads may take half of what the primary bears, none while it answers late or writes wait for it.
        let spare = m.window >= 1.0 && (m.out.len() as f64) < m.window / 2.0 && g.held[WRITES].is_empty();
        (proven && spare && self.takes(now, primary)).then_some(primary)
    }

    pub(super) fn fresh(&self, now: Timestamp, r: &Request, m: &EndpointState) -> bool {
        let need = match r.kind {
            Some(Consistency::Session) => match r.commit {
                Some(commit) => commit + ROUNDING,
                None => return true,
            },
            Some(Consistency::Bounded) => {
                now - self.settings.classes[r.class].max_age.unwrap_or(TimeDelta::ZERO) + ROUNDING
            }
            Some(Consistency::Strong) | None => return false,
            _ => return true,
        };
        // One that trailed by seconds is believed to for as long: it catches up no faster than it applies.
        let believed = m.lag.clamp(HOLD_TIMER, HOLD_TIMER << MAX_DOUBLINGS);
        match m.position {
            Some(p) if p >= need => true,
            // Where a member turns stale reads away itself an estimate will do: a miss costs only time.
            Some(_) if self.checks() && m.heard.is_some_and(|t| now - t < believed) => now - m.lag >= need,
            // Not heard of lately: a read finds out, or nobody would ever learn that it has caught up.
            _ => self.checks(),
        }
    }
}

/// Draws by weight.
pub(super) fn draw(rng: &mut Rng, of: &[(EndpointId, f64)]) -> Option<EndpointId> {
    let mut at = rng.f64() * of.iter().map(|(_, w)| w).sum::<f64>();
    let hit = of.iter().find(|(_, w)| {
        at -= w;
        at <= 0.0
    });
    hit.or(of.last()).map(|(id, _)| *id)
}
