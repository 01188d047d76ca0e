//! Drains and undrains in various orders.

use super::*;
use crate::routing::Availability;

fn drain_id(node: u64, sequence: u64) -> DrainId {
    DrainId { node: NodeId(node), sequence }
}

/// Guards against an undrain that undoes a drain which its requester had not received, and against a drain that takes
/// effect although it is committed after its undrain.
#[test]
fn an_undrain_permanently_undoes_only_the_drains_that_its_requester_knew() {
    let mut state = ClusterState::default();
    commit_inventory(&mut state, 1, &[endpoint("x", 1)], 1);
    let drain = |node| Change::Drain { host: "x".into(), drain: drain_id(node, 1) };
    assert_eq!(state.apply(2, &drain(1)), ApplyResult::Done);
    assert_eq!(state.apply(3, &drain(2)), ApplyResult::Done);
    assert_eq!(state.apply(4, &drain(2)), ApplyResult::Superseded);
    let undrain = Change::Undrain { host: "x".into(), drains: vec![drain_id(1, 1), drain_id(3, 1)] };
    state.apply(5, &undrain);
    assert!(state.is_drained("x"), "the requester did not know the drain of node 2");
    assert_eq!(
        state.apply(6, &drain(3)),
        ApplyResult::Superseded,
        "the drain was undone before it was committed"
    );
    state.apply(7, &Change::Undrain { host: "x".into(), drains: vec![drain_id(2, 1)] });
    assert!(!state.is_drained("x"));
    assert_eq!(state.endpoint_list(7, |_| false).entries, [endpoint("x", 1)]);
    let listed = state.endpoint_list(7, |host| host == "x").entries;
    assert_eq!(listed[0].availability, Availability::Draining);
}

/// Guards against unbounded memory use by undone drains.
#[test]
fn the_oldest_undone_drains_are_discarded() {
    let mut state = ClusterState::default();
    for index in 0..MAX_TOMBSTONES as u64 + 5 {
        let drains = vec![drain_id(9, 1_000_000 - index)];
        state.apply(index, &Change::Undrain { host: "x".into(), drains });
    }
    assert_eq!(state.undone_drains.len(), MAX_TOMBSTONES);
    assert!(
        !state.undone_drains.contains_key(&drain_id(9, 1_000_000))
            && state.undone_drains.contains_key(&drain_id(9, 999_000))
    );
}
