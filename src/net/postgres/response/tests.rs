//! Hosts' answers in pieces of any size, corrupted and endless.

use super::*;
use crate::net::postgres::codec::put_message;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const ROW_LIMITS: RowLimits = RowLimits { max_bytes: 64 * 1024 + 10, stream_above_bytes: None };

fn valid_answer(value: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    put_message(&mut out, b'T', &[&[0, 1], b"payload\0", &[0; 18]]);
    put_message(&mut out, b'D', &[&[0, 1], &(value.len() as u32).to_be_bytes(), value]);
    put_message(&mut out, b'C', &[b"SELECT 1\0"]);
    put_message(&mut out, b'S', &[b"rank\0copy\0"]);
    put_message(&mut out, b'S', &[b"vitals\0x0=\xff\xfe,x1=1\0"]);
    put_message(&mut out, b'Z', &[b"I"]);
    out
}

/// Parses bytes that arrive in pieces: the answer, and how many bytes it used.
fn parse(bytes: &[u8], piece: usize) -> (BackendResponse, Result<usize, ResponseError>) {
    let mut response = BackendResponse::to_query(ROW_LIMITS);
    let mut used = 0;
    let mut end = 0;
    while end < bytes.len() {
        end = (end + piece).min(bytes.len());
        match response.feed(&bytes[used..end]) {
            Ok(count) => used += count,
            Err(error) => return (response, Err(error)),
        }
    }
    (response, Ok(used))
}

/// Guards against a corrupted answer that is passed on, or whose missing bytes are waited for.
#[test]
fn corrupted_answers_are_rejected_at_their_first_wrong_bytes() {
    let valid = valid_answer(b"value");
    let row = valid.iter().position(|b| *b == b'D').unwrap();
    let change = |at: usize, to: &[u8]| {
        let mut bytes = valid.clone();
        bytes[at..at + to.len()].copy_from_slice(to);
        bytes
    };
    for (bytes, rejected_after) in [
        (change(row + 1, &[0, 0, 0, 2]), row + 5),
        (change(row + 1, &[0xb2, 0xd0, 0x5e, 0x0a]), row + 5),
        (change(row + 1, &[0, 0, 0, 99]), row + 11),
        (change(row + 7, &[0, 0, 0, 4]), row + 11),
        (change(row + 5, &[0, 2]), row + 11),
        (change(row, b"x"), row + 1),
        (vec![b'x'; 400], 1),
        ([&valid[..row], &valid[row + 11..]].concat(), row + 5),
        ([&valid[..row], &valid[row..row + 16], &valid[row..]].concat(), row + 17),
    ] {
        assert!(parse(&bytes[..rejected_after], 1).1.is_err(), "{:?}", &bytes[row..row + 12]);
    }
    let mut tag = valid_answer(b"v");
    let at = tag.windows(8).position(|w| w == b"SELECT 1").unwrap();
    tag[at + 8] = b'!';
    assert!(parse(&tag, 7).1.is_err(), "a command tag without its end");
}

/// Any value is parsed completely in pieces of any size, bytes behind the answer are not used, an unreadable load
/// report spoils nothing, and any one changed byte gives a value of the same length, an error, or a wait for more:
/// never a value of another length.
#[test]
fn random_bytes_are_never_taken_for_an_answer() {
    let parts = (prop::collection::vec(any::<u8>(), 0..60), 1usize..50, any::<u16>(), any::<u8>());
    let config = Config { cases: 600, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let check = |(value, piece, at, byte): (Vec<u8>, usize, u16, u8)| {
        let valid = valid_answer(&value);
        let (response, used) = parse(&[&valid[..], b"T\0\0"].concat(), piece);
        prop_assert_eq!(used, Ok(valid.len()));
        prop_assert!(
            response.is_complete() && response.is_idle() && response.outcome() == AttemptOutcome::Served
        );
        prop_assert_eq!(
            response.replica_status(),
            Some(ReplicaStatus { primary: false, position: LogPosition::UNKNOWN })
        );
        prop_assert_eq!(response.load_report(&["x0".to_string()]).count, 0);
        let (first, served) = (33, response.rows.clone());
        prop_assert_eq!(&served[first + 11..first + 11 + value.len()], &value[..]);
        let mut corrupted = valid.clone();
        let n = usize::from(at) % valid.len();
        corrupted[n] = byte;
        let (response, used) = parse(&corrupted, piece);
        if used.is_ok() && response.is_complete() && response.outcome() == AttemptOutcome::Served {
            prop_assert_eq!(response.rows.len(), served.len());
        }
        // Noise alone is rejected at once or has no row in it.
        let (noise, _) = parse(&value, piece);
        prop_assert!(noise.outcome() != AttemptOutcome::Served);
        Ok(())
    };
    TestRunner::new_with_rng(config, rng).run(&parts, check).unwrap();
}

/// Guards against an answer that goes on forever with messages that have no place of their own.
#[test]
fn endless_notices_are_no_answer() {
    let mut response = BackendResponse::to_query(ROW_LIMITS);
    let mut notice = Vec::new();
    put_message(&mut notice, backend::NOTICE_RESPONSE, &[b"Mone more\0\0"]);
    let accepted = (0..MAX_UNORDERED_BYTES).take_while(|_| response.feed(&notice).is_ok()).count();
    assert!(
        (100..=MAX_UNORDERED_BYTES / notice.len()).contains(&accepted),
        "{accepted} notices were accepted"
    );
}
