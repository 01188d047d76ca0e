//! What is due when.

use super::*;

impl<W: Clone, A> RequestEngine<W, A> {
    /// When something is due next.
    pub fn next_due(&self) -> Option<Timestamp> {
        let timer = self.timers.first().map(|(at, _)| *at);
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let turn = self.asks.as_ref().and_then(PollScheduler::next);
        timer.into_iter().chain(deadline).chain(turn).min()
    }

    /// Fires what is due.
    pub fn due(&mut self, now: Timestamp, commands: &mut Vec<Command<W>>) {
        for endpoint in self.asks.as_mut().map(|asks| asks.due(now)).unwrap_or_default() {
            self.probe(now, endpoint, commands);
        }
        self.work_off(now, commands);
        while let Some(&(at, timer)) = self.timers.first()
            && at <= now
        {
            self.timers.pop_first();
            self.tell(now, Event::TimerFired { timer }, commands);
        }
        while let Some(&(at, id)) = self.deadlines.first()
            && at <= now
        {
            self.deadlines.pop_first();
            if self.open.contains_key(&id) {
                log::warn!("request {id}: no answer at its deadline");
                self.finish(id, FinalAnswer::Failed { overdue: true });
                self.tell(now, Event::RequestCancelled { id }, commands);
            }
        }
    }
}
