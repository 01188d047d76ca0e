use super::super::EvacuationBackoff;
use super::*;
use crate::store::records::{DrainRequest, HostRecord};
use crate::store::state_machine::{Change, Member};

/// The time at which the tests start, one second after the clock's zero.
const NOW: Timestamp = Timestamp::from_micros(1_000_000);

/// Two groups, each with one endpoint in each of three zones.
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
    let with_outcomes = |(name, host): (String, HostRecord)| {
        let is_lost = lost.contains(&host.zone.0);
        let counts = if is_lost {
            OutcomeCounts { unanswered: 4, ..OutcomeCounts::default() }
        } else {
            OutcomeCounts { on_time: 4, ..OutcomeCounts::default() }
        };
        (name, counts)
    };
    state().hosts.into_iter().map(with_outcomes).collect()
}

/// Guards against a peer that keeps sending to a zone that it cannot reach because other peers still reach it, and
/// against a peer that reaches no zone and evacuates all of them.
#[test]
fn a_peer_evacuates_zones_that_only_it_cannot_reach_but_never_all_zones() {
    let state = state();
    let mut zones = ZoneState::new(EvacuationPolicy::default());
    zones.record_outcomes(&outcomes(&[0]), &state);
    assert_eq!(zones.update_local_evacuation(NOW, &state), BTreeSet::from([ZoneId(0)]));
    assert_eq!(
        (zones.effective_permille(NOW, ZoneId(0), &state), zones.effective_permille(NOW, ZoneId(1), &state)),
        (0, FULL_WEIGHT_PERMILLE)
    );
    assert_eq!(zones.take_changed_zones(NOW, &state), BTreeSet::from([ZoneId(0)]));
    assert!(
        zones.take_changed_zones(NOW, &state).is_empty()
            && zones.update_local_evacuation(NOW, &state).is_empty()
    );
    let returned_at = NOW + EvacuationBackoff::default().initial;
    assert_eq!(zones.effective_permille(returned_at, ZoneId(0), &state), FULL_WEIGHT_PERMILLE);
    zones.update_local_evacuation(returned_at, &state);
    assert_eq!(
        zones.effective_permille(returned_at + EvacuationBackoff::default().initial, ZoneId(0), &state),
        0,
        "evacuated twice as long the second time"
    );
    let mut cut_off = ZoneState::new(EvacuationPolicy::default());
    cut_off.record_outcomes(&outcomes(&[0, 1, 2]), &state);
    assert!(cut_off.update_local_evacuation(NOW, &state).is_empty());
    let mut manual = ZoneState::new(EvacuationPolicy { automatic: false, ..EvacuationPolicy::default() });
    manual.record_outcomes(&outcomes(&[0]), &state);
    assert!(manual.update_local_evacuation(NOW, &state).is_empty());
}

/// Guards against a list on which endpoints of an evacuated zone get reads, its primaries get no writes, or a group has
/// no endpoint left.
#[test]
fn the_list_follows_the_weights_except_for_primaries_and_groups_confined_to_the_zone() {
    let mut state = state();
    let zones = ZoneState::new(EvacuationPolicy::default());
    let listed_as = |state: &ClusterState, may_be_primary, group_confined_to_zone| {
        let placement = EndpointPlacement { may_be_primary, group_confined_to_zone };
        let listed = state.hosts["s-1-0"].endpoint_record("s-1-0", DrainRequest::Absent);
        let weighted = zones.apply_weight(Timestamp::ZERO, listed, state, placement);
        (weighted.availability, weighted.weight)
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

/// Guards against expired reports and reports of non-members that still count, and against a command that evacuates the
/// last zone.
#[test]
fn reports_expire_or_are_ignored_from_non_members_and_the_last_zone_is_kept() {
    let mut state = state();
    let mut zones = ZoneState::new(EvacuationPolicy::default());
    zones.record_outcomes(&outcomes(&[0]), &state);
    let report = zones.own_report().clone();
    for peer in [2, 3, 77].map(NodeId) {
        zones.record_report(NOW, peer, report.clone());
    }
    assert_eq!(zones.current_reports(NOW, NodeId(1), &state).len(), 3, "node 77 is not a member");
    assert_eq!(
        assess_zones(&zones.current_reports(NOW, NodeId(1), &state), &state)[&ZoneId(0)],
        ZoneHealth::Lost
    );
    assert_eq!(zones.next_moves(NOW, NodeId(1), &state, |_| 1.0)[0].weight.reason, WeightReason::Lost);
    assert_eq!(zones.current_reports(NOW + REPORT_TTL, NodeId(1), &state).len(), 1);
    for zone in [0, 1].map(ZoneId) {
        let weight = zones.weight_for_command(ZoneCommand::Evacuate, zone, &state).unwrap();
        assert_eq!(
            state.apply(1, &Change::ZoneWeight { zone, weight }),
            crate::store::state_machine::ApplyResult::Done
        );
    }
    assert!(zones.weight_for_command(ZoneCommand::Evacuate, ZoneId(2), &state).is_err());
    let returned = zones.weight_for_command(ZoneCommand::Return, ZoneId(0), &state).unwrap();
    assert_eq!(
        (returned.permille, returned.reason, returned.version),
        (FIRST_RETURN_PERMILLE, WeightReason::Returns, 2)
    );
    assert_eq!(
        zones.weight_for_command(ZoneCommand::ReturnNow, ZoneId(0), &state).unwrap().permille,
        FULL_WEIGHT_PERMILLE
    );
    assert_eq!(
        zones.weight_for_command(ZoneCommand::Hold, ZoneId(2), &state).unwrap().reason,
        WeightReason::Operator
    );
}
