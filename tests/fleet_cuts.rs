//! Drains that cross a cut: a node that was cut off applies them soon after its links are back.

use brookpass_testkit::cluster::{ClusterConfig, TestCluster};
use std::path::Path;
use std::thread;
use std::time::Duration;

const ENDPOINT: &str = "s-1-1";
/// The grace of a drain and its slack, counted from when the links are back.
const APPLIED_WITHIN: Duration = Duration::from_millis(300);

/// What a cut does to the connections between the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cut {
    /// They stay open and silent.
    Silent,
    /// They are reset, and new ones stay silent.
    Reset,
}

/// How long after the end of a cut the drain of the other side is applied: at the node that was cut off a drain that was
/// committed without it, and at the others a drain that it has accepted.
fn applied_after(cut: Cut, length: Duration) -> [Duration; 2] {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let mut cluster =
        TestCluster::new(Path::new(env!("CARGO_BIN_EXE_brookpass")), folder, ClusterConfig::default());
    cluster.start_all();
    let leader = cluster.wait_for_leader();
    let isolated = (0..cluster.nodes.len()).find(|node| *node != leader).unwrap();
    let others: Vec<usize> = (0..cluster.nodes.len()).filter(|node| *node != isolated).collect();
    cluster.partition(&[vec![isolated], others.clone()]);
    if cut == Cut::Reset {
        for other in &others {
            cluster.reset_link(isolated, *other);
            cluster.reset_link(*other, isolated);
        }
    }
    assert_eq!(cluster.post(leader, &format!("/drain/{ENDPOINT}")), 200);
    assert_eq!(cluster.post(isolated, "/drain/s-2-1"), 202);
    thread::sleep(length);
    cluster.heal_links();
    thread::scope(|scope| {
        let committed = scope.spawn(|| cluster.wait_until_draining(&[isolated], ENDPOINT));
        let accepted = scope.spawn(|| cluster.wait_until_draining(&others, "s-2-1"));
        [committed.join().unwrap(), accepted.join().unwrap()]
    })
}

fn check(cut: Cut) {
    let applied: Vec<_> = [0, 1_000, 3_000, 7_000]
        .into_iter()
        .map(|length_ms| (length_ms, applied_after(cut, Duration::from_millis(length_ms))))
        .collect();
    println!("{cut:?}: length of the cut in ms, until applied: {applied:?}");
    let late = applied.iter().flat_map(|(_, applied)| applied).any(|applied| *applied > APPLIED_WITHIN);
    assert!(!late, "{cut:?}: {applied:?}");
}

#[test]
fn drains_cross_a_silent_cut_in_time() {
    check(Cut::Silent);
}

#[test]
fn drains_cross_a_cut_with_resets_in_time() {
    check(Cut::Reset);
}
