//! Tests of the arrival times of buffered requests.

use super::*;

fn at(micros: i64) -> Timestamp {
    Timestamp::from_micros(micros)
}

/// Guards against giving a request that waits behind others in the buffer the time of the latest read instead of its
/// own arrival time.
#[test]
fn a_request_arrives_when_its_last_byte_is_read() {
    let mut arrivals = ArrivalTimes::default();
    assert_eq!(arrivals.last_consumed_at(0), None);
    arrivals.record_read(0, 100, at(1_000));
    arrivals.record_read(100, 50, at(2_000));
    arrivals.record_read(150, 10, at(3_000));
    assert_eq!(arrivals.last_consumed_at(100), Some(at(1_000)), "60 of the first 100 are consumed");
    assert_eq!(arrivals.last_consumed_at(60), Some(at(1_000)), "all of the first 100");
    assert_eq!(arrivals.last_consumed_at(59), Some(at(2_000)), "one more");
    assert_eq!(arrivals.last_consumed_at(0), Some(at(3_000)));
    arrivals.record_read(0, 1, at(9_000));
    assert_eq!(arrivals.last_consumed_at(0), Some(at(9_000)));
    assert_eq!(arrivals.reads.len(), 1, "consumed reads are dropped");
}

/// Guards against ignoring the time that a request spent in the kernel's receive buffer while reading was paused.
#[test]
fn bytes_read_after_a_pause_count_as_arrived_at_its_start() {
    let mut arrivals = ArrivalTimes::default();
    arrivals.record_read(0, READ_CHUNK_BYTES, at(1_000));
    arrivals.pause(at(2_000));
    arrivals.pause(at(2_500));
    arrivals.record_read(READ_CHUNK_BYTES, READ_CHUNK_BYTES, at(8_000));
    arrivals.record_read(2 * READ_CHUNK_BYTES, 7, at(8_500));
    assert_eq!(arrivals.last_consumed_at(7), Some(at(2_000)));
    assert_eq!(arrivals.last_consumed_at(0), Some(at(2_000)), "the kernel buffered more than one chunk");
    arrivals.record_read(0, 5, at(9_000));
    assert_eq!(arrivals.last_consumed_at(0), Some(at(9_000)), "its buffer has been emptied");
}

/// Guards against memory that grows with every read, and against giving a request the arrival time of another one that
/// was consumed long before.
#[test]
fn tracked_reads_are_bounded_and_consumed_ones_are_dropped() {
    let mut arrivals = ArrivalTimes::default();
    for micros in 0..10_000 {
        arrivals.record_read(0, 10, at(micros));
    }
    assert_eq!((arrivals.reads.len(), arrivals.last_consumed_at(0)), (1, Some(at(9_999))));
    for unread in 1..=10_000 {
        arrivals.record_read(unread, 1, at(20_000 + unread as i64));
        assert!(arrivals.reads.len() <= MAX_TRACKED_READS);
    }
    assert_eq!(arrivals.last_consumed_at(0), Some(at(30_000)), "the last byte has its own time");
}
