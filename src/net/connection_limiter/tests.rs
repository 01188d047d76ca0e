//! Places of connections, and who makes room for whom.

use super::*;
use crate::config::Machine;

/// Guards against a front that runs out of descriptors, and against clients that are shut out by idle ones.
#[test]
fn the_longest_idle_makes_room_and_the_rest_are_told() {
    let limits = Limits { client_connections: 2, rejected_connections: 1, ..Limits::for_sockets(64) };
    let seats = ConnectionLimiter::new(Rc::new(limits), Rc::default());
    let take = || seats.admit().map(|(place, welcome)| (place, welcome == AcceptDecision::Serve));
    let (first, second) = (take().unwrap(), take().unwrap());
    let busy = |place: &ConnectionSlot| place.set_state(SlotState::Busy, Instant::now());
    [&first.0, &second.0].into_iter().for_each(busy);
    assert!(first.1 && second.1);
    let turned_away = take().unwrap();
    assert!(!turned_away.1, "none is idle");
    assert!(take().is_none(), "nor is there room to say so");
    drop(turned_away);
    second.0.set_state(SlotState::Idle, Instant::now());
    let third = take().unwrap();
    busy(&third.0);
    assert!(third.1 && second.0.must_close() && !first.0.must_close());
    assert!(take().is_none(), "the idle one has not ended yet");
    drop(second);
    assert_eq!(seats.active_connections(), 2);
}

/// Guards against hundreds of connections that say nothing and shut out those that ask.
#[test]
fn those_that_say_nothing_make_room_first() {
    let limits = Limits { client_connections: 3, rejected_connections: 1, ..Limits::for_sockets(64) };
    let (grace, seats) = (limits.silent_client_grace, ConnectionLimiter::new(Rc::new(limits), Rc::default()));
    let take = || seats.admit().map(|(place, _)| place).unwrap();
    let (idle, silent, busy) = (take(), take(), take());
    let ago = |span| Instant::now().checked_sub(span).unwrap();
    idle.set_state(SlotState::Idle, ago(grace * 9));
    busy.set_state(SlotState::Busy, ago(grace * 9));
    silent.set_state(SlotState::AwaitingRequest, ago(grace * 2));
    let new = take();
    assert!(silent.must_close() && !idle.must_close());
    drop(silent);
    new.set_state(SlotState::AwaitingRequest, Instant::now());
    let newer = take();
    assert!(idle.must_close() && !new.must_close(), "one that has just come may still ask");
    drop(idle);
    newer.set_state(SlotState::Busy, Instant::now());
    let _newest = take();
    assert!(new.must_close() && !busy.must_close() && !newer.must_close());
}

/// Guards against those that ask once and stay: clients hold only so many connections, and those that go on
/// asking would find none.
#[test]
fn idle_connections_end_and_in_a_crowd_those_that_asked_once_go_first() {
    let limits = Limits { client_connections: 9, crowded_clients: 3, ..Limits::for_sockets(64) };
    let (grace, long, seats) = (
        limits.silent_client_grace,
        limits.client_idle,
        ConnectionLimiter::new(Rc::new(limits), Rc::default()),
    );
    let take = |asked: u32, idle: std::time::Duration| {
        let (place, _) = seats.admit().unwrap();
        (0..asked).for_each(|_| place.request_received());
        place.set_state(SlotState::Idle, Instant::now().checked_sub(idle).unwrap());
        place
    };
    let ended = |places: &[ConnectionSlot]| places.iter().map(ConnectionSlot::must_close).collect::<Vec<_>>();
    let mut places = vec![take(5, grace * 3), take(1, grace * 2), take(1, grace * 4)];
    seats.relieve();
    assert_eq!(ended(&places), [false, false, false], "three are no crowd");
    places.extend([take(1, grace / 9), take(2, grace * 5)]);
    seats.relieve();
    assert_eq!(ended(&places), [false, true, true, false, false], "all that asked once a while ago");
    places.push(take(7, long));
    seats.relieve();
    assert!(places[5].must_close() && !places[0].must_close() && !places[4].must_close());
    let (silent, _) = seats.admit().unwrap();
    silent.set_state(SlotState::AwaitingRequest, Instant::now().checked_sub(long).unwrap());
    seats.relieve();
    assert!(!silent.must_close(), "its own time is looked at elsewhere");
}

