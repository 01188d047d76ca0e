use super::*;
use std::collections::HashSet;

/// Guards against schedules that prove nothing: each leaves a majority of nodes running and ends with all of them.
#[test]
fn schedules_of_a_seed_are_equal_keep_a_majority_running_and_end_with_all_nodes() {
    let endpoints = ["x".to_string(), "y".to_string()];
    let length = Duration::from_millis(4_000);
    let mut kinds = HashSet::new();
    for seed in 0..300 {
        let schedule = FaultSchedule::of_nodes(seed, 5, &endpoints, length);
        assert_eq!(schedule, FaultSchedule::of_nodes(seed, 5, &endpoints, length));
        let mut down = Vec::new();
        for scheduled in &schedule.faults {
            match &scheduled.action {
                FaultAction::Kill { node } | FaultAction::Pause { node } => down.push(*node),
                FaultAction::Start { node } | FaultAction::Resume { node } => down.retain(|n| n != node),
                FaultAction::Drain { node, .. } | FaultAction::Undrain { node, .. } => {
                    assert!(!down.contains(node));
                }
                _ => {}
            }
            assert!(down.len() <= 2, "seed {seed}");
            kinds.insert(std::mem::discriminant(&scheduled.action));
        }
        assert!(down.is_empty(), "seed {seed}");
    }
    assert!(kinds.len() >= 10);
}
