use super::*;

/// Guards against scripts that prove nothing: each leaves a majority of processes and ends with all of them.
#[test]
fn random_scripts_are_alike_for_a_seed_and_end_whole() {
    let hosts = ["x".to_string(), "y".to_string()];
    let mut kinds = std::collections::HashSet::new();
    for seed in 0..300 {
        let script = FaultSchedule::random(seed, 5, &hosts, 4_000);
        assert_eq!(script, FaultSchedule::random(seed, 5, &hosts, 4_000));
        let mut down = Vec::new();
        for (_, act) in &script.0 {
            match act {
                FaultAction::Kill(n) | FaultAction::Pause(n) => down.push(*n),
                FaultAction::Start(n) | FaultAction::Resume(n) => down.retain(|d| d != n),
                FaultAction::Drain(n, _) | FaultAction::Undrain(n, _) => assert!(!down.contains(n)),
                _ => {}
            }
            assert!(down.len() <= 2, "seed {seed}");
            kinds.insert(std::mem::discriminant(act));
        }
        assert!(down.is_empty(), "seed {seed}");
    }
    assert!(kinds.len() >= 10);
}
