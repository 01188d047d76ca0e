//! The form of the datagram.

use super::*;

/// Guards against a datagram that is truncated, too long or not ours and is taken for news.
#[test]
fn only_whole_messages_of_this_form_are_read() {
    let endpoint = EndpointId { ip: [9, 8, 7, 6], port: 54321 };
    let hint = PrimaryHint { endpoint, at: Timestamp::from_micros(1_796_158_648_224_123) };
    let bytes = hint.write();
    assert_eq!((PrimaryHint::read(&bytes), bytes.len()), (Some(hint), 15));
    for n in 0..bytes.len() {
        assert_eq!(PrimaryHint::read(&bytes[..n]), None, "{n} bytes");
    }
    assert_eq!(PrimaryHint::read(&[&bytes[..], &[0]].concat()), None);
    assert_eq!(PrimaryHint::read(&[&[2], &bytes[1..]].concat()), None);
}
