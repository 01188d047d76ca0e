//! When the bytes of a connection came.

use super::*;

fn at(micros: i64) -> Timestamp {
    Timestamp::from_micros(micros)
}

/// Guards against a request that is given the time of whatever was read last: what waits behind others in the buffer
/// has its own.
#[test]
fn a_request_has_the_time_at_which_its_last_byte_was_read() {
    let mut arrivals = Arrivals::default();
    assert_eq!(arrivals.of_used(0), None);
    arrivals.read(0, 100, at(1_000));
    arrivals.read(100, 50, at(2_000));
    arrivals.read(150, 10, at(3_000));
    assert_eq!(arrivals.of_used(100), Some(at(1_000)), "60 of the first 100 are used");
    assert_eq!(arrivals.of_used(60), Some(at(1_000)), "all of the first 100");
    assert_eq!(arrivals.of_used(59), Some(at(2_000)), "one more");
    assert_eq!(arrivals.of_used(0), Some(at(3_000)));
    arrivals.read(0, 1, at(9_000));
    assert_eq!(arrivals.of_used(0), Some(at(9_000)));
    assert_eq!(arrivals.reads.len(), 1, "what is used up is forgotten");
}

/// Guards against time that a request spent unread in the system, while enough waited before it.
#[test]
fn what_is_read_after_a_pause_may_have_waited_since_it_began() {
    let mut arrivals = Arrivals::default();
    arrivals.read(0, CHUNK, at(1_000));
    arrivals.paused.get_or_insert(at(2_000));
    arrivals.paused.get_or_insert(at(2_500));
    arrivals.read(CHUNK, CHUNK, at(8_000));
    arrivals.read(2 * CHUNK, 7, at(8_500));
    assert_eq!(arrivals.of_used(7), Some(at(2_000)));
    assert_eq!(arrivals.of_used(0), Some(at(2_000)), "the system had more than one read");
    arrivals.read(0, 5, at(9_000));
    assert_eq!(arrivals.of_used(0), Some(at(9_000)), "by then it had no more");
}

/// Guards against memory that grows with every read, and against a request that is given the time of one that was used
/// long before.
#[test]
fn only_reads_that_are_not_used_are_kept_and_not_too_many() {
    let mut arrivals = Arrivals::default();
    for n in 0..10_000 {
        arrivals.read(0, 10, at(n));
    }
    assert_eq!((arrivals.reads.len(), arrivals.of_used(0)), (1, Some(at(9_999))));
    for n in 1..=10_000 {
        arrivals.read(n, 1, at(20_000 + n as i64));
        assert!(arrivals.reads.len() <= READS);
    }
    assert_eq!(arrivals.of_used(0), Some(at(30_000)), "the last byte has its own time");
}
