//! Hints of other poolers about a group's primary.

use crate::common::*;
use brookpass::primary_hint::PrimaryHint;
use brookpass::routing::*;

/// Guards against a pooler without writes that knows the primary by a hint only, and rejects for ever what no
/// replica can answer.
#[test]
fn a_primary_known_by_a_hint_only_is_probed_when_no_replica_is_fresh() {
    let mut settings = settings();
    (settings.may_probe, settings.peer_messages) = (Some(true), Some(true));
    let mut harness = RouterHarness::new(settings, 3);
    harness.update_list(ListKind::Full, (1..=3).map(entry).collect());
    (2..=3).for_each(|n| harness.report_state(n, Role::Replica, 900 * MS));
    let hint = brookpass::primary_hint::PrimaryHint { endpoint: endpoint(1), at: harness.now };
    harness.handle(Event::PeerMessage { from: 2, bytes: hint.write() });
    let (id, asked) = harness.request(SESSION_READ, 2_000 * MS, Some(100 * MS));
    let probe = |action: &Action| matches!(action, Action::Probe { endpoint: to } if *to == endpoint(1));
    let (mut found, mut tries) = (asked.iter().any(probe), 0);
    while !found && tries < 50 {
        tries += 1;
        harness.advance(60 * MS);
        found = harness.request(SESSION_READ, 2_000 * MS, Some(100 * MS)).1.iter().any(probe);
    }
    assert!(found, "it is probed for its role");
    let position = harness.now.as_secs_f64();
    let report = LoadReport { count: 2, values: [position, 1.0, 0.0, 0.0] };
    let freed = harness.handle(Event::ProbeFinished { endpoint: endpoint(1), ok: true, took: MS, report });
    assert_eq!(sent_to(&freed, id), [endpoint(1)]);
}

/// Guards against poolers that each search for a new primary on their own: one of many seldom sends to a given group,
/// and its queued writes lose their time meanwhile.
#[test]
fn a_peers_hint_of_a_new_primary_releases_queued_writes() {
    let mut settings = settings();
    settings.peer_messages = Some(true);
    let (mut one, mut other) = (RouterHarness::new(settings.clone(), 3), RouterHarness::new(settings, 3));
    for harness in [&mut one, &mut other] {
        harness.report_state(1, Role::Primary, FRESH);
        harness.now += 1_000 * MS;
        let (id, _) = harness.request(WRITE, 9_000 * MS, None);
        (0..3).for_each(|n| {
            drop(harness.finish_attempt(
                id,
                n,
                n + 1,
                AttemptOutcome::Misdirected,
                Some(Role::Replica),
                FRESH,
            ))
        });
    }
    one.now += 900 * MS;
    let (id, _) = one.request(EVENTUAL_READ, 2_000 * MS, None);
    let told = one.finish_attempt(id, 0, 2, AttemptOutcome::Served, Some(Role::Primary), FRESH);
    let hints = |actions: &[Action]| {
        let mut sent_hints = actions.iter().filter_map(|action| match action {
            Action::SendToPeers { to: None, bytes } => Some(bytes.clone()),
            _ => None,
        });
        (sent_hints.next(), sent_hints.count())
    };
    let (Some(bytes), 0) = hints(&told) else { panic!("one hint to all: {told:?}") };
    let (id, _) = one.request(EVENTUAL_READ, 2_000 * MS, None);
    assert_eq!(
        hints(&one.finish_attempt(id, 0, 2, AttemptOutcome::Served, Some(Role::Primary), FRESH)),
        (None, 0),
        "nothing new"
    );
    other.now = one.now + 20 * MS;
    let (id, sent) = other.request(WRITE, 2_000 * MS, None);
    assert!(sent_to(&sent, id).is_empty(), "it queues writes");
    let released = other.handle(Event::PeerMessage { from: 0, bytes: bytes.clone() });
    assert!(sent_to(&released, id) == [endpoint(2)] && hints(&released).0.is_none(), "{released:?}");
    // A response to this pooler outranks a hint about an earlier time, and so does the list.
    other.now += 20 * MS;
    other.finish_attempt(id, 0, 2, AttemptOutcome::Misdirected, Some(Role::Replica), FRESH);
    let (id, _) = other.request(WRITE, 2_000 * MS, None);
    assert!(
        sent_to(&other.handle(Event::PeerMessage { from: 0, bytes }), id).is_empty(),
        "older than the miss"
    );
    let hint =
        |n, at| Event::PeerMessage { from: 0, bytes: PrimaryHint { endpoint: endpoint(n), at }.write() };
    other.update_list(
        ListKind::Delta,
        vec![EndpointEntry { availability: Availability::Draining, ..entry(3) }],
    );
    for n in [3, 9] {
        let at = other.now;
        assert!(sent_to(&other.handle(hint(n, at)), id).is_empty(), "not in service, or in no list");
    }
}

/// Guards against stale reads after a peer's hint: it tells which endpoint is the primary, and proves no log position.
#[test]
fn a_peers_hint_proves_no_position_to_reads() {
    let mut settings = settings();
    settings.peer_messages = Some(true);
    let mut harness = RouterHarness::new(settings, 2);
    harness.report_state(2, Role::Replica, 4_000 * MS);
    harness.now += 1_000 * MS;
    let bytes = PrimaryHint { endpoint: endpoint(2), at: Timestamp::MAX }.write();
    harness.handle(Event::PeerMessage { from: 0, bytes });
    let (id, sent) = harness.request(BOUNDED_READ, 2_000 * MS, None);
    assert!(sent_to(&sent, id).is_empty(), "it serves stale data");
    harness.now += 1_000 * MS;
    harness.report_state(1, Role::Primary, FRESH);
    let (id, sent) = harness.request(WRITE, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(1)], "a hint from the future is no newer than the present");
}
