use super::*;
use std::collections::HashSet;

/// Guards against random schedules that stop a majority, in which case no progress could be expected, or that leave
/// nodes down at the end. The kinds of actions are counted so that the generator does not lose any of them unnoticed.
#[test]
fn schedules_are_deterministic_keep_a_majority_running_and_end_with_all_nodes_running() {
    let endpoints = ["x".to_string(), "y".to_string()];
    let duration = Duration::from_millis(4_000);
    let mut kinds = HashSet::new();
    for seed in 0..300 {
        let schedule = FaultSchedule::random_node_faults(seed, 5, &endpoints, duration);
        assert_eq!(schedule, FaultSchedule::random_node_faults(seed, 5, &endpoints, duration));
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
