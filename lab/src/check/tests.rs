use super::*;
use crate::client::RequestRecord;
use crate::endpoint::{Arrival, LostCommits};
use crate::{LogPosition, Timestamp, log_lines};
use std::collections::BTreeMap;

const TIMEOUT: Duration = Duration::from_secs(2);

fn at(micros: i64) -> Timestamp {
    Timestamp::from_micros(micros)
}

fn record(status: u16, is_write: bool, required: i64, observed: i64) -> RequestRecord {
    RequestRecord {
        request_id: 1,
        node: 0,
        due_at: at(0),
        sent_at: at(0),
        finished_at: at(5_000),
        status,
        is_write,
        group: 1,
        required_position: Some(LogPosition::from_millis(required)),
        reads_own_write: false,
        earlier_attempts: 0,
        retry_after: None,
        observed_position: Some(LogPosition::from_millis(observed)),
    }
}

#[test]
fn a_served_read_of_a_lost_write_and_a_falsely_reported_loss_are_detected() {
    let lost_commits = LostCommits {
        after: LogPosition::from_millis(10),
        up_to: LogPosition::from_millis(20),
        lost_at: at(-1),
    };
    let lost = BTreeMap::from([(1, vec![lost_commits])]);
    let read_own_write =
        |status, required| RequestRecord { reads_own_write: true, ..record(status, false, required, 99) };
    let valid =
        [read_own_write(412, 15), read_own_write(200, 10), read_own_write(200, 21), read_own_write(503, 15)];
    assert_eq!(sessions_told_of_lost_writes(&valid, &lost), Ok(1));
    let served = sessions_told_of_lost_writes(&[read_own_write(200, 15)], &lost);
    assert!(matches!(served, Err(CheckError::LostWriteServed { .. })));
    let false_loss = sessions_told_of_lost_writes(&[read_own_write(412, 10)], &lost);
    assert!(matches!(false_loss, Err(CheckError::FalseLossReported { .. })));
    let without_own_write = sessions_told_of_lost_writes(&[record(200, false, 15, 99)], &lost);
    assert_eq!(without_own_write, Ok(0), "the session has no write of its own");
}

#[test]
fn an_overloaded_cold_endpoint_is_detected() {
    let bound = ColdStartBound { started_at: at(0), warm_capacity_per_second: 20.0, overload_multiple: 4.0 };
    let arrivals = |count: u64, gap_micros: i64| -> Vec<Arrival> {
        (0..count).map(|n| arrival("a", n + 1, n as i64 * gap_micros, n as i64 * gap_micros)).collect()
    };
    let check = |arrivals: &[Arrival], endpoint| cold_endpoint_not_overloaded(arrivals, endpoint, bound);
    // A quarter of 20 operations, times 4, is 20; with the allowance for random variation the bound is 36.
    assert!(check(&arrivals(36, 1_000), "a").is_ok_and(|worst| worst > 0.9));
    let overloaded = check(&arrivals(38, 1_000), "a");
    assert!(matches!(overloaded, Err(CheckError::ColdEndpointOverloaded { .. })));
    assert!(check(&arrivals(38, 1_000), "b").is_ok());
    assert!(check(&arrivals(38, 40_000), "a").is_ok());
}

fn arrival(endpoint: &str, request_id: u64, arrived_at: i64, finished_at: i64) -> Arrival {
    Arrival {
        endpoint: endpoint.into(),
        request_id,
        arrived_at: at(arrived_at),
        finished_at: at(finished_at),
        is_write: true,
        served: true,
        open_elsewhere: Vec::new(),
    }
}

#[test]
fn a_stale_read_is_detected() {
    let valid = [record(200, false, 10, 10), record(503, false, 10, 3), record(200, true, 10, 3)];
    assert!(no_stale_reads(&valid).is_ok());
    assert!(matches!(no_stale_reads(&[record(200, false, 10, 9)]), Err(CheckError::StaleRead { .. })));
}

#[test]
fn a_missing_or_late_response_is_detected_unless_the_node_was_down() {
    let check =
        |record: RequestRecord, downtimes: &[Downtime]| every_request_answered(&[record], downtimes, TIMEOUT);
    let down = |node| [Downtime { node, from: at(-50_000), until: at(1) }];
    assert!(check(record(503, false, 0, 0), &[]).is_ok());
    let missing = check(record(0, false, 0, 0), &[]);
    assert!(matches!(missing, Err(CheckError::NoResponse { .. })));
    assert!(check(record(0, false, 0, 0), &down(0)).is_ok());
    let of_another_node = check(record(0, false, 0, 0), &down(1));
    assert!(matches!(of_another_node, Err(CheckError::NoResponse { .. })));
    let late = RequestRecord { finished_at: at(3_000_000), ..record(200, false, 0, 0) };
    assert!(matches!(check(late, &[]), Err(CheckError::LateResponse { .. })));
}