/// Guards against clients whose long messages together take more memory than there is.
#[test]
fn long_messages_share_one_budget() {
    let limits = Limits { unbudgeted_message: 10, message_budget: 100, ..Limits::for_sockets(64) };
    let seats = ConnectionLimiter::new(Rc::new(limits), Rc::default());
    let take = || seats.admit().map(|(place, _)| place).unwrap();
    let (mut one, mut two) = (take(), take());
    assert!(
        one.try_reserve_message_bytes(60)
            && two.try_reserve_message_bytes(10)
            && two.try_reserve_message_bytes(40)
            && one.try_reserve_message_bytes(50)
    );
    assert!(!two.try_reserve_message_bytes(51), "there is room for 50");
    drop(one);
    assert!(two.try_reserve_message_bytes(100));
    assert!(two.try_reserve_message_bytes(0));
    assert_eq!(seats.held.get(), 0);
}

#[test]
fn the_limits_add_up_to_what_the_process_may_hold() {
    for sockets in [64, 256, 384, 1024, 20_000] {
        let platform = Machine::platform(Some(sockets), Some(32.0));
        let half = platform.half().with_admin_server();
        for machine in [Machine::operator(sockets), platform, platform.with_admin_server(), half] {
            let l = Limits::on(machine);
            let (door, sockets) = (l.for_admin_server(), machine.sockets);
            if machine.reserved + 16 <= sockets {
                assert!(
                    l.client_connections + l.rejected_connections + l.backend_connections + machine.reserved
                        <= sockets,
                    "{machine:?}"
                );
            }
            assert!(
                l.client_connections > 0 && l.rejected_connections > 0 && l.backend_connections > 0,
                "{machine:?}"
            );
            assert_eq!(door.client_connections > 0, machine.has_admin_server, "{machine:?}");
            assert!(
                platform.reserved + door.client_connections + door.rejected_connections < machine.reserved
                    || !machine.has_admin_server
            );
            // Clients hold at most a third for requests, and each of these may have an attempt out.
            let third = sockets.saturating_sub(machine.reserved) / 3;
            assert!(l.client_connections >= third && l.backend_connections >= third, "{machine:?}");
            assert!(l.message_budget * 5 <= (machine.memory_mb * 1024.0 * 1024.0) as usize, "{machine:?}");
        }
    }
}

/// Guards against connections that are closed in good order for so long that no room is left for new ones, and against
/// an end that waits for none of them.
#[test]
fn those_that_are_being_closed_make_room_first() {
    let limits = Limits { client_connections: 2, rejected_connections: 2, ..Limits::for_sockets(64) };
    let seats = ConnectionLimiter::new(Rc::new(limits), Rc::default());
    let take = || seats.admit().unwrap();
    let ((idle, _), (closing, _)) = (take(), take());
    idle.set_state(SlotState::Idle, Instant::now());
    closing.set_state(SlotState::Closing, Instant::now());
    let (new, welcome) = take();
    assert_eq!((welcome, idle.must_close()), (AcceptDecision::Serve, false));
    assert!(closing.cut.is_closed(), "its descriptor is needed");
    new.set_state(SlotState::Busy, Instant::now());
    idle.set_state(SlotState::Busy, Instant::now());
    let (told, welcome) = take();
    assert_eq!((welcome, seats.open_connections()), (AcceptDecision::Reject, 4));
    assert!(!told.must_close() && !told.cut.is_closed(), "it has time to read why");
    told.set_state(SlotState::Closing, Instant::now());
    assert!(seats.admit().is_none() && told.cut.is_closed(), "and makes room for the next");
    drop((idle, closing, new));
    assert_eq!(
        (seats.active_connections(), seats.open_connections()),
        (0, 1),
        "one that is turned away is waited for at the end"
    );
}

/// Guards against half a request that is cut off where no room is needed, and one that is kept where it is.
#[test]
fn a_part_of_a_request_ends_only_for_room_or_at_the_very_end() {
    let seats = ConnectionLimiter::new(Rc::new(Limits::for_sockets(64)), Rc::default());
    let (part, _) = seats.admit().unwrap();
    seats.close_after_request();
    assert!(part.must_close() && !part.cut.is_closed());
    seats.abort_incomplete();
    assert!(part.cut.is_closed());
}
