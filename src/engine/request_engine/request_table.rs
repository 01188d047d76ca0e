//! Open requests and their final answers.

use super::*;

impl<W: Clone, A> RequestEngine<W, A> {
    /// Requests that have no final answer yet.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    pub(super) fn take(&mut self, now: Timestamp, request: Submission<W, A>, commands: &mut Vec<Command<W>>) {
        let Submission { ask, deadline, work, reply } = request;
        let early = if !self.endpoints.knows_group(ask.group) {
            Some(FinalAnswer::UnknownGroup)
        } else if self.ended || self.open.len() >= self.most {
            Some(FinalAnswer::Rejected { retry_after: None, overdue: false })
        } else {
            let let_in = self.gate.admit(now, ask.class, ask.group);
            let_in.err().map(|wait| FinalAnswer::Rejected { retry_after: Some(wait), overdue: false })
        };
        if let Some(answer) = early {
            self.metrics.ended(ask.class, end_of(&answer));
            let _ = reply.try_send(answer);
            return;
        }
        let freshness =
            match self.settings.classes.get(ask.class).and_then(|c| Some((c.consistency?, c.max_age))) {
                Some((Consistency::Bounded, age)) => Freshness::MaxAge(age.unwrap_or(TimeDelta::ZERO)),
                Some((Consistency::Session, _)) => {
                    ask.last_commit_age.map_or(Freshness::Any, |age| Freshness::CommittedSince(now - age))
                }
                Some((Consistency::Strong, _)) => Freshness::CommittedSince(now),
                _ => Freshness::Any,
            };
        let (class, group) = (ask.class, ask.group);
        self.open.insert(
            ask.id,
            Open { work, reply, deadline, attempts: 0, first_ran: None, freshness, class, group },
        );
        self.deadlines.insert((deadline + self.overdue, ask.id));
        let ask = IncomingRequest { client_timeout: (deadline - now).or_zero(), ..ask };
        self.tell(now, Event::Request(ask), commands);
    }

    /// Answers all that is open: the program ends, and what it took and left unanswered would be lost. What no
    /// attempt was made for may be asked again, and so may what comes from now on.
    pub fn end(&mut self, now: Timestamp, commands: &mut Vec<Command<W>>) {
        self.ended = true;
        let open: Vec<(RequestId, u8)> = self.open.iter().map(|(id, open)| (*id, open.attempts)).collect();
        for (id, attempts) in open {
            self.finish(
                id,
                match attempts {
                    0 => FinalAnswer::Rejected { retry_after: None, overdue: false },
                    _ => FinalAnswer::Failed { overdue: false },
                },
            );
            self.tell(now, Event::RequestCancelled { id }, commands);
        }
    }

    /// Hands out an answer that is still to come; it is counted when it has.
    pub(super) fn begin(&mut self, id: RequestId, answer: A) {
        if let Some(open) = self.open.remove(&id) {
            self.deadlines.remove(&(open.deadline + self.overdue, id));
            self.begun.insert(id, open.class);
            let _ = open.reply.try_send(FinalAnswer::Served(answer));
        }
    }

    pub(super) fn finish(&mut self, id: RequestId, answer: FinalAnswer<A>) {
        if let Some(open) = self.open.remove(&id) {
            self.deadlines.remove(&(open.deadline + self.overdue, id));
            self.metrics.ended(open.class, end_of(&answer));
            let _ = open.reply.try_send(answer);
        }
    }

    pub(super) fn is_late(&self, now: Timestamp, id: RequestId) -> bool {
        self.open.get(&id).is_some_and(|open| now >= open.deadline)
    }
}
