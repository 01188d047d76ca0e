//! Requests: how they are admitted, rejected, answered and cancelled.

use super::request_table::OpenRequest;
use super::{Intake, RequestEngine};
use crate::engine::admission::AdmissionDecision;
use crate::engine::message::{Command, DeadlineStatus, FinalAnswer, Freshness, Submission};
use crate::routing::{Class, Consistency, Event, IncomingRequest, RequestId, TimeDelta, Timestamp};

impl<W: Clone, A> RequestEngine<W, A> {
    /// Passes a request to the router, unless it has to be answered at once.
    pub(super) fn handle_request(
        &mut self,
        now: Timestamp,
        submission: Submission<W, A>,
        commands: &mut Vec<Command<W>>,
    ) {
        let Submission { request, deadline, work, reply } = submission;
        if let Some(answer) = self.immediate_answer(now, &request) {
            self.requests.send_answer(request.class, &reply, answer);
            return;
        }
        let open = OpenRequest {
            work,
            reply,
            deadline,
            attempts: 0,
            first_may_have_run_at: None,
            freshness: required_freshness(self.settings.classes.get(request.class), &request, now),
            class: request.class,
            group: request.group,
        };
        self.requests.insert(request.id, open);
        let client_timeout = (deadline - now).or_zero();
        self.dispatch(now, Event::Request(IncomingRequest { client_timeout, ..request }), commands);
    }

    /// The answer to a request that is not passed to the router; `None` if the request is admitted.
    fn immediate_answer(&mut self, now: Timestamp, request: &IncomingRequest) -> Option<FinalAnswer<A>> {
        if !self.endpoints.knows_group(request.group) {
            return Some(FinalAnswer::UnknownGroup);
        }
        if self.intake == Intake::Closed || self.requests.is_full() {
            return Some(FinalAnswer::Rejected { retry_after: None, deadline: DeadlineStatus::Pending });
        }
        match self.admission.admit(now, request.class, request.group) {
            AdmissionDecision::Admitted => None,
            AdmissionDecision::Rejected { retry_after } => Some(FinalAnswer::Rejected {
                retry_after: Some(retry_after),
                deadline: DeadlineStatus::Pending,
            }),
        }
    }

    /// Ends a request whose client has disconnected, since no answer can reach the client any more.
    pub(super) fn cancel_request(&mut self, now: Timestamp, id: RequestId, commands: &mut Vec<Command<W>>) {
        if self.requests.cancel(id) {
            self.dispatch(now, Event::RequestCancelled { id }, commands);
        }
    }

    /// Handles the start of an answer that is streamed. If the request has ended in the meantime, the answer is
    /// dropped, and the pool forwards no more of it.
    pub(super) fn start_response(
        &mut self,
        now: Timestamp,
        id: RequestId,
        attempt: u8,
        answer: A,
        commands: &mut Vec<Command<W>>,
    ) {
        let Some(in_flight) = self.in_flight.get(id, attempt) else { return };
        let endpoint = in_flight.endpoint;
        if self.requests.is_open(id) {
            self.requests.start_stream(id, answer);
            self.dispatch(now, Event::ResponseStarted { id, attempt, endpoint }, commands);
        }
    }

    /// Fails the requests that the router has not answered by the end of the grace time after their deadline.
    pub(super) fn fail_overdue_requests(&mut self, now: Timestamp, commands: &mut Vec<Command<W>>) {
        while let Some(id) = self.requests.fail_next_expired(now) {
            log::warn!("engine: request {id}: failed: no answer from the router before its deadline");
            self.dispatch(now, Event::RequestCancelled { id }, commands);
        }
    }

    /// Answers all open requests, which would otherwise go unanswered when the process exits. Requests without an
    /// attempt are rejected, since a retry of them is safe, and so are all requests that arrive from now on.
    pub(super) fn finish_all(&mut self, now: Timestamp, commands: &mut Vec<Command<W>>) {
        self.intake = Intake::Closed;
        for id in self.requests.open_ids() {
            let attempts = self.requests.get_mut(id).map_or(0, |request| request.attempts);
            let answer = match attempts {
                0 => FinalAnswer::Rejected { retry_after: None, deadline: DeadlineStatus::Pending },
                _ => FinalAnswer::Failed { deadline: DeadlineStatus::Pending },
            };
            self.requests.finish(id, answer);
            self.dispatch(now, Event::RequestCancelled { id }, commands);
        }
    }
}

/// How current the data of a request's answer must be, according to the consistency of its class.
fn required_freshness(class: Option<&Class>, request: &IncomingRequest, now: Timestamp) -> Freshness {
    let Some(class) = class else { return Freshness::Any };
    match class.consistency {
        Some(Consistency::Bounded) => Freshness::MaxAge(class.max_age.unwrap_or(TimeDelta::ZERO)),
        Some(Consistency::Session) => match request.last_commit_age {
            Some(age) => Freshness::CommittedSince(now - age),
            None => Freshness::Any,
        },
        Some(Consistency::Strong) => Freshness::CommittedSince(now),
        Some(Consistency::Write | Consistency::Eventual) | None => Freshness::Any,
    }
}
