//! Zone weights, regions, and states from versions without them.

use super::*;
use crate::store::zone_weights::WeightReason;

/// Guards against a change of a zone's weight that was decided on an outdated weight, and against evacuating all
/// zones.
#[test]
fn an_outdated_zone_weight_is_superseded_and_one_zone_stays_in_service() {
    let mut state = ClusterState::default();
    let host_in = |zone| HostRecord::from_endpoint_record(&EndpointRecord { zone, ..endpoint("x", 1) });
    state.hosts = [3, 4].map(|zone| (format!("s-{zone}"), host_in(ZoneId(zone)))).into();
    let first = state.zone_weight(ZoneId(3)).next(0, WeightReason::Lost);
    assert_eq!(state.apply(1, &Change::ZoneWeight { zone: ZoneId(3), weight: first }), ApplyResult::Done);
    let outdated = ZoneWeight::default().next(500, WeightReason::Slow);
    assert_eq!(
        state.apply(2, &Change::ZoneWeight { zone: ZoneId(3), weight: outdated }),
        ApplyResult::Superseded
    );
    assert_eq!(state.zone_weight(ZoneId(3)), first);
    let weight = ZoneWeight::default().next(0, WeightReason::Operator);
    let last = Change::ZoneWeight { zone: ZoneId(4), weight };
    assert_eq!(state.apply(3, &last), ApplyResult::Rejected, "it is the last zone in service");
    assert_eq!(ClusterState::decode(&codec::encode(&state)), Some(state));
}

/// Guards against treating the state of an earlier version as damaged.
#[test]
fn a_state_without_regions_or_zone_weights_is_decoded() {
    let current = codec::encode(&ClusterState::default());
    // The last three bytes are the number of zone weights, the time of the regions and the number of regions, all
    // zero.
    for (missing_bytes, expected) in
        [(2, Some(ClusterState::default())), (3, Some(ClusterState::default())), (4, None)]
    {
        let body = &current[4..current.len() - missing_bytes];
        let earlier = [&crc32fast::hash(body).to_be_bytes()[..], body].concat();
        assert_eq!(ClusterState::decode(&earlier), expected, "{missing_bytes} bytes fewer");
    }
}

#[test]
fn regions_come_from_the_most_recently_modified_file() {
    let regions = |changed_at, region: &str| Change::Regions {
        read_by: "b1".into(),
        changed_at: time(changed_at),
        regions: BTreeMap::from([(ZoneId(3), region.to_string()), (ZoneId(4), "x".to_string())]),
    };
    let mut state = ClusterState::default();
    assert_eq!(state.zones_in_region(ZoneId(3)), [ZoneId(3)]);
    assert_eq!(state.apply(1, &regions(5, "x")), ApplyResult::Done);
    assert_eq!(state.zones_in_region(ZoneId(3)), [ZoneId(3), ZoneId(4)]);
    assert_eq!(state.apply(2, &regions(5, "y")), ApplyResult::Superseded);
    assert_eq!(state.apply(3, &regions(6, "y")), ApplyResult::Done);
    assert_eq!(state.zones_in_region(ZoneId(3)), [ZoneId(3)]);
}
