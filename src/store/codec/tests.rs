//! Decoding of intact, corrupted and truncated bytes.

use super::*;
use crate::store::records::LogEntry;

/// Guards against decoding bytes that were corrupted, truncated or extended.
#[test]
fn corrupted_or_truncated_bytes_are_not_decoded() {
    let value = LogEntry { index: 7, term: 3, kind: LogEntry::CHANGE, payload: b"drain".to_vec() };
    let bytes = encode(&value);
    assert_eq!(decode::<LogEntry>(&bytes), Some(value));
    for position in 0..bytes.len() {
        assert_eq!(decode::<LogEntry>(&bytes[..position]), None, "{position} bytes");
        let mut corrupted = bytes.clone();
        corrupted[position] ^= 0x10;
        assert_eq!(decode::<LogEntry>(&corrupted), None, "byte {position}");
    }
    assert_eq!(decode::<LogEntry>(&[&bytes[..], &[0]].concat()), None);
}
