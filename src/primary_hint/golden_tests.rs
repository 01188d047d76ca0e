//! The exact bytes of the datagram between poolers, since poolers of two versions share a tier during an upgrade.

use super::*;

/// The kind, the address (4 bytes), the port and the time, in network byte order.
const GOLDEN: [u8; 15] =
    [0x01, 0x09, 0x08, 0x07, 0x06, 0xd4, 0x31, 0x00, 0x06, 0x61, 0x97, 0x25, 0x70, 0x69, 0x7b];

/// Guards against a datagram that poolers of the previous version ignore or decode as another endpoint.
#[test]
fn the_datagram_is_encoded_and_decoded_as_its_golden_bytes() {
    let hint = PrimaryHint {
        endpoint: EndpointId { ip: [9, 8, 7, 6], port: 54321 },
        at: Timestamp::from_micros(0x0006_6197_2570_697b),
    };
    assert_eq!((hint.encode(), PrimaryHint::decode(&GOLDEN)), (GOLDEN.to_vec(), Some(hint)));
    let before_zero = PrimaryHint { at: Timestamp::from_micros(-2), ..hint };
    let bytes = [&GOLDEN[..7], &[0xff; 7], &[0xfe]].concat();
    assert_eq!(
        (before_zero.encode(), PrimaryHint::decode(&bytes)),
        (bytes, Some(before_zero)),
        "the time is signed"
    );
}
