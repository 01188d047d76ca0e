//! Hosts' answers in pieces, spoilt and endless.

use super::*;
use crate::net::postgres::codec::put;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const MOST: usize = 64 * 1024 + 10;

fn good(value: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, b'T', &[&[0, 1], b"payload\0", &[0; 18]]);
    put(&mut out, b'D', &[&[0, 1], &(value.len() as u32).to_be_bytes(), value]);
    put(&mut out, b'C', &[b"SELECT 1\0"]);
    put(&mut out, b'S', &[b"rank\0copy\0"]);
    put(&mut out, b'S', &[b"vitals\0x0=\xff\xfe,x1=1\0"]);
    put(&mut out, b'Z', &[b"I"]);
    out
}

/// Takes bytes in pieces: what came of it, and how many were used.
fn read(bytes: &[u8], piece: usize) -> (Reply, Result<usize, Malformed>) {
    let (mut reply, mut used, mut end) = (Reply::default(), 0, 0);
    while end < bytes.len() {
        end = (end + piece).min(bytes.len());
        match reply.take(&bytes[used..end], MOST) {
            Ok(n) => used += n,
            Err(e) => return (reply, Err(e)),
        }
    }
    (reply, Ok(used))
}

/// Guards against a spoilt answer that is passed on, or whose missing bytes are waited for.
#[test]
fn spoilt_answers_are_seen_at_their_first_wrong_bytes() {
    let whole = good(b"value");
    let row = whole.iter().position(|b| *b == b'D').unwrap();
    let change = |at: usize, to: &[u8]| {
        let mut bytes = whole.clone();
        bytes[at..at + to.len()].copy_from_slice(to);
        bytes
    };
    for (bytes, seen_by) in [
        (change(row + 1, &[0, 0, 0, 2]), row + 5),
        (change(row + 1, &[0xb2, 0xd0, 0x5e, 0x0a]), row + 5),
        (change(row + 1, &[0, 0, 0, 99]), row + 11),
        (change(row + 7, &[0, 0, 0, 4]), row + 11),
        (change(row + 5, &[0, 2]), row + 11),
        (change(row, b"x"), row + 1),
        (vec![b'x'; 400], 1),
        ([&whole[..row], &whole[row + 11..]].concat(), row + 5),
        ([&whole[..row], &whole[row..row + 16], &whole[row..]].concat(), row + 17),
    ] {
        assert!(read(&bytes[..seen_by], 1).1.is_err(), "{:?}", &bytes[row..row + 12]);
    }
    let mut tag = good(b"v");
    let at = tag.windows(8).position(|w| w == b"SELECT 1").unwrap();
    tag[at + 8] = b'!';
    assert!(read(&tag, 7).1.is_err(), "a line that does not end");
}

/// Any value passes whole in pieces of any size, bytes behind it are left alone, a report that cannot be
/// read costs nothing, and any one changed byte gives the value that was made, a failure, or a wait for
/// more: never another length of it.
#[test]
fn random_bytes_never_pass_for_an_answer() {
    let parts = (prop::collection::vec(any::<u8>(), 0..60), 1usize..50, any::<u16>(), any::<u8>());
    let config = Config { cases: 600, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let check = |(value, piece, at, byte): (Vec<u8>, usize, u16, u8)| {
        let whole = good(&value);
        let (reply, used) = read(&[&whole[..], b"T\0\0"].concat(), piece);
        prop_assert_eq!(used, Ok(whole.len()));
        prop_assert!(reply.finished() && reply.idle() && reply.outcome() == AttemptOutcome::Served);
        prop_assert_eq!(
            reply.replica_status(),
            Some(ReplicaStatus { primary: false, position: LogPosition::UNKNOWN })
        );
        prop_assert_eq!(reply.report(&["x0".to_string()]).count, 0);
        let (first, served) = (33, reply.rows.clone());
        prop_assert_eq!(&served[first + 11..first + 11 + value.len()], &value[..]);
        let mut spoilt = whole.clone();
        let n = usize::from(at) % whole.len();
        spoilt[n] = byte;
        let (reply, used) = read(&spoilt, piece);
        if used.is_ok() && reply.finished() && reply.outcome() == AttemptOutcome::Served {
            prop_assert_eq!(reply.rows.len(), served.len());
        }
        // Noise alone is refused at once or has no row in it.
        let (noise, _) = read(&value, piece);
        prop_assert!(noise.outcome() != AttemptOutcome::Served);
        Ok(())
    };
    TestRunner::new_with_rng(config, rng).run(&parts, check).unwrap();
}

/// Guards against an answer that goes on for ever with messages that are passed over.
#[test]
fn notices_without_end_are_no_answer() {
    let mut reply = Reply::default();
    let mut notice = Vec::new();
    put(&mut notice, b'N', &[b"Mone more\0\0"]);
    let taken = (0..ALL_WORDS).take_while(|_| reply.take(&notice, MOST).is_ok()).count();
    assert!((100..=ALL_WORDS / notice.len()).contains(&taken), "{taken} notices were passed over");
}
