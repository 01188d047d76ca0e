//! Selects the connections to close: to make room for a new one, after a long idle time, and while the process is
//! drained.

use super::slot::{ConnectionRecord, Connections, SlotState};
use crate::config::Limits;
use std::rc::Rc;

/// The connection that has been in the closing state for the longest time and is not evicted yet.
pub(super) fn longest_closing(connections: &Connections) -> Option<&Rc<ConnectionRecord>> {
    connections
        .values()
        .filter(|connection| connection.state() == SlotState::Closing && !connection.is_evicted())
        .min_by_key(|connection| connection.state_since())
}

/// Closes one connection to make room for a new one. Returns false if none can be closed or all descriptors are in use.
///
/// Clients keep connections that they do not use, and some connect without ever sending a request. A connection that is
/// already closing is evicted first; otherwise [`select_victim`] selects one. Until the victim has closed, the
/// additional descriptor is taken from the share of the rejected connections. Once half of that share is in use, the
/// victim is evicted without an orderly close.
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
    let descriptors_scarce = open_connections >= limits.client_connections + limits.rejected_connections / 2;
    if descriptors_scarce || victim.state() == SlotState::AwaitingRequest {
        victim.evict();
    } else {
        victim.request_close();
    }
    true
}

/// The connection to close for a new one. In order of preference: one that has awaited a complete request for longer
/// than `Limits::silent_client_grace`, an idle one, one that has awaited a request for a shorter time.
fn select_victim<'a>(active: &'a Connections, limits: &Limits) -> Option<&'a Rc<ConnectionRecord>> {
    let silent = longest_in_state(active, SlotState::AwaitingRequest);
    let past_grace = silent.filter(|connection| connection.time_in_state() >= limits.silent_client_grace);
    past_grace.or_else(|| longest_in_state(active, SlotState::Idle)).or(silent)
}

/// The connection that has been in a state for the longest time. Connections with at most one request come first, since
/// some clients send a single request and then keep their connection open without using it.
fn longest_in_state(active: &Connections, state: SlotState) -> Option<&Rc<ConnectionRecord>> {
    active
        .values()
        .filter(|connection| connection.state() == state && !connection.must_close())
        .min_by_key(|connection| (connection.requests_received() > 1, connection.state_since()))
}

/// Closes connections that have been idle for `Limits::client_idle_timeout`.
///
/// While more than `Limits::eviction_threshold` connections have sent requests, the excess is closed among those that
/// sent only one request and have been idle for `Limits::silent_client_grace`, longest idle first. Otherwise they would
/// use up the limited number of connections and lock out clients that keep sending requests.
pub(super) fn close_idle(active: &Connections, limits: &Limits) {
    let mut served: usize = 0;
    let mut single_request: Vec<&Rc<ConnectionRecord>> = Vec::new();
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
            single_request.push(connection);
        }
    }
    single_request.sort_by_key(|connection| connection.state_since());
    let excess = served.saturating_sub(limits.eviction_threshold);
    for connection in single_request.iter().take(excess) {
        connection.request_close();
    }
}

/// Closes connections while the process is drained and the load balancer has stopped sending new ones. Each closes
/// after its open request. One that awaits a request is evicted at half of `Limits::first_request_timeout`, so that no
/// request arrives just before the timeout.
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
