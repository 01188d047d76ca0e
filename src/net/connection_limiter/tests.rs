//! Tests of connection slots and of the selection of connections to close.

use super::*;
use crate::config::ProcessResources;
use std::time::{Duration, Instant};

fn limiter(limits: Limits) -> Rc<ConnectionLimiter> {
    ConnectionLimiter::new(Rc::new(limits), Rc::default())
}

fn ago(time: Duration) -> Instant {
    Instant::now().checked_sub(time).unwrap()
}

fn close_idle(limiter: &ConnectionLimiter) {
    eviction::close_idle(&limiter.active.borrow(), &limiter.limits);
}

/// Guards against a pooler that runs out of descriptors, and against idle connections that lock out new clients.
#[test]
fn an_idle_connection_is_closed_for_a_new_one_and_further_ones_are_rejected() {
    let limits = Limits { client_connections: 2, rejected_connections: 1, ..Limits::for_sockets(64) };
    let limiter = limiter(limits);
    let is_served = |slot: &ConnectionSlot| slot.decision() == AcceptDecision::Serve;
    let set_busy = |slot: &ConnectionSlot| slot.set_state(SlotState::Busy, Instant::now());
    let (first, second) = (limiter.admit().unwrap(), limiter.admit().unwrap());
    [&first, &second].into_iter().for_each(set_busy);
    assert!(is_served(&first) && is_served(&second));
    let rejected = limiter.admit().unwrap();
    assert!(!is_served(&rejected), "no connection is idle");
    assert!(limiter.admit().is_none(), "there is no room to reject another one");
    drop(rejected);
    second.set_state(SlotState::Idle, Instant::now());
    let third = limiter.admit().unwrap();
    set_busy(&third);
    assert!(is_served(&third) && second.must_close() && !first.must_close());
    assert!(limiter.admit().is_none(), "the idle connection has not closed yet");
    drop(second);
    assert_eq!(limiter.active_connections(), 2);
}

/// Guards against hundreds of connections that never send a request and lock out clients that do.
#[test]
fn connections_without_a_request_are_closed_before_idle_ones() {
    let limits = Limits { client_connections: 3, rejected_connections: 1, ..Limits::for_sockets(64) };
    let grace = limits.silent_client_grace;
    let limiter = limiter(limits);
    let admit = || limiter.admit().unwrap();
    let (idle, silent, busy) = (admit(), admit(), admit());
    idle.set_state(SlotState::Idle, ago(grace * 9));
    busy.set_state(SlotState::Busy, ago(grace * 9));
    silent.set_state(SlotState::AwaitingRequest, ago(grace * 2));
    let new = admit();
    assert!(silent.must_close() && !idle.must_close());
    drop(silent);
    new.set_state(SlotState::AwaitingRequest, Instant::now());
    let newer = admit();
    assert!(
        idle.must_close() && !new.must_close(),
        "a connection that was just accepted may still send a request"
    );
    drop(idle);
    newer.set_state(SlotState::Busy, Instant::now());
    let _newest = admit();
    assert!(new.must_close() && !busy.must_close() && !newer.must_close());
}

/// Guards against clients that send a single request and stay connected: since connections are limited, they would lock
/// out clients that keep sending requests.
#[test]
fn above_the_eviction_threshold_idle_connections_with_one_request_are_closed_first() {
    let limits = Limits { client_connections: 9, eviction_threshold: 3, ..Limits::for_sockets(64) };
    let (grace, max_idle) = (limits.silent_client_grace, limits.client_idle_timeout);
    let limiter = limiter(limits);
    let admit = |requests: u32, idle_time: Duration| {
        let slot = limiter.admit().unwrap();
        (0..requests).for_each(|_| slot.request_received());
        slot.set_state(SlotState::Idle, ago(idle_time));
        slot
    };
    let closing = |slots: &[ConnectionSlot]| slots.iter().map(ConnectionSlot::must_close).collect::<Vec<_>>();
    let mut slots = vec![admit(5, grace * 3), admit(1, grace * 2), admit(1, grace * 4)];
    close_idle(&limiter);
    assert_eq!(closing(&slots), [false, false, false], "three connections are within the limit");
    slots.extend([admit(1, grace / 9), admit(2, grace * 5)]);
    close_idle(&limiter);
    assert_eq!(
        closing(&slots),
        [false, true, true, false, false],
        "those with one request, past the grace time"
    );
    slots.push(admit(7, max_idle));
    close_idle(&limiter);
    assert!(slots[5].must_close() && !slots[0].must_close() && !slots[4].must_close());
    let silent = limiter.admit().unwrap();
    silent.set_state(SlotState::AwaitingRequest, ago(max_idle));
    close_idle(&limiter);
    assert!(!silent.must_close(), "another timeout applies to connections without a request");
}

