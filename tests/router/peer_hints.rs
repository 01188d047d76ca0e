//! Hints from other poolers about a group's primary.

use crate::common::*;
use brookpass::primary_hint::PrimaryHint;
use brookpass::routing::*;

/// Guards against a pooler that sends no writes, has the primary only from a hint, and therefore rejects every read
/// that no replica can serve.
#[test]
fn a_primary_known_only_from_a_hint_is_probed_when_no_replica_is_fresh() {
    let mut settings = settings();
    (settings.may_probe, settings.peer_messages) = (Some(true), Some(true));
    let mut harness = RouterHarness::new(settings, 3);
    harness.update_list(ListKind::Full, (1..=3).map(entry).collect());
    (2..=3).for_each(|n| harness.report_state(n, Role::Replica, 900 * MS));
    let hint = PrimaryHint { endpoint: endpoint(1), at: harness.now };
    harness.handle(Event::PeerMessage { from: 2, bytes: hint.encode() });
    let (id, actions) = harness.request(SESSION_READ, 2_000 * MS, Some(100 * MS));
    let probes_primary =
        |action: &Action| matches!(action, Action::Probe { endpoint: to } if *to == endpoint(1));
    let (mut primary_probed, mut reads) = (actions.iter().any(probes_primary), 0);
    while !primary_probed && reads < 50 {
        reads += 1;
        harness.advance(60 * MS);
        let (_, actions) = harness.request(SESSION_READ, 2_000 * MS, Some(100 * MS));
        primary_probed = actions.iter().any(probes_primary);
    }
    assert!(primary_probed, "the primary is probed to confirm its role");
    let position = harness.now.as_secs_f64();
    let report = LoadReport { count: 2, values: [position, 1.0, 0.0, 0.0] };
    let released = harness.handle(Event::ProbeFinished { endpoint: endpoint(1), ok: true, took: MS, report });
    assert_eq!(sent_to(&released, id), [endpoint(1)]);
}

/// Guards against poolers that each search for a new primary on their own. In a large tier each of them rarely sends to
/// a given group, so queued writes would wait too long.
#[test]
fn a_peers_hint_of_a_new_primary_releases_queued_writes() {
    let mut settings = settings();
    settings.peer_messages = Some(true);
    let (mut sender, mut receiver) =
        (RouterHarness::new(settings.clone(), 3), RouterHarness::new(settings, 3));
    for harness in [&mut sender, &mut receiver] {
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
    sender.now += 900 * MS;
    let (id, _) = sender.request(EVENTUAL_READ, 2_000 * MS, None);
    let actions = sender.finish_attempt(id, 0, 2, AttemptOutcome::Served, Some(Role::Primary), FRESH);
    let hints = |actions: &[Action]| {
        let mut sent_hints = actions.iter().filter_map(|action| match action {
            Action::SendToPeers { to: None, bytes } => Some(bytes.clone()),
            _ => None,
        });
        (sent_hints.next(), sent_hints.count())
    };
    let (Some(bytes), 0) = hints(&actions) else { panic!("expected one hint to all peers: {actions:?}") };
    let (id, _) = sender.request(EVENTUAL_READ, 2_000 * MS, None);
    assert_eq!(
        hints(&sender.finish_attempt(id, 0, 2, AttemptOutcome::Served, Some(Role::Primary), FRESH)),
        (None, 0),
        "no second hint about the same primary"
    );
    receiver.now = sender.now + 20 * MS;
    let (id, sent) = receiver.request(WRITE, 2_000 * MS, None);
    assert!(sent_to(&sent, id).is_empty(), "writes are queued while no primary is known");
    let released = receiver.handle(Event::PeerMessage { from: 0, bytes: bytes.clone() });
    assert!(sent_to(&released, id) == [endpoint(2)] && hints(&released).0.is_none(), "{released:?}");
    // A later response to this pooler takes precedence over a hint, and so does the endpoint list.
    receiver.now += 20 * MS;
    receiver.finish_attempt(id, 0, 2, AttemptOutcome::Misdirected, Some(Role::Replica), FRESH);
    let (id, _) = receiver.request(WRITE, 2_000 * MS, None);
    assert!(
        sent_to(&receiver.handle(Event::PeerMessage { from: 0, bytes }), id).is_empty(),
        "the hint is older than the misdirected attempt"
    );
    let hint =
        |n, at| Event::PeerMessage { from: 0, bytes: PrimaryHint { endpoint: endpoint(n), at }.encode() };
    receiver.update_list(
        ListKind::Delta,
        vec![EndpointEntry { availability: Availability::Draining, ..entry(3) }],
    );
    for n in [3, 9] {
        let at = receiver.now;
        assert!(sent_to(&receiver.handle(hint(n, at)), id).is_empty(), "endpoint {n} is not in service");
    }
}

/// Guards against stale reads after a peer's hint, which names the primary but is no proof of its log position.
#[test]
fn a_peers_hint_is_no_proof_of_a_position_for_reads() {
    let mut settings = settings();
    settings.peer_messages = Some(true);
    let mut harness = RouterHarness::new(settings, 2);
    harness.report_state(2, Role::Replica, 4_000 * MS);
    harness.now += 1_000 * MS;
    let bytes = PrimaryHint { endpoint: endpoint(2), at: Timestamp::MAX }.encode();
    harness.handle(Event::PeerMessage { from: 0, bytes });
    let (id, sent) = harness.request(BOUNDED_READ, 2_000 * MS, None);
    assert!(sent_to(&sent, id).is_empty(), "the endpoint named by the hint would serve stale data");
    harness.now += 1_000 * MS;
    harness.report_state(1, Role::Primary, FRESH);
    let (id, sent) = harness.request(WRITE, 2_000 * MS, None);
    assert_eq!(sent_to(&sent, id), [endpoint(1)], "a hint with a future time counts as one of its arrival");
}
