//! Which connections close: for a new one, after a long idle time, and while the process is drained.

use super::slot::{Connections, SlotState, TrackedConnection};
use crate::config::Limits;
use std::rc::Rc;

/// The connection that has been closing for the longest and is not evicted yet.
pub(super) fn longest_closing(connections: &Connections) -> Option<&Rc<TrackedConnection>> {
    connections
        .values()
        .filter(|connection| connection.state() == SlotState::Closing && !connection.is_evicted())
        .min_by_key(|connection| connection.state_since())
}

/// Makes one connection close for a new one; false where none can, or where all descriptors are in use.
///
/// Clients keep connections that they do not use, and some connect and send nothing. A connection that is closing
/// already comes first, else [`select_victim`] chooses. Until it has closed both use descriptors, out of the share of
/// the rejected connections; once half of that share is in use, the victim has no time for an orderly close.
pub(super) fn make_room(active: &Connections, open_connections: usize, limits: &Limits) -> bool {
    let closing = longest_closing(active);
    if let Some(connection) = closing {
        connection.evict();
    }
    if open_connections >= limits.client_connections + limits.rejected_connections {
        return false;
    }
    if closing.is_some() {
        return true;
    }
    let Some(victim) = select_victim(active, limits) else { return false };
    let few_descriptors = open_connections >= limits.client_connections + limits.rejected_connections / 2;
    if few_descriptors || victim.state() == SlotState::AwaitingRequest {
        victim.evict();
    } else {
        victim.request_close();
    }
    true
}

/// The connection to close for a new one: first one that has sent no complete request within
/// `Limits::silent_client_grace`, then one that is idle, then one that has sent nothing for a shorter time.
fn select_victim<'a>(active: &'a Connections, limits: &Limits) -> Option<&'a Rc<TrackedConnection>> {
    let silent = longest_in_state(active, SlotState::AwaitingRequest);
    let past_grace = silent.filter(|connection| connection.time_in_state() >= limits.silent_client_grace);
    past_grace.or_else(|| longest_in_state(active, SlotState::Idle)).or(silent)
}

/// The connection that has been in a state for the longest. Those with one request at the most come first: some clients
/// send one and keep their connection for good.
fn longest_in_state(active: &Connections, state: SlotState) -> Option<&Rc<TrackedConnection>> {
    active
        .values()
        .filter(|connection| connection.state() == state && !connection.must_close())
        .min_by_key(|connection| (connection.requests_received() > 1, connection.state_since()))
}

/// Closes connections that were idle for `Limits::client_idle_timeout`.
///
/// While more than `Limits::eviction_threshold` have sent requests, those that sent one only close after
/// `Limits::silent_client_grace`: clients can open only so many, and these would leave none to clients that go on
/// sending requests.
pub(super) fn close_idle(active: &Connections, limits: &Limits) {
    let mut served: usize = 0;
    let mut used_once: Vec<&Rc<TrackedConnection>> = Vec::new();
    for connection in active.values() {
        if connection.must_close() || connection.state() == SlotState::AwaitingRequest {
            continue;
        }
        let is_idle = connection.state() == SlotState::Idle;
        let idle_time = connection.time_in_state();
        if is_idle && idle_time >= limits.client_idle_timeout {
            connection.request_close();
            continue;
        }
        served += 1;
        if is_idle && connection.requests_received() <= 1 && idle_time >= limits.silent_client_grace {
            used_once.push(connection);
        }
    }
    used_once.sort_by_key(|connection| connection.state_since());
    let excess = served.saturating_sub(limits.eviction_threshold);
    for connection in used_once.iter().take(excess) {
        connection.request_close();
    }
}

/// Closes connections while the process is drained, once the load balancer has stopped sending new ones: each closes
/// after its request, and one that sends no request is evicted in time, so that it does not send one late.
pub(super) fn close_drained(active: &Connections, limits: &Limits) {
    let request_timeout = limits.first_request_timeout / 2;
    for connection in active.values() {
        match connection.state() {
            SlotState::Idle | SlotState::Busy => connection.request_close(),
            SlotState::AwaitingRequest if connection.time_in_state() >= request_timeout => connection.evict(),
            SlotState::AwaitingRequest | SlotState::Closing => {}
        }
    }
}
