//! Endpoints that the list moves from one group to another: nothing that was learned of an endpoint in its former group
//! may route requests of either group.

use crate::common::*;
use brookpass::primary_hint::PrimaryHint;
use brookpass::routing::*;

const FORMER: GroupId = GroupId(1);
const OTHER: GroupId = GroupId(2);

/// Lists endpoint `n` as a member of `group`.
fn list_in(harness: &mut RouterHarness, n: u8, group: GroupId) -> Vec<Action> {
    harness.update_list(ListKind::Delta, vec![EndpointEntry { group, ..entry(n) }])
}

/// A router with endpoints 1 to 3 in group 1, and endpoint 4 in group 2. Endpoints 1 and 4 have reported that they are
/// primaries, endpoints 2 and 3 that they are replicas. Without endpoint 1, the ring of group 1 begins with endpoint 2;
/// since that is a replica by its own report, a write is sent to endpoint 3 first.
fn two_groups(settings: Settings) -> RouterHarness {
    let mut harness = RouterHarness::new(settings, 3);
    list_in(&mut harness, 4, OTHER);
    harness.report_state(1, Role::Primary, FRESH);
    harness.report_state(2, Role::Replica, FRESH);
    harness.report_state(3, Role::Replica, FRESH);
    harness.report_state(4, Role::Primary, FRESH);
    harness
}

/// Guards against writes of a group that are executed by an endpoint which the list has moved to another group.
#[test]
fn a_moved_primary_gets_no_writes_of_its_former_group() {
    let mut harness = two_groups(settings());
    list_in(&mut harness, 1, OTHER);
    let (id, sent) = harness.request_of(FORMER, WRITE, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(3)]);
    harness.finish_attempt(id, 0, 3, AttemptOutcome::Served, Some(Role::Primary), FRESH);
    let (id, sent) = harness.request_of(OTHER, WRITE, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(4)], "the primary of the other group stays its primary");
}

/// Guards against reads that fall back to the primary and reach an endpoint of another group.
#[test]
fn a_moved_primary_gets_no_reads_of_its_former_group() {
    let mut harness = two_groups(settings());
    list_in(&mut harness, 1, OTHER);
    harness.now += 1_000 * MS;
    let (id, sent) = harness.request_of(FORMER, BOUNDED_READ, 2_000 * MS, None);
    assert!(sent_to(&sent, id).is_empty(), "no endpoint of the group is known to be fresh enough");
    assert!(!sent_to(&harness.advance(900 * MS), id).contains(&endpoint(1)));
}

/// Guards against a write that stays queued until it is given up, because its group still awaits a primary that has
/// left the group.
#[test]
fn writes_that_await_a_moved_primary_are_sent_to_the_rest_of_their_group() {
    let mut harness = two_groups(settings());
    harness.request_of(FORMER, WRITE, 5_000 * MS, None);
    harness.request_of(FORMER, WRITE, 5_000 * MS, None);
    harness.advance(300 * MS);
    let (queued, sent) = harness.request_of(FORMER, WRITE, 5_000 * MS, None);
    assert!(sent_to(&sent, queued).is_empty(), "the primary does not respond to its attempts");
    assert_eq!(sent_to(&list_in(&mut harness, 1, OTHER), queued), [endpoint(3)]);
}

/// Guards against a belief that outlives the state of its endpoint: the endpoint was off the list for so long that its
/// state was deleted, and returns in another group.
#[test]
fn a_primary_that_returns_in_another_group_gets_no_writes_of_its_former_group() {
    let mut harness = two_groups(settings());
    let gone = EndpointEntry { availability: Availability::Gone, ..entry(1) };
    harness.update_list(ListKind::Delta, vec![gone]);
    harness.now += 60_000 * MS;
    harness.update_list(ListKind::Delta, Vec::new());
    list_in(&mut harness, 1, OTHER);
    let (id, sent) = harness.request_of(FORMER, WRITE, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(3)]);
}

/// Guards against stale reads: a log position that an endpoint has reached in the log of one group proves nothing about
/// the log of another.
#[test]
fn a_moved_replica_gets_no_bounded_read_before_it_has_reported_again() {
    let mut harness = two_groups(settings());
    list_in(&mut harness, 2, OTHER);
    let (id, sent) = harness.request_of(OTHER, BOUNDED_READ, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(4)]);
    harness.now += 100 * MS;
    harness.report_state(2, Role::Replica, FRESH);
    let (id, sent) = harness.request_of(OTHER, BOUNDED_READ, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(2)]);
}

/// Guards against responses that cross with the list: what an endpoint reports about its former group makes it neither
/// the primary of its new group nor fresh enough for reads there.
#[test]
fn a_response_to_an_attempt_from_before_the_move_does_not_count_in_the_new_group() {
    let mut harness = two_groups(settings());
    let (id, sent) = harness.request_of(FORMER, WRITE, 5_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(1)]);
    harness.now += 10 * MS;
    list_in(&mut harness, 1, OTHER);
    harness.now += 5 * MS;
    harness.finish_attempt(id, 0, 1, AttemptOutcome::Served, Some(Role::Primary), FRESH);
    let (id, sent) = harness.request_of(OTHER, WRITE, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(4)]);
    harness.finish_attempt(id, 0, 4, AttemptOutcome::Served, Some(Role::Primary), FRESH);
    let (id, sent) = harness.request_of(OTHER, BOUNDED_READ, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(4)], "the moved endpoint has not reported in its new group");
}

/// Guards against a peer that has not received the move yet, and reports the endpoint as the primary of its former
/// group.
#[test]
fn a_peers_hint_from_before_the_move_does_not_count_in_the_new_group() {
    let mut settings = settings();
    settings.peer_messages = Some(true);
    let mut harness = RouterHarness::new(settings, 1);
    list_in(&mut harness, 4, OTHER);
    list_in(&mut harness, 5, FORMER);
    let seen_at = harness.now;
    harness.now += 10 * MS;
    list_in(&mut harness, 5, OTHER);
    let bytes = PrimaryHint { endpoint: endpoint(5), at: seen_at }.encode();
    harness.handle(Event::PeerMessage { from: 1, bytes });
    let (id, sent) = harness.request_of(OTHER, WRITE, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(4)]);
}

/// Guards against a list that names the moved endpoint as the primary of its new group and is not followed, because the
/// role that the endpoint reported in its former group counts as newer.
#[test]
fn the_list_names_a_moved_endpoint_as_the_primary_of_its_new_group() {
    let mut harness = two_groups(settings());
    harness.report_state(2, Role::Replica, FRESH);
    let moved = EndpointEntry { group: OTHER, primary: true, ..entry(2) };
    harness.update_list(ListKind::Delta, vec![moved]);
    let (id, sent) = harness.request_of(OTHER, WRITE, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(2)]);
}
