//! What groups have lost.

use super::*;

impl Fleet {
    /// Groups have lost commits, as this daemon or another one has noticed.
    pub(super) fn record_log_rollbacks(&self, breaks: Vec<LogRollback>, by: &str) {
        let (now, mut new) = (self.clock.now(), Vec::new());
        {
            let (table, mut own) = (self.table(), self.breaks.borrow_mut());
            let known = |group| table.state.hosts.values().any(|h| h.group == group);
            for b in breaks {
                // A clock that is far ahead would have whatever is written from now on pass for lost. Most words of it
                // are repeated: all hosts are looked through only for what is new.
                if b.from >= LogPosition::UNKNOWN
                    && b.to.commit_time(Timestamp::ZERO) <= now + START_TIME_TOLERANCE
                    && !own.is_known(b)
                    && known(b.group)
                    && own.record(b)
                {
                    new.push(b);
                }
            }
        }
        for b in &new {
            log::warn!(
                "fleet: group {} has lost what was written after {} up to {}, as {by} has noticed: sessions are told",
                b.group,
                b.from.as_millis(),
                b.to.as_millis()
            );
        }
        if !new.is_empty() {
            self.broadcast(&PeerMessage::LogRollbacks(new));
        }
    }
}
