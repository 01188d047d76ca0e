//! What a member may be given now.

use super::endpoints::EndpointState;
use super::router::*;
use super::*;

impl Router {
    /// In service, not failing (a suspect is asked one thing at a time), with room and within its budget.
    pub(super) fn accepts_attempt(&self, now: Timestamp, id: EndpointId) -> bool {
        let m = &self.endpoints[&id];
        let room =
            (m.in_flight.len() as f64) < m.concurrency_limit && (!m.suspected || m.in_flight.is_empty());
        m.availability == Availability::Ready && room && now >= self.accepts_attempts_from(now, m)
    }

    /// From when on a member may take more, as far as that is a matter of time: it is shunned, its cold
    /// budget fills, or a window below one leaves pauses, measured in usual latencies of the first class.
    pub(super) fn accepts_attempts_from(&self, now: Timestamp, m: &EndpointState) -> Timestamp {
        let usual = self.class_latency_us.first().filter(|_| m.concurrency_limit < 1.0);
        let rest = usual.map_or(TimeDelta::ZERO, |l| TimeDelta::from_micros_f64(l / m.concurrency_limit));
        let step = DISCOVERY_INTERVAL / 8;
        let filling = self.slow_start_allowance(now, m) < 1.0;
        let fills = if filling {
            now + step - (now - m.slow_start_budget_updated_at) % step
        } else {
            Timestamp::ZERO
        };
        (m.last_sent_at + rest).max(fills).max(m.ejected_until.unwrap_or(Timestamp::ZERO))
    }

    /// Closes the window against what was in use: after an attempt that was not served (`unserved`: the usual
    /// latency) against the share of time in use. Its member is buried in work that nobody waits for.
    pub(super) fn decrease_concurrency_limit(
        &mut self,
        now: Timestamp,
        endpoint: EndpointId,
        unserved: Option<f64>,
    ) {
        let Some(m) = self.endpoints.get_mut(&endpoint) else { return };
        if now - m.limit_decreased_at > DISCOVERY_INTERVAL / 2 {
            let share = unserved
                .filter(|_| m.in_flight.is_empty())
                .map(|usual| usual / m.last_send_interval.as_micros_f64().max(1.0));
            let used = (m.in_flight.len() + 1) as f64 * share.unwrap_or(1.0).min(1.0);
            m.concurrency_limit =
                (m.concurrency_limit.min(used) * LIMIT_DECREASE_FACTOR).max(self.min_concurrency_limit);
            m.limit_decreased_at = now;
        }
    }

    /// A member failed, by no connection or by turning work away: left alone for a while, longer each time
    /// in a row. One that fails fast looks idle and would draw all reads to itself.
    pub(super) fn eject(&mut self, now: Timestamp, id: EndpointId, base: TimeDelta) {
        let Some(m) = self.endpoints.get_mut(&id) else { return };
        m.ejected_until = Some(now + (base << m.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS)));
        m.consecutive_failures += 1;
    }
}
