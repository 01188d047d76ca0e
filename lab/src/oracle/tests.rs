use super::*;

const TIMEOUT: Duration = Duration::from_millis(300);

fn due(micros: i64, is_write: bool, reads_own_write: bool) -> RequestRecord {
    let time = Timestamp::from_micros(micros);
    RequestRecord {
        request_id: 1,
        node: 0,
        due_at: time,
        sent_at: time,
        finished_at: time,
        status: 0,
        is_write,
        group: 1,
        required_position: None,
        reads_own_write,
        earlier_attempts: 0,
        retry_after: None,
        observed_position: None,
    }
}

/// The value that is served in one second.
fn total(records: &[RequestRecord], model: CapacityModel) -> f64 {
    let second = Timestamp::from_micros(0)..Timestamp::from_micros(1_000_000);
    best_served_value(records, 1, model, second, TIMEOUT).iter().map(|step| step.value).sum()
}

#[test]
fn warm_endpoints_serve_all_and_cold_ones_the_most_valuable_requests_that_they_bear() {
    // 100 reads in a second, half of them of a higher value; two replicas of 40 a second each, a quarter of it cold.
    let reads: Vec<RequestRecord> = (0..100).map(|n| due(n * 10_000, false, n % 2 == 0)).collect();
    let warm =
        CapacityModel { replicas: 2, slots: 4, service_time: Duration::from_millis(20), cold_since: None };
    assert_eq!(total(&reads, warm), 200.0);
    let start = Timestamp::from_micros(0);
    let cold = CapacityModel { service_time: Duration::from_millis(100), cold_since: Some(start), ..warm };
    let warmed_up = start + Duration::from_secs(16);
    assert_eq!((cold.operations_per_second(start), cold.operations_per_second(warmed_up)), (10.0, 40.0));
    let served = total(&reads, cold);
    assert!((54.0..=60.0).contains(&served), "20 of those with value 3: {served}");
    let writes = [due(5, true, false), due(6, true, false)];
    assert_eq!(total(&writes, cold), 12.0);
}
