//! Endpoints that the list moves to another group: what was learned of an endpoint in its former group is discarded in
//! both groups.
//!
//! A role and a log position belong to the log of one group. An endpoint that was the primary of its former group is
//! not thereby the primary of its new one, and a position that it reached in one log proves nothing about another log.
//! Load, latency and failures belong to the process and are kept.

use super::endpoints::EndpointState;
use super::group::Group;
use super::router::Router;
use super::{EndpointId, GroupId, TimeDelta, Timestamp};

impl Router {
    /// Removes an endpoint from a group that it no longer belongs to. If it was the believed primary, the group's queued
    /// requests are dispatched again without it.
    pub(super) fn remove_from_group(&mut self, id: EndpointId, group_id: GroupId) {
        let Some(group) = self.groups.get_mut(&group_id) else { return };
        group.endpoints.remove(&id);
        if group.primary == Some(id) {
            group.forget_primary();
            self.groups_to_dispatch.insert(group_id);
        }
    }
}

impl EndpointState {
    /// Makes the endpoint a member of `group` at `now`, with unknown role and position.
    pub(super) fn move_to_group(&mut self, now: Timestamp, group: GroupId) {
        self.group = group;
        self.moved_at = Some(now);
        self.listed_as_primary = false;
        self.role = None;
        self.role_updated_at = None;
        self.proven_position = None;
        self.replication_lag = TimeDelta::ZERO;
        self.probe_sent_at = None;
    }

    /// Whether a report in the response to a request that was sent at `requested_at` is about the endpoint's present
    /// group. A report about a former group has no effect on roles and positions.
    pub(super) fn is_about_present_group(&self, requested_at: Timestamp) -> bool {
        Some(requested_at) > self.moved_at
    }
}

impl Group {
    /// Forgets the believed primary and ends a search for another one. The next write starts at the first endpoint of
    /// the ring, as in a group whose primary was never known.
    fn forget_primary(&mut self) {
        self.primary = None;
        self.awaiting_primary = false;
        self.discovery_request = None;
        self.tried_in_round.clear();
    }
}
