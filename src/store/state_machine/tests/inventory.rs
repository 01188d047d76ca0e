//! Inventory files of several nodes, and the start times that their hosts get.

use super::*;

fn start_times(state: &ClusterState) -> Vec<Option<Timestamp>> {
    state.hosts.values().map(|host| host.started_at).collect()
}

/// Guards against sending a new host its full share of reads while its cache is still cold.
#[test]
fn a_host_added_to_an_existing_inventory_warms_up() {
    let mut state = ClusterState::default();
    commit_inventory(&mut state, 1, &[endpoint("x", 1)], 1);
    assert_eq!(start_times(&state), [None], "the hosts of the first inventory are assumed to be warm");
    commit_inventory(&mut state, 2, &[endpoint("x", 1), endpoint("y", 2)], 2);
    assert_eq!(start_times(&state), [None, Some(time(2_000_000))]);
    commit_inventory(&mut state, 3, &[endpoint("x", 3), endpoint("y", 2)], 3);
    assert_eq!(
        start_times(&state),
        [Some(time(3_000_000)), Some(time(2_000_000))],
        "a host at another address is another process"
    );
    commit_inventory(&mut state, 4, &[endpoint("y", 2)], 4);
    commit_inventory(&mut state, 5, &[endpoint("x", 3), endpoint("y", 2)], 5);
    assert_eq!(
        start_times(&state),
        [Some(time(5_000_000)), Some(time(2_000_000))],
        "a host that was removed and added again is new"
    );
}

/// Guards against an older file that overwrites a newer one from another node, and against applying a difference to an
/// inventory other than the one that it was computed from.
#[test]
fn the_newer_file_wins_and_a_difference_applies_only_to_its_base_version() {
    let mut state = ClusterState::default();
    let first = commit_inventory(&mut state, 1, &[endpoint("x", 1), endpoint("y", 2)], 20);
    assert_eq!(first, Some(ApplyResult::Done));
    assert_eq!(commit_inventory(&mut state, 2, &[endpoint("x", 9)], 10), None);
    let stale = state.inventory_change("b", &[endpoint("x", 7)], time(25), time(0)).unwrap();
    assert_eq!(commit_inventory(&mut state, 3, &[endpoint("z", 3)], 22), Some(ApplyResult::Done));
    assert_eq!(
        state.apply(4, &stale),
        ApplyResult::StaleBase,
        "it would keep z, which b's file does not have"
    );
    let repeated = state.inventory_change("b", &[endpoint("x", 7)], time(25), time(0)).unwrap();
    assert_eq!(state.apply(5, &repeated), ApplyResult::Done);
    assert_eq!(state.hosts.keys().collect::<Vec<_>>(), ["x"]);
    assert_eq!(state.apply(6, &repeated), ApplyResult::Superseded);
    assert_eq!(state.inventory, Some(Provenance { read_by: "b".into(), changed_at: time(25), version: 5 }));
}

#[test]
fn differences_between_a_file_and_the_inventory_are_counted() {
    let mut state = ClusterState::default();
    commit_inventory(&mut state, 1, &[endpoint("x", 1), endpoint("y", 2)], 1);
    assert_eq!(
        state.inventory_difference(&[endpoint("x", 1), endpoint("y", 2)]),
        InventoryDifference { added: 0, changed: 0, missing: 0 }
    );
    assert_eq!(
        state.inventory_difference(&[endpoint("x", 9), endpoint("z", 2)]),
        InventoryDifference { added: 1, changed: 1, missing: 1 }
    );
}
