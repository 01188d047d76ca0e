use super::*;
use crate::engine::endpoints::EndpointRecord;
use crate::routing::Availability;

fn host(name: &str, port: u16) -> EndpointRecord {
    EndpointRecord { address: ([127, 0, 0, 1], port).into(), ..EndpointRecord::plain(name) }
}

fn mark(by: u64, number: u64) -> DrainId {
    DrainId { node: NodeId(by), sequence: number }
}

/// The time of a change, as a small number.
fn at(micros: i64) -> Timestamp {
    Timestamp::from_micros(micros)
}

fn read(state: &mut ClusterState, index: u64, hosts: &[EndpointRecord], changed: i64) -> Option<ApplyResult> {
    let change = state.inventory_change("a", hosts, at(changed), at(1_000_000 * changed))?;
    Some(state.apply(index, &change))
}

fn since(state: &ClusterState) -> Vec<Option<Timestamp>> {
    state.hosts.values().map(|h| h.started_at).collect()
}

/// Guards against a new host that gets its full share at once and falls over.
#[test]
fn a_host_new_to_a_running_inventory_starts_cold() {
    let mut s = ClusterState::default();
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
    let mut s = ClusterState::default();
    assert_eq!(read(&mut s, 1, &[host("x", 1), host("y", 2)], 20), Some(ApplyResult::Done));
    assert_eq!(read(&mut s, 2, &[host("x", 9)], 10), None);
    let late = s.inventory_change("b", &[host("x", 7)], at(25), at(0)).unwrap();
    assert_eq!(read(&mut s, 3, &[host("z", 3)], 22), Some(ApplyResult::Done));
    assert_eq!(s.apply(4, &late), ApplyResult::StaleBase, "it would leave z, which b's file does not name");
    let again = s.inventory_change("b", &[host("x", 7)], at(25), at(0)).unwrap();
    assert_eq!(s.apply(5, &again), ApplyResult::Done);
    assert_eq!(s.hosts.keys().collect::<Vec<_>>(), ["x"]);
    assert_eq!(s.apply(6, &again), ApplyResult::Superseded);
    assert_eq!(s.inventory, Some(Provenance { read_by: "b".into(), changed_at: at(25), version: 5 }));
}

/// Guards against an undrain that takes away a drain which whoever said it had not heard of, and against a
/// drain that arrives after its undrain and comes back to life.
#[test]
fn an_undrain_ends_the_drains_that_were_heard_of_and_these_for_good() {
    let mut s = ClusterState::default();
    read(&mut s, 1, &[host("x", 1)], 1);
    let drain = |n| Change::Drain { host: "x".into(), drain: mark(n, 1) };
    assert_eq!(s.apply(2, &drain(1)), ApplyResult::Done);
    assert_eq!(s.apply(3, &drain(2)), ApplyResult::Done);
    assert_eq!(s.apply(4, &drain(2)), ApplyResult::Superseded);
    let undrain = Change::Undrain { host: "x".into(), drains: vec![mark(1, 1), mark(3, 1)] };
    s.apply(5, &undrain);
    assert!(s.is_drained("x"), "2's drain was not known there");
    assert_eq!(s.apply(6, &drain(3)), ApplyResult::Superseded, "it was undone before it came");
    s.apply(7, &Change::Undrain { host: "x".into(), drains: vec![mark(2, 1)] });
    assert!(!s.is_drained("x"));
    assert_eq!(s.endpoint_list(7, |_| false).entries, [host("x", 1)]);
    assert_eq!(s.endpoint_list(7, |n| n == "x").entries[0].availability, Availability::Draining);
}

/// Guards against memory that grows with every undrain.
#[test]
fn the_oldest_undone_marks_go() {
    let mut s = ClusterState::default();
    for n in 0..MAX_REMEMBERED as u64 + 5 {
        s.apply(n, &Change::Undrain { host: "x".into(), drains: vec![mark(9, 1_000_000 - n)] });
    }
    assert_eq!(s.undone_drains.len(), MAX_REMEMBERED);
    assert!(
        !s.undone_drains.contains_key(&mark(9, 1_000_000)) && s.undone_drains.contains_key(&mark(9, 999_000))
    );
}

