//! The table of requests: deadlines, and one final answer each.

use crate::config::Limits;
use crate::engine::message::{FinalAnswer, Freshness};
use crate::engine::metrics::{Metrics, RequestOutcome};
use crate::routing::{GroupId, RequestId, TimeDelta, Timestamp};
use async_channel::Sender;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A request without a final answer.
pub(super) struct OpenRequest<W, A> {
    pub(super) work: W,
    pub(super) reply: Sender<FinalAnswer<A>>,
    /// When the client stops waiting.
    pub(super) deadline: Timestamp,
    /// Number of attempts so far.
    pub(super) attempts: u8,
    /// When the first attempt was sent that may have run without being served.
    pub(super) first_may_have_run_at: Option<Timestamp>,
    pub(super) freshness: Freshness,
    /// The number of its class.
    pub(super) class: usize,
    pub(super) group: GroupId,
}

/// When a request without a final answer fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Timestamp,
    id: RequestId,
}

/// All requests that have not ended. Counts how they end.
pub(super) struct RequestTable<W, A> {
    open: BTreeMap<RequestId, OpenRequest<W, A>>,
    /// Class numbers of requests whose answer is being streamed: their final answer is given, but they end with the
    /// stream or with their client.
    streaming: BTreeMap<RequestId, usize>,
    expiries: BTreeSet<Expiry>,
    max_open: usize,
    /// A request fails this long after its deadline; until then the router may answer it.
    deadline_grace: TimeDelta,
    metrics: Arc<Metrics>,
}

impl<W, A> RequestTable<W, A> {
    pub(super) fn new(limits: &Limits, metrics: Arc<Metrics>) -> RequestTable<W, A> {
        RequestTable {
            open: BTreeMap::new(),
            streaming: BTreeMap::new(),
            expiries: BTreeSet::new(),
            max_open: limits.open_requests,
            deadline_grace: TimeDelta::from(limits.deadline_grace),
            metrics,
        }
    }

    /// Number of open requests.
    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    /// Number of requests that have not ended, those included whose answer is being streamed.
    pub(super) fn concurrent(&self) -> usize {
        self.open.len() + self.streaming.len()
    }

    pub(super) fn is_full(&self) -> bool {
        self.open.len() >= self.max_open
    }

    pub(super) fn is_open(&self, id: RequestId) -> bool {
        self.open.contains_key(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest<W, A>> {
        self.open.get_mut(&id)
    }

    pub(super) fn insert(&mut self, id: RequestId, request: OpenRequest<W, A>) {
        self.expiries.insert(self.expiry(id, &request));
        self.open.insert(id, request);
    }

    /// Answers a request that is not in the table.
    pub(super) fn refuse(&self, class: usize, reply: &Sender<FinalAnswer<A>>, answer: FinalAnswer<A>) {
        self.metrics.record_outcome(class, outcome_of(&answer));
        // The client may have disconnected.
        let _ = reply.try_send(answer);
    }

    /// Ends an open request with its final answer. Without effect on any other.
    pub(super) fn finish(&mut self, id: RequestId, answer: FinalAnswer<A>) {
        if let Some(request) = self.remove(id) {
            self.refuse(request.class, &request.reply, answer);
        }
    }

    /// Ends an open request by a rejection.
    pub(super) fn reject(&mut self, now: Timestamp, id: RequestId, retry_after: Option<TimeDelta>) {
        let overdue = self.is_overdue(now, id);
        self.finish(id, FinalAnswer::Rejected { retry_after, overdue });
    }

    /// Ends an open request by a failure.
    pub(super) fn fail(&mut self, now: Timestamp, id: RequestId) {
        let overdue = self.is_overdue(now, id);
        self.finish(id, FinalAnswer::Failed { overdue });
    }

    /// Fails all open requests, and forgets those whose answer is being streamed.
    pub(super) fn fail_all(&mut self) {
        for id in self.open_ids() {
            self.finish(id, FinalAnswer::Failed { overdue: false });
        }
        self.streaming.clear();
    }

    pub(super) fn open_ids(&self) -> Vec<RequestId> {
        self.open.keys().copied().collect()
    }

    /// Gives an open request its final answer, whose remainder is streamed. It is counted when the stream ends.
    pub(super) fn start_stream(&mut self, id: RequestId, answer: A) {
        if let Some(request) = self.remove(id) {
            self.streaming.insert(id, request.class);
            // The client may have disconnected.
            let _ = request.reply.try_send(FinalAnswer::Served(answer));
        }
    }

    /// Ends a request whose answer was streamed. Without effect on any other.
    pub(super) fn finish_stream(&mut self, id: RequestId, outcome: RequestOutcome) {
        if let Some(class) = self.streaming.remove(&id) {
            self.metrics.record_outcome(class, outcome);
        }
    }

    /// Ends a request without an answer, since its client has disconnected; whether there was one.
    pub(super) fn cancel(&mut self, id: RequestId) -> bool {
        let open = self.remove(id).map(|request| request.class);
        let Some(class) = open.or(self.streaming.remove(&id)) else { return false };
        self.metrics.record_outcome(class, RequestOutcome::Error);
        true
    }

    /// When the next request fails unless it gets an answer before.
    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        self.expiries.first().map(|expiry| expiry.at)
    }

    /// Ends the next request whose deadline and grace have passed by a failure, and returns its id.
    pub(super) fn fail_next_expired(&mut self, now: Timestamp) -> Option<RequestId> {
        while self.next_deadline().is_some_and(|at| at <= now) {
            let id = self.expiries.pop_first()?.id;
            if self.is_open(id) {
                self.finish(id, FinalAnswer::Failed { overdue: true });
                return Some(id);
            }
        }
        None
    }

    fn is_overdue(&self, now: Timestamp, id: RequestId) -> bool {
        self.open.get(&id).is_some_and(|request| now >= request.deadline)
    }

    fn remove(&mut self, id: RequestId) -> Option<OpenRequest<W, A>> {
        let request = self.open.remove(&id)?;
        self.expiries.remove(&self.expiry(id, &request));
        Some(request)
    }

    fn expiry(&self, id: RequestId, request: &OpenRequest<W, A>) -> Expiry {
        Expiry { at: request.deadline + self.deadline_grace, id }
    }
}

/// What a final answer counts as.
fn outcome_of<A>(answer: &FinalAnswer<A>) -> RequestOutcome {
    match answer {
        FinalAnswer::Served(_) => RequestOutcome::Success,
        FinalAnswer::Rejected { .. } => RequestOutcome::Overload,
        FinalAnswer::Failed { .. } | FinalAnswer::UnknownGroup => RequestOutcome::Error,
    }
}
