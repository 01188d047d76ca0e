//! Hints of other poolers about a group's primary.

use crate::common::*;
use brookpass::primary_hint::PrimaryHint;
use brookpass::routing::*;

/// Guards against a driver without writes that knows the primary by a peer's word only, and refuses for ever what no
/// replica can answer.
#[test]
fn a_primary_that_only_a_peer_has_heard_is_asked_when_no_replica_will_do() {
    let mut s = settings();
    (s.may_probe, s.peer_messages) = (Some(true), Some(true));
    let mut rig = Rig::new(s, 3);
    rig.list(ListKind::Full, (1..=3).map(entry).collect());
    (2..=3).for_each(|n| rig.introduce(n, false, 900 * MS));
    let hint = brookpass::primary_hint::PrimaryHint { endpoint: endpoint(1), at: rig.now };
    rig.event(Event::PeerMessage { from: 2, bytes: hint.write() });
    let (id, asked) = rig.ask(OWN, 2_000 * MS, Some(100 * MS));
    let probe = |a: &Action| matches!(a, Action::Probe { endpoint: m } if *m == endpoint(1));
    let (mut found, mut tries) = (asked.iter().any(probe), 0);
    while !found && tries < 50 {
        tries += 1;
        rig.pass(60 * MS);
        found = rig.ask(OWN, 2_000 * MS, Some(100 * MS)).1.iter().any(probe);
    }
    assert!(found, "its role is asked for");
    let position = rig.now.as_secs_f64();
    let report = LoadReport { count: 2, values: [position, 1.0, 0.0, 0.0] };
    let freed = rig.event(Event::ProbeFinished { endpoint: endpoint(1), ok: true, took: MS, report });
    assert_eq!(sends(&freed, id), [endpoint(1)]);
}

/// Guards against drivers that each look for a new primary by themselves: one of many meets a group seldom, and its
/// held writes lose their time meanwhile.
#[test]
fn a_peers_word_of_a_new_primary_releases_held_writes() {
    let mut s = settings();
    s.peer_messages = Some(true);
    let (mut one, mut other) = (Rig::new(s.clone(), 3), Rig::new(s, 3));
    for rig in [&mut one, &mut other] {
        rig.introduce(1, true, FRESH);
        rig.now += 1_000 * MS;
        let (id, _) = rig.ask(WRITE, 9_000 * MS, None);
        (0..3).for_each(|n| drop(rig.answer(id, n, n + 1, AttemptOutcome::Misdirected, Some(false), FRESH)));
    }
    one.now += 900 * MS;
    let (id, _) = one.ask(ANY, 2_000 * MS, None);
    let told = one.answer(id, 0, 2, AttemptOutcome::Served, Some(true), FRESH);
    let word = |actions: &[Action]| {
        let mut words = actions.iter().filter_map(|a| match a {
            Action::SendToPeers { to: None, bytes } => Some(bytes.clone()),
            _ => None,
        });
        (words.next(), words.count())
    };
    let (Some(bytes), 0) = word(&told) else { panic!("one word to all: {told:?}") };
    let (id, _) = one.ask(ANY, 2_000 * MS, None);
    assert_eq!(word(&one.answer(id, 0, 2, AttemptOutcome::Served, Some(true), FRESH)), (None, 0), "no news");
    other.now = one.now + 20 * MS;
    let (id, sent) = other.ask(WRITE, 2_000 * MS, None);
    assert!(sends(&sent, id).is_empty(), "it holds writes");
    let released = other.event(Event::PeerMessage { from: 0, bytes: bytes.clone() });
    assert!(sends(&released, id) == [endpoint(2)] && word(&released).0.is_none(), "{released:?}");
    // An answer that it heard itself outranks a word about an earlier time, and so does the list.
    other.now += 20 * MS;
    other.answer(id, 0, 2, AttemptOutcome::Misdirected, Some(false), FRESH);
    let (id, _) = other.ask(WRITE, 2_000 * MS, None);
    assert!(sends(&other.event(Event::PeerMessage { from: 0, bytes }), id).is_empty(), "older than the miss");
    let word =
        |n, at| Event::PeerMessage { from: 0, bytes: PrimaryHint { endpoint: endpoint(n), at }.write() };
    other.list(ListKind::Delta, vec![EndpointEntry { availability: Availability::Draining, ..entry(3) }]);
    for n in [3, 9] {
        let at = other.now;
        assert!(sends(&other.event(word(n, at)), id).is_empty(), "not in service, or in no list");
    }
}

/// Guards against stale reads on a peer's word: it tells where the primary is, and proves no data.
#[test]
fn a_peers_word_proves_nothing_to_reads() {
    let mut s = settings();
    s.peer_messages = Some(true);
    let mut rig = Rig::new(s, 2);
    rig.introduce(2, false, 4_000 * MS);
    rig.now += 1_000 * MS;
    let bytes = PrimaryHint { endpoint: endpoint(2), at: Timestamp::MAX }.write();
    rig.event(Event::PeerMessage { from: 0, bytes });
    let (id, sent) = rig.ask(READ, 2_000 * MS, None);
    assert!(sends(&sent, id).is_empty(), "it answers from whatever it holds");
    rig.now += 1_000 * MS;
    rig.introduce(1, true, FRESH);
    let (id, sent) = rig.ask(WRITE, 2_000 * MS, None);
    assert_eq!(sends(&sent, id), [endpoint(1)], "a word from the future is no newer than the present");
}
