//! Checks of the operations that reached endpoints.

use super::{CheckError, EarlierConnection, SCHEDULING_TOLERANCE};
use crate::Timestamp;
use crate::endpoint::{Arrival, warm_up_share};
use std::collections::BTreeMap;
use std::time::Duration;

/// The sliding window over which the requests to a cold endpoint are counted.
const OVERLOAD_WINDOW: Duration = Duration::from_secs(1);

/// How much load a cold endpoint can take.
#[derive(Clone, Copy, Debug)]
pub struct ColdStartBound {
    /// When the endpoint started.
    pub started_at: Timestamp,
    /// Operations per second that the endpoint can execute when it is warm.
    pub warm_capacity_per_second: f64,
    /// The endpoint fails if its load over one second exceeds this multiple of its current capacity.
    pub overload_multiple: f64,
}

impl ColdStartBound {
    /// The share of the warm capacity that the endpoint has at a time.
    fn share_at(&self, time: Timestamp) -> f64 {
        warm_up_share(time.duration_since(self.started_at))
    }

    /// Number of requests that the endpoint may get in the second from `time` on. The platform allows for random
    /// variation: three standard deviations of a Poisson distribution, and 3 requests more.
    fn limit_from(&self, time: Timestamp) -> f64 {
        let mean = self.warm_capacity_per_second * self.share_at(time) * self.overload_multiple;
        mean + 3.0 * mean.sqrt() + 3.0
    }
}

/// Checks that, until it is warm, an endpoint got no more requests from all nodes together within any second than its
/// bound. Returns the load of the worst second as a share of the bound.
///
/// # Errors
///
/// Returns [`CheckError::ColdEndpointOverloaded`] for the first second over the bound.
pub fn cold_endpoint_not_overloaded(
    arrivals: &[Arrival],
    endpoint: &str,
    bound: ColdStartBound,
) -> Result<f64, CheckError> {
    let at_endpoint = arrivals.iter().filter(|arrival| arrival.endpoint == endpoint);
    let mut times: Vec<Timestamp> = at_endpoint.map(|arrival| arrival.arrived_at).collect();
    times.retain(|time| *time >= bound.started_at && bound.share_at(*time) < 1.0);
    times.sort_unstable();
    let mut worst_share: f64 = 0.0;
    let mut window_start = 0;
    for (index, time) in times.iter().enumerate() {
        while time.duration_since(times[window_start]) >= OVERLOAD_WINDOW {
            window_start += 1;
        }
        let limit = bound.limit_from(times[window_start]);
        let requests = index + 1 - window_start;
        worst_share = worst_share.max(requests as f64 / limit);
        if requests as f64 > limit {
            let since_start = times[window_start].duration_since(bound.started_at);
            let endpoint = endpoint.to_string();
            return Err(CheckError::ColdEndpointOverloaded { endpoint, requests, since_start, limit });
        }
    }
    Ok(worst_share)
}

/// Checks that no two attempts of a request were at endpoints at the same time, and that no write was executed twice:
/// the test kit's writes have no idempotency key. Returns the number of requests.
///
/// # Errors
///
/// Returns [`CheckError::OverlappingAttempts`] or [`CheckError::DuplicateWrite`].
pub fn no_overlapping_attempts(arrivals: &[Arrival]) -> Result<usize, CheckError> {
    let mut by_request: BTreeMap<u64, Vec<&Arrival>> = BTreeMap::new();
    for arrival in arrivals.iter().filter(|arrival| arrival.request_id > 0) {
        by_request.entry(arrival.request_id).or_default().push(arrival);
    }
    for (&request_id, attempts) in &mut by_request {
        attempts.sort_by_key(|attempt| attempt.arrived_at);
        for pair in attempts.windows(2) {
            if pair[1].arrived_at < pair[0].finished_at - SCHEDULING_TOLERANCE {
                return Err(CheckError::OverlappingAttempts {
                    request_id,
                    first: pair[0].endpoint.clone(),
                    second: pair[1].endpoint.clone(),
                    earlier_connection: EarlierConnection::of(pair[0], pair[1]),
                });
            }
        }
        // A rejected attempt has no effect; its times of arrival and of finish are equal.
        let was_executed = |attempt: &&&Arrival| attempt.is_write && attempt.finished_at > attempt.arrived_at;
        let executions = attempts.iter().filter(was_executed).count();
        if executions > 1 {
            return Err(CheckError::DuplicateWrite { request_id, executions });
        }
    }
    Ok(by_request.len())
}

/// A period in which an endpoint is drained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainPeriod {
    /// The endpoint's name.
    pub endpoint: String,
    /// The time from which on all nodes must respect the drain.
    pub effective_from: Timestamp,
    /// When the drain ended; [`Timestamp::MAX`] if it did not.
    pub until: Timestamp,
}

impl DrainPeriod {
    /// A drain that does not end.
    pub fn since(endpoint: &str, effective_from: Timestamp) -> DrainPeriod {
        DrainPeriod { endpoint: endpoint.into(), effective_from, until: Timestamp::MAX }
    }
}

/// Checks that no request reached an endpoint while it was drained.
///
/// # Errors
///
/// Returns [`CheckError::ArrivalWhileDrained`] for the first such request.
pub fn no_arrivals_while_drained(arrivals: &[Arrival], drains: &[DrainPeriod]) -> Result<(), CheckError> {
    for drain in drains {
        let earliest = drain.effective_from + SCHEDULING_TOLERANCE;
        let is_late = |arrival: &&Arrival| {
            arrival.endpoint == drain.endpoint
                && arrival.arrived_at > earliest
                && arrival.arrived_at < drain.until
        };
        if let Some(late) = arrivals.iter().find(is_late) {
            return Err(CheckError::ArrivalWhileDrained {
                endpoint: drain.endpoint.clone(),
                request_id: late.request_id,
                lateness: late.arrived_at.duration_since(drain.effective_from),
            });
        }
    }
    Ok(())
}
