//! What is decoded.

use super::*;
use crate::store::records::LogEntry;

/// Guards against bytes that were changed or cut short and are believed.
#[test]
fn bytes_that_were_changed_or_cut_short_are_not_decoded() {
    let value = LogEntry { index: 7, term: 3, kind: LogEntry::CHANGE, payload: b"drain".to_vec() };
    let bytes = encode(&value);
    assert_eq!(decode::<LogEntry>(&bytes), Some(value));
    for position in 0..bytes.len() {
        assert_eq!(decode::<LogEntry>(&bytes[..position]), None, "{position} bytes");
        let mut changed = bytes.clone();
        changed[position] ^= 0x10;
        assert_eq!(decode::<LogEntry>(&changed), None, "byte {position}");
    }
    assert_eq!(decode::<LogEntry>(&[&bytes[..], &[0]].concat()), None);
}
