//! What is known of an endpoint now.

use super::restored::RestoredHistory;
use super::{GossipState, MOMENT, OLD};
use crate::time::Timestamp;

/// What is known of a host by words of a moment ago.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointSummary {
    /// It called itself the primary.
    pub primary: bool,
    /// Daemons that last heard it call itself that, and not too long ago.
    pub named: usize,
    /// It told a position.
    pub proven: bool,
    /// When it started, as far as known.
    pub started: Option<Timestamp>,
    /// Requests a second that it bore when warm, by what it served all daemons together at its best before this
    /// daemon's start, and the part of its capacity that it said this took.
    pub bore: f64,
    /// It said which part that was.
    pub said: bool,
    /// Those that it serves for them now.
    pub serves: f64,
}

impl GossipState {
    /// What is known of a host now. This daemon's own evidence is of this start; others' counts if it is of a moment
    /// ago. What was heard before the host's last start says nothing any more but what it bore.
    pub fn endpoint_summary(&self, now: Timestamp, host: &str) -> EndpointSummary {
        let started = self.started_at(host);
        let mut moment = EndpointSummary { started, ..EndpointSummary::default() };
        let mut rate = 0;
        let own = self.rates.get(host).map_or(0.0, |served| served.rate(now));
        for (by, e) in self.all.iter().filter_map(|(by, hosts)| Some((by, hosts.get(host)?))) {
            rate += if *by == self.me || now - e.at > MOMENT { 0 } else { u64::from(e.rate) };
            if started.is_some_and(|at| e.at < at) {
                continue;
            }
            let recent = *by == self.me || now - e.at < MOMENT;
            moment.primary |= recent && e.primary;
            moment.proven |= recent && e.position.is_known();
            moment.named += usize::from(e.primary && now - e.at < OLD);
        }
        let before = self.before.get(host);
        moment.bore = before.map_or(0.0, RestoredHistory::bears);
        moment.said = before.is_some_and(|b| b.said.0 > 0.0);
        moment.serves = own + rate as f64 / 1000.0;
        moment
    }
}
