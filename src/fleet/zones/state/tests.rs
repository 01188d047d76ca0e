use super::super::EvacuationBackoff;
use super::*;
use crate::store::records::HostRecord;
use crate::store::state_machine::{Change, Member};

/// A second after the clock's zero.
const S: Timestamp = Timestamp::from_micros(1_000_000);

/// Two groups with an endpoint in each of three zones.
fn state() -> ClusterState {
    let member = |id: u64| {
        (NodeId(id), Member { name: format!("b{id}"), address: ([127, 0, 0, 1], id as u16).into() })
    };
    let host = |group: GroupId, zone: ZoneId| {
        let listed = EndpointRecord { group, zone, ..EndpointRecord::plain(&format!("s-{group}-{zone}")) };
        (listed.name.clone(), HostRecord::from_endpoint_record(&listed))
    };
    let hosts = (0..6).map(|n| host(GroupId(n / 3 + 1), ZoneId((n % 3) as u8))).collect();
    ClusterState { hosts, members: (1..=3).map(member).collect(), ..ClusterState::default() }
}

fn outcomes(lost: &[u8]) -> BTreeMap<String, OutcomeCounts> {
    let one = |(name, host): (String, HostRecord)| {
        let silent = lost.contains(&host.zone.0);
        let counts = if silent {
            OutcomeCounts { unanswered: 4, ..OutcomeCounts::default() }
        } else {
            OutcomeCounts { on_time: 4, ..OutcomeCounts::default() }
        };
        (name, counts)
    };
    state().hosts.into_iter().map(one).collect()
}

/// Guards against a peer that cannot reach a zone and goes on sending there because others can, and against one that
/// evacuates all zones that it tries.
#[test]
fn a_peer_evacuates_for_itself_what_it_alone_cannot_reach_and_never_all() {
    let state = state();
    let mut zones = ZoneState::new(EvacuationPolicy::default());
    zones.record_outcomes(&outcomes(&[0]), &state);
    assert_eq!(zones.update_local_evacuation(S, &state), BTreeSet::from([ZoneId(0)]));
    assert_eq!(
        (zones.effective_permille(S, ZoneId(0), &state), zones.effective_permille(S, ZoneId(1), &state)),
        (0, FULL_WEIGHT_PERMILLE)
    );
    assert_eq!(zones.take_changed(S, &state), BTreeSet::from([ZoneId(0)]));
    assert!(zones.take_changed(S, &state).is_empty() && zones.update_local_evacuation(S, &state).is_empty());
    let back = S + EvacuationBackoff::default().initial;
    assert_eq!(zones.effective_permille(back, ZoneId(0), &state), FULL_WEIGHT_PERMILLE);
    zones.update_local_evacuation(back, &state);
    assert_eq!(
        zones.effective_permille(back + EvacuationBackoff::default().initial, ZoneId(0), &state),
        0,
        "twice as long the second time"
    );
    let mut all = ZoneState::new(EvacuationPolicy::default());
    all.record_outcomes(&outcomes(&[0, 1, 2]), &state);
    assert!(all.update_local_evacuation(S, &state).is_empty());
    let mut manual = ZoneState::new(EvacuationPolicy { automatic: false, ..EvacuationPolicy::default() });
    manual.record_outcomes(&outcomes(&[0]), &state);
    assert!(manual.update_local_evacuation(S, &state).is_empty());
}

/// Guards against a list on which an evacuated zone's endpoints get reads, its primaries no writes, or a group nothing.
#[test]
fn the_list_follows_the_weights_except_for_primaries_and_groups_confined_to_the_zone() {
    let mut state = state();
    let zones = ZoneState::new(EvacuationPolicy::default());
    let listed_as = |state: &ClusterState, may_be_primary, group_confined_to_zone| {
        let placement = EndpointPlacement { may_be_primary, group_confined_to_zone };
        let listed = state.hosts["s-1-0"].endpoint_record("s-1-0", false);
        let shaped = zones.apply_weight(Timestamp::ZERO, listed, state, placement);
        (shaped.availability, shaped.weight)
    };
    assert_eq!(listed_as(&state, false, false), (Availability::Ready, 1.0));
    state.apply(
        1,
        &Change::ZoneWeight {
            zone: ZoneId(0),
            weight: state.zone_weight(ZoneId(0)).next(0, WeightReason::Lost),
        },
    );
    assert_eq!(listed_as(&state, false, false), (Availability::Draining, PRIMARY_ONLY_WEIGHT));
    assert_eq!(listed_as(&state, true, false), (Availability::Ready, PRIMARY_ONLY_WEIGHT));
    assert_eq!(listed_as(&state, false, true), (Availability::Ready, 1.0));
    state.apply(
        2,
        &Change::ZoneWeight {
            zone: ZoneId(0),
            weight: state.zone_weight(ZoneId(0)).next(250, WeightReason::Returns),
        },
    );
    assert_eq!(listed_as(&state, false, false), (Availability::Ready, 0.25));
    assert!(groups_confined_to(ZoneId(0), &state).is_empty());
    state.hosts.retain(|_, h| h.zone == ZoneId(0) || h.group == GroupId(2));
    assert_eq!(groups_confined_to(ZoneId(0), &state), BTreeSet::from([GroupId(1)]));
}

/// Guards against an old report that still counts, one of a node that is no member, and a command that evacuates the
/// last zone.
#[test]
fn reports_expire_those_of_strangers_do_not_count_and_the_last_zone_is_kept() {
    let mut state = state();
    let mut zones = ZoneState::new(EvacuationPolicy::default());
    zones.record_outcomes(&outcomes(&[0]), &state);
    let report = zones.own_outcomes().clone();
    for by in [2, 3, 77].map(NodeId) {
        zones.record_report(S, by, report.clone());
    }
    assert_eq!(zones.current_reports(S, NodeId(1), &state).len(), 3, "77 is no member");
    assert_eq!(
        assess_zones(&zones.current_reports(S, NodeId(1), &state), &state)[&ZoneId(0)],
        ZoneHealth::Lost
    );
    assert_eq!(zones.next_moves(S, NodeId(1), &state, |_| 1.0)[0].weight.reason, WeightReason::Lost);
    assert_eq!(zones.current_reports(S + REPORT_TTL, NodeId(1), &state).len(), 1);
    for zone in [0, 1].map(ZoneId) {
        let weight = zones.weight_for_command(ZoneCommand::Evacuate, zone, &state).unwrap();
        assert_eq!(
            state.apply(1, &Change::ZoneWeight { zone, weight }),
            crate::store::state_machine::ApplyResult::Done
        );
    }
    assert!(zones.weight_for_command(ZoneCommand::Evacuate, ZoneId(2), &state).is_err());
    let back = zones.weight_for_command(ZoneCommand::Return, ZoneId(0), &state).unwrap();
    assert_eq!((back.permille, back.reason, back.version), (FIRST_RETURN_PERMILLE, WeightReason::Returns, 2));
    assert_eq!(
        zones.weight_for_command(ZoneCommand::ReturnNow, ZoneId(0), &state).unwrap().permille,
        FULL_WEIGHT_PERMILLE
    );
    assert_eq!(
        zones.weight_for_command(ZoneCommand::Hold, ZoneId(2), &state).unwrap().reason,
        WeightReason::Operator
    );
}
