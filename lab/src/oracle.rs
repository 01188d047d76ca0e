//! What an all-knowing pooler would have served: the limit against which a return is measured.

use crate::client::RequestRecord;
use crate::endpoint::warmth;

/// Hosts of a group, as the oracle knows them.
#[derive(Clone, Copy, Debug)]
pub struct CapacityModel {
    /// Replicas beside the primary.
    pub replicas: usize,
    /// Operations at once when warm, and the seconds that each takes.
    pub host: (usize, f64),
    /// When they started cold, in Unix microseconds; `None`: they are warm.
    pub started: Option<i64>,
}

impl CapacityModel {
    /// Operations a second that one host bears at a time.
    pub fn bears(&self, at: i64) -> f64 {
        let (slots, work) = self.host;
        let warm = self.started.map_or(1.0, |from| warmth((at - from) as f64 / 1e6));
        ((slots as f64 * warm) as usize).max(1) as f64 / work
    }
}

/// Worth of an answer, by the lab's settings.
pub fn worth(one: &RequestRecord) -> f64 {
    match (one.write, one.own) {
        (true, _) => 6.0,
        (false, false) => 3.0,
        (false, true) => 1.0,
    }
}

/// Requests for a host that wait for the oracle: when each gives up, and its worth.
type Waiting = Vec<(i64, f64)>;

/// Worth that is served at its best: of the requests that were due from `from` to `to`, each waits for `patience` at
/// the most, and the best go first. In steps of 20 ms, each step's worth with its time.
pub fn best(
    asked: &[RequestRecord],
    groups: u32,
    model: CapacityModel,
    from: i64,
    to: i64,
    patience: i64,
) -> Vec<(i64, f64)> {
    const STEP: i64 = 20_000;
    let mut all = Vec::new();
    // By group, writes and reads: what waits, and what could not be used of the steps before.
    let mut waits: Vec<[(Waiting, f64); 2]> = (0..=groups).map(|_| Default::default()).collect();
    let mut due: Vec<&RequestRecord> = crate::check::requests_due(asked, from, to).collect();
    due.sort_by_key(|a| a.due);
    let mut next = 0;
    for at in (from..to).step_by(STEP as usize) {
        while let Some(one) = due.get(next).filter(|a| a.due < at + STEP) {
            waits[one.group as usize][usize::from(!one.write)].0.push((one.due + patience, worth(one)));
            next += 1;
        }
        let mut served = 0.0;
        for group in &mut waits {
            for (side, (waiting, left)) in group.iter_mut().enumerate() {
                waiting.retain(|(until, _)| *until > at);
                waiting.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
                let hosts = if side == 0 { 1 } else { model.replicas };
                *left += model.bears(at) * hosts as f64 * STEP as f64 / 1e6;
                let some = (*left as usize).min(waiting.len());
                served += waiting.drain(..some).map(|(_, worth)| worth).sum::<f64>();
                // A host that had nothing to do does not catch up.
                *left = if waiting.is_empty() { left.fract() } else { *left - some as f64 };
            }
        }
        all.push((at, served));
    }
    all
}

#[cfg(test)]
mod tests;
