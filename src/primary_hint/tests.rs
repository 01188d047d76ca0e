//! Decoding of datagrams that are truncated or come from other programs.

use super::*;

/// Guards against decoding a datagram that is truncated, too long or of another kind.
#[test]
fn only_complete_datagrams_of_this_kind_are_decoded() {
    let endpoint = EndpointId { ip: [9, 8, 7, 6], port: 54321 };
    let hint = PrimaryHint { endpoint, at: Timestamp::from_micros(1_796_158_648_224_123) };
    let bytes = hint.encode();
    assert_eq!((PrimaryHint::decode(&bytes), bytes.len()), (Some(hint), 15));
    for length in 0..bytes.len() {
        assert_eq!(PrimaryHint::decode(&bytes[..length]), None, "{length} bytes");
    }
    assert_eq!(PrimaryHint::decode(&[&bytes[..], &[0]].concat()), None);
    assert_eq!(PrimaryHint::decode(&[&[2], &bytes[1..]].concat()), None);
}