#[test]
fn a_fleet_is_complete_when_its_founders_vote_or_are_gone() {
    let member = |n: u16| Member { name: format!("b{n}"), address: ([127, 0, 0, 1], n).into() };
    let mut s =
        ClusterState::found_fleet(FleetId(7), NodeId(1), member(1), ["b2", "b3"].map(String::from).into());
    s.apply_membership(&MembershipChange {
        steps: vec![MembershipStep::AddLearner(NodeId(2))],
        joining: Some(JoiningMember { id: NodeId(2), member: member(2) }),
    });
    assert!(!s.is_complete() && s.members.len() == 2);
    s.apply_membership(&MembershipChange { steps: vec![MembershipStep::AddVoter(NodeId(2))], joining: None });
    s.apply_membership(&MembershipChange {
        steps: vec![MembershipStep::AddLearner(NodeId(3))],
        joining: Some(JoiningMember { id: NodeId(3), member: member(3) }),
    });
    s.apply_membership(&MembershipChange { steps: vec![MembershipStep::Remove(NodeId(3))], joining: None });
    assert!(s.is_complete());
    s.apply_membership(&MembershipChange { steps: vec![MembershipStep::Remove(NodeId(2))], joining: None });
    assert_eq!(s.removed, BTreeMap::from([(NodeId(2), "b2".to_string()), (NodeId(3), "b3".to_string())]));
}

/// Guards against a move of a zone that was decided before another one and undoes it, and against a disk of before
/// that is taken for damaged.
#[test]
fn a_zone_moves_from_its_last_share_only_and_a_state_without_shares_is_read() {
    use crate::store::zone_weights::WeightReason;
    let mut s = ClusterState::default();
    let before = codec::encode(&s);
    let there = |zone| HostRecord::from_endpoint_record(&EndpointRecord { zone, ..host("x", 1) });
    s.hosts = [3, 4].map(|zone| (format!("s-{zone}"), there(ZoneId(zone)))).into();
    let first = s.zone_weight(ZoneId(3)).next(0, WeightReason::Lost);
    assert_eq!(s.apply(1, &Change::ZoneWeight { zone: ZoneId(3), weight: first }), ApplyResult::Done);
    let late = ZoneWeight::default().next(500, WeightReason::Slow);
    assert_eq!(s.apply(2, &Change::ZoneWeight { zone: ZoneId(3), weight: late }), ApplyResult::Superseded);
    assert_eq!(s.zone_weight(ZoneId(3)), first);
    let last =
        Change::ZoneWeight { zone: ZoneId(4), weight: ZoneWeight::default().next(0, WeightReason::Operator) };
    assert_eq!(s.apply(3, &last), ApplyResult::Rejected, "it is the last one");
    assert_eq!(ClusterState::decode(&codec::encode(&s)), Some(s));
    // The last bytes are the count of shares, when regions were said, and their count: there are none of them.
    for (missing, wanted) in
        [(2, Some(ClusterState::default())), (3, Some(ClusterState::default())), (4, None)]
    {
        let body = &before[4..before.len() - missing];
        let earlier = [&crc32fast::hash(body).to_be_bytes()[..], body].concat();
        assert_eq!(ClusterState::decode(&earlier), wanted, "{missing} bytes fewer");
    }
    // Regions follow the file that was changed last.
    let say = |changed, region: &str| Change::Regions {
        read_by: "b1".into(),
        changed_at: at(changed),
        regions: BTreeMap::from([(ZoneId(3), region.to_string()), (ZoneId(4), "x".to_string())]),
    };
    let mut s = ClusterState::default();
    assert_eq!(
        (s.zones_in_region(ZoneId(3)), s.apply(1, &say(5, "x"))),
        (vec![ZoneId(3)], ApplyResult::Done)
    );
    assert_eq!(
        (s.zones_in_region(ZoneId(3)), s.apply(2, &say(5, "y"))),
        (vec![ZoneId(3), ZoneId(4)], ApplyResult::Superseded)
    );
    assert_eq!(
        (s.apply(3, &say(6, "y")), s.zones_in_region(ZoneId(3))),
        (ApplyResult::Done, vec![ZoneId(3)])
    );
}

#[test]
fn what_a_file_says_differently_is_counted() {
    let mut s = ClusterState::default();
    read(&mut s, 1, &[host("x", 1), host("y", 2)], 1);
    assert_eq!(s.inventory_difference(&[host("x", 1), host("y", 2)]), InventoryDifference::default());
    assert_eq!(
        s.inventory_difference(&[host("x", 9), host("z", 2)]),
        InventoryDifference { added: 1, changed: 1, missing: 1 }
    );
}
