//! Values written and read.

use super::*;
use crate::store::records::LogEntry;

/// Guards against bytes that were changed or cut short and are believed.
#[test]
fn a_value_that_was_changed_in_any_byte_is_no_value() {
    let value = LogEntry { index: 7, term: 3, kind: 0, payload: b"drain".to_vec() };
    let bytes = encode(&value);
    assert_eq!(decode::<LogEntry>(&bytes), Some(value));
    for n in 0..bytes.len() {
        assert_eq!(decode::<LogEntry>(&bytes[..n]), None, "{n} bytes");
        let mut changed = bytes.clone();
        changed[n] ^= 0x10;
        assert_eq!(decode::<LogEntry>(&changed), None, "byte {n}");
    }
    assert_eq!(decode::<LogEntry>(&[&bytes[..], &[0]].concat()), None);
}
