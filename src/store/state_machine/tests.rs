use super::*;
use crate::routing::Availability;

fn host(name: &str, port: u16) -> EndpointRecord {
    EndpointRecord { address: ([127, 0, 0, 1], port).into(), ..EndpointRecord::plain(name) }
}

fn mark(by: u64, number: u64) -> DrainMark {
    DrainMark { by: NodeId(by), number }
}

/// The time of a change, as a small number.
fn at(micros: i64) -> Timestamp {
    Timestamp::from_micros(micros)
}

fn read(state: &mut State, index: u64, hosts: &[EndpointRecord], changed: i64) -> Option<Effect> {
    let change = state.inventory_change("a", hosts, at(changed), at(1_000_000 * changed))?;
    Some(state.apply(index, &change))
}

fn since(state: &State) -> Vec<Option<Timestamp>> {
    state.hosts.values().map(|h| h.started_at).collect()
}

/// Guards against a new host that gets its full share at once and falls over.
#[test]
fn a_host_new_to_a_running_inventory_starts_cold() {
    let mut s = State::default();
    read(&mut s, 1, &[host("x", 1)], 1);
    assert_eq!(since(&s), [None], "the first inventory is of hosts that run already");
    read(&mut s, 2, &[host("x", 1), host("y", 2)], 2);
    assert_eq!(since(&s), [None, Some(at(2_000_000))]);
    read(&mut s, 3, &[host("x", 3), host("y", 2)], 3);
    assert_eq!(since(&s), [Some(at(3_000_000)), Some(at(2_000_000))], "one that moved is another process");
    read(&mut s, 4, &[host("y", 2)], 4);
    read(&mut s, 5, &[host("x", 3), host("y", 2)], 5);
    assert_eq!(since(&s), [Some(at(5_000_000)), Some(at(2_000_000))], "one that comes back is new");
}

/// Guards against a daemon with an old file that takes back what was edited elsewhere, and against two
/// proposals of which the second was compared with what the first has changed.
#[test]
fn the_newer_file_wins_and_a_difference_counts_against_its_base_only() {
    let mut s = State::default();
    assert_eq!(read(&mut s, 1, &[host("x", 1), host("y", 2)], 20), Some(Effect::Done));
    assert_eq!(read(&mut s, 2, &[host("x", 9)], 10), None);
    let late = s.inventory_change("b", &[host("x", 7)], at(25), at(0)).unwrap();
    assert_eq!(read(&mut s, 3, &[host("z", 3)], 22), Some(Effect::Done));
    assert_eq!(s.apply(4, &late), Effect::Outdated, "it would leave z, which b's file does not name");
    let again = s.inventory_change("b", &[host("x", 7)], at(25), at(0)).unwrap();
    assert_eq!(s.apply(5, &again), Effect::Done);
    assert_eq!(s.hosts.keys().collect::<Vec<_>>(), ["x"]);
    assert_eq!(s.apply(6, &again), Effect::Overtaken);
    assert_eq!(s.inventory, Some(Source { by: "b".into(), changed: at(25), version: 5 }));
}

/// Guards against an undrain that takes away a drain which whoever said it had not heard of, and against a
/// drain that arrives after its undrain and comes back to life.
#[test]
fn an_undrain_ends_the_drains_that_were_heard_of_and_these_for_good() {
    let mut s = State::default();
    read(&mut s, 1, &[host("x", 1)], 1);
    let drain = |n| Change::Drain { host: "x".into(), mark: mark(n, 1) };
    assert_eq!(s.apply(2, &drain(1)), Effect::Done);
    assert_eq!(s.apply(3, &drain(2)), Effect::Done);
    assert_eq!(s.apply(4, &drain(2)), Effect::Overtaken);
    let undrain = Change::Undrain { host: "x".into(), marks: vec![mark(1, 1), mark(3, 1)] };
    s.apply(5, &undrain);
    assert!(s.is_drained("x"), "2's drain was not known there");
    assert_eq!(s.apply(6, &drain(3)), Effect::Overtaken, "it was undone before it came");
    s.apply(7, &Change::Undrain { host: "x".into(), marks: vec![mark(2, 1)] });
    assert!(!s.is_drained("x"));
    assert_eq!(s.listing(7, |_| false).entries, [host("x", 1)]);
    assert_eq!(s.listing(7, |n| n == "x").entries[0].availability, Availability::Draining);
}

