//! Checks of the requests of clients and their responses.

use super::{CheckError, SCHEDULING_TOLERANCE};
use crate::client::RequestRecord;
use crate::endpoint::LostCommits;
use crate::http::NO_RESPONSE;
use crate::{LogPosition, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;

/// A period in which a node was killed or paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Downtime {
    /// The node's index.
    pub node: usize,
    /// When the node was killed or paused.
    pub from: Timestamp,
    /// When the node served again; [`Timestamp::MAX`] if it does not yet.
    pub until: Timestamp,
}

impl Downtime {
    /// Whether this downtime explains a missing or late response to an attempt.
    fn explains(&self, record: &RequestRecord) -> bool {
        self.node == record.node
            && record.sent_at < self.until + SCHEDULING_TOLERANCE
            && record.finished_at > self.from - SCHEDULING_TOLERANCE
    }
}

/// Checks that no read was served with data older than the position that it required. Returns the number of reads.
///
/// # Errors
///
/// Returns [`CheckError::StaleRead`] for the first such read.
pub fn no_stale_reads(records: &[RequestRecord]) -> Result<usize, CheckError> {
    let mut reads = 0;
    for record in records.iter().filter(|record| !record.is_write && record.is_served()) {
        let (Some(required), Some(observed)) = (record.required_position, record.observed_position) else {
            continue;
        };
        if observed < required {
            return Err(CheckError::StaleRead { request_id: record.request_id, required, observed });
        }
        reads += 1;
    }
    Ok(reads)
}

/// The first attempts of the requests that were due within a window.
pub fn requests_due(
    records: &[RequestRecord],
    window: Range<Timestamp>,
) -> impl Iterator<Item = &RequestRecord> {
    records.iter().filter(move |record| record.earlier_attempts == 0 && window.contains(&record.due_at))
}

/// Number of requests due within a window of which no attempt was served.
pub fn unserved_requests(records: &[RequestRecord], window: Range<Timestamp>) -> usize {
    let served = records.iter().filter(|record| record.is_served());
    let served: BTreeSet<u64> = served.map(|record| record.request_id).collect();
    requests_due(records, window).filter(|record| !served.contains(&record.request_id)).count()
}

/// Checks that no read was served that required a lost write, and that no write was reported as lost to its session
/// although it is not lost. `lost` contains the lost commits by group. Returns the number of requests whose response
/// reported a loss.
///
/// # Errors
///
/// Returns [`CheckError::LostWriteServed`] or [`CheckError::FalseLossReported`].
pub fn sessions_told_of_lost_writes(
    records: &[RequestRecord],
    lost: &BTreeMap<u32, Vec<LostCommits>>,
) -> Result<usize, CheckError> {
    let mut reported_losses = 0;
    for record in records.iter().filter(|record| record.reads_own_write && !record.is_write) {
        let (Some(required), Some(lost)) = (record.required_position, lost.get(&record.group)) else {
            continue;
        };
        let request_id = record.request_id;
        let is_lost = was_lost_when_sent(record, required, lost);
        if is_lost && record.is_served() {
            return Err(CheckError::LostWriteServed { request_id, required });
        }
        if record.status == 412 && !is_lost {
            return Err(CheckError::FalseLossReported { request_id, required });
        }
        if record.status == 412 {
            reported_losses += 1;
        }
    }
    Ok(reported_losses)
}

fn was_lost_when_sent(record: &RequestRecord, required: LogPosition, lost: &[LostCommits]) -> bool {
    lost.iter().any(|commits| commits.contains(required) && record.sent_at > commits.lost_at)
}

/// Checks that every attempt had a response within `timeout`, unless its node was down. Returns the number of attempts.
///
/// # Errors
///
/// Returns [`CheckError::NoResponse`] or [`CheckError::LateResponse`].
pub fn every_request_answered(
    records: &[RequestRecord],
    downtimes: &[Downtime],
    timeout: Duration,
) -> Result<usize, CheckError> {
    for record in records {
        if downtimes.iter().any(|downtime| downtime.explains(record)) {
            continue;
        }
        let RequestRecord { request_id, node, .. } = *record;
        if record.status == NO_RESPONSE {
            return Err(CheckError::NoResponse { request_id, node });
        }
        let latency = record.latency();
        if latency > timeout + SCHEDULING_TOLERANCE {
            return Err(CheckError::LateResponse { request_id, node, latency });
        }
    }
    Ok(records.len())
}
