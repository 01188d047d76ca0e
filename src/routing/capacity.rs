//! What a member may be given now.

use super::endpoints::EndpointState;
use super::router::*;
use super::*;

impl Router {
    /// In service, not failing (a suspect is asked one thing at a time), with room and within its budget.
    pub(super) fn takes(&self, now: Timestamp, id: EndpointId) -> bool {
        let m = &self.endpoints[&id];
        let room = (m.out.len() as f64) < m.window && (!m.suspect || m.out.is_empty());
        m.availability == Availability::Ready && room && now >= self.opens_at(now, m)
    }

    /// From when on a member may take more, as far as that is a matter of time: it is shunned, its cold
    /// budget fills, or a window below one leaves pauses, measured in usual latencies of the first class.
    pub(super) fn opens_at(&self, now: Timestamp, m: &EndpointState) -> Timestamp {
        let usual = self.latency.first().filter(|_| m.window < 1.0);
        let rest = usual.map_or(TimeDelta::ZERO, |l| TimeDelta::from_micros_f64(l / m.window));
        let step = HOLD_TIMER / 8;
        let filling = self.allowance(now, m) < 1.0;
        let fills = if filling { now + step - (now - m.budget_at) % step } else { Timestamp::ZERO };
        (m.sent_at + rest).max(fills).max(m.shunned_until.unwrap_or(Timestamp::ZERO))
    }

    /// Closes the window against what was in use: after an attempt that was not served (`unserved`: the usual
    /// latency) against the share of time in use. Its member is buried in work that nobody waits for.
    pub(super) fn shrink(&mut self, now: Timestamp, endpoint: EndpointId, unserved: Option<f64>) {
        let Some(m) = self.endpoints.get_mut(&endpoint) else { return };
        if now - m.shrunk_at > HOLD_TIMER / 2 {
            let share =
                unserved.filter(|_| m.out.is_empty()).map(|usual| usual / m.gap.as_micros_f64().max(1.0));
            let used = (m.out.len() + 1) as f64 * share.unwrap_or(1.0).min(1.0);
            m.window = (m.window.min(used) * SHRINK).max(self.least);
            m.shrunk_at = now;
        }
    }

    /// A member failed, by no connection or by turning work away: left alone for a while, longer each time
    /// in a row. One that fails fast looks idle and would draw all reads to itself.
    pub(super) fn shun(&mut self, now: Timestamp, id: EndpointId, base: TimeDelta) {
        let Some(m) = self.endpoints.get_mut(&id) else { return };
        m.shunned_until = Some(now + (base << m.strikes.min(MAX_DOUBLINGS)));
        m.strikes += 1;
    }
}
