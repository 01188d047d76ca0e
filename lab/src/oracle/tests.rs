use super::*;

fn asked(due: i64, write: bool, own: bool) -> RequestRecord {
    RequestRecord {
        request: 1,
        daemon: 0,
        due,
        sent: due,
        until: due,
        status: 0,
        write,
        group: 1,
        needs: None,
        own,
        tries: 0,
        come_back: None,
        got: None,
    }
}

#[test]
fn warm_hosts_serve_all_and_cold_ones_the_best_of_what_they_bear() {
    // 100 reads in a second, half of them worth more; two replicas of 40 a second each, a quarter of it cold.
    let all: Vec<RequestRecord> = (0..100).map(|n| asked(n * 10_000, false, n % 2 == 0)).collect();
    let total = |model| best(&all, 1, model, 0, 1_000_000, 300_000).iter().map(|(_, w)| w).sum::<f64>();
    let warm = CapacityModel { replicas: 2, host: (4, 0.02), started: None };
    assert_eq!(total(warm), 200.0);
    let model = CapacityModel { replicas: 2, host: (4, 0.1), started: Some(0) };
    assert_eq!((model.bears(0), model.bears(16_000_000)), (10.0, 40.0));
    let cold = total(model);
    assert!((54.0..=60.0).contains(&cold), "20 of those that are worth 3: {cold}");
    let write = [asked(5, true, false), asked(6, true, false)];
    let worth = best(&write, 1, model, 0, 1_000_000, 300_000).iter().map(|(_, w)| w).sum::<f64>();
    assert_eq!(worth, 12.0);
}
