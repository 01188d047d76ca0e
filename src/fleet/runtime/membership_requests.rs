//! What operators want of members, and what a leader does about it.

use super::*;

impl Fleet {
    /// Has a daemon of this name get a vote, or go. `None`: there is none of this name.
    pub async fn wish(&self, name: &str, wish: Wish) -> Option<ChangeOutcome> {
        let done = |table: &Table| {
            let mut ids = table.state.members.iter().filter(|(_, m)| m.name == name).map(|(id, _)| id);
            match wish {
                Wish::Vote => ids.any(|id| table.status.conf.voters.contains(id)),
                Wish::Leave => ids.next().is_none(),
            }
        };
        if !self.table().state.members.values().any(|m| m.name == name) {
            return None;
        }
        let woken = self.watch();
        let work = async {
            loop {
                if done(&self.table()) {
                    return;
                }
                self.wishes(name.to_string(), wish);
                let (leader, me) = (self.table().status.leader, self.table().identity.id);
                if leader != me
                    && let Some(way) = self.way_to(leader)
                {
                    way.send(&Frame::Wish(name.to_string(), wish).bytes());
                }
                crate::fleet::peer_link::rest(self.limits.proposal_retry_interval, &woken).await;
            }
        };
        let done = until(Instant::now() + self.limits.agreement_timeout * 2, work).await;
        Some(if done.is_some() { ChangeOutcome::Agreed } else { ChangeOutcome::Not })
    }

    pub(super) fn wishes(&self, name: String, wish: Wish) {
        let mut table = self.change();
        if table.wishes.len() < self.limits.fleet_nodes {
            table.wishes.insert((name, wish), Instant::now());
        }
    }

    /// What a leader does now and then, and after each change.
    pub(super) fn lead(&self) {
        let mut table = self.change();
        let me = table.identity.id;
        if table.status.leader != me || !table.status.part {
            return;
        }
        let insist = TimeDelta::from(self.limits.proposal_retry_interval);
        let due =
            if table.state.is_complete() { table.marks.due(self.clock.now(), insist) } else { Vec::new() };
        let now = Instant::now();
        table.wishes.retain(|_, at| now - *at < self.limits.agreement_timeout);
        let recent = self.limits.peer_gone_timeout;
        table.candidates.retain(|_, (_, at)| now - *at < recent);
        let next = {
            let candidates = table.candidates.iter().map(|(id, (hello, _))| (*id, hello.clone())).collect();
            let silent = table.heard.iter().map(|(id, h)| (*id, TimeDelta::from(now - h.at))).collect();
            let wishes = table.wishes.keys().cloned().collect();
            let word = |h: &Heard| Word {
                leaderless: h.leaderless.map_or(TimeDelta::ZERO, |at| TimeDelta::from(now - at)),
                hears: h.beat.hears.iter().copied().collect(),
            };
            let words = table.heard.iter().map(|(id, h)| (*id, word(h))).collect();
            let view = View {
                me,
                state: &table.state,
                conf: &table.status.conf,
                agreed: table.status.agreed,
                progress: &table.status.progress,
                candidates: &candidates,
                silent: &silent,
                led_for: table.leads.map_or(TimeDelta::ZERO, |at| TimeDelta::from(now - at)),
                words: &words,
                wishes: &wishes,
                gone: TimeDelta::from(self.limits.peer_gone_timeout),
            };
            view.next()
        };
        drop(table);
        for change in due {
            let proposal = Proposal { from: me, token: self.token(), change };
            self.tell(Input::Propose(proposal));
        }
        match next {
            Next::Nothing => true,
            Next::Propose(change) => self.tell(Input::Members(change)),
            Next::Transfer(to) => self.tell(Input::Transfer(to)),
        };
    }
}