#[test]
fn overlapping_attempts_and_a_write_that_was_executed_twice_are_detected() {
    let valid = [arrival("a", 1, 0, 100_000), arrival("b", 2, 0, 100_000)];
    assert_eq!(no_overlapping_attempts(&valid), Ok(2));
    let overlapping = [arrival("a", 1, 0, 100_000), arrival("b", 1, 20_000, 30_000)];
    let found = no_overlapping_attempts(&overlapping);
    let closed = EarlierConnection::Closed;
    assert!(
        matches!(found, Err(CheckError::OverlappingAttempts { earlier_connection, .. }) if earlier_connection == closed)
    );
    let with_open_connection =
        [overlapping[0].clone(), Arrival { open_elsewhere: vec!["a".into()], ..overlapping[1].clone() }];
    let found = no_overlapping_attempts(&with_open_connection);
    let open = EarlierConnection::Open;
    assert!(
        matches!(found, Err(CheckError::OverlappingAttempts { earlier_connection, .. }) if earlier_connection == open)
    );
    let twice = [arrival("a", 1, 0, 100_000), arrival("b", 1, 200_000, 300_000)];
    let found = no_overlapping_attempts(&twice);
    assert!(matches!(found, Err(CheckError::DuplicateWrite { .. })));
    // The first endpoint rejected the write because it was not the primary.
    let rejected_first = [arrival("a", 1, 0, 0), arrival("b", 1, 200_000, 300_000)];
    assert!(no_overlapping_attempts(&rejected_first).is_ok());
}

#[test]
fn an_arrival_at_a_drained_endpoint_is_detected() {
    let arrivals = [arrival("a", 1, 300_000, 300_000), arrival("b", 2, 900_000, 900_000)];
    let check = |drain: DrainPeriod| no_arrivals_while_drained(&arrivals, &[drain]);
    assert!(check(DrainPeriod::since("a", at(290_000))).is_ok());
    let late = check(DrainPeriod::since("a", at(250_000)));
    assert!(matches!(late, Err(CheckError::ArrivalWhileDrained { .. })));
    let ended = DrainPeriod { until: at(800_000), ..DrainPeriod::since("b", at(250_000)) };
    assert!(check(ended).is_ok());
}

/// The log line that reports the entries up to index 5 on disk.
fn on_disk(time: &str) -> String {
    format!("{time} DEBUG {}5 of term 2", log_lines::ENTRIES_ON_DISK)
}

/// The log line that reports the entry with index 5 as applied.
fn applied(time: &str, content: &str) -> String {
    format!("{time} DEBUG {}5 {content}: {}", log_lines::ENTRY_APPLIED, log_lines::ENTRY_SUCCEEDED)
}

#[test]
fn entries_that_differ_repeat_or_lack_a_majority_are_detected() {
    let first = vec![on_disk("1.000"), applied("1.002", "ab: drain x")];
    let second = vec![on_disk("1.001"), applied("1.003", "ab: drain x")];
    let check = |logs: &[NodeLog], voters| same_committed_sequence(logs, voters);
    assert_eq!(check(&[first.clone(), second, vec![]], Some(3)), Ok(1));
    let only_one_had_it = check(&[first.clone(), vec![], vec![]], Some(3));
    assert!(matches!(only_one_had_it, Err(CheckError::NoMajority { .. })));
    let late = vec![on_disk("1.009")];
    let second_had_it_later = check(&[first.clone(), late, vec![]], Some(3));
    assert!(matches!(second_had_it_later, Err(CheckError::NoMajority { .. })));
    let other = vec![applied("1.003", "ac: drain y")];
    assert!(matches!(check(&[first, other], None), Err(CheckError::Diverged { .. })));
    let again = vec![applied("1.003", "ab: drain x"), applied("1.004", "ab: drain x")];
    let twice = check(std::slice::from_ref(&again), None);
    assert!(matches!(twice, Err(CheckError::OutOfOrder { .. })));
    let process_started = format!("1.004 INFO b{}1", log_lines::PROCESS_STARTED);
    let restarted = vec![again[0].clone(), process_started, again[1].clone()];
    assert!(check(&[restarted], None).is_ok());
}
