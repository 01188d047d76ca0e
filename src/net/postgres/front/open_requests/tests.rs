//! When an id can be reserved again.

use super::*;
use std::time::Duration;

#[test]
fn a_retained_id_is_free_after_its_time_and_any_other_with_its_reservation() {
    let ids = OpenRequestIds::default();
    let reserved = ids.reserve("open").unwrap();
    assert!(ids.reserve("open").is_none());
    drop(reserved);
    let start = Instant::now();
    ids.reserve("open").unwrap().retain(start + Duration::from_secs(3600));
    assert!(ids.reserve("open").is_none());
    ids.0.borrow_mut().release_expired(start + Duration::from_secs(3600));
    assert!(ids.reserve("open").is_some());
}

#[test]
fn the_oldest_retained_ids_are_released_beyond_the_maximum() {
    let ids = OpenRequestIds::default();
    let until = Instant::now() + Duration::from_secs(3600);
    for number in 0..=MAX_RETAINED_IDS {
        ids.reserve(&number.to_string()).unwrap().retain(until);
    }
    assert!(ids.reserve("0").is_some() && ids.reserve("1").is_none());
    assert_eq!(ids.0.borrow().retained.len(), MAX_RETAINED_IDS);
}
