use super::*;

/// Guards against processes that do not reach one another and together overload a cold endpoint, and against a share so
/// small that service never returns. Seeded: any partition of the members.
#[test]
fn all_shares_together_stay_below_overload_in_every_partition() {
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..5_000 {
        let members = rng.usize(1..=32);
        let overload_multiple = 1.0 + rng.f64() * 5.0;
        // Network partitions, each with some members that are down.
        let mut remaining = members;
        let mut maximum = 0.0;
        let mut initial = 0.0;
        while remaining > 0 {
            let partition = rng.usize(1..=remaining);
            remaining -= partition;
            let up = rng.usize(1..=partition);
            let share = AdmissionShare::new(members, up, overload_multiple);
            assert!(share.initial > 0.0 && share.initial <= share.maximum);
            maximum += share.maximum * up as f64;
            initial += share.initial * up as f64;
        }
        assert!(maximum <= overload_multiple * SAFE_LOAD_FRACTION + 1e-9, "{members}: {maximum}");
        assert!(initial <= 2.0 + 1e-9, "{members}: {initial} at first");
        let whole = AdmissionShare::new(members, members, overload_multiple);
        let expected = (overload_multiple * SAFE_LOAD_FRACTION).min(1.0);
        assert!((whole.initial * members as f64 - expected).abs() < 1e-9);
    }
}
