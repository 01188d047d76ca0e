//! The table of requests: enforces their deadlines and gives each one final answer.

use crate::config::Limits;
use crate::engine::message::{DeadlineStatus, FinalAnswer, Freshness};
use crate::engine::metrics::{Metrics, RequestOutcome};
use crate::routing::{GroupId, RequestId, TimeDelta, Timestamp};
use async_channel::Sender;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A request that has no final answer yet.
pub(super) struct OpenRequest<W, A> {
    pub(super) work: W,
    pub(super) reply: Sender<FinalAnswer<A>>,
    /// When the client stops waiting for an answer.
    pub(super) deadline: Timestamp,
    /// Number of attempts so far.
    pub(super) attempts: u8,
    /// When the earliest attempt that may have run without being served was sent; `None` if there is none.
    pub(super) first_may_have_run_at: Option<Timestamp>,
    pub(super) freshness: Freshness,
    /// The number of the request's class.
    pub(super) class: usize,
    pub(super) group: GroupId,
}

/// When an open request fails unless it has been answered by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Timestamp,
    id: RequestId,
}

/// All requests that have not ended. Counts how they end in the metrics.
pub(super) struct RequestTable<W, A> {
    open: BTreeMap<RequestId, OpenRequest<W, A>>,
    /// The class numbers of requests whose answer is being streamed. Such a request has its final answer, but it ends
    /// only when the stream ends or the client disconnects.
    streaming: BTreeMap<RequestId, usize>,
    expiries: BTreeSet<Expiry>,
    max_open: usize,
    /// How long after its deadline a request fails. Until then, the router may still answer it.
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

    /// Number of requests that have not ended, including those whose answer is being streamed.
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

    /// Answers a request that is not in the table, and counts the outcome.
    pub(super) fn send_answer(&self, class: usize, reply: &Sender<FinalAnswer<A>>, answer: FinalAnswer<A>) {
        self.metrics.record_outcome(class, outcome_of(&answer));
        // The client may have disconnected.
        let _ = reply.try_send(answer);
    }

    /// Ends an open request with its final answer. Does nothing if the request is not open.
    pub(super) fn finish(&mut self, id: RequestId, answer: FinalAnswer<A>) {
        if let Some(request) = self.remove(id) {
            self.send_answer(request.class, &request.reply, answer);
        }
    }

    /// Ends an open request by rejecting it.
    pub(super) fn reject(&mut self, now: Timestamp, id: RequestId, retry_after: Option<TimeDelta>) {
        let deadline = self.deadline_status(now, id);
        self.finish(id, FinalAnswer::Rejected { retry_after, deadline });
    }

    /// Ends an open request as failed.
    pub(super) fn fail(&mut self, now: Timestamp, id: RequestId) {
        let deadline = self.deadline_status(now, id);
        self.finish(id, FinalAnswer::Failed { deadline });
    }

    /// Fails all open requests, and drops those whose answer is being streamed without counting them.
    pub(super) fn fail_all(&mut self) {
        for id in self.open_ids() {
            self.finish(id, FinalAnswer::Failed { deadline: DeadlineStatus::Pending });
        }
        self.streaming.clear();
    }

    pub(super) fn open_ids(&self) -> Vec<RequestId> {
        self.open.keys().copied().collect()
    }

    /// Gives an open request its final answer, the rest of which is streamed. The request is counted when the stream
    /// ends.
    pub(super) fn start_stream(&mut self, id: RequestId, answer: A) {
        if let Some(request) = self.remove(id) {
            self.streaming.insert(id, request.class);
            // The client may have disconnected.
            let _ = request.reply.try_send(FinalAnswer::Served(answer));
        }
    }

    /// Ends a request whose answer was streamed. Does nothing for any other request.
    pub(super) fn finish_stream(&mut self, id: RequestId, outcome: RequestOutcome) {
        if let Some(class) = self.streaming.remove(&id) {
            self.metrics.record_outcome(class, outcome);
        }
    }

    /// Ends a request whose client has disconnected, without an answer. Returns whether the request had not ended
    /// before.
    pub(super) fn cancel(&mut self, id: RequestId) -> bool {
        let open = self.remove(id).map(|request| request.class);
        let Some(class) = open.or(self.streaming.remove(&id)) else { return false };
        self.metrics.record_outcome(class, RequestOutcome::Error);
        true
    }

    /// When the next open request fails unless it has been answered by then; `None` if no request is open.
    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        self.expiries.first().map(|expiry| expiry.at)
    }

    /// Fails the next request whose deadline and grace time have passed, and returns its id; `None` if there is none.
    pub(super) fn fail_next_expired(&mut self, now: Timestamp) -> Option<RequestId> {
        while self.next_deadline().is_some_and(|at| at <= now) {
            let id = self.expiries.pop_first()?.id;
            if self.is_open(id) {
                self.finish(id, FinalAnswer::Failed { deadline: DeadlineStatus::Passed });
                return Some(id);
            }
        }
        None
    }

    /// Whether the deadline of an open request has passed; [`DeadlineStatus::Pending`] if the request is not open.
    fn deadline_status(&self, now: Timestamp, id: RequestId) -> DeadlineStatus {
        match self.open.get(&id) {
            Some(request) if now >= request.deadline => DeadlineStatus::Passed,
            _ => DeadlineStatus::Pending,
        }
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

/// How a final answer is counted in the metrics.
fn outcome_of<A>(answer: &FinalAnswer<A>) -> RequestOutcome {
    match answer {
        FinalAnswer::Served(_) => RequestOutcome::Success,
        FinalAnswer::Rejected { .. } => RequestOutcome::Overload,
        FinalAnswer::Failed { .. } | FinalAnswer::UnknownGroup => RequestOutcome::Error,
    }
}
