//! The commits that a session's reads must reflect: those that the client states, or those that the router remembers.

use super::router::Router;
use super::{IncomingRequest, ReplicaStatus, SessionTracking, Timestamp};
use std::collections::BTreeMap;

/// Maximum number of sessions whose last commit is stored individually; limits their memory to a few megabytes.
const MAX_SESSIONS: usize = 50_000;

/// The last commit of each session that has written; empty unless session tracking is `Remembered`.
#[derive(Default)]
pub(super) struct SessionCommits {
    commits: BTreeMap<u64, Timestamp>,
    /// The latest commit that a session without an entry in `commits` may have made: the latest among those that were
    /// evicted, or were known to an earlier router. `None` if no such session has written.
    unlisted_commit: Option<Timestamp>,
}

impl SessionCommits {
    /// The commits of an instance of which only the time of the latest possible one is known.
    pub(super) fn unknown_until(time: Timestamp) -> SessionCommits {
        SessionCommits { commits: BTreeMap::new(), unlisted_commit: Some(time) }
    }

    /// Number of sessions whose commit is stored individually.
    pub(super) fn len(&self) -> usize {
        self.commits.len()
    }

    /// The commit that a read of the session must reflect; `None` if the session has not written.
    fn required_by(&self, session: u64) -> Option<Timestamp> {
        self.commits.get(&session).copied().or(self.unlisted_commit)
    }

    fn record(&mut self, session: u64, commit: Timestamp) {
        // Responses may arrive out of order, so a session without an entry may have made a later commit.
        let earlier = self.required_by(session).unwrap_or(commit);
        self.commits.insert(session, commit.max(earlier));
        if self.commits.len() > MAX_SESSIONS {
            self.evict_old_sessions();
        }
    }

    /// Evicts the half of the sessions with the older commits. Reads of an evicted session must reflect the latest
    /// commit of all evicted sessions, since its own commit is no longer known.
    fn evict_old_sessions(&mut self) {
        let mut commits: Vec<Timestamp> = self.commits.values().copied().collect();
        let (_, median, _) = commits.select_nth_unstable(MAX_SESSIONS / 2);
        let median = *median;
        self.commits.retain(|_, commit| *commit > median);
        self.unlisted_commit = self.unlisted_commit.max(Some(median));
    }
}

impl Router {
    /// Commit time of the last write that a session read must reflect; `None` if there is none.
    pub(super) fn required_commit(&self, now: Timestamp, incoming: &IncomingRequest) -> Option<Timestamp> {
        match self.settings.session_tracking {
            Some(SessionTracking::Remembered) => self.session_commits.required_by(incoming.session),
            _ => incoming.last_commit_age.map(|age| now - age),
        }
    }

    /// Stores the commit of a session's write, whose response arrived at `now`, for the session's later reads, if
    /// session tracking is `Remembered`.
    pub(super) fn remember_commit(&mut self, now: Timestamp, session: u64, status: Option<ReplicaStatus>) {
        if self.settings.session_tracking != Some(SessionTracking::Remembered) {
            return;
        }
        let position_epoch = self.settings.position_epoch.unwrap_or(Timestamp::ZERO);
        let position = status.map(|status| status.position).filter(|position| position.is_known());
        // Without a reported position, the commit is only known to be no later than its response.
        let commit = position.map_or(now, |position| position.commit_time(position_epoch));
        self.session_commits.record(session, commit);
    }
}
