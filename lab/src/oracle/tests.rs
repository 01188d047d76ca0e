use super::*;

const TIMEOUT: Duration = Duration::from_millis(300);

fn request_due_at(micros: i64, is_write: bool, reads_own_write: bool) -> RequestRecord {
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

/// The total value that can be served in the first second.
fn best_value_in_one_second(records: &[RequestRecord], model: CapacityModel) -> f64 {
    let second = Timestamp::from_micros(0)..Timestamp::from_micros(1_000_000);
    best_served_value(records, 1, model, second, TIMEOUT).iter().map(|step| step.value).sum()
}

#[test]
fn warm_endpoints_serve_all_requests_and_cold_ones_the_most_valuable_within_capacity() {
    // 100 reads in one second; half of them read an own write and have the lower value 1 instead of 3. The two warm
    // replicas execute 200 operations a second each. The cold ones start at 10 a second, a quarter of their capacity.
    let reads: Vec<RequestRecord> = (0..100).map(|n| request_due_at(n * 10_000, false, n % 2 == 0)).collect();
    let warm =
        CapacityModel { replicas: 2, slots: 4, service_time: Duration::from_millis(20), cold_since: None };
    assert_eq!(best_value_in_one_second(&reads, warm), 200.0);
    let start = Timestamp::from_micros(0);
    let cold = CapacityModel { service_time: Duration::from_millis(100), cold_since: Some(start), ..warm };
    let warmed_up = start + Duration::from_secs(16);
    assert_eq!((cold.operations_per_second(start), cold.operations_per_second(warmed_up)), (10.0, 40.0));
    let served = best_value_in_one_second(&reads, cold);
    assert!((54.0..=60.0).contains(&served), "about 20 reads of value 3 each: {served}");
    let writes = [request_due_at(5, true, false), request_due_at(6, true, false)];
    assert_eq!(best_value_in_one_second(&writes, cold), 12.0);
}