/// Guards against clients whose long messages together exceed the available memory.
#[test]
fn long_messages_share_one_budget() {
    let limits =
        Limits { unreserved_message_bytes: 10, message_budget_bytes: 100, ..Limits::for_sockets(64) };
    let limiter = limiter(limits);
    let (mut first, mut second) = (limiter.admit().unwrap(), limiter.admit().unwrap());
    assert!(first.try_reserve_message_bytes(60));
    assert!(second.try_reserve_message_bytes(10));
    assert!(second.try_reserve_message_bytes(40));
    assert!(first.try_reserve_message_bytes(50));
    assert!(!second.try_reserve_message_bytes(51), "only 50 are left");
    drop(first);
    assert!(second.try_reserve_message_bytes(100));
    assert!(second.try_reserve_message_bytes(0));
    assert_eq!(limiter.reserved_message_bytes.get(), 0);
}

/// Guards against limits whose sum exceeds the descriptors or the memory that the process may use.
#[test]
fn the_sum_of_the_limits_is_within_what_the_process_may_use() {
    for sockets in [64, 256, 384, 1024, 20_000] {
        let platform = ProcessResources::platform(Some(sockets), Some(32.0));
        let half = platform.half().with_admin_server();
        for machine in [ProcessResources::operator(sockets), platform, platform.with_admin_server(), half] {
            let limits = Limits::for_resources(machine);
            let (admin, sockets) = (limits.for_admin_server(), machine.sockets);
            let (clients, backends) = (limits.client_connections, limits.backend_connections);
            let rejected = limits.rejected_connections;
            if machine.reserved + 16 <= sockets {
                assert!(clients + rejected + backends + machine.reserved <= sockets, "{machine:?}");
            }
            assert!(clients > 0 && rejected > 0 && backends > 0, "{machine:?}");
            assert_eq!(admin.client_connections > 0, machine.has_admin_server, "{machine:?}");
            assert!(
                platform.reserved + admin.client_connections + admin.rejected_connections < machine.reserved
                    || !machine.has_admin_server
            );
            // A third of the descriptors is for clients, and each client's request may have an attempt in flight.
            let third = sockets.saturating_sub(machine.reserved) / 3;
            assert!(clients >= third && backends >= third, "{machine:?}");
            assert!(
                limits.message_budget_bytes * 5 <= (machine.memory_mb * 1024.0 * 1024.0) as usize,
                "{machine:?}"
            );
        }
    }
}

/// Guards against orderly closes that leave no descriptors for new connections, and against a shutdown that does not
/// wait for rejected connections.
#[test]
fn closing_connections_are_evicted_first() {
    let limits = Limits { client_connections: 2, rejected_connections: 2, ..Limits::for_sockets(64) };
    let limiter = limiter(limits);
    let admit = || limiter.admit().unwrap();
    let (idle, closing) = (admit(), admit());
    idle.set_state(SlotState::Idle, Instant::now());
    closing.set_state(SlotState::Closing, Instant::now());
    let new = admit();
    assert_eq!((new.decision(), idle.must_close()), (AcceptDecision::Serve, false));
    assert!(closing.is_evicted(), "its descriptor is needed");
    new.set_state(SlotState::Busy, Instant::now());
    idle.set_state(SlotState::Busy, Instant::now());
    let rejected = admit();
    assert_eq!((rejected.decision(), limiter.open_connections()), (AcceptDecision::Reject, 4));
    assert!(!rejected.must_close() && !rejected.is_evicted(), "it has time to read the rejection");
    rejected.set_state(SlotState::Closing, Instant::now());
    assert!(limiter.admit().is_none() && rejected.is_evicted(), "it makes room for the next one");
    drop((idle, closing, new));
    assert_eq!(
        (limiter.active_connections(), limiter.open_connections()),
        (0, 1),
        "shutdown waits for a rejected connection"
    );
}

/// Guards against dropping a partial request although no descriptor is needed, and against one that outlasts the
/// shutdown.
#[test]
fn a_partial_request_is_dropped_only_to_make_room_or_at_the_end_of_the_shutdown() {
    let limiter = limiter(Limits::for_sockets(64));
    let partial = limiter.admit().unwrap();
    limiter.close_after_request();
    assert!(partial.must_close() && !partial.is_evicted());
    limiter.evict_incomplete();
    assert!(partial.is_evicted());
}
