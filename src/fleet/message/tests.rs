//! Decoding of incomplete, oversized and corrupted frames.

use super::*;

/// Guards against acting on truncated, oversized or corrupted messages, and against a panic while decoding them.
#[test]
fn only_complete_and_undamaged_messages_are_decoded() {
    let heartbeat = Heartbeat {
        leader: NodeId(7),
        term: 3,
        last_entry: EntryId { term: 3, index: 9 },
        participates: true,
        commit_index: 9,
        applied: AppliedPosition { index: 9, digest: 77 },
        pending_drains_digest: 0,
        reachable_peers: vec![NodeId(5)],
        recovering: true,
    };
    let message = PeerMessage::Heartbeat(heartbeat);
    let bytes = message.encode();
    let decoded = DecodedMessage { message, encoded_bytes: bytes.len() };
    assert_eq!(PeerMessage::decode(&bytes, 1000), Ok(Some(decoded)));
    for length in 0..bytes.len() {
        assert_eq!(PeerMessage::decode(&bytes[..length], 1000), Ok(None), "{length} bytes");
    }
    let (length, limit) = (bytes.len() - 4, bytes.len() - 5);
    assert_eq!(PeerMessage::decode(&bytes, limit), Err(MessageError::TooLong { length, limit }));
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..20_000 {
        let mut damaged = bytes.clone();
        let position = rng.usize(4..damaged.len());
        damaged[position] ^= 1 << rng.u8(..8);
        assert_eq!(PeerMessage::decode(&damaged, 1000), Err(MessageError::Malformed));
        let noise: Vec<u8> = (0..rng.usize(..64)).map(|_| rng.u8(..)).collect();
        let _ = PeerMessage::decode(&noise, 1000);
        // Random content with a valid checksum.
        let mut checksummed_noise = (noise.len() as u32 + 4).to_be_bytes().to_vec();
        checksummed_noise.extend(crc32fast::hash(&noise).to_be_bytes());
        checksummed_noise.extend(&noise);
        let _ = PeerMessage::decode(&checksummed_noise, 1000);
    }
}
