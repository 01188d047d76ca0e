use super::*;

/// Guards against frames that are cut off, too long or changed and are acted on, and against a panic.
#[test]
fn only_whole_frames_are_read() {
    let (applied, hears) = ((9, 77), vec![NodeId(5)]);
    let beat = Heartbeat {
        leader: NodeId(7),
        term: 3,
        last: (3, 9),
        part: true,
        agreed: 9,
        applied,
        marks: 0,
        hears,
        returns: true,
    };
    let frame = PeerMessage::Heartbeat(beat);
    let bytes = frame.bytes();
    assert_eq!(PeerMessage::read(&bytes, 1000), Ok(Some((frame, bytes.len()))));
    for n in 0..bytes.len() {
        assert_eq!(PeerMessage::read(&bytes[..n], 1000), Ok(None), "{n} bytes");
    }
    assert_eq!(PeerMessage::read(&bytes, bytes.len() - 5), Err("too long"));
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..20_000 {
        let mut bytes = bytes.clone();
        let at = rng.usize(4..bytes.len());
        bytes[at] ^= 1 << rng.u8(..8);
        assert_eq!(PeerMessage::read(&bytes, 1000), Err("out of form"));
        let noise: Vec<u8> = (0..rng.usize(..64)).map(|_| rng.u8(..)).collect();
        let _ = PeerMessage::read(&noise, 1000);
        // A sound check sum over something that is no frame.
        let mut sound = (noise.len() as u32 + 4).to_be_bytes().to_vec();
        sound.extend(crc32fast::hash(&noise).to_be_bytes());
        sound.extend(&noise);
        let _ = PeerMessage::read(&sound, 1000);
    }
}