/// Guards against memory that grows with every undrain.
#[test]
fn the_oldest_undone_marks_go() {
    let mut s = State::default();
    for n in 0..REMEMBERED as u64 + 5 {
        s.apply(n, &Change::Undrain { host: "x".into(), marks: vec![mark(9, 1_000_000 - n)] });
    }
    assert_eq!(s.undone.len(), REMEMBERED);
    assert!(!s.undone.contains_key(&mark(9, 1_000_000)) && s.undone.contains_key(&mark(9, 999_000)));
}

#[test]
fn a_fleet_is_complete_when_its_founders_vote_or_are_gone() {
    let member = |n: u16| Member { name: format!("b{n}"), address: ([127, 0, 0, 1], n).into() };
    let mut s = State::found(7, NodeId(1), member(1), ["b2", "b3"].map(String::from).into());
    s.apply_members(&Membership {
        steps: vec![Step::Follow(NodeId(2))],
        comes: Some((NodeId(2), member(2))),
    });
    assert!(!s.is_complete() && s.members.len() == 2);
    s.apply_members(&Membership { steps: vec![Step::Vote(NodeId(2))], comes: None });
    s.apply_members(&Membership {
        steps: vec![Step::Follow(NodeId(3))],
        comes: Some((NodeId(3), member(3))),
    });
    s.apply_members(&Membership { steps: vec![Step::Remove(NodeId(3))], comes: None });
    assert!(s.is_complete());
    s.apply_members(&Membership { steps: vec![Step::Remove(NodeId(2))], comes: None });
    assert_eq!(s.removed, BTreeMap::from([(NodeId(2), "b2".to_string()), (NodeId(3), "b3".to_string())]));
}

/// Guards against a move of a zone that was decided before another one and undoes it, and against a disk of before
/// that is taken for damaged.
#[test]
fn a_zone_moves_from_its_last_share_only_and_a_state_without_shares_is_read() {
    use crate::store::zone_weights::Why;
    let mut s = State::default();
    let before = codec::write(&s);
    let there = |zone| HostRecord::of(&EndpointRecord { zone, ..host("x", 1) });
    s.hosts = [3, 4].map(|zone| (format!("s-{zone}"), there(ZoneId(zone)))).into();
    let first = s.share(ZoneId(3)).then(0, Why::Lost);
    assert_eq!(s.apply(1, &Change::Zone { zone: ZoneId(3), share: first }), Effect::Done);
    let late = Share::default().then(500, Why::Slow);
    assert_eq!(s.apply(2, &Change::Zone { zone: ZoneId(3), share: late }), Effect::Overtaken);
    assert_eq!(s.share(ZoneId(3)), first);
    let last = Change::Zone { zone: ZoneId(4), share: Share::default().then(0, Why::Operator) };
    assert_eq!(s.apply(3, &last), Effect::Refused, "it is the last one");
    assert_eq!(State::read(&codec::write(&s)), Some(s));
    // The last bytes are the count of shares, when regions were said, and their count: there are none of them.
    for (missing, wanted) in [(2, Some(State::default())), (3, Some(State::default())), (4, None)] {
        let body = &before[4..before.len() - missing];
        let earlier = [&crc32fast::hash(body).to_be_bytes()[..], body].concat();
        assert_eq!(State::read(&earlier), wanted, "{missing} bytes fewer");
    }
    // Regions follow the file that was changed last.
    let say = |changed, region: &str| Change::Regions {
        by: "b1".into(),
        changed: at(changed),
        regions: BTreeMap::from([(ZoneId(3), region.to_string()), (ZoneId(4), "x".to_string())]),
    };
    let mut s = State::default();
    assert_eq!((s.region(ZoneId(3)), s.apply(1, &say(5, "x"))), (vec![ZoneId(3)], Effect::Done));
    assert_eq!(
        (s.region(ZoneId(3)), s.apply(2, &say(5, "y"))),
        (vec![ZoneId(3), ZoneId(4)], Effect::Overtaken)
    );
    assert_eq!((s.apply(3, &say(6, "y")), s.region(ZoneId(3))), (Effect::Done, vec![ZoneId(3)]));
}

#[test]
fn what_a_file_says_differently_is_counted() {
    let mut s = State::default();
    read(&mut s, 1, &[host("x", 1), host("y", 2)], 1);
    assert_eq!(s.differs(&[host("x", 1), host("y", 2)]), (0, 0, 0));
    assert_eq!(s.differs(&[host("x", 9), host("z", 2)]), (1, 1, 1));
}
